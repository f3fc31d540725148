/**
 * Tells what a process holds of others, by kind. A process that runs out of heap ends without a word about what filled it;
 * so it says this in its metrics, and in a log line while there is still room.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as maximum from '../utils/maximum.js';
import * as heapLevels from './heapLevels.js';
import * as liveHeap from './liveHeap.js';
import * as types from './types.js';

/** Interval between samples: a heap that fills within a second is seen several times on its way. */
const SAMPLE_INTERVAL: ports.Milliseconds = 100;

/** Part of the limit by which the holders may grow before the heap is compared with the limit out of turn. */
const GROWTH_SHARE = 1 / 64;

/** Samples for each update of the metrics. */
const SAMPLES_PER_METRIC = 10;

/** Dependencies of {@link HeldMemory}. */
export interface HeldMemoryOptions {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly readHeap: () => types.HeapReading;
  /** Starts to write what was logged, without waiting for the next turn of the event loop. */
  readonly flushLog: () => void;
}

/** What one kind holds, with the part of it that lies in the heap. */
export interface KindTotal extends types.Held {
  readonly heapBytes: number;
}

/** The live heap, compared with its limit. */
export interface HeapState {
  readonly live: number;
  readonly limit: number;
  readonly now: ports.Milliseconds;
  /** Whether a holder may be in the middle of its work. */
  readonly isWithinTurn: boolean;
  /** Time since the last major collection. */
  readonly collectionAge: ports.Milliseconds;
}

/** Totals by kind. */
export type Totals = ReadonlyMap<types.HolderKind, KindTotal>;

/** The heap and what the holders hold, at one time. */
interface Measurement {
  readonly reading: types.HeapReading;
  readonly totals: Totals;
  /** Heap that the holders account for. */
  readonly heldInHeap: number;
}

const NOTHING: KindTotal = { bytes: 0, pieces: 0, heapBytes: 0 };

/** The largest of all that is held, as far as it can be given up. */
export interface LargestOfAll extends types.LargestHeld {
  readonly kind: types.HolderKind;
  /** Heap that becomes free. */
  readonly heapBytes: number;
}

function heapBytesOf({ isText, heapBytesPerPiece }: types.Holder, held: types.Held): number {
  const { bytes, pieces, heapBytes = 0 } = held;
  return pieces * heapBytesPerPiece + (isText ? bytes : 0) + heapBytes;
}

/** What a process holds; see the module comment. */
export class HeldMemory {
  private readonly options: HeldMemoryOptions;
  private readonly holders = new Set<types.Holder>();
  private readonly live = new liveHeap.LiveHeap();
  private readonly levels = new heapLevels.HeapLevels();
  private sampleCount = 0;
  private onChecked: (state: HeapState) => void = () => undefined;
  private collectedAt: ports.Milliseconds;
  /** Growth of the heap by the holders since the last check. */
  private growth = 0;
  private readonly growthPerCheck: number;
  private isCheckPlanned = false;

  constructor(options: HeldMemoryOptions) {
    this.options = options;
    this.collectedAt = options.timers.now();
    this.growthPerCheck = options.readHeap().limit * GROWTH_SHARE;
    options.timers.every(
      () => SAMPLE_INTERVAL,
      () => {
        this.sample();
      },
    );
  }

  /**
   * Registers a holder.
   *
   * @example
   * ```ts
   * memory.register(holders.of('responses', responseMemory));
   * ```
   */
  register(holder: types.Holder): void {
    this.holders.add(holder);
    holder.onGrowth?.((growth) => {
      this.growth += heapBytesOf(holder, growth);
      this.planCheck();
    });
  }

  /**
   * Sets what is called after each check.
   *
   * @example
   * ```ts
   * memory.onCheck(({ live, limit }) => { isNear = live > 0.85 * limit; });
   * ```
   */
  onCheck(callback: (state: HeapState) => void): void {
    this.onChecked = callback;
  }

