/**
 * Lends parts of shared limits to entries that ask for them, and remembers what is lent until it counts no more.
 *
 * Load: limits of which a few entries need most, while the others leave their shares unused. The holder lends its own
 * part of each limit and what entries have offered. The bound: in any window, what is spent of its leases is at most
 * the sum of both, because
 * - a lease counts from its grant until one window after its expiry, or after the report that ended it;
 * - a holder lends nothing until everything that a former holder may have lent counts no more;
 * - an offer backs only leases that count no longer than the entry keeps to the offer.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as entryCountHistory from './entryCountHistory.js';
import * as leaseMessages from './leaseMessages.js';
import * as limitParts from './limitParts.js';

/** Interval at which expired leases are removed and the clock is checked. */
const TICK_INTERVAL: ports.Milliseconds = 250;

/** A larger step between two ticks means that the clock has jumped or the process stood still. */
const MAXIMUM_STEP: ports.Milliseconds = 2_000;

/** Interval of the summary log line of each limit while it is lent from. */
const SUMMARY_INTERVAL: ports.Milliseconds = 1_000;

/** A lower limit stated by an entry stays in force this long after an entry has stated it last. */
const LIMIT_RETENTION: ports.Milliseconds = 60_000;

/** Bound on the number of limits, against entries that send wrong keys. */
const MAXIMUM_KEYS = 1_000;

/** An entry that asked within this time is expected to ask again; above the interval of its requests. */
const DEMAND_RETENTION: ports.Milliseconds = 700;

/** Dependencies of the ledger. */
export interface LeaseLedgerOptions {
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  /** True while this process is the only one that may lend, as far as it can know. */
  readonly mayLend: () => boolean;
  /** Number of entries that share the limits; 0 while unknown. */
  readonly entryCount: () => number;
}

interface Borrower {
  sequence: number;
  /** Amount that the process had spent of leases at its last request. */
  used: number;
  /** Open lease; its amount is 0 if there is none. */
  lent: number;
  expiresAt: ports.Milliseconds;
  /** Unused static share that backs leases until `offeredUntil`. */
  offered: number;
  offeredUntil: ports.Milliseconds;
  variance: number;
  margin: number;
  wantedAt: ports.Milliseconds;
  seenAt: ports.Milliseconds;
}

interface Limit {
  amount: number;
  window: ports.Milliseconds;
  statedAt: ports.Milliseconds;
  /** Number of entries that share the limit, as stated by entries. */
  readonly stated: { entries: number; at: ports.Milliseconds };
  /** By process of an entry. */
  readonly borrowers: Map<string, Borrower>;
  /** Amounts that were spent, or may have been, and the times until which they count. */
  spent: { readonly amount: number; readonly until: ports.Milliseconds }[];
  summary: { asked: number; granted: number; at: ports.Milliseconds };
}

/** Highest number of entries that a request may state; bounds the work of one request. */
const MAXIMUM_ENTRIES = 10_000;

function isAmount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isValid(demand: leaseMessages.LeaseDemand): boolean {
  const { limit, window, wanted, used, offered = 0, entries = 0, variance = 0, margin = 0 } = demand;
  return (
    typeof demand.key === 'string' &&
    [limit, window, wanted, used, offered, entries, variance, margin].every(isAmount) &&
    limit > 0 &&
    window > 0 &&
    entries <= MAXIMUM_ENTRIES
  );
}

/** Holder of leases; see the module comment. */
export class LeaseLedger {
  private readonly options: LeaseLedgerOptions;
  /** Differs in each period of lending, so that offers of an earlier period back nothing. */
  private identity: string;
  private readonly entries: entryCountHistory.EntryCountHistory;
  private limits = new Map<string, Limit>();
  /** Time since which this process may lend without interruption; undefined while it may not. */
  private holderSince: ports.Milliseconds | undefined;
  private lastNow: ports.Milliseconds;

  constructor(options: LeaseLedgerOptions) {
    this.options = options;
    this.identity = options.random.identity();
    this.entries = new entryCountHistory.EntryCountHistory(options.entryCount);
    this.lastNow = options.timers.now();
    options.timers.every(
      () => TICK_INTERVAL,
      () => {
        this.update();
      },
    );
  }

