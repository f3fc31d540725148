/**
 * Borrows from limits that all entries share, and offers what this entry leaves unused of its static share.
 *
 * Load: a few entries need most of a limit. The entry spends its static share first. What it needs beyond that is
 * asked of the holder, at most twice a second. A lease may be spent until its time to live has passed, counted by this
 * entry's clock from the sending of the request, or until the next request; the answer to an older request is ignored.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as leaseMessages from './leaseMessages.js';
import * as limitParts from './limitParts.js';

/** Least time between two requests. */
const REQUEST_INTERVAL: ports.Milliseconds = 500;

/** Interval of requests that only offer; short enough that an offer is renewed while it can be lent. */
const OFFER_INTERVAL: ports.Milliseconds = 1_000;

/** Time between requests after this many in a row had no answer, as from a coordinator that runs older code. */
const UNANSWERED_INTERVAL: ports.Milliseconds = 5_000;
const UNANSWERED_LIMIT = 2;

const REQUEST_TIMEOUT: ports.Milliseconds = 450;

/** A larger step between two timer runs means that the clock has jumped or the process stood still. */
const MAXIMUM_STEP: ports.Milliseconds = 2_000;

/** Largest amount asked for at once; above what one entry can send in half a second of a burst. */
const MAXIMUM_WANTED = 50;

/** Weight of the last interval in the average demand; a single use in two seconds needs no lease. */
const DEMAND_WEIGHT = 0.2;

/** Added to the expected demand of the next interval, so that a lease covers most of its variation. */
const DEMAND_MARGIN = 0.6;

/** Use of this entry's static share. */
export interface StaticUse {
  /** Number of entries that divide the limit; 0 while this entry has no share. */
  readonly entries: number;
  /** Amount that was spent of the share in the current window. */
  readonly used: number;
  /** True if the limit is in use, so that others may need what this entry offers. */
  readonly isActive: boolean;
  /** Variance of what the entry rounds at random beside its share, and the margin that it leaves for that. */
  readonly variance: number;
  readonly margin: number;
}

/** Sends a request to the holder; `done` is called once, with undefined if there is no answer. */
export type SendLeaseRequest = (
  request: leaseMessages.LeaseRequest,
  timeout: ports.Milliseconds,
  done: (answer: leaseMessages.LeaseAnswer | undefined) => void,
) => void;

/** Dependencies of the client. */
export interface LeaseClientOptions {
  readonly entry: string;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly send: SendLeaseRequest;
}

interface Offer {
  readonly holder: string;
  readonly amount: number;
  readonly until: ports.Milliseconds;
}

interface Limit {
  readonly limit: limitParts.WindowedLimit;
  readonly staticUse: (now: ports.Milliseconds) => StaticUse;
  remaining: number;
  expiresAt: ports.Milliseconds;
  /** Amount spent from leases since the start. */
  used: number;
  usedAtRequest: number;
  /** Amount refused since the last interval began, and amount spent from leases until then. */
  shortfall: number;
  usedAtInterval: number;
  /** Expected demand beyond the share in one interval. */
  expected: number;
  offers: Offer[];
}

function wantedOf({ expected }: Limit): number {
  return Math.min(MAXIMUM_WANTED, Math.floor(expected + DEMAND_MARGIN));
}

/** Entry side of leases; see the module comment. */
export class LeaseClient {
  private readonly options: LeaseClientOptions;
  private readonly epoch: string;
  /** Start of the process, or the time of its last clock step. */
  private startedAt: ports.Milliseconds;
  private readonly limits = new Map<string, Limit>();
  private sequence = 0;
  private sentAt = Number.NEGATIVE_INFINITY;
  private lastNow: ports.Milliseconds;
  /** Requests without an answer since the last answer. */
  private unanswered = 0;
  private newest: { readonly holder: string; readonly stamp: number } | undefined;

  constructor(options: LeaseClientOptions) {
    this.options = options;
    this.epoch = options.random.identity();
    this.startedAt = options.timers.now();
    this.lastNow = this.startedAt;
    options.timers.every(
      () => REQUEST_INTERVAL,
      () => {
        this.updateDemand();
        this.sendIfDue();
      },
    );
  }

