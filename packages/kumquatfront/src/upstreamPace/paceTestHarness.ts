/**
 * Test harness of upstream paces: many entries that call a few plain upstreams on virtual time, and the coordinator's
 * table between them.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import type * as sendPolicy from '../backPressure/sendPolicy.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as localBalancer from '../relay/localBalancer.js';
import type * as completionForecast from './completionForecast.js';
import * as paceTable from './paceTable.js';
import * as upstreamPaces from './upstreamPaces.js';

/** Work of one call at pace 1. */
export const WORK: ports.Milliseconds = 43;

/** One-way delay of messages between processes. */
const NETWORK_DELAY: ports.Milliseconds = 5;

/** Slots of an upstream. */
const SLOTS = 6;

/**
 * - `paces`: entries learn paces and share them.
 * - `truePaces`: as `paces`, but told the true paces.
 * - `today`: the balancer without paces.
 * - `allKnown`: told the load, pace and slowdown of each upstream at this moment; no real entry can know these.
 */
export type Chooser = 'paces' | 'truePaces' | 'today' | 'allKnown';

/** Traits of the fleet. */
export interface FleetTraits {
  readonly chooser: Chooser;
  readonly paces: readonly number[];
  readonly callsPerSecond: number;
  readonly entries?: number;
  readonly seed?: number;
  /** Share of the time in which a VM takes 2.5 times as long, for about 600 ms each; 0 if none is set. */
  readonly slowShare?: number;
  /** Load that an upstream reports; the true one if not set, none if it returns undefined. */
  readonly reportOf?: (
    upstream: number,
    load: completionForecast.LoadReport,
  ) => completionForecast.LoadReport | undefined;
  /** Time by which an entry's clock is ahead of the others. */
  readonly clockOffsetOf?: (entry: number) => ports.Milliseconds;
}

/** A completed call. */
export interface CompletedCall {
  readonly upstream: number;
  readonly sentAt: ports.Milliseconds;
  readonly duration: ports.Milliseconds;
  readonly turnedAway: boolean;
}

interface Job {
  readonly done: () => void;
}

class Upstream {
  running = 0;
  slowdown = 1;
  readonly waiting: Job[] = [];
  turnsAway = false;
  instance: instanceView.Instance;
  readonly index: number;
  pace: number;

  constructor(index: number, pace: number) {
    this.index = index;
    this.pace = pace;
    this.instance = createInstance(index, 0);
  }
}

function createInstance(index: number, born: number): instanceView.Instance {
  return {
    identity: `u${index}@${born}`,
    name: `u${index}`,
    ...{ born, service: 'billing', address: `10.0.0.${index + 1}:80`, slots: SLOTS, state: 'ready' },
    dataCentre: ['a', 'b', 'c', 'd'][index % 4] ?? 'a',
    ...{ warmUpLeft: 0, sequence: 1, firstSeenAt: 0, coldUntil: 0 },
  };
}

interface Entry {
  readonly balancer: localBalancer.LocalBalancer;
  readonly paces: upstreamPaces.UpstreamPaces | undefined;
  reportedAt: ports.Milliseconds;
}

/** Fleet of entries and plain upstreams; see the module comment. */
export class PaceTestHarness {
  readonly time = new virtualTime.VirtualTime();
  readonly completed: CompletedCall[] = [];
  readonly logLines: string[] = [];
  /** Size of the largest response with the merged table. */
  largestAnswer = 0;
  /** Number of reports with sums. */
  reportCount = 0;
  /** False while no coordinator responds. */
  hasCoordinator = true;
  readonly upstreams: readonly Upstream[];
  private readonly traits: FleetTraits;
  private readonly random: ports.Random;
  /** Separate, so that all choosers get the same calls. */
  private readonly reportRandom: ports.Random;
  private readonly entries: readonly Entry[];
  private table: paceTable.PaceTable;

  constructor(traits: FleetTraits) {
    this.traits = traits;
    this.random = seededRandom.create(traits.seed ?? 1);
    this.reportRandom = seededRandom.create((traits.seed ?? 1) + 1_000);
    this.upstreams = traits.paces.map((pace, index) => new Upstream(index, pace));
    this.table = this.createTable();
    this.entries = Array.from({ length: traits.entries ?? 64 }, (_unused, index) => this.createEntry(index));
    for (const upstream of this.upstreams) {
      this.scheduleSlowdown(upstream);
    }
    this.scheduleCall();
  }

