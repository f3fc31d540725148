/**
 * Bounds the memory that holds responses which callers do not read. Without a bound, a few callers that read slowly fill
 * the memory of an entry and fail the streams of all others.
 */
import type * as heldMemoryTypes from '../heldMemory/types.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as maximum from '../utils/maximum.js';

/** Unread bytes of one streamed response above which its caller is disconnected, once it has stalled. */
export const CALLER_BOUND = 1_048_576;

const BYTES_PER_MEGABYTE = 1_048_576;

/** Share of the entry's memory that unread bytes of all callers may hold; a Node.js process needs the rest itself. */
const ENTRY_SHARE = 0.2;

/** Memory assumed for an entry that states none. */
const DEFAULT_MEMORY_MEGABYTES = 256;

/** Time for which a caller must have read nothing before it is disconnected; one that reads slowly is kept. */
const STALLED_AFTER: ports.Milliseconds = 5_000;

/** Interval between checks of an entry that does not sample its load. */
const CHECK_INTERVAL: ports.Milliseconds = 200;

/** Unread bytes from which a stream may be given up for the heap: its connection is full, so that its caller does not keep up. */
const BEHIND_FROM = 16_384;

/** Heap of the request of a stream, which ends with it, in bytes; the same as in callerBounds/heldRequests. */
const HEAP_BYTES_PER_STREAM = 24_000;

/** A response that is being sent to a caller. */
export interface Reader {
  readonly request: string;
  /** Bytes that have been written and that the caller has not read. */
  readonly unreadBytes: () => number;
  /**
   * Bytes of the write in progress on the connection that the operating system has not taken. They fall while the caller
   * reads, whereas the unread bytes fall only when a write is complete.
   */
  readonly queuedBytes: () => number;
  readonly disconnect: () => void;
}

interface TrackedReader {
  readonly reader: Reader;
  isStream: boolean;
  /** Writes since nothing was unread; an estimate of those that wait, never too low. */
  writes: number;
  unread: number;
  queued: number;
  progressAt: ports.Milliseconds;
}

/** Dependencies of {@link SlowReaders}. */
export interface SlowReadersOptions {
  readonly now: () => ports.Milliseconds;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  /** Memory of the entry; undefined if it is not stated. */
  readonly memoryMegabytes: number | undefined;
}

/** Unread responses of one entry; see the module comment. */
export class SlowReaders {
  private readonly options: SlowReadersOptions;
  private readonly entryBound: number;
  private readonly tracked = new Set<TrackedReader>();
  private reportGrowth: (growth: heldMemoryTypes.Held) => void = () => undefined;

  constructor(options: SlowReadersOptions) {
    this.options = options;
    this.entryBound =
      (options.memoryMegabytes ?? DEFAULT_MEMORY_MEGABYTES) * BYTES_PER_MEGABYTE * ENTRY_SHARE;
  }

  /**
   * Tracks a response.
   *
   * @param reader - the response
   * @returns `write`, which must run each write to a stream and returns its result, and `remove`, to be called when the response ends
   * @example
   * ```ts
   * const { write, remove } = readers.track({ request, unreadBytes, queuedBytes, disconnect });
   * write(() => outgoing.write(bytes));
   * ```
   */
  track(reader: Reader): {
    readonly write: <Result>(send: () => Result) => Result;
    readonly remove: () => void;
  } {
    const progressAt = this.options.now();
    const tracked: TrackedReader = { reader, isStream: false, writes: 0, unread: 0, queued: 0, progressAt };
    this.tracked.add(tracked);
    return {
      write: (send) => {
        // Checked before the write too: a caller that reads less than is written would otherwise never show progress.
        this.measure(tracked);
        const result = send();
        tracked.isStream = true;
        tracked.writes = tracked.unread === 0 ? 1 : tracked.writes + 1;
        tracked.unread = reader.unreadBytes();
        tracked.queued = reader.queuedBytes();
        if (tracked.unread > 0) {
          this.reportGrowth({ bytes: 0, pieces: 1 });
        }
        return result;
      },
      remove: () => {
        this.tracked.delete(tracked);
      },
    };
  }

