/**
 * Prefill scheduling of the placement coordinator: for each queued generation, the condition that an engine's prefill
 * forecast must meet, whether it may wait when no engine does, and when a refused caller should retry.
 */
import type * as ports from '../kernel/ports.js';
import type * as timeliness from '../placement/timeliness.js';
import * as ranks from '../placement/ranks.js';
import type * as types from '../placement/types.js';
import * as prefillAdmission from './prefillAdmission.js';
import * as retryReservations from './retryReservations.js';
import * as sizeFairness from './sizeFairness.js';
import * as urgentDemand from './urgentDemand.js';

/** Dependencies of the scheduler. */
export interface PrefillSchedulerOptions {
  readonly metrics: ports.Metrics;
  readonly random: ports.Random;
  /** Mean prefill time of one token on the engines of a service. */
  readonly meanPaceOf: (service: string) => number;
  /** Time to the first event of an empty prompt on an idle engine. */
  readonly fixedDelayOf: (service: string) => ports.Milliseconds;
  /** Number of engines of a service that may receive generations. */
  readonly engineCountOf: (service: string) => number;
  /** Shortest forecast wait on the engines of a service. */
  readonly shortestWaitOf: (service: string, now: ports.Milliseconds) => ports.Milliseconds;
}

/** A queued request and how it can meet its objective. */
export interface ScheduledRequest {
  readonly request: types.PlacementRequest;
  /** Time at which it arrived. */
  readonly since: ports.Milliseconds;
  readonly timeliness: timeliness.Timeliness;
}

/** Prefill scheduler of one coordinator. */
export class PrefillScheduler {
  private readonly options: PrefillSchedulerOptions;
  private readonly demand = new urgentDemand.UrgentDemand();
  private readonly fairness = new sizeFairness.SizeFairness();
  private readonly reservations = new retryReservations.RetryReservations();
  /** Queued requests that returned at their reserved time. */
  private readonly reserved = new Set<string>();
  /** Queued requests that only wait for headroom. */
  private readonly waiting = new Set<string>();

  constructor(options: PrefillSchedulerOptions) {
    this.options = options;
  }

  /** Records the arrival of a request, which may hold a reservation. */
  recordArrival(request: types.PlacementRequest, now: ports.Milliseconds): void {
    const { facts, likeness, objective } = request;
    if (!ranks.isPatient(facts.rank)) {
      this.demand.record(facts.service, { at: now, tokens: facts.promptTokens, objective });
    }
    if (this.reservations.take(likeness, now)) {
      this.reserved.add(facts.identity);
      this.options.metrics.count('placement.reservations', 1, { outcome: 'used' });
    }
  }

  private classOf({ request, timeliness }: ScheduledRequest): prefillAdmission.RequestClass {
    if (timeliness === 'unattainable') {
      return 'unattainable';
    }
    if (timeliness === 'late') {
      return this.reserved.has(request.facts.identity) ? 'reserved' : 'late';
    }
    return ranks.isPatient(request.facts.rank) ? 'patient' : 'urgent';
  }

  private patientLimit(service: string, now: ports.Milliseconds): ports.Milliseconds {
    const { meanPaceOf, engineCountOf, fixedDelayOf } = this.options;
    const demand = this.demand.of(service, now);
    if (demand === undefined) {
      return Number.POSITIVE_INFINITY;
    }
    const engineCount = engineCountOf(service);
    const pace = meanPaceOf(service);
    const heldWork = this.reservations.dueWork(service, now) / Math.max(1, engineCount);
    return Math.max(
      0,
      urgentDemand.patientLimit(demand, pace, engineCount, fixedDelayOf(service)) - heldWork,
    );
  }

  /**
   * Returns the condition that the prefill forecast of an engine must meet for a request.
   *
   * @example
   * ```ts
   * const accepts = scheduler.conditionFor({ request, since, timeliness: 'inTime' }, now);
   * ```
   */
  conditionFor(scheduled: ScheduledRequest, now: ports.Milliseconds): prefillAdmission.AcceptsForecast {
    const { request, since } = scheduled;
    const { service } = request.facts;
    const requestClass = this.classOf(scheduled);
    const timeLeft = request.objectiveLeft - (now - since) - this.options.fixedDelayOf(service);
    const needsLimit = requestClass === 'patient' || requestClass === 'reserved';
    const patientLimit = needsLimit ? this.patientLimit(service, now) : 0;
    const { promptTokens } = request.facts;
    const requiredTokens = this.fairness.requiredTokens(`${service} ${requestClass}`, promptTokens, now);
    const sizeFactor = requiredTokens / Math.max(1, promptTokens);
    return prefillAdmission.conditionOf({ requestClass, timeLeft, patientLimit, sizeFactor });
  }

  /** Decides on a request that no engine accepts; `isPrefillCause` is true if only the forecast prevents it. */
  decideWithoutEngine(scheduled: ScheduledRequest, isPrefillCause: boolean): prefillAdmission.Decision {
    const { identity } = scheduled.request.facts;
    const requestClass = this.classOf(scheduled);
    if (isPrefillCause && requestClass === 'patient') {
      this.waiting.add(identity);
    } else {
      this.waiting.delete(identity);
    }
    return prefillAdmission.withoutEngine(requestClass, isPrefillCause);
  }

  /** True while a request may wait beyond its normal limit because it only waits for headroom. */
  mayWaitLonger(request: types.PlacementRequest, waited: ports.Milliseconds): boolean {
    const { facts, longestWait = 0 } = request;
    return waited < longestWait && this.waiting.has(facts.identity);
  }

  /** Records the result of a request that was in time when it left the queue. */
  recordResult(request: types.PlacementRequest, served: boolean, now: ports.Milliseconds): void {
    const { service, rank, promptTokens } = request.facts;
    const requestClass = ranks.isPatient(rank) ? 'patient' : 'urgent';
    this.fairness.record(`${service} ${requestClass}`, promptTokens, served, now);
  }

  /** Forgets a request that has left the queue. */
  forget(identity: string): void {
    this.waiting.delete(identity);
    this.reserved.delete(identity);
  }

  /**
   * Reserves prefill for a refused caller while prompts wait on all engines.
   *
   * @returns the retry time from now; undefined if an engine is idle, so that prefill is not what is short
   * @example
   * ```ts
   * const retryAfter = scheduler.reserveRetry(request, now) ?? drainTime;
   * ```
   */
  reserveRetry(request: types.PlacementRequest, now: ports.Milliseconds): ports.Milliseconds | undefined {
    const { shortestWaitOf, meanPaceOf, engineCountOf, random } = this.options;
    const { service, promptTokens } = request.facts;
    const earliest = shortestWaitOf(service, now);
    if (earliest <= 0 || engineCountOf(service) === 0) {
      return undefined;
    }
    const work = promptTokens * meanPaceOf(service);
    const need = { work, earliest, engineCount: engineCountOf(service), jitter: random.next() };
    return this.reservations.reserve(request.likeness, service, need, now);
  }

  /** Gives up the reservations of callers that did not return. */
  removeExpired(now: ports.Milliseconds): void {
    const unused = this.reservations.removeExpired(now);
    if (unused > 0) {
      this.options.metrics.count('placement.reservations', unused, { outcome: 'unused' });
    }
  }

  /** Number of callers that hold a reservation. */
  get reservationCount(): number {
    return this.reservations.size;
  }
}
