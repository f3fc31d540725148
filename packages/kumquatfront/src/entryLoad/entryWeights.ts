/**
 * Weights by which control returns entries to callers. They serve fleets of entries of different capacity, and entries
 * that are slower than their stated capacity.
 *
 * The weight of an entry is its strength times a factor of at most 1, which falls while the entry is under more pressure
 * than the others. No entry is preferred because it is free now, so that callers do not herd to it.
 */
import type * as ports from '../kernel/ports.js';
import type * as entryCapacity from './entryCapacity.js';
import * as capacities from './entryCapacity.js';
import * as entryUtilization from './entryUtilization.js';

/**
 * Least reference with which the pressure on an entry is compared; it is also the pressure from which weights are used at
 * all. No factor falls while the pressure is at most {@link REDUCE_ABOVE} times it: 0.84, an event-loop lag of 79 ms.
 */
export const HIGH_PRESSURE = 0.7;

/**
 * Ratio of an entry's pressure to that of the others above which its weight falls, and below which it rises. A lower ratio
 * lets chance reduce weights.
 */
const REDUCE_ABOVE = 1.2;
const RESTORE_BELOW = 0.85;

/** Interval at which entries usually send their status. */
const STATUS_INTERVAL: ports.Milliseconds = 600;

/**
 * Largest change of a factor in one status interval. Weights rise more slowly than they fall, since callers keep addresses
 * for up to 6 s and their effect shows late. Faster changes oscillate.
 */
const MAXIMUM_REDUCTION = 1.5;
const MAXIMUM_INCREASE = 1.2;

/**
 * Least share of its strength that an entry has as weight, whatever reduces it: it still gets some callers, which show
 * when it has recovered.
 */
const MINIMUM_FACTOR = 0.1;

/** Time for which the factor of an entry is kept after its lease has expired; it may only have been unreachable. */
const RETENTION_TIME: ports.Milliseconds = 30_000;

/** Least time between two computations of the mean pressure on all entries; several status messages share one. */
const REFERENCE_INTERVAL: ports.Milliseconds = 250;

/** Weight of an entry that has just started, as a share of its full weight, and the time to reach the full weight. */
const STARTING_SHARE = 0.1;
export const STARTING_TIME: ports.Milliseconds = 3_000;

/** Age of a status after which an entry loses weight, and time in which it loses half: silence may be a failure. */
const FRESH_STATUS: ports.Milliseconds = 1_000;
const STALE_HALF_LIFE: ports.Milliseconds = 500;

/** Ratio of the strongest to the weakest entry above which strengths count as different; capacities are rounded. */
const STRENGTH_TOLERANCE = 1.05;

/** Fields of an entry's status that determine its weight. */
export interface WeightedStatus {
  readonly name: string;
  readonly capacity?: entryCapacity.CapacityFigures | undefined;
  readonly utilization?: entryUtilization.UtilizationFigures | undefined;
  readonly readyFor?: ports.Milliseconds | undefined;
  /** The utilization counts only of an entry that is ready, which an entry without a state is. */
  readonly state?: string | undefined;
}

interface EntryWeight {
  capacity: entryCapacity.CapacityFigures | undefined;
  /** Undefined if the entry reports no utilization. */
  pressure: number | undefined;
  factor: number;
  /** Time since the entry became ready when its status was recorded; infinite if it does not state it. */
  readyFor: ports.Milliseconds;
  recordedAt: ports.Milliseconds;
  /** True while the factor is low, and until it has been full for some time. */
  isReduced: boolean;
  /** Last time at which the factor was below 1. */
  limitedAt: ports.Milliseconds;
  /** Last time at which the factor was not below {@link REDUCED_FACTOR}. */
  sufficientAt: ports.Milliseconds;
}

/** Factor below which an entry counts as reduced, and the time for which it must be below, or full again. */
const REDUCED_FACTOR = 0.5;
const CHANGE_CONFIRMED_AFTER: ports.Milliseconds = 3_000;

/** Least time between two reports of reduced entries; chance reduces a few entries of a well used fleet at any time. */
const REPORT_INTERVAL: ports.Milliseconds = 5_000;

/** Weights of the entries known to one control replica; see the module comment. */
export class EntryWeights {
  private readonly entries = new Map<string, EntryWeight>();
  /** Entries whose lease has expired, with the time of that. */
  private readonly removed = new Map<
    string,
    { readonly entry: EntryWeight; readonly at: ports.Milliseconds }
  >();
  private strengths: ReadonlyMap<string, number> | undefined;
  private reference: { readonly value: number; readonly at: ports.Milliseconds } | undefined;
  private reported: readonly string[] = [];
  private reportedAt = Number.NEGATIVE_INFINITY;

  /** Records the figures of a status message. */
  record(status: WeightedStatus, now: ports.Milliseconds): void {
    const { name, capacity, utilization } = status;
    const current = this.entries.get(name);
    if (current === undefined || String(current.capacity) !== String(capacity)) {
      this.strengths = undefined;
    }
    const readyFor = plausibleReadyFor(status.readyFor);
    const predecessor = current ?? this.takeRemoved(name, now);
    // A process that restarted under the same name does not inherit the factor of its predecessor.
    const known = predecessor !== undefined && readyFor < predecessor.readyFor ? undefined : predecessor;
    const isReady = (status.state ?? 'ready') === 'ready';
    const entry: EntryWeight = {
      capacity,
      pressure: utilization === undefined || !isReady ? undefined : entryUtilization.pressure(utilization),
      factor: known?.factor ?? 1,
      readyFor,
      recordedAt: now,
      isReduced: known?.isReduced ?? false,
      limitedAt: known?.limitedAt ?? Number.NEGATIVE_INFINITY,
      sufficientAt: known?.sufficientAt ?? now,
    };
    this.entries.set(name, entry);
    if (isReady) {
      // The time for which an entry was away neither reduces nor restores its factor.
      const elapsed = known === undefined || current === undefined ? 0 : now - known.recordedAt;
      entry.factor = this.nextFactor(entry, Math.min(2, elapsed / STATUS_INTERVAL));
    }
    confirmChange(entry);
  }