  /** Sets what is called each time a write waits. */
  onGrowth(callback: (growth: heldMemoryTypes.Held) => void): void {
    this.reportGrowth = callback;
  }

  /** What callers have not read, with an estimate of the writes that wait. */
  held(): heldMemoryTypes.Held {
    let bytes = 0;
    let pieces = 0;
    for (const { reader, isStream, writes } of this.tracked) {
      const unread = reader.unreadBytes();
      bytes += unread;
      pieces += unread === 0 ? 0 : isStream ? writes : 1;
    }
    return { bytes, pieces };
  }

  /** The stream with the most unread bytes, if its caller does not keep up. */
  largest(): heldMemoryTypes.LargestHeld | undefined {
    const tracked = maximum.by(this.tracked, ({ isStream, reader }) => {
      const unread = isStream ? reader.unreadBytes() : 0;
      return unread >= BEHIND_FROM ? unread : 0;
    });
    if (tracked === undefined) {
      return undefined;
    }
    const { reader, writes } = tracked;
    const bytes = reader.unreadBytes();
    return {
      held: { bytes, pieces: writes, heapBytes: HEAP_BYTES_PER_STREAM },
      fields: { request: reader.request, unread: bytes },
      giveUp: () => {
        this.tracked.delete(tracked);
        reader.disconnect();
      },
    };
  }

  /**
   * Disconnects callers of streams that have stalled: those above their own bound, then those with the most unread bytes
   * until the unread bytes of all are within the bound of the entry. Complete responses count but are never cut, since
   * they must be delivered.
   */
  check(): void {
    const now = this.options.now();
    let total = 0;
    for (const tracked of this.tracked) {
      this.measure(tracked);
      total += tracked.unread;
    }
    const stalled = [...this.tracked]
      .filter(({ isStream, progressAt }) => isStream && now - progressAt >= STALLED_AFTER)
      .sort((left, right) => right.unread - left.unread);
    for (const tracked of stalled) {
      const isOverOwnBound = tracked.unread > CALLER_BOUND;
      if (isOverOwnBound || total > this.entryBound) {
        total -= tracked.unread;
        this.disconnect(tracked, isOverOwnBound ? 'caller' : 'entry');
      }
    }
  }

  private measure(tracked: TrackedReader): void {
    const unread = tracked.reader.unreadBytes();
    const queued = tracked.reader.queuedBytes();
    if (unread < tracked.unread || queued < tracked.queued || unread === 0) {
      tracked.progressAt = this.options.now();
    }
    tracked.unread = unread;
    tracked.queued = queued;
  }

  private disconnect(tracked: TrackedReader, bound: 'caller' | 'entry'): void {
    if (this.tracked.delete(tracked)) {
      const { log, metrics } = this.options;
      const { unread } = tracked;
      log.warn('slowReaderDisconnected', { request: tracked.reader.request, unread, bound });
      metrics.count('entry.slow_readers', 1, { bound });
      tracked.reader.disconnect();
    }
  }
}

/** Dependencies of {@link startChecked}. */
export interface CheckedReadersOptions extends Omit<SlowReadersOptions, 'now'> {
  readonly timers: timerService.TimerService;
}

/**
 * Creates the readers of an entry that does not sample its load, and checks them regularly.
 *
 * @example
 * ```ts
 * const readers = slowReaders.startChecked({ timers, log, metrics, memoryMegabytes: 200 });
 * ```
 */
export function startChecked({ timers, ...options }: CheckedReadersOptions): SlowReaders {
  const readers = new SlowReaders({ ...options, now: () => timers.now() });
  timers.every(
    () => CHECK_INTERVAL,
    () => {
      readers.check();
    },
  );
  return readers;
}