  /**
   * Handles a request of an entry.
   *
   * @returns what the entry may spend; nothing for a request that a later one has overtaken
   * @example
   * ```ts
   * reply(results.Ok(ledger.lend(parameters as leaseMessages.LeaseRequest)));
   * ```
   */
  lend(request: leaseMessages.LeaseRequest): leaseMessages.LeaseAnswer {
    const now = this.update();
    const leases = request.leases.filter(isValid).map((demand) => ({
      key: demand.key,
      granted: this.grant(request, demand, now),
      ttl: leaseMessages.LEASE_TTL,
    }));
    return { holder: this.identity, stamp: now, leases };
  }

  /** Amount of a limit that is lent or counts as spent; for tests. */
  outstanding(key: string): number {
    const limit = this.limits.get(key);
    return limit === undefined ? 0 : this.outstandingOf(limit);
  }

  private update(): ports.Milliseconds {
    const { timers, log, mayLend } = this.options;
    const now = timers.now();
    const hasJumped = now < this.lastNow || now - this.lastNow > MAXIMUM_STEP;
    this.lastNow = now;
    this.entries.countAt(now);
    if (!mayLend() || hasJumped) {
      if (this.holderSince !== undefined) {
        log.info('limitLendingEnded', { cause: hasJumped ? 'clockStep' : 'notLeader' });
      }
      this.holderSince = undefined;
    }
    if (this.holderSince === undefined && mayLend()) {
      this.holderSince = now;
      this.identity = this.options.random.identity();
      this.limits = new Map();
      log.info('limitLendingBegins', { holder: this.identity });
    }
    for (const limit of this.limits.values()) {
      this.expire(limit, now);
    }
    return now;
  }

  private grant(
    request: leaseMessages.LeaseRequest,
    demand: leaseMessages.LeaseDemand,
    now: ports.Milliseconds,
  ): number {
    const limit = this.limitOf(demand, now);
    if (limit === undefined || this.holderSince === undefined) {
      return 0;
    }
    const borrower = this.borrowerOf(limit, request, demand, now);
    if (request.sequence <= borrower.sequence) {
      return 0;
    }
    borrower.sequence = request.sequence;
    borrower.seenAt = now;
    this.settle(limit, borrower, demand, now);
    this.recordOffer(limit, borrower, request, demand);
    const wanted = Math.floor(demand.wanted);
    borrower.wantedAt = wanted > 0 ? now : Number.NEGATIVE_INFINITY;
    const granted = Math.min(wanted, this.fairAmount(limit, now));
    if (granted > 0) {
      borrower.lent = granted;
      borrower.expiresAt = now + leaseMessages.withDrift(leaseMessages.LEASE_TTL);
    }
    this.record(demand.key, limit, wanted, granted, now);
    return granted;
  }

  /** State of a limit. If entries state different values, the strictest of the last minute is used. */
  private limitOf(demand: leaseMessages.LeaseDemand, now: ports.Milliseconds): Limit | undefined {
    const known = this.limits.get(demand.key);
    if (known === undefined) {
      if (this.limits.size >= MAXIMUM_KEYS) {
        return undefined;
      }
      const limit: Limit = {
        amount: demand.limit,
        window: demand.window,
        statedAt: now,
        stated: { entries: 0, at: now },
        borrowers: new Map(),
        spent: [],
        summary: { asked: 0, granted: 0, at: now },
      };
      this.limits.set(demand.key, limit);
      return limit;
    }
    const isExpired = now - known.statedAt > LIMIT_RETENTION;
    if (isExpired || (demand.limit <= known.amount && demand.window >= known.window)) {
      known.statedAt = now;
    }
    known.amount = isExpired ? demand.limit : Math.min(known.amount, demand.limit);
    known.window = isExpired ? demand.window : Math.max(known.window, demand.window);
    return known;
  }

  private borrowerOf(
    limit: Limit,
    { entry, epoch }: leaseMessages.LeaseRequest,
    { used }: leaseMessages.LeaseDemand,
    now: ports.Milliseconds,
  ): Borrower {
    const name = `${entry} ${epoch}`;
    const borrower = limit.borrowers.get(name) ?? {
      sequence: Number.NEGATIVE_INFINITY,
      used,
      lent: 0,
      expiresAt: 0,
      offered: 0,
      offeredUntil: Number.NEGATIVE_INFINITY,
      variance: 0,
      margin: 0,
      wantedAt: Number.NEGATIVE_INFINITY,
      seenAt: now,
    };
    limit.borrowers.set(name, borrower);
    return borrower;
  }

