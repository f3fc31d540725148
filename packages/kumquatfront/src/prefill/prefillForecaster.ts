/**
 * Keeps the prefill forecast of the engines up to date with grants and with the entries' reports, and learns the pace
 * of each service from all reported first events, including those of prompts that had others ahead.
 */
import type * as ports from '../kernel/ports.js';
import type * as prefillEstimator from '../placement/prefillEstimator.js';
import type * as types from '../placement/types.js';
import type * as prefillAdmission from './prefillAdmission.js';
import * as prefillBacklog from './prefillBacklog.js';

/** Shorter prompts say little about the pace: their time is mostly that of the first decoding step. */
const MINIMUM_OBSERVED_TOKENS = 200;

/** Prefill forecast of one coordinator. */
export class PrefillForecaster {
  private readonly backlog: prefillBacklog.PrefillBacklog;
  private readonly estimator: prefillEstimator.PrefillEstimator;
  private readonly paceOf: prefillBacklog.PrefillPace;

  /**
   * @param paceOf - prefill pace of one engine; by default that of its service
   * @param onObserved - called with the time that an engine took for a prompt
   */
  constructor(
    estimator: prefillEstimator.PrefillEstimator,
    paceOf?: prefillBacklog.PrefillPace,
    private readonly onObserved: (observation: prefillBacklog.PrefillObservation) => void = () => undefined,
  ) {
    this.estimator = estimator;
    this.paceOf = paceOf ?? ((_engine, service) => estimator.millisecondsPerTokenOf(service));
    this.backlog = new prefillBacklog.PrefillBacklog(this.paceOf);
  }

  /** Adds the prompt of a granted placement. */
  recordGrant(facts: types.GenerationAttributes, engine: string, now: ports.Milliseconds): void {
    const { identity, service, promptTokens } = facts;
    this.backlog.add({ identity, engine, service, tokens: promptTokens }, now, true);
  }

  /** Applies the first events and ends of generations that an entry reports. */
  applyReport(report: types.EntryReport, now: ports.Milliseconds): void {
    for (const { facts, instance, started, resumedFromCopy } of report.generations) {
      const { identity, service, promptTokens } = facts;
      if (started) {
        this.complete(identity, instance, now);
      } else if (resumedFromCopy === true) {
        this.backlog.remove(identity, now);
      } else {
        this.backlog.add({ identity, engine: instance, service, tokens: promptTokens }, now, false);
      }
    }
    for (const { facts } of report.finished) {
      this.complete(facts.identity, undefined, now);
    }
  }

  private complete(identity: string, engine: string | undefined, now: ports.Milliseconds): void {
    const observed = this.backlog.complete(identity, now, engine);
    if (observed !== undefined && observed.tokens >= MINIMUM_OBSERVED_TOKENS) {
      this.onObserved(observed);
      const { service, tokens, elapsed } = observed;
      this.estimator.observe(service, tokens, this.estimator.timeToFirstEvent(service, 0) + elapsed);
    }
  }

  /** Removes the prompt of a generation that has ended. */
  remove(identity: string, now: ports.Milliseconds): void {
    this.backlog.remove(identity, now);
  }

  /** Drops prompts that never reported a first event and the queues of engines that were removed. */
  removeExpired(
    isKnownEngine: (engine: string) => boolean,
    now: ports.Milliseconds,
  ): readonly prefillBacklog.Prompt[] {
    return this.backlog.removeExpired(isKnownEngine, now);
  }

  /** Forecasts a prompt of a service on one of its engines. */
  forecastOf(
    engine: string,
    service: string,
    tokens: number,
    now: ports.Milliseconds,
  ): prefillAdmission.PrefillForecast {
    return { wait: this.backlog.waitOf(engine, now), work: tokens * this.paceOf(engine, service) };
  }

  /** Shortest forecast wait on some engines; 0 if there are none. */
  shortestWaitOf(engines: readonly string[], now: ports.Milliseconds): ports.Milliseconds {
    return engines.length === 0 ? 0 : Math.min(...engines.map((engine) => this.backlog.waitOf(engine, now)));
  }

  /** Time to the first event on one engine, from placement. */
  timeToFirstEvent(service: string, { wait, work }: prefillAdmission.PrefillForecast): ports.Milliseconds {
    return this.estimator.timeToFirstEvent(service, 0) + wait + work;
  }
}