  /**
   * Makes a limit known. Calling it again for the same key has no effect.
   *
   * @param key - name of the limit, the same at all entries
   * @param staticUse - returns the use of this entry's static share
   * @example
   * ```ts
   * leases.track('retries:chat', { amount: 168, window: 10_000 }, () => ({ entries: 75, used, isActive, variance: 0, margin: 0 }));
   * ```
   */
  track(
    key: string,
    limit: limitParts.WindowedLimit,
    staticUse: (now: ports.Milliseconds) => StaticUse,
  ): void {
    if (!this.limits.has(key)) {
      this.limits.set(key, {
        ...{ limit, staticUse },
        ...{ remaining: 0, expiresAt: 0, used: 0, usedAtRequest: 0, usedAtInterval: 0 },
        ...{ shortfall: 0, expected: 0, offers: [] },
      });
    }
  }

  /**
   * Spends one from the lease of a limit. If there is none, the demand is reported to the holder.
   *
   * @returns true if it may be spent
   * @example
   * ```ts
   * const mayRetry = leases.take('retries:chat', timers.now());
   * ```
   */
  take(key: string, now: ports.Milliseconds): boolean {
    const limit = this.limits.get(key);
    if (limit === undefined) {
      return false;
    }
    this.checkClock(now);
    if (limit.remaining >= 1 && now < limit.expiresAt) {
      limit.remaining -= 1;
      limit.used += 1;
      this.options.metrics.count('limits.borrowed');
      return true;
    }
    limit.shortfall += 1;
    this.options.metrics.count('limits.short');
    return false;
  }

  /**
   * Amount of a limit that this entry may spend without a lease: its static share, or what it has kept of it.
   *
   * @param entries - number of entries that divide it, 1 or more
   * @returns an amount; an integer if something is offered, otherwise it may be fractional
   * @example
   * ```ts
   * const share = leases.staticShare('retries:chat', 75, timers.now()); // 1.57, or 1 while the rest is offered
   * ```
   */
  staticShare(key: string, entries: number, now: ports.Milliseconds): number {
    const limit = this.limits.get(key);
    if (limit === undefined) {
      return 0;
    }
    const { amount, window } = limit.limit;
    const share = (limitParts.STATIC_PART * amount) / entries;
    if (this.isNew(window, now)) {
      // The former process of this entry may have offered as much as is allowed.
      const kept = limitParts.minimumKept(amount, entries);
      return kept === 0 ? share : kept;
    }
    const offered = this.offeredOf(limit, now);
    return offered === 0 ? share : limitParts.wholePart(limitParts.entitlement(amount, entries) - offered);
  }

  private isNew(window: ports.Milliseconds, now: ports.Milliseconds): boolean {
    return now - this.startedAt < leaseMessages.offerDuration(window);
  }

  /** After a step of the clock, a lease would last too long or an offer end too early: the state of a start is safe. */
  private checkClock(now: ports.Milliseconds): void {
    if (now < this.lastNow || now - this.lastNow > MAXIMUM_STEP) {
      this.options.log.warn('limitClockStep', { from: Math.round(this.lastNow), to: Math.round(now) });
      this.startedAt = now;
      for (const limit of this.limits.values()) {
        limit.remaining = 0;
      }
      this.sequence += 1;
      this.sentAt = Number.NEGATIVE_INFINITY;
      this.newest = undefined;
    }
    this.lastNow = now;
  }

  /** Amount promised to holders: the largest promise to each of them, since each may have lent it. */
  private offeredOf(limit: Limit, now: ports.Milliseconds, exceptTo?: string): number {
    limit.offers = limit.offers.filter(({ until }) => now < until);
    const byHolder = new Map<string, number>();
    for (const { holder, amount } of limit.offers) {
      if (holder !== exceptTo) {
        byHolder.set(holder, Math.max(byHolder.get(holder) ?? 0, amount));
      }
    }
    return [...byHolder.values()].reduce((sum, amount) => sum + amount, 0);
  }

  private updateDemand(): void {
    for (const limit of this.limits.values()) {
      const demand = limit.shortfall + limit.used - limit.usedAtInterval;
      const average = limit.expected + DEMAND_WEIGHT * (demand - limit.expected);
      // A burst is met with the next request; one use of it may have been a single one.
      limit.expected = Math.max(average, demand - 1);
      limit.shortfall = 0;
      limit.usedAtInterval = limit.used;
    }
  }

  private sendIfDue(): void {
    const now = this.options.timers.now();
    this.checkClock(now);
    const sinceLast = now - this.sentAt;
    if (sinceLast < (this.unanswered < UNANSWERED_LIMIT ? REQUEST_INTERVAL : UNANSWERED_INTERVAL)) {
      return;
    }
    const limits = [...this.limits.values()];
    const isUrgent = limits.some(
      (limit) => wantedOf(limit) + limit.remaining + limit.used - limit.usedAtRequest > 0,
    );
    const isOffering = sinceLast >= OFFER_INTERVAL && limits.some((limit) => limit.staticUse(now).isActive);
    if (!isUrgent && !isOffering) {
      return;
    }
    this.sendRequest(now);
  }