  /** Ends the open lease: what was spent of it counts for one window, and the rest can be lent again at once. */
  private settle(
    limit: Limit,
    borrower: Borrower,
    { used }: leaseMessages.LeaseDemand,
    now: ports.Milliseconds,
  ): void {
    const spent = Math.min(borrower.lent, Math.max(0, used - borrower.used));
    if (spent > 0) {
      limit.spent.push({ amount: spent, until: now + leaseMessages.withDrift(limit.window) });
    }
    borrower.lent = 0;
    borrower.used = used;
  }

  private recordOffer(
    limit: Limit,
    borrower: Borrower,
    { holder, stamp }: leaseMessages.LeaseRequest,
    { offered, window, entries = 0, variance = 0, margin = 0 }: leaseMessages.LeaseDemand,
  ): void {
    const { stated } = limit;
    if (entries >= stated.entries || this.lastNow - stated.at > LIMIT_RETENTION) {
      stated.entries = entries;
      stated.at = this.lastNow;
    }
    if (offered === undefined || holder !== this.identity || !isAmount(stamp) || window < limit.window) {
      return;
    }
    const most = limitParts.entitlement(limit.amount, Math.max(1, entries));
    borrower.offered = Math.min(offered, most);
    borrower.variance = variance;
    borrower.margin = margin;
    // The offer was made after the stamp, and lasts until leases of this period count no more.
    borrower.offeredUntil = stamp + leaseMessages.OFFER_LENDABLE;
  }

  private outstandingOf(limit: Limit): number {
    let sum = 0;
    for (const { lent } of limit.borrowers.values()) {
      sum += lent;
    }
    for (const { amount } of limit.spent) {
      sum += amount;
    }
    return sum;
  }

  /** Amount that may be lent now, divided between the entries that have asked within the last requests. */
  private fairAmount(limit: Limit, now: ports.Milliseconds): number {
    const since = this.holderSince ?? now;
    if (now - since < leaseMessages.withDrift(leaseMessages.LEASE_TTL + limit.window)) {
      return 0;
    }
    let askers = 0;
    for (const { wantedAt } of limit.borrowers.values()) {
      askers += now - wantedAt <= DEMAND_RETENTION ? 1 : 0;
    }
    const free = Math.floor(this.lendable(limit, now) - this.outstandingOf(limit));
    return free < 1 ? 0 : Math.max(1, Math.floor(free / Math.max(1, askers)));
  }

  /** Own part and offers, less the margin for entries that round their shares. */
  private lendable({ amount, borrowers, stated }: Limit, now: ports.Milliseconds): number {
    const entries = Math.max(this.entries.countAt(now), stated.entries);
    let offered = 0;
    let offering = 0;
    let variance = 0;
    let margin = 0;
    for (const borrower of borrowers.values()) {
      if (now <= borrower.offeredUntil) {
        offered += borrower.offered;
        variance += borrower.variance;
        margin += borrower.margin;
        offering += 1;
      }
    }
    const silent = Math.max(0, entries - offering);
    const reserve = limitParts.reserve(amount, Math.max(1, entries), silent, variance);
    const fromOffers = offered - Math.max(0, reserve - margin);
    return limitParts.holderPart(amount, entries) + Math.max(0, fromOffers);
  }

  private expire(limit: Limit, now: ports.Milliseconds): void {
    for (const [name, borrower] of limit.borrowers) {
      if (borrower.lent > 0 && now >= borrower.expiresAt) {
        const until = borrower.expiresAt + leaseMessages.withDrift(limit.window);
        limit.spent.push({ amount: borrower.lent, until });
        borrower.lent = 0;
      }
      if (now - borrower.seenAt > LIMIT_RETENTION) {
        limit.borrowers.delete(name);
      }
    }
    limit.spent = limit.spent.filter(({ until }) => now <= until);
  }

  private record(key: string, limit: Limit, asked: number, granted: number, now: ports.Milliseconds): void {
    const { log, metrics } = this.options;
    const { summary } = limit;
    summary.asked += asked;
    summary.granted += granted;
    if (granted > 0) {
      metrics.count('limits.lent', granted);
    }
    if (summary.asked > 0 && now - summary.at >= SUMMARY_INTERVAL) {
      const { asked: sumAsked, granted: sumGranted } = summary;
      log.info('limitLent', {
        key,
        asked: sumAsked,
        granted: sumGranted,
        counted: this.outstandingOf(limit),
      });
      limit.summary = { asked: 0, granted: 0, at: now };
    }
  }
}
