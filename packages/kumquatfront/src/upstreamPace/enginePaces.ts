/**
 * Paces of engines as the coordinator learns them from reports: prefill by prompt token, and decoding by event and number
 * of running generations.
 *
 * Load: engines whose paces differ by 2.4 to 1.
 */
import type * as ports from '../kernel/ports.js';
import * as paceEstimator from './paceEstimator.js';

/** Prefill time per prompt token before the first observation. */
const INITIAL_PREFILL_PACE = 1 / 6;

/** An engine processes about one prompt a second, and its pace is a property of its hardware. */
const EVIDENCE_HALF_LIFE: ports.Milliseconds = 30_000;

/** Identity without observations, whose estimate is the mean of its service. */
const UNKNOWN_ENGINE = '';

/** Running generations are grouped, because the time for an event grows slowly with their number. */
const RUNNING_GROUP = 8;

function groupOf(service: string, running: number): string {
  const group = Math.floor(Math.max(0, running - 1) / RUNNING_GROUP);
  return `${service} ${group}`;
}

/** Paces of engines; see the module comment. */
export class EnginePaces {
  private readonly prefill: paceEstimator.PaceEstimator;
  private readonly decoding: paceEstimator.PaceEstimator;

  /**
   * @param now - the time
   */
  constructor(now: () => ports.Milliseconds) {
    this.prefill = new paceEstimator.PaceEstimator(now, EVIDENCE_HALF_LIFE, INITIAL_PREFILL_PACE);
    this.decoding = new paceEstimator.PaceEstimator(now, EVIDENCE_HALF_LIFE);
  }

  /**
   * Prefill pace of an engine.
   *
   * @param engine - identity of the engine
   * @param service - its service
   * @returns milliseconds per prompt token; that of the service for an engine without observations
   * @example
   * ```ts
   * const forecast = promptTokens * paces.prefillPaceOf(engine, service);
   * ```
   */
  prefillPaceOf(engine: string, service: string): ports.Milliseconds {
    return this.prefill.paceOf(engine, service)?.pace ?? INITIAL_PREFILL_PACE;
  }

  /**
   * Prefill pace of an engine relative to its service, so that engines without a difference are treated alike.
   *
   * @param engine - identity of the engine
   * @param service - its service
   * @returns a factor; 1 for an engine without observations
   * @example
   * ```ts
   * const pace = pacesOfServices.paceOf(service) * paces.relativePrefillPaceOf(engine, service);
   * ```
   */
  relativePrefillPaceOf(engine: string, service: string): number {
    return this.prefillPaceOf(engine, service) / this.prefillPaceOf(UNKNOWN_ENGINE, service);
  }

  /** Relative standard error of the prefill pace of an engine. */
  prefillUncertaintyOf(engine: string, service: string): number {
    return this.prefill.paceOf(engine, service)?.uncertainty ?? 1;
  }

  /** Records that an engine processed prompt tokens in a time, without the fixed delay of the first event. */
  observePrefill(engine: string, service: string, tokens: number, elapsed: ports.Milliseconds): void {
    this.prefill.observe(engine, service, elapsed / tokens);
  }

  /**
   * Decoding pace of an engine.
   *
   * @param engine - identity of the engine
   * @param service - its service
   * @param running - generations that the engine runs
   * @returns milliseconds per event; undefined if none was observed for a similar number of running generations
   * @example
   * ```ts
   * const remaining = events * (paces.decodingPaceOf(engine, service, 12) ?? 60);
   * ```
   */
  decodingPaceOf(engine: string, service: string, running: number): ports.Milliseconds | undefined {
    return this.decoding.paceOf(engine, groupOf(service, running))?.pace;
  }

  /** Records that a generation received events in a time, on an engine with a number of running generations. */
  observeDecoding(
    engine: string,
    service: string,
    running: number,
    events: number,
    elapsed: ports.Milliseconds,
  ): void {
    this.decoding.observe(engine, groupOf(service, running), elapsed / events);
  }

  /** Removes an engine that has ended or restarted. */
  remove(engine: string): void {
    this.prefill.remove(engine);
    this.decoding.remove(engine);
  }
}
