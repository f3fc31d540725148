/**
 * Priority queue of placement requests, ordered by rank, then by whether the objective can still be met, then by
 * forecast output length (shortest job first, with aging). A first-come queue would make every request late under
 * overload. A request that does not fit may be overtaken by smaller ones, but only for a limited time. Where client
 * accounts compete, the account furthest below its share goes before forecast length.
 */
import * as refusalOrder from '../fairShare/refusalOrder.js';
import * as shareOrder from '../fairShare/shareOrder.js';
import type * as ports from '../kernel/ports.js';
import type * as timeliness from './timeliness.js';
import type * as types from './types.js';

/** A request in the queue. */
export interface QueuedRequest {
  readonly request: types.PlacementRequest;
  readonly since: ports.Milliseconds;
  readonly respond: (answer: types.PlacementAnswer) => void;
}

/** Tokens of forecast output that one millisecond in the queue offsets; the longest outputs take two seconds. */
const AGING_TOKENS_PER_MILLISECOND = 0.8;

/** Time for which other requests may overtake one that does not fit on any engine; close to one objective. */
const OVERTAKING_LIMIT: ports.Milliseconds = 1_500;

/**
 * Requests of a service that one pass tries in vain before it leaves the later ones queued. Long queues of patient
 * requests would otherwise occupy the control replica, which then misses heartbeats of the consensus.
 */
export const MAXIMUM_FAILED_ATTEMPTS = 30;

/** Maximum number of queued requests, of a hundred bytes each. */
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

/** Shares of client accounts, which determine the order among requests of one rank. */
export interface AccountOrder {
  /** Sort key of an account; lowest for the one furthest below its share. */
  readonly keyOf: shareOrder.ShareKeyOf;
  readonly recordOvertaken: (facts: types.GenerationAttributes) => void;
  /** Engines that are kept for other requests of the same service. */
  readonly reservedForOthers: (facts: types.GenerationAttributes) => readonly string[];
  /** Keeps an engine for a request that fits on none yet, if its account is below its share. */
  readonly reserveEngine: (request: types.PlacementRequest, now: ports.Milliseconds) => void;
  /** Time for which a request waits beyond its patience. */
  readonly extraWaitOf: (identity: string) => ports.Milliseconds;
}

/** Attempts to place a request on an engine that is not in `reserved`; returns true if it was placed. */
export type TryPlace = (queued: QueuedRequest, reserved: readonly string[]) => boolean;

/** A queued request with the keys that determine its position. */
interface KeyedRequest extends shareOrder.OrderedRequest {
  readonly queued: QueuedRequest;
  /** 1 if it cannot meet its objective, otherwise 0. */
  readonly late: number;
}

/** Queue of the requests that are not placed yet. */
export class PlacementQueue {
  private readonly requests = new Map<string, QueuedRequest>();
  private readonly forecasts: RequestForecasts;
  private readonly accountOrder: () => AccountOrder | undefined;

  /** `accountOrder` returns undefined while the order ignores accounts. */
  constructor(
    forecasts: RequestForecasts,
    accountOrder: () => AccountOrder | undefined = (): undefined => undefined,
  ) {
    this.forecasts = forecasts;
    this.accountOrder = accountOrder;
  }

  has(identity: string): boolean {
    return this.requests.has(identity);
  }

  /** All queued requests, in order of arrival. */
  values(): Iterable<QueuedRequest> {
    return this.requests.values();
  }

  /** Removes and returns a request to refuse in favour of a new one; undefined if the new one is to be refused. */
  takeForRoom({ facts }: types.PlacementRequest, now: number): QueuedRequest | undefined {
    const order = this.accountOrder();
    if (order === undefined) {
      return undefined;
    }
    const candidates = [...this.requests.values()].map((queued) => {
      const { service, account, rank } = queued.request.facts;
      return { queued, service, account, rank, waited: now - queued.since };
    });
    const selected = refusalOrder.select(candidates, { ...facts, waited: 0 }, order.keyOf)?.queued;
    if (selected !== undefined) {
      this.requests.delete(selected.request.facts.identity);
    }
    return selected;
  }

  get size(): number {
    return this.requests.size;
  }

  /** Adds a request, or replaces the previous one for the same generation; returns false if the queue is full. */
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
    const { patience, facts } = queued.request;
    const maximumWait = patience + (this.accountOrder()?.extraWaitOf(facts.identity) ?? 0);
    return now - queued.since >= maximumWait && !this.forecasts.mayWaitLonger(queued, now);
  }

  /** True if the objective could be met on arrival but cannot be met now; requests late on arrival keep waiting. */
  private becameLateWhileQueued(queued: QueuedRequest, now: number): boolean {
    const { timelinessOf } = this.forecasts;
    return timelinessOf(queued, now) === 'late' && timelinessOf(queued, queued.since) === 'inTime';
  }

  private sortedRequests(now: number): readonly KeyedRequest[] {
    const keyedRequests = [...this.requests.values()].map((queued) => {
      const waited = now - queued.since;
      const { facts } = queued.request;
      const late = this.forecasts.timelinessOf(queued, now) === 'late' ? 1 : 0;
      const length = this.forecasts.expectedOutput(facts) - waited * AGING_TOKENS_PER_MILLISECOND;
      const { rank, service, account } = facts;
      return { queued, late, length, rank, service, account, orderClass: `${rank} ${late}` };
    });
    keyedRequests.sort(
      (left, right) => left.rank - right.rank || left.late - right.late || left.length - right.length,
    );
    return keyedRequests;
  }

  /** Attempts to place requests in order. */
  dispatch(now: number, tryPlace: TryPlace): void {
    const order = this.accountOrder();
    const blockedServices = new Map<string, number>();
    const failedAttempts = new Map<string, number>();
    const attempt = ({ queued, late }: KeyedRequest, competes: boolean): boolean => {
      const { service, rank, identity } = queued.request.facts;
      const blockingRank = blockedServices.get(service);
      const failed = failedAttempts.get(service) ?? 0;
      if ((blockingRank !== undefined && blockingRank <= rank) || failed >= MAXIMUM_FAILED_ATTEMPTS) {
        return false;
      }
      if (tryPlace(queued, order?.reservedForOthers(queued.request.facts) ?? [])) {
        this.requests.delete(identity);
        return true;
      }
      failedAttempts.set(service, failed + 1);
      if (now - queued.since > OVERTAKING_LIMIT && !this.forecasts.mayWaitLonger(queued, now)) {
        blockedServices.set(service, rank);
      }
      if (competes && late === 0) {
        order?.reserveEngine(queued.request, now);
      }
      return false;
    };
    const sorted = this.sortedRequests(now);
    if (order === undefined) {
      sorted.forEach((item) => attempt(item, false));
      return;
    }
    const overtaken = ({ queued }: KeyedRequest): void => {
      order.recordOvertaken(queued.request.facts);
    };
    shareOrder.visit(sorted, order.keyOf, { attempt, overtaken });
  }
}
