/**
 * Utilization of an entry as shares of its capacity, smoothed, and rounded for status messages. It serves fleets in
 * which an entry may be several times slower than its stated capacity suggests.
 */
import type * as ports from '../kernel/ports.js';
import type * as entryCapacity from './entryCapacity.js';

/**
 * Event-loop lag at which the loop counts as half utilized. A plain call passes the event loop about four times, so
 * that this lag takes half of an objective of 125 ms.
 */
const HALF_UTILIZED_LAG: ports.Milliseconds = 15;

/** Time constant of the smoothing; a garbage collection alone must not change where callers are sent. */
const SMOOTHING_TIME: ports.Milliseconds = 1_000;

/**
 * Largest lag and largest elapsed time of one sample that count, so that a single pause of a second, of the VM or of a
 * garbage collection, does not reduce the weight of the entry for seconds.
 */
const MAXIMUM_SAMPLE_LAG: ports.Milliseconds = 250;
const MAXIMUM_SAMPLE_TIME: ports.Milliseconds = 200;

const BYTES_PER_MEGABYTE = 1_048_576;

/** Bytes per millisecond in one megabit per second. */
const BYTES_PER_MILLISECOND = 125;

/** Largest share that is reported; the event-loop lag has no natural maximum. */
const MAXIMUM_SHARE = 2;

/** Figures measured over one sampling interval. */
export interface LoadSample {
  /** Mean event-loop lag. */
  readonly lag: ports.Milliseconds;
  /** Bytes received from and sent to callers since the last sample. */
  readonly bytes: number;
  readonly openStreams: number;
  readonly openConnections: number;
  readonly residentBytes: number;
}

/** Shares of the capacity in use; 1 is all. Undefined where the capacity is not stated. */
export interface Utilization {
  readonly eventLoop: number;
  readonly link: number | undefined;
  /** Descriptors of callers' connections, and of one upstream connection for each open request. */
  readonly descriptors: number | undefined;
  readonly memory: number | undefined;
}

/** Event loop, link, descriptors and memory in hundredths of the capacity; null where no capacity is stated. */
export type UtilizationFigures = readonly (number | null)[];

/** Smoothed utilization of one entry; see the module comment. */
export class EntryUtilization {
  private readonly capacity: entryCapacity.EntryCapacity;
  private sampledAt: ports.Milliseconds;
  private lag: ports.Milliseconds = 0;
  /** Smoothed bytes per millisecond. */
  private rate = 0;
  private descriptorCount = 0;
  private residentBytes = 0;

  constructor(capacity: entryCapacity.EntryCapacity, now: ports.Milliseconds) {
    this.capacity = capacity;
    this.sampledAt = now;
  }

  /** Adds the figures measured since the last sample. */
  add(sample: LoadSample, now: ports.Milliseconds): void {
    const elapsed = Math.max(1, now - this.sampledAt);
    this.sampledAt = now;
    const share = 1 - Math.exp(-Math.min(MAXIMUM_SAMPLE_TIME, elapsed) / SMOOTHING_TIME);
    this.lag += share * (Math.min(MAXIMUM_SAMPLE_LAG, Math.max(0, sample.lag)) - this.lag);
    this.rate += share * (sample.bytes / elapsed - this.rate);
    // Descriptors and memory fail at their limit at once, so that smoothing would hide a failure.
    this.descriptorCount = sample.openConnections + sample.openStreams;
    this.residentBytes = sample.residentBytes;
  }

  /** Utilization now. */
  get current(): Utilization {
    const { descriptors, linkMegabitsPerSecond, memoryMegabytes } = this.capacity;
    const shareOf = (used: number, limit: number | undefined): number | undefined =>
      limit === undefined ? undefined : used / limit;
    return {
      eventLoop: this.lag / (this.lag + HALF_UTILIZED_LAG),
      link: shareOf(
        this.rate,
        linkMegabitsPerSecond === undefined ? undefined : linkMegabitsPerSecond * BYTES_PER_MILLISECOND,
      ),
      descriptors: shareOf(this.descriptorCount, descriptors),
      memory: shareOf(
        this.residentBytes,
        memoryMegabytes === undefined ? undefined : memoryMegabytes * BYTES_PER_MEGABYTE,
      ),
    };
  }
}

/**
 * Encodes a utilization for a status message.
 *
 * @param utilization - shares of the capacity
 * @returns hundredths of the capacity
 * @example
 * ```ts
 * entryUtilization.encode({ eventLoop: 0.123, link: 0.4, descriptors: 0.02, memory: undefined }); // [12, 40, 2, null]
 * ```
 */
export function encode(utilization: Utilization): UtilizationFigures {
  const { eventLoop, link, descriptors, memory } = utilization;
  return [eventLoop, link, descriptors, memory].map((share) =>
    share === undefined ? null : Math.round(Math.min(MAXIMUM_SHARE, share) * 100),
  );
}

/**
 * Computes the pressure on an entry: the highest of its shares of the event loop, the link and the descriptors.
 *
 * Memory is no part of it. Node.js keeps memory after a burst, so that an entry would lose weight although it is idle;
 * an entry whose memory grows close to its limit closes connections and refuses generations instead.
 *
 * @param figures - utilization as received; implausible figures are ignored or bounded
 * @returns the pressure, from 0 to 2
 * @example
 * ```ts
 * entryUtilization.pressure([12, 40, 2, 61]); // 0.4
 * ```
 */
export function pressure(figures: UtilizationFigures): number {
  const [eventLoop = 0, link = 0, descriptors = 0] = figures.map((figure) =>
    typeof figure === 'number' && Number.isFinite(figure)
      ? Math.min(MAXIMUM_SHARE, Math.max(0, figure / 100))
      : 0,
  );
  return Math.max(eventLoop, link, descriptors);
}