  private createTable(): paceTable.PaceTable {
    const known = (identity: string): string | undefined =>
      this.upstreams.some(({ instance }) => instance.identity === identity) ? 'billing' : undefined;
    return new paceTable.PaceTable(() => this.time.now(), known);
  }

  /** Simulates a new coordinator, which knows nothing. */
  replaceCoordinator(): void {
    this.table = this.createTable();
  }

  /** Restarts an upstream, which gets a new identity and another pace. */
  restartUpstream(index: number, pace: number): void {
    const upstream = this.upstreams[index];
    if (upstream !== undefined) {
      const { identity } = upstream.instance;
      upstream.instance = createInstance(index, this.time.now());
      upstream.pace = pace;
      for (const { balancer } of this.entries) {
        balancer.removeInstance(identity);
      }
    }
  }

  private createEntry(index: number): Entry {
    const { time, random, traits, logLines } = this;
    const now = (): number => time.now() + (traits.clockOffsetOf?.(index) ?? 0);
    const noop = (): void => undefined;
    const info = (event: string, fields?: ports.LogFields): void => {
      logLines.push(`${event} ${String(fields?.upstream)}`);
    };
    const log: ports.Log = { debug: noop, info, warn: noop, error: noop };
    const metrics: ports.Metrics = { count: noop, gauge: noop, timing: noop };
    const serviceOf = (identity: string): string | undefined =>
      this.upstreams.some(({ instance }) => instance.identity === identity) ? 'billing' : undefined;
    const hasPaces = traits.chooser === 'paces' || traits.chooser === 'truePaces';
    const paces = hasPaces
      ? new upstreamPaces.UpstreamPaces({ now, random, log, metrics, serviceOf })
      : undefined;
    const policy: Pick<sendPolicy.SendPolicy, 'exclusionFromChoice'> = {
      exclusionFromChoice: () => undefined,
    };
    const balancer = new localBalancer.LocalBalancer({
      random,
      dataCentre: ['a', 'b', 'c', 'd'][index % 4] ?? 'a',
      sendPolicy: policy as sendPolicy.SendPolicy,
      ...(paces !== undefined && { paces }),
    });
    const entry: Entry = { balancer, paces, reportedAt: Number.NEGATIVE_INFINITY };
    if (paces !== undefined) {
      paces.onObserved(() => {
        this.tellTruth(paces);
        time.after(15, () => {
          this.report(entry, paces);
        });
      });
      this.tellTruth(paces);
      time.after(this.reportRandom.next() * 250, () => {
        this.reportRegularly(entry, paces);
      });
    }
    return entry;
  }

  private reportRegularly(entry: Entry, paces: upstreamPaces.UpstreamPaces): void {
    this.report(entry, paces);
    this.time.after(250, () => {
      this.reportRegularly(entry, paces);
    });
  }

  /** Reports as the placement client does: 15 ms after a call, at most every 250 ms, and otherwise once a second. */
  private report(entry: Entry, paces: upstreamPaces.UpstreamPaces): void {
    const now = this.time.now();
    const elapsed = now - entry.reportedAt;
    const isDue = paces.hasSums ? elapsed >= 250 : paces.isInterested && elapsed >= 1_000;
    if (isDue && this.hasCoordinator) {
      entry.reportedAt = now;
      this.reportCount += 1;
      const sums = paces.takeSums();
      this.time.after(NETWORK_DELAY, () => {
        this.table.merge(sums);
        const rows = this.table.rows();
        this.largestAnswer = Math.max(this.largestAnswer, JSON.stringify({ paces: rows }).length);
        this.time.after(NETWORK_DELAY, () => {
          paces.adopt(rows);
          this.tellTruth(paces);
        });
      });
    }
  }

  private tellTruth(paces: upstreamPaces.UpstreamPaces): void {
    if (this.traits.chooser === 'truePaces') {
      paces.adopt(
        this.upstreams.map(({ instance, pace }) => [instance.identity, pace * WORK, 16, 2.5, 0, null]),
      );
    }
  }

  private exponential(mean: number): number {
    return -mean * Math.log(1 - this.random.next());
  }

