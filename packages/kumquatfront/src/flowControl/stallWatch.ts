/**
 * Lets go of a receiver that takes nothing while bytes wait for it. One that takes a little within the limit is kept, however slow it is.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';

/**
 * Least time in which a caller must take a byte. Linux shows what a caller has read in steps of up to 1.5 MB, a third of what it holds for a
 * connection: one that reads 100 kB/s takes a step in 14 s.
 */
export const MINIMUM_CALLER_STALL: ports.Milliseconds = 20_000;

/** Measurements for each time limit. */
const MEASUREMENTS = 10;

/** What a watch depends on. */
export interface StallWatchOptions {
  readonly timers: timerService.TimerService;
  /** Bytes that the receiver has taken; they never fall. */
  readonly takenBytes: () => number;
  /** Time without a byte after which the receiver is let go. */
  readonly limit: ports.Milliseconds;
  readonly onStalled: () => void;
}

/**
 * Watches a receiver for which bytes wait.
 *
 * @returns ends the watch
 * @example
 * ```ts
 * const stop = stallWatch.start({ timers, takenBytes: () => caller.takenBytes(), limit: 5_000, onStalled: abort });
 * ```
 */
export function start({ timers, takenBytes, limit, onStalled }: StallWatchOptions): ports.Cancel {
  let taken = takenBytes();
  let takenAt = timers.now();
  const cancel = timers.every(
    () => limit / MEASUREMENTS,
    () => {
      const now = timers.now();
      const latest = takenBytes();
      if (latest !== taken) {
        taken = latest;
        takenAt = now;
      } else if (now - takenAt >= limit) {
        cancel();
        onStalled();
      }
    },
  );
  return cancel;
}
