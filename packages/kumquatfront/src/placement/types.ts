/**
 * Messages between entries and the placement coordinator. Times are in milliseconds, sizes in tokens.
 */
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import type * as paceTypes from '../upstreamPace/types.js';

/** Attributes of a generation that determine its placement; they do not change while it runs. */
export interface GenerationAttributes {
  readonly identity: string;
  readonly service: string;
  readonly promptTokens: number;
  /** Upper bound of the output length. */
  readonly outputLimit: number;
  /** The caller's estimate of the output length, often inaccurate; 0 where the caller gives none. */
  readonly lengthHint: number;
  /** Scheduling priority; 0 is the most urgent. */
  readonly rank: number;
  /** Client account; empty for anonymous callers. */
  readonly account: string;
  /** Longest pause between events that its route accepts; absent if it states none. */
  readonly pauseLimit?: ports.Milliseconds;
  /** Data centres in which it may run; absent if unrestricted. */
  readonly dataCentres?: readonly string[];
}

/** An entry's request to place one generation on an engine. */
export interface PlacementRequest {
  readonly facts: GenerationAttributes;
  readonly entry: string;
  readonly dataCentre: string;
  /** Identities of engines that must not be selected. */
  readonly excluded: readonly string[];
  /** Software that began the stream, as `software.of` returns it; absent for a stream without events. */
  readonly software?: string;
  /** Fingerprint that a refused request and the caller's retry of it share. */
  readonly likeness: string;
  /** The route's objective for the time to the first event, counted from the caller's first attempt. */
  readonly objective: ports.Milliseconds;
  /** Remaining part of the objective, counted from now. */
  readonly objectiveLeft: ports.Milliseconds;
  /** Maximum time to wait in the queue. */
  readonly patience: ports.Milliseconds;
  /** Maximum wait where only headroom for urgent work is missing; absent from entries that do not support it. */
  readonly longestWait?: ports.Milliseconds;
}

/** The engine selected for a generation. */
export interface Placement {
  readonly instance: string;
  /** Forecast time to the first event; absent from coordinators without a forecast. */
  readonly firstEventIn?: ports.Milliseconds;
}

/** Response to a placement request. */
export type PlacementAnswer =
  | ({ readonly state: 'placed' } & Placement)
  /** Nothing was started; `retryAfter` is the forecast time until an engine has free capacity. */
  | { readonly state: 'refused'; readonly retryAfter: ports.Milliseconds; readonly reason: string };

/** State of a running generation as reported by its entry. */
export interface RunningGeneration {
  readonly facts: GenerationAttributes;
  readonly instance: string;
  /** Output tokens produced so far. */
  readonly produced: number;
  /** True after the first event, when the engine holds memory that can be moved. */
  readonly started: boolean;
  /** True if it continues from a copy of its memory, so that its engine has no prompt to process. */
  readonly resumedFromCopy?: boolean;
  /** Longest pause between two events from its present engine; absent before the second event. */
  readonly longestPause?: ports.Milliseconds;
}

/** All running generations of one entry; each report replaces the previous one. */
export interface EntryReport {
  readonly entry: string;
  /** Address to which move commands for this entry are sent: `ip:port`. */
  readonly address: string;
  /** Changes at each start of the entry. */
  readonly epoch: string;
  readonly sequence: number;
  readonly generations: readonly RunningGeneration[];
  /** Generations completed since the last report, with their final output length. */
  readonly finished: readonly FinishedGeneration[];
  /** Engines of these generations from which the entry has received a termination notice. */
  readonly leaving: readonly string[];
  /** Instances listed by other replicas but not by the recipient of this report. */
  readonly unlisted: readonly instanceTypes.Announcement[];
  /** Sums of plain calls since the last report. If present, the report is a request that returns the merged paces. */
  readonly paces?: readonly paceTypes.PaceSum[];
}

/** A completed generation. */
export interface FinishedGeneration {
  readonly facts: GenerationAttributes;
  readonly produced: number;
}

/** Command to an entry to move one generation to another engine. */
export interface MoveCommand {
  readonly identity: string;
  readonly source: string;
  readonly target: string;
}

/** Result of a move; `moved` means that the source has stopped the generation. */
export type MoveOutcome = 'moved' | 'ended' | 'failed';

/** A placed generation and the entry that serves it. */
export interface PlacedGeneration {
  readonly running: RunningGeneration;
  readonly entry: string;
  readonly grantedAt: ports.Milliseconds;
  /** Time of the placement, or of the first report if the coordinator did not place it. */
  readonly placedAt: ports.Milliseconds;
  readonly reported: boolean;
  /** Prompt tokens that the engine had to process before the first event, including its own prompt. */
  readonly prefillTokens: number;
}
