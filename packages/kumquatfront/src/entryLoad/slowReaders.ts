/**
 * Bounds the memory that holds responses which callers do not read. Without a bound, a few callers that read slowly fill
 * the memory of an entry and fail the streams of all others.
 */
import type * as ports from '../kernel/ports.js';

/**
 * Unread bytes of one streamed response above which its caller is disconnected. A stream of 10 kB per second fills it in
 * 100 s, so that a caller that only pauses is not affected.
 */
export const CALLER_BOUND = 1_048_576;

/** Share of the entry's memory that unread bytes of all callers may hold; a Node.js process needs the rest itself. */
const ENTRY_SHARE = 0.2;

/** Memory assumed for an entry that states none. */
const DEFAULT_MEMORY_MEGABYTES = 256;

/** Time without progress after which a caller counts as stalled. */
const STALLED_AFTER: ports.Milliseconds = 1_000;

/** A response that is being sent to a caller. */
export interface Reader {
  readonly request: string;
  /** Bytes that have been written and that the caller has not read. */
  readonly unreadBytes: () => number;
  readonly disconnect: () => void;
}

interface TrackedReader {
  readonly reader: Reader;
  unread: number;
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

  constructor(options: SlowReadersOptions) {
    this.options = options;
    this.entryBound = (options.memoryMegabytes ?? DEFAULT_MEMORY_MEGABYTES) * CALLER_BOUND * ENTRY_SHARE;
  }

  /**
   * Tracks a response.
   *
   * @param reader - the response
   * @returns `onWrite`, to be called after each write to a stream, and `remove`, to be called when the response ends
   * @example
   * ```ts
   * const { onWrite, remove } = readers.track({ request, unreadBytes, disconnect });
   * ```
   */
  track(reader: Reader): { readonly onWrite: () => void; readonly remove: () => void } {
    const tracked: TrackedReader = { reader, unread: 0, progressAt: this.options.now() };
    this.tracked.add(tracked);
    return {
      onWrite: () => {
        const unread = reader.unreadBytes();
        if (unread > CALLER_BOUND) {
          this.disconnect(tracked, unread, 'caller');
        }
      },
      remove: () => {
        this.tracked.delete(tracked);
      },
    };
  }

  /**
   * Disconnects callers until the unread bytes of all are within the bound of the entry: stalled ones first, of those the
   * one with the most unread bytes. Complete responses count here only, because they must be delivered if memory allows.
   */
  check(): void {
    const now = this.options.now();
    let total = 0;
    for (const tracked of this.tracked) {
      const unread = tracked.reader.unreadBytes();
      if (unread < tracked.unread || unread === 0) {
        tracked.progressAt = now;
      }
      tracked.unread = unread;
      total += unread;
    }
    if (total <= this.entryBound) {
      return;
    }
    const isStalled = (tracked: TrackedReader): boolean => now - tracked.progressAt >= STALLED_AFTER;
    const candidates = [...this.tracked].sort(
      (left, right) => Number(isStalled(right)) - Number(isStalled(left)) || right.unread - left.unread,
    );
    for (const candidate of candidates) {
      if (total <= this.entryBound) {
        return;
      }
      total -= candidate.unread;
      this.disconnect(candidate, candidate.unread, 'entry');
    }
  }

  private disconnect(tracked: TrackedReader, unread: number, bound: 'caller' | 'entry'): void {
    if (this.tracked.delete(tracked)) {
      const { log, metrics } = this.options;
      log.warn('slowReaderDisconnected', { request: tracked.reader.request, unread, bound });
      metrics.count('entry.slow_readers', 1, { bound });
      tracked.reader.disconnect();
    }
  }
}