  private scheduleSlowdown(upstream: Upstream): void {
    const { slowShare = 0 } = this.traits;
    if (slowShare > 0) {
      this.time.after(this.exponential((600 * (1 - slowShare)) / slowShare), () => {
        upstream.slowdown = 2.5;
        this.time.after(400 + this.random.next() * 400, () => {
          upstream.slowdown = 1;
          this.scheduleSlowdown(upstream);
        });
      });
    }
  }

  private scheduleCall(): void {
    this.time.after(this.exponential(1_000 / this.traits.callsPerSecond), () => {
      const entry = this.entries[Math.floor(this.random.next() * this.entries.length)];
      if (entry !== undefined) {
        this.call(entry);
      }
      this.scheduleCall();
    });
  }

  private chooseFor(entry: Entry, tried: ReadonlySet<string>): Upstream | undefined {
    if (this.traits.chooser === 'allKnown') {
      const timeOf = ({ running, waiting, pace, slowdown }: Upstream): number =>
        pace * slowdown * (1 + Math.max(0, running + waiting.length + 1 - SLOTS) / SLOTS);
      return [...this.upstreams].sort((left, right) => timeOf(left) - timeOf(right))[0];
    }
    const instances = this.upstreams.map(({ instance }) => instance);
    const chosen = entry.balancer.choose(instances, tried, this.time.now());
    return this.upstreams.find(({ instance }) => instance === chosen);
  }

  private call(entry: Entry, tried: ReadonlySet<string> = new Set(), startedAt = this.time.now()): void {
    const { time } = this;
    const upstream = this.chooseFor(entry, tried);
    if (upstream === undefined) {
      return;
    }
    const { instance, index } = upstream;
    const sentAt = time.now();
    entry.balancer.recordDispatch(instance, sentAt);
    const finish = (turnedAway: boolean): void => {
      const load = this.loadOf(upstream);
      time.after(NETWORK_DELAY, () => {
        entry.balancer.recordCompletion(instance.identity);
        if (load !== undefined) {
          entry.balancer.recordReportedLoad(instance.identity, load, time.now());
        }
        this.completed.push({ upstream: index, sentAt, duration: time.now() - startedAt, turnedAway });
        if (turnedAway) {
          entry.balancer.recordTurnedAway(instance);
          this.call(entry, new Set([...tried, instance.identity]), startedAt);
        } else {
          entry.balancer.recordAnswerTime(instance, time.now() - sentAt, load);
        }
      });
    };
    time.after(NETWORK_DELAY, () => {
      if (upstream.turnsAway) {
        finish(true);
      } else {
        upstream.waiting.push({
          done: () => {
            finish(false);
          },
        });
        this.startJobs(upstream);
      }
    });
  }

  private startJobs(upstream: Upstream): void {
    while (upstream.running < SLOTS) {
      const job = upstream.waiting.shift();
      if (job === undefined) {
        return;
      }
      upstream.running += 1;
      const duration = WORK * upstream.pace * upstream.slowdown * (0.8 + 0.4 * this.random.next());
      this.time.after(duration, () => {
        upstream.running -= 1;
        this.startJobs(upstream);
        job.done();
      });
    }
  }

  private loadOf(upstream: Upstream): completionForecast.LoadReport | undefined {
    const load = {
      ...{ running: upstream.running, waiting: upstream.waiting.length, slots: SLOTS },
      ...((this.traits.slowShare ?? 0) > 0 && { slowdown: upstream.slowdown }),
    };
    return this.traits.reportOf === undefined ? load : this.traits.reportOf(upstream.index, load);
  }

  /** Answered calls that were sent after a time. */
  answeredSince(since: ports.Milliseconds): readonly CompletedCall[] {
    return this.completed.filter(({ sentAt, turnedAway }) => sentAt >= since && !turnedAway);
  }

  /** Share of the calls sent to an upstream, of those sent in an interval. */
  shareOf(upstream: number, since: ports.Milliseconds, until = Number.POSITIVE_INFINITY): number {
    const sent = this.completed.filter(({ sentAt }) => sentAt >= since && sentAt < until);
    return sent.filter((call) => call.upstream === upstream).length / Math.max(1, sent.length);
  }

  /** The 95th percentile of the duration of calls that were sent after a time. */
  percentile95(since: ports.Milliseconds): ports.Milliseconds {
    const durations = this.answeredSince(since)
      .map(({ duration }) => duration)
      .sort((left, right) => left - right);
    return durations[Math.floor(durations.length * 0.95)] ?? Number.NaN;
  }
}
