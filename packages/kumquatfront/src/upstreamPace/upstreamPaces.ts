/**
 * Paces of plain upstreams at one entry, and the upstreams of a service whose predicted completion time is near the
 * least. The local balancer chooses among these as it does without paces.
 *
 * Load: upstreams whose paces differ by 2.4 to 1, and VMs that take 2.5 times as long for some hundred milliseconds.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as callOutcomes from './callOutcomes.js';
import * as completionForecast from './completionForecast.js';
import * as loadReports from './loadReports.js';
import * as paceEstimator from './paceEstimator.js';
import * as slowdown from './slowdown.js';
import type * as types from './types.js';

/**
 * Predicted times within this factor of the least count as equal. Other entries choose at the same time by the same
 * table; without the margin all of them would choose the same upstream.
 */
const NEAR_FACTOR = 1.2;

/** Difference of two paces, in standard errors, from which they count as different. */
const SIGNIFICANT_ERRORS = 3;

/** Paces within this factor count as equal: queueing makes equal upstreams look different by up to a fifth. */
const EQUAL_FACTOR = 1.25;

/** Share of the calls sent to an upstream that is avoided, so that its recovery is noticed. */
const PROBE_SHARE = 0.02;

/**
 * An upstream that was slow in its last answer counts as slow for this time, though its slowdown has decayed. A probe
 * of any entry ends it sooner.
 */
const SUSPICION_TIME: ports.Milliseconds = 2_000;

/** Slowdown of an upstream that was slow in its last answer; above the margin of near equals. */
const SUSPECTED_SLOWDOWN = 1.3;

/** A call that was given up counts if it took longer than this factor of the pace; shorter ones may have waited. */
const GIVEN_UP_FACTOR = 2;

/** Time without an observed call after which the entry stops asking for the merged table. */
const INTEREST_TIME: ports.Milliseconds = 30_000;

/** Minimum time between two log lines on one upstream. */
const LOG_INTERVAL: ports.Milliseconds = 1_000;

/** Dependencies of the paces. */
export interface UpstreamPacesOptions {
  readonly now: () => ports.Milliseconds;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  /** Service of an upstream; undefined if it is not known to this entry. */
  readonly serviceOf: (upstream: string) => string | undefined;
}

interface PendingSum {
  answered: number;
  time: ports.Milliseconds;
  turnedAway: number;
}

interface Prediction {
  readonly instance: instanceView.Instance;
  readonly time: ports.Milliseconds;
}

/** Calls ahead for each slot; a longer queue would outlast the timeout of a plain call, so such a report is false. */
const MAXIMUM_QUEUE_ROUNDS = 20;

/** Time of a call without the time that it waited for a slot, by the queue that the upstream reports. */
function withoutQueue(
  elapsed: ports.Milliseconds,
  load: completionForecast.LoadReport | undefined,
): ports.Milliseconds {
  if (load?.slots === undefined) {
    return elapsed;
  }
  const rounds = completionForecast.plausibleCount(load.waiting) / Math.max(1, load.slots);
  return elapsed / (1 + Math.min(MAXIMUM_QUEUE_ROUNDS, rounds));
}

/** Paces of plain upstreams at one entry; see the module comment. */
export class UpstreamPaces {
  private readonly options: UpstreamPacesOptions;
  private readonly paces: paceEstimator.PaceEstimator;
  private readonly outcomes: callOutcomes.CallOutcomes;
  private readonly loads: loadReports.LoadReports;
  private readonly pendingSums = new Map<string, PendingSum>();
  private notifyObserved: () => void = () => undefined;
  private lastObservedAt = Number.NEGATIVE_INFINITY;
  private readonly avoided = new Map<string, { isAvoided: boolean; loggedAt: ports.Milliseconds }>();

  constructor(options: UpstreamPacesOptions) {
    this.options = options;
    this.paces = new paceEstimator.PaceEstimator(options.now, paceEstimator.PLAIN_EVIDENCE_HALF_LIFE);
    this.outcomes = new callOutcomes.CallOutcomes(options.now);
    this.loads = new loadReports.LoadReports(options.now);
  }

  /** False for an upstream that has ended: calls that were open then would create its state anew. */
  private isListed(identity: string): boolean {
    return this.options.serviceOf(identity) !== undefined;
  }

  private pendingSumOf(upstream: string): PendingSum {
    const known = this.pendingSums.get(upstream) ?? { answered: 0, time: 0, turnedAway: 0 };
    this.pendingSums.set(upstream, known);
    return known;
  }

