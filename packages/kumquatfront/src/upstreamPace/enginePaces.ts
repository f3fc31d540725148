/**
 * Prefill paces of engines as the coordinator learns them from reported first events.
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

/** Paces of engines; see the module comment. */
export class EnginePaces {
  private readonly prefill: paceEstimator.PaceEstimator;

  /**
   */
  constructor(now: () => ports.Milliseconds) {
    this.prefill = new paceEstimator.PaceEstimator(now, EVIDENCE_HALF_LIFE, INITIAL_PREFILL_PACE);
  }

  /**
   * Prefill pace of an engine.
   *
   * @param engine - identity of the engine
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

  /** Removes an engine that has ended or restarted. */
  remove(engine: string): void {
    this.prefill.remove(engine);
  }
}
