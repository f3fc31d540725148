/**
 * Priority queue of placement requests, ordered by rank, then by whether the objective can still be met, then by
 * forecast output length (shortest job first, with aging). A first-come queue would make every request late under
 * overload. A request that does not fit may be overtaken by smaller ones, but only for a limited time.
 */
import type * as ports from '../kernel/ports.js';
import type * as timeliness from './timeliness.js';
import type * as types from './types.js';

/** A request in the queue. */
export interface QueuedRequest {
  readonly request: types.PlacementRequest;
  readonly since: ports.Milliseconds;
  readonly respond: (answer: types.PlacementAnswer) => void;
}

/** Tokens of forecast output that one millisecond in the queue offsets. */
const AGING_TOKENS_PER_MILLISECOND = 0.8;

/** Time for which other requests may overtake one that does not fit on any engine. */
const OVERTAKING_LIMIT: ports.Milliseconds = 1_500;

/** Maximum number of queued requests. */
const MAXIMUM_QUEUE_SIZE = 2_000;

/** Forecasts that determine the order of the queue. */
export interface RequestForecasts {
  /** Forecast output length in tokens. */
  readonly expectedOutput: (attributes: types.GenerationAttributes) => number;
  readonly timelinessOf: (
    queued: Pick<QueuedRequest, 'request' | 'since'>,
    now: ports.Milliseconds,
  ) => timeliness.Timeliness;
  /** True for a request that may wait beyond its patience. */
  readonly mayWaitLonger: (queued: QueuedRequest, now: ports.Milliseconds) => boolean;
}

/** Queue of the requests that are not placed yet. */
export class PlacementQueue {
  private readonly requests = new Map<string, QueuedRequest>();
  private readonly forecasts: RequestForecasts;

  constructor(forecasts: RequestForecasts) {
    this.forecasts = forecasts;
  }

  get size(): number {
    return this.requests.size;
  }

  /** Adds a request, or replaces an earlier one for the same generation; returns false if the queue is full. */
  add(request: types.PlacementRequest, now: number, respond: QueuedRequest['respond']): boolean {
    const previous = this.requests.get(request.facts.identity);
    if (previous === undefined && this.requests.size >= MAXIMUM_QUEUE_SIZE) {
      return false;
    }
    // A request that is sent again states what is left of its times since then; the queue counts from the first arrival.
    const queued = previous ?? { request, since: now };
    this.requests.set(request.facts.identity, { ...queued, respond });
    return true;
  }

  has(identity: string): boolean {
    return this.requests.has(identity);
  }

  remove(identity: string): void {
    this.requests.delete(identity);
  }

  /** Removes all requests; returns the identities of their generations. */
  clear(): readonly string[] {
    const identities = [...this.requests.keys()];
    this.requests.clear();
    return identities;
  }

  countForService(service: string): number {
    return [...this.requests.values()].filter((queued) => queued.request.facts.service === service).length;
  }

  /** Removes and returns requests that exceeded their maximum wait or became late in the queue. */
  takeExpired(now: number): readonly QueuedRequest[] {
    const expired = [...this.requests.values()].filter(
      (queued) => this.hasExceededWait(queued, now) || this.becameLateWhileQueued(queued, now),
    );
    for (const queued of expired) {
      this.requests.delete(queued.request.facts.identity);
    }
    return expired;
  }

  private hasExceededWait(queued: QueuedRequest, now: number): boolean {
    return now - queued.since >= queued.request.patience && !this.forecasts.mayWaitLonger(queued, now);
  }

  /** True if the objective could be met on arrival but no longer can; requests late on arrival keep waiting. */
  private becameLateWhileQueued(queued: QueuedRequest, now: number): boolean {
    const { timelinessOf } = this.forecasts;
    return timelinessOf(queued, now) === 'late' && timelinessOf(queued, queued.since) === 'inTime';
  }

  private sortedRequests(now: number): readonly QueuedRequest[] {
    const keyedRequests = [...this.requests.values()].map((queued) => {
      const waited = now - queued.since;
      const { facts } = queued.request;
      const late = this.forecasts.timelinessOf(queued, now) === 'late' ? 1 : 0;
      const length = this.forecasts.expectedOutput(facts) - waited * AGING_TOKENS_PER_MILLISECOND;
      return { queued, late, length, rank: facts.rank };
    });
    keyedRequests.sort(
      (left, right) => left.rank - right.rank || left.late - right.late || left.length - right.length,
    );
    return keyedRequests.map((key) => key.queued);
  }

  /** Attempts to place requests in order; `tryPlace` returns true if one was placed. */
  dispatch(now: number, tryPlace: (queued: QueuedRequest) => boolean): void {
    const blockedServices = new Map<string, number>();
    for (const queued of this.sortedRequests(now)) {
      const { service, rank, identity } = queued.request.facts;
      const blockingRank = blockedServices.get(service);
      if (blockingRank !== undefined && blockingRank <= rank) {
        continue;
      }
      if (tryPlace(queued)) {
        this.requests.delete(identity);
      } else if (now - queued.since > OVERTAKING_LIMIT && !this.forecasts.mayWaitLonger(queued, now)) {
        blockedServices.set(service, rank);
      }
    }
  }
}