  /** Records that a major collection of the heap has just ended. */
  onMajorCollection(): void {
    this.collectedAt = this.options.timers.now();
    const measurement = this.measure();
    this.live.onMajorCollection(measurement.reading.used, measurement.heldInHeap);
    this.compare(measurement, false);
  }

  /** What frees the most heap when it is given up. */
  largest(): LargestOfAll | undefined {
    const candidates = [...this.holders].flatMap((holder): LargestOfAll[] => {
      const largest = holder.largest?.();
      const { kind } = holder;
      return largest === undefined
        ? []
        : [{ ...largest, kind, heapBytes: heapBytesOf(holder, largest.held) }];
    });
    return maximum.by(candidates, ({ heapBytes }) => heapBytes);
  }

  /** What is held now, by kind. */
  totals(): Totals {
    const totals = new Map<types.HolderKind, KindTotal>();
    for (const holder of this.holders) {
      const held = holder.held();
      const { bytes, pieces, heapBytes } = totals.get(holder.kind) ?? NOTHING;
      totals.set(holder.kind, {
        bytes: bytes + held.bytes,
        pieces: pieces + held.pieces,
        heapBytes: heapBytes + heapBytesOf(holder, held),
      });
    }
    return totals;
  }

  /** Compares the live heap with its limit if the holders have grown since they were looked at last; for use within a turn. */
  checkIfGrown(): void {
    if (this.growth >= this.growthPerCheck) {
      this.check(true);
    }
  }

  /** Compares the live heap with its limit. */
  private check(isWithinTurn: boolean): void {
    this.compare(this.measure(), isWithinTurn);
  }

  private measure(): Measurement {
    const totals = this.totals();
    const heldInHeap = [...totals.values()].reduce((sum, { heapBytes }) => sum + heapBytes, 0);
    return { reading: this.options.readHeap(), totals, heldInHeap };
  }

  private estimateLive({ reading, heldInHeap }: Measurement): number {
    return this.live.estimate(reading.used, heldInHeap);
  }

  private compare(measurement: Measurement, isWithinTurn: boolean): void {
    const { reading, totals } = measurement;
    this.growth = 0;
    const now = this.options.timers.now();
    const live = this.estimateLive(measurement);
    if (this.levels.update(live / reading.limit, now)) {
      this.report(reading, live, totals);
    }
    const collectionAge = now - this.collectedAt;
    this.onChecked({ live, limit: reading.limit, now, collectionAge, isWithinTurn });
  }

  /** A check right after growth would act on a holder in the middle of its work. */
  private planCheck(): void {
    if (this.growth >= this.growthPerCheck && !this.isCheckPlanned) {
      this.isCheckPlanned = true;
      this.options.timers.after(0, () => {
        this.isCheckPlanned = false;
        this.check(false);
      });
    }
  }

  private sample(): void {
    const measurement = this.measure();
    this.compare(measurement, false);
    this.sampleCount += 1;
    if (this.sampleCount % SAMPLES_PER_METRIC === 0) {
      this.updateMetrics(measurement);
    }
  }

  private report(reading: types.HeapReading, live: number, totals: Totals): void {
    const { log, flushLog } = this.options;
    const held = types.holderKinds.flatMap((kind): [string, number][] => {
      const { bytes, pieces } = totals.get(kind) ?? NOTHING;
      return [
        [`${kind}Bytes`, bytes],
        [`${kind}Pieces`, pieces],
      ];
    });
    const { used, limit, external, resident } = reading;
    log.warn('heapNearLimit', {
      ...{ live: Math.round(live), used, limit, external, resident },
      ...Object.fromEntries(held),
    });
    flushLog();
  }

  private updateMetrics(measurement: Measurement): void {
    const { metrics } = this.options;
    metrics.gauge('heap.used', measurement.reading.used);
    metrics.gauge('heap.limit', measurement.reading.limit);
    metrics.gauge('heap.live', this.estimateLive(measurement));
    for (const [kind, { bytes, pieces }] of measurement.totals) {
      metrics.gauge('held.bytes', bytes, { kind });
      metrics.gauge('held.pieces', pieces, { kind });
    }
  }
}