  /**
   * Records a successful call. While the upstream reports a slowdown, its time says nothing about the pace: dividing by
   * the slowdown would let an upstream that reports a false one look fast.
   */
  recordAnswer(
    { identity, service }: instanceView.Instance,
    elapsed: ports.Milliseconds,
    load: completionForecast.LoadReport | undefined,
  ): void {
    if (!this.isListed(identity)) {
      return;
    }
    this.lastObservedAt = this.options.now();
    const sum = this.pendingSumOf(identity);
    // The slowdown may have ended while the call ran.
    const wasSlow = this.minimumSlowdownOf(identity) > 0;
    this.outcomes.record(identity, 1, 0);
    if (load !== undefined) {
      this.loads.record(identity, load);
    }
    if (!wasSlow && slowdown.bounded(load?.slowdown) <= slowdown.SLOW_THRESHOLD) {
      const time = withoutQueue(elapsed, load);
      this.paces.observe(identity, service, time);
      sum.answered += 1;
      sum.time += time;
    }
    this.notifyObserved();
  }

  /**
   * Records a call that was given up without a response.
   *
   * Failure: an upstream that has become slow keeps its pace, because its late responses are cancelled after a hedge was
   * answered or at the deadline, and only its fast ones are observed.
   */
  recordGivenUp({ identity, service }: instanceView.Instance, elapsed: ports.Milliseconds): void {
    if (!this.isListed(identity)) {
      return;
    }
    const pace = this.paces.paceOf(identity, service)?.pace;
    const time = withoutQueue(elapsed, this.loads.get(identity)?.load);
    if (pace === undefined || time <= pace * GIVEN_UP_FACTOR || this.minimumSlowdownOf(identity) > 0) {
      return;
    }
    this.paces.observe(identity, service, time);
    const sum = this.pendingSumOf(identity);
    sum.answered += 1;
    sum.time += time;
    this.notifyObserved();
  }

  /** Records a call that the upstream turned away; its time and the load that it reports say nothing about its pace. */
  recordTurnedAway({ identity }: instanceView.Instance): void {
    if (!this.isListed(identity)) {
      return;
    }
    this.lastObservedAt = this.options.now();
    this.outcomes.record(identity, 0, 1);
    this.pendingSumOf(identity).turnedAway += 1;
    this.notifyObserved();
  }

  /** Registers a callback for observed calls, which a report is to follow. */
  onObserved(callback: () => void): void {
    this.notifyObserved = callback;
  }

  /** Removes an upstream that has ended or restarted. */
  removeInstance(identity: string): void {
    this.paces.remove(identity);
    this.outcomes.remove(identity);
    this.loads.remove(identity);
    this.pendingSums.delete(identity);
    this.avoided.delete(identity);
  }

  /** True while this entry calls plain upstreams, so that the merged table is of use to it. */
  get isInterested(): boolean {
    return this.options.now() - this.lastObservedAt < INTEREST_TIME;
  }

  /** True if calls were observed since the last report. */
  get hasSums(): boolean {
    return this.pendingSums.size > 0;
  }

  /** Returns what was observed since the last report, and forgets it. */
  takeSums(): readonly types.PaceSum[] {
    const sums = [...this.pendingSums].map(([upstream, { answered, time, turnedAway }]): types.PaceSum => {
      const load = this.loads.encode(upstream);
      return [upstream, answered, Math.round(time * 10) / 10, turnedAway, load];
    });
    this.pendingSums.clear();
    return sums;
  }

  /** Adopts the table that the coordinator merged from all entries; rows that are invalid are ignored. */
  adopt(rows: unknown): void {
    if (!Array.isArray(rows)) {
      return;
    }
    for (const row of rows as readonly unknown[]) {
      if (Array.isArray(row)) {
        const [upstream, mean, weight, noise, turnedAway, load] = row as readonly unknown[];
        const service = typeof upstream === 'string' ? this.options.serviceOf(upstream) : undefined;
        if (typeof upstream === 'string' && service !== undefined) {
          this.paces.adopt(upstream, service, {
            mean: Number(mean),
            weight: Number(weight),
            noise: Number(noise) / 1_000,
          });
          this.outcomes.adopt(upstream, Number(turnedAway) / 100);
          this.loads.decode(upstream, load);
        }
      }
    }
  }

  private minimumSlowdownOf(upstream: string): number {
    const known = this.loads.get(upstream);
    const wasSlow = slowdown.bounded(known?.load.slowdown) > slowdown.SLOW_THRESHOLD;
    return known !== undefined && wasSlow && known.age < SUSPICION_TIME ? SUSPECTED_SLOWDOWN : 0;
  }

