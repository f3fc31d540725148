/**
 * Pace at which connections are read while requests hold much memory. A read is an object of up to 64 KiB that the garbage collector releases
 * some time after its bytes are parsed, refused or ignored. Without a pace, a crowd fills that time with reads that no bound counts.
 */
import type * as ports from '../kernel/ports.js';

const INTERVAL: ports.Milliseconds = 10;

/** Size of the largest read. */
const READ_BYTES = 65_536;

/** Size of a read below which its connection goes on: it has sent an ordinary request, not one part of many. */
const SMALL_READ_BYTES = 16_384;

/** The pace of all connections of a process; see the module comment. */
export class ReadPace {
  /** Bytes of the interval for which no connection may read yet. */
  private bytesLeft = 0;
  private readonly waiting: (() => void)[] = [];
  private isIntervalOpen = false;

  /**
   * @param scheduler - ends the intervals
   * @param bytesPerInterval - bytes that are read in an interval of 10 ms
   */
  constructor(
    private readonly scheduler: ports.Scheduler,
    private readonly bytesPerInterval: number,
  ) {}

  /**
   * Counts a read.
   *
   * @param bytes - size of the read
   * @param resume - called when its connection may be read again
   * @returns true if the connection must not be read until then
   * @example
   * ```ts
   * const isPaused = pace.count(bytes.length, startReading);
   * ```
   */
  count(bytes: number, resume: () => void): boolean {
    if (bytes < SMALL_READ_BYTES) {
      return false;
    }
    if (!this.isIntervalOpen) {
      this.openInterval();
      this.bytesLeft -= bytes;
    }
    // While connections wait there are no bytes left, so that nobody passes them.
    if (this.bytesLeft > 0) {
      this.bytesLeft -= READ_BYTES;
      return false;
    }
    this.waiting.push(resume);
    return true;
  }

  private openInterval(): void {
    this.isIntervalOpen = true;
    this.bytesLeft = this.bytesPerInterval;
    this.scheduler.after(INTERVAL, () => {
      this.isIntervalOpen = false;
      if (this.waiting.length > 0) {
        this.openInterval();
        this.resumeWaiting();
      }
    });
  }

  private resumeWaiting(): void {
    while (this.bytesLeft > 0 && this.waiting.length > 0) {
      this.bytesLeft -= READ_BYTES;
      this.waiting.shift()?.();
    }
  }
}