  /** Removes an entry whose lease has expired; its factor is kept for a while. */
  remove(name: string, now: ports.Milliseconds): void {
    for (const [other, { at }] of this.removed) {
      if (now - at > RETENTION_TIME) {
        this.removed.delete(other);
      }
    }
    const entry = this.entries.get(name);
    if (entry !== undefined && entry.factor < 1) {
      this.removed.set(name, { entry, at: now });
    }
    this.entries.delete(name);
    this.strengths = undefined;
  }

  /** Mean pressure on some entries, weighted by strength; 0 if none reports it. */
  meanPressure(names: Iterable<string>): number {
    let sum = 0;
    let total = 0;
    for (const name of names) {
      const pressure = this.entries.get(name)?.pressure;
      if (pressure !== undefined) {
        const strength = this.strengthOf(name);
        sum += pressure * strength;
        total += strength;
      }
    }
    return total === 0 ? 0 : sum / total;
  }

  /** Whether some entries are to be drawn by weight: capacities differ, or one of the entries is under high pressure. */
  areNeeded(names: readonly string[]): boolean {
    const strengths = names.map((name) => this.strengthOf(name));
    if (Math.max(...strengths) > STRENGTH_TOLERANCE * Math.min(...strengths)) {
      return true;
    }
    return names.some((name) => {
      const entry = this.entries.get(name);
      return entry !== undefined && (entry.factor < 1 || (entry.pressure ?? 0) >= HIGH_PRESSURE);
    });
  }

  /** Weight of an entry; above 0 for every entry. */
  weightOf(name: string, now: ports.Milliseconds): number {
    const entry = this.entries.get(name);
    if (entry === undefined) {
      return 1;
    }
    const age = Math.max(0, now - entry.recordedAt);
    const started = Math.min(1, (entry.readyFor + age) / STARTING_TIME);
    const freshness = Math.min(1, 2 ** ((FRESH_STATUS - age) / STALE_HALF_LIFE));
    const startingFactor = STARTING_SHARE + (1 - STARTING_SHARE) * started;
    return this.strengthOf(name) * Math.max(MINIMUM_FACTOR, entry.factor * freshness * startingFactor);
  }

  /** Strength of an entry; see {@link capacities.strengths}. */
  strengthOf(name: string): number {
    this.strengths ??= capacities.strengths(
      new Map([...this.entries].map(([entry, { capacity }]) => [entry, capacity])),
    );
    return this.strengths.get(name) ?? 1;
  }

  private nextFactor(entry: EntryWeight, intervals: number): number {
    const ratio = (entry.pressure ?? 0) / this.referenceAt(entry.recordedAt);
    if (ratio > REDUCE_ABOVE) {
      const reduction = Math.min(MAXIMUM_REDUCTION, ratio);
      return Math.max(MINIMUM_FACTOR, entry.factor / reduction ** intervals);
    }
    if (ratio >= RESTORE_BELOW) {
      return entry.factor;
    }
    const increase = Math.min(MAXIMUM_INCREASE, RESTORE_BELOW / ratio);
    return Math.min(1, entry.factor * increase ** intervals);
  }

  /** Pressure with which that on each entry is compared. */
  private referenceAt(now: ports.Milliseconds): number {
    if (this.reference === undefined || now - this.reference.at >= REFERENCE_INTERVAL) {
      const value = Math.max(HIGH_PRESSURE, this.meanPressure(this.entries.keys()));
      this.reference = { value, at: now };
    }
    return this.reference.value;
  }

  private takeRemoved(name: string, now: ports.Milliseconds): EntryWeight | undefined {
    const removed = this.removed.get(name);
    this.removed.delete(name);
    return removed !== undefined && now - removed.at <= RETENTION_TIME ? removed.entry : undefined;
  }

  /** Entries with a reduced weight if they have changed since the last report; at most one report in 5 s. */
  takeReport(now: ports.Milliseconds): readonly string[] | undefined {
    if (now - this.reportedAt < REPORT_INTERVAL) {
      return undefined;
    }
    const reduced = [...this.entries].filter(([, entry]) => entry.isReduced).map(([name]) => name);
    if (reduced.join(' ') === this.reported.join(' ')) {
      return undefined;
    }
    this.reported = reduced;
    this.reportedAt = now;
    return reduced;
  }
}

function plausibleReadyFor(readyFor: ports.Milliseconds | undefined): ports.Milliseconds {
  return typeof readyFor === 'number' && readyFor >= 0 && readyFor < STARTING_TIME
    ? readyFor
    : Number.POSITIVE_INFINITY;
}

function confirmChange(entry: EntryWeight): void {
  const now = entry.recordedAt;
  if (entry.factor < 1) {
    entry.limitedAt = now;
  }
  if (entry.factor >= REDUCED_FACTOR) {
    entry.sufficientAt = now;
  }
  entry.isReduced = entry.isReduced
    ? now - entry.limitedAt < CHANGE_CONFIRMED_AFTER
    : now - entry.sufficientAt >= CHANGE_CONFIRMED_AFTER;
}