  /** Paces in which differences below their uncertainty are removed; undefined unless all candidates have one. */
  private significantPaces(candidates: readonly instanceView.Instance[]): readonly number[] | undefined {
    const known = candidates.map(({ identity, service }) => this.paces.paceOf(identity, service));
    const estimates = known.filter((pace) => pace !== undefined);
    if (estimates.length < candidates.length) {
      return undefined;
    }
    const fastest = estimates.reduce((best, pace) => (pace.pace < best.pace ? pace : best));
    return estimates.map(({ pace, uncertainty }) => {
      const error = Math.hypot(uncertainty, fastest.uncertainty);
      return pace <= fastest.pace * Math.max(EQUAL_FACTOR, 1 + SIGNIFICANT_ERRORS * error)
        ? fastest.pace
        : pace;
    });
  }

  private predictions(
    candidates: readonly instanceView.Instance[],
    openCountOf: (identity: string) => number,
  ): readonly Prediction[] | undefined {
    const paces = this.significantPaces(candidates);
    if (paces === undefined) {
      return undefined;
    }
    const shares = candidates.map(({ identity }) => this.outcomes.turnedAwayShareOf(identity));
    const reports = candidates.map(({ identity }) => this.loads.get(identity));
    const isUniform = paces.every((pace) => pace === paces[0]);
    const hasSlowdown = reports.some((report) => report?.load.slowdown !== undefined);
    if (isUniform && !hasSlowdown && shares.every((share) => share === 0)) {
      return undefined;
    }
    return candidates.map((instance, index) => {
      const report = reports[index];
      const time = completionForecast.predict({
        pace: paces[index] ?? 0,
        announcedSlots: instance.slots,
        ...(report !== undefined && { report: report.load }),
        age: report?.age ?? 0,
        ownInFlight: openCountOf(instance.identity),
        turnedAwayShare: shares[index] ?? 0,
        minimumSlowdown: this.minimumSlowdownOf(instance.identity),
      });
      return { instance, time };
    });
  }

  /**
   * Reduces candidates of one service to those whose predicted completion time is near the least.
   *
   * @param candidates - upstreams that may receive the call
   * @param openCountOf - number of open calls of this entry at an upstream
   * @param mayProbe - true if the call may be sent to an upstream that is avoided
   * @returns the candidates to choose from; all of them while nothing distinguishes them
   * @example
   * ```ts
   * const near = paces.nearLeast(healthy, (identity) => open.get(identity) ?? 0, tried.size === 0);
   * ```
   */
  nearLeast(
    candidates: readonly instanceView.Instance[],
    openCountOf: (identity: string) => number,
    mayProbe: boolean,
  ): readonly instanceView.Instance[] {
    const predictions = candidates.length > 1 ? this.predictions(candidates, openCountOf) : undefined;
    if (predictions === undefined) {
      return candidates;
    }
    const limit = Math.min(...predictions.map(({ time }) => time)) * NEAR_FACTOR;
    const near = predictions.filter(({ time }) => time <= limit).map(({ instance }) => instance);
    for (const { instance, time } of predictions) {
      this.logChange(instance, time, limit);
    }
    if (near.length === candidates.length) {
      return candidates;
    }
    const { random, metrics } = this.options;
    if (mayProbe && random.next() < PROBE_SHARE) {
      metrics.count('upstreams.probes');
      return candidates.filter((instance) => !near.includes(instance));
    }
    metrics.count('upstreams.avoided');
    return near;
  }

  private logChange({ identity }: instanceView.Instance, time: number, limit: number): void {
    const now = this.options.now();
    const isAvoided = time > limit;
    const known = this.avoided.get(identity);
    if (known?.isAvoided === isAvoided || (known === undefined && !isAvoided)) {
      return;
    }
    if (known !== undefined && Math.abs(now - known.loggedAt) < LOG_INTERVAL) {
      return;
    }
    this.avoided.set(identity, { isAvoided, loggedAt: now });
    const report = this.loads.get(identity);
    this.options.log.info(isAvoided ? 'upstreamAvoided' : 'upstreamUsedAgain', {
      upstream: identity,
      predicted: Math.round(time),
      limit: Math.round(limit),
      slowdown: report?.load.slowdown,
      turnedAway: Math.round(this.outcomes.turnedAwayShareOf(identity) * 100) / 100,
    });
  }
}
