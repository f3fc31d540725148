/**
 * Forecast of the pause that running streams see on an engine while it processes the prompt of another generation.
 *
 * Engines process prompts in chunks between the tokens of running streams. On a slow engine the resulting pauses can
 * exceed what the routes of those streams accept, although the same engine keeps them without a prompt beside.
 */
import type * as ports from '../kernel/ports.js';

/** Weight of one observation of the prefill pace in its moving average. */
const PACE_SMOOTHING_FACTOR = 0.4;

/** Weight of an observed pause that is shorter than the forecast; few prompts cause the longest pause. */
const SHORTER_PAUSE_WEIGHT = 0.05;

/** Limit on how far one observation raises a forecast, so that a stalled connection does not distort it. */
const MAXIMUM_INCREASE_FACTOR = 3;

/** Bound of the first observed pause; longer ones come from stalled connections or VMs. */
const MAXIMUM_FIRST_PAUSE: ports.Milliseconds = 1_000;

/** Time after which an observed pause expires, so that an engine that was slow for a time is tried again. */
const OBSERVATION_LIFETIME: ports.Milliseconds = 20_000;

interface EngineState {
  readonly service: string;
  /** Prefill time of one prompt token; undefined before the first observation. */
  prefillPace?: number;
  /** Pause with a prompt beside; undefined before the first observation. */
  pause?: { value: ports.Milliseconds; at: ports.Milliseconds };
}

/** Follows the highest observations: rises with one of them and falls slowly. */
function followMaximum(previous: number | undefined, observed: number): number {
  if (previous === undefined) {
    return observed;
  }
  return observed > previous
    ? Math.min(observed, previous * MAXIMUM_INCREASE_FACTOR)
    : previous + SHORTER_PAUSE_WEIGHT * (observed - previous);
}

/** Learns the pauses of engines; see the module comment. */
export class PauseForecast {
  private readonly engines = new Map<string, EngineState>();
  /** Ratio of the pause to the prefill pace, by service; predicts the pause of engines without an observation. */
  private readonly ratios = new Map<string, number>();

  private stateOf(engine: string, service: string): EngineState {
    const state = this.engines.get(engine) ?? { service };
    this.engines.set(engine, state);
    return state;
  }

  /** Records the prefill time of a prompt that had no other before it, in milliseconds for each token. */
  observePrefill(engine: string, service: string, millisecondsPerToken: number): void {
    const state = this.stateOf(engine, service);
    const previous = state.prefillPace ?? millisecondsPerToken;
    const observed = Math.min(previous * 2, Math.max(previous / 2, millisecondsPerToken));
    state.prefillPace = previous + PACE_SMOOTHING_FACTOR * (observed - previous);
  }

  /** Records the longest pause of a stream while a prompt was processed beside it. */
  observePause(engine: string, service: string, pause: ports.Milliseconds, now: ports.Milliseconds): void {
    const state = this.stateOf(engine, service);
    const previous = this.expectedPause(engine, now);
    const bounded = previous === undefined ? Math.min(pause, MAXIMUM_FIRST_PAUSE) : pause;
    state.pause = { value: followMaximum(previous, bounded), at: now };
    if (state.prefillPace !== undefined) {
      this.ratios.set(service, followMaximum(this.ratios.get(service), pause / state.prefillPace));
    }
  }

  /**
   * Pause to expect on an engine while it processes a prompt.
   *
   * @param engine - identity of the engine
   * @returns milliseconds; undefined if neither the engine nor its service was observed
   * @example
   * ```ts
   * const pause = forecast.expectedPause('i-7f3a91c2', timers.now()) ?? 0;
   * ```
   */
  expectedPause(engine: string, now: ports.Milliseconds): ports.Milliseconds | undefined {
    const state = this.engines.get(engine);
    if (state === undefined) {
      return undefined;
    }
    if (state.pause !== undefined && now - state.pause.at < OBSERVATION_LIFETIME) {
      return state.pause.value;
    }
    const ratio = this.ratios.get(state.service);
    return ratio === undefined || state.prefillPace === undefined ? undefined : ratio * state.prefillPace;
  }

  /** Discards the state of engines that were removed. */
  retain(isListed: (engine: string) => boolean): void {
    for (const engine of [...this.engines.keys()]) {
      if (!isListed(engine)) {
        this.engines.delete(engine);
      }
    }
  }
}
