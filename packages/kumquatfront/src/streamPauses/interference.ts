/**
 * Cost of placing a generation on an engine in terms of the pauses of streams: those that run there, and its own.
 *
 * Load: engines of unequal pace that run long streams and receive prompts at the same time. A stream with one pause
 * over its route's limit is late, so one prompt on a slow engine can make every stream on it late.
 */
import type * as ports from '../kernel/ports.js';
import * as lengthForecast from '../placement/lengthForecast.js';

/** A stream that runs on the engine. */
export interface RunningStream {
  /** Longest pause that its route accepts; undefined if it states none. */
  readonly pauseLimit?: ports.Milliseconds;
  /** Longest pause that its caller has seen. */
  readonly longestPause: ports.Milliseconds;
  /** Forecast of its remaining output in tokens. */
  readonly remaining: number;
}

/** The generation to place. */
export interface NewStream {
  readonly pauseLimit?: ports.Milliseconds;
  /** Forecast of its output in tokens. */
  readonly remaining: number;
  /** True if the engine has to process its prompt; false for a move with its memory. */
  readonly hasPrompt: boolean;
}

/** Streams with no more remaining tokens end before or during the next prompt. */
const SHORT_OUTPUT_TOKENS = lengthForecast.MINIMUM_REMAINING_TOKENS;

/** Cost of one running stream that becomes late, as a share of engine memory; outweighs any difference in free memory. */
const LATE_STREAM_COST = 1;

/** Cost of a long stream that would become late with the next prompt that its engine receives. */
const EXPOSED_STREAM_COST = 0.8;

function exceeds(pause: ports.Milliseconds, limit: ports.Milliseconds | undefined): boolean {
  return limit !== undefined && pause > limit;
}

/** True if a prompt beside the stream would make it late; a stream that is late already loses nothing more. */
function wouldBecomeLate(stream: RunningStream, pause: ports.Milliseconds): boolean {
  return (
    exceeds(pause, stream.pauseLimit) &&
    !exceeds(stream.longestPause, stream.pauseLimit) &&
    stream.remaining > SHORT_OUTPUT_TOKENS
  );
}

/**
 * Cost of placing a generation on an engine.
 *
 * @param expectedPause - pause that streams see on the engine while it processes a prompt
 * @returns the cost as a share of engine memory, to be subtracted from the score of the engine
 * @example
 * ```ts
 * // A prompt beside one long stream on an engine that would pause it for 260 ms.
 * interference.costOf(260, { remaining: 8, hasPrompt: true }, [
 *   { pauseLimit: 180, longestPause: 70, remaining: 400 },
 * ]); // 1
 * ```
 */
export function costOf(
  expectedPause: ports.Milliseconds,
  generation: NewStream,
  running: readonly RunningStream[],
): number {
  const late = generation.hasPrompt
    ? running.filter((stream) => wouldBecomeLate(stream, expectedPause)).length
    : 0;
  const isExposed =
    generation.remaining > SHORT_OUTPUT_TOKENS && exceeds(expectedPause, generation.pauseLimit);
  return late * LATE_STREAM_COST + (isExposed ? EXPOSED_STREAM_COST : 0);
}