  private sendRequest(now: ports.Milliseconds): void {
    this.sequence += 1;
    this.sentAt = now;
    const { sequence, epoch, newest } = this;
    const leases: leaseMessages.LeaseDemand[] = [];
    for (const [key, limit] of this.limits) {
      const demand = this.demandOf(key, limit, now);
      if (demand !== undefined) {
        leases.push(demand);
      }
    }
    const request: leaseMessages.LeaseRequest = {
      ...{ entry: this.options.entry, epoch, sequence, leases },
      ...(newest !== undefined && { holder: newest.holder, stamp: newest.stamp }),
    };
    this.options.send(request, REQUEST_TIMEOUT, (answer) => {
      if (sequence === this.sequence) {
        this.onAnswer(answer, now);
      }
    });
  }

  /** Ends the lease of a limit and states what is needed or can be spared; undefined if there is nothing to state. */
  private demandOf(
    key: string,
    limit: Limit,
    now: ports.Milliseconds,
  ): leaseMessages.LeaseDemand | undefined {
    const { used } = limit;
    const wanted = wantedOf(limit);
    const { amount, window } = limit.limit;
    const { entries, variance, margin, ...use } = limit.staticUse(now);
    const offered = this.offer(limit, entries, use, now);
    if (wanted + limit.remaining + used - limit.usedAtRequest === 0 && offered === undefined) {
      return undefined;
    }
    limit.remaining = 0;
    limit.usedAtRequest = used;
    return {
      ...{ key, limit: amount, window, wanted, used, entries },
      ...(offered !== undefined && { offered: Math.floor(offered * 100) / 100 }),
      ...(variance > 0 && {
        variance: Math.ceil(variance * 100) / 100,
        margin: Math.floor(margin * 100) / 100,
      }),
    };
  }

  /** Promises the holder what this entry does not use of its entitlement; undefined if there is nothing to offer. */
  private offer(
    limit: Limit,
    entries: number,
    { used, isActive }: Pick<StaticUse, 'used' | 'isActive'>,
    now: ports.Milliseconds,
  ): number | undefined {
    const { newest } = this;
    const { amount, window } = limit.limit;
    const least = entries < 1 ? 0 : limitParts.minimumKept(amount, entries);
    // Offers to a holder that has stopped answering would keep the share from being used.
    const isHolderSilent = this.unanswered >= UNANSWERED_LIMIT;
    if (newest === undefined || isHolderSilent || least === 0 || !isActive || this.isNew(window, now)) {
      return undefined;
    }
    const available = limitParts.entitlement(amount, entries) - this.offeredOf(limit, now, newest.holder);
    const kept = Math.max(least, Math.ceil(used));
    // What was offered before stays unused for longer, so it is offered again.
    const promised = this.offeredOf(limit, now) - this.offeredOf(limit, now, newest.holder);
    const spare = Math.max(available - kept, Math.min(promised, available - least));
    if (spare <= 0) {
      return undefined;
    }
    const until = now + leaseMessages.offerDuration(window);
    limit.offers = limit.offers.filter((other) => other.holder !== newest.holder || other.amount > spare);
    limit.offers.push({ holder: newest.holder, amount: spare, until });
    return spare;
  }

  private onAnswer(answer: leaseMessages.LeaseAnswer | undefined, sentAt: ports.Milliseconds): void {
    const now = this.options.timers.now();
    this.checkClock(now);
    if (answer === undefined) {
      this.unanswered += 1;
      if (this.unanswered === UNANSWERED_LIMIT) {
        this.options.log.info('limitHolderLost', { holder: this.newest?.holder });
      }
      return;
    }
    if (this.newest?.holder !== answer.holder) {
      this.options.log.info('limitHolderFound', { holder: answer.holder });
    }
    this.unanswered = 0;
    this.newest = { holder: answer.holder, stamp: answer.stamp };
    for (const { key, granted, ttl } of answer.leases) {
      const limit = this.limits.get(key);
      if (limit !== undefined) {
        limit.remaining = granted;
        limit.expiresAt = sentAt + Math.min(ttl, leaseMessages.LEASE_TTL);
      }
    }
  }
}
