/**
 * Measures the event-loop lag and the memory of this process.
 */
import type * as entryLoad from '../entryLoad/entryLoad.js';
import type * as ports from '../kernel/ports.js';

/** Interval of the timer whose delay is measured: a quarter of the 100 ms in which a processor quota is usually given. */
const TIMER_INTERVAL: ports.Milliseconds = 25;

/** Largest lag of one timer that counts; a process that was suspended is not judged by that alone. */
const MAXIMUM_LAG: ports.Milliseconds = 250;

/**
 * Creates the probe. The lag is the time by which timers are late; a throttled processor shows in nothing else. It is
 * weighted by time, since a request meets a long delay more often than a short one.
 *
 * @param residentBytes - memory of the process
 * @example
 * ```ts
 * const probe = processLoad.create(systemTime.clock, systemTime.scheduler, () => process.memoryUsage.rss());
 * ```
 */
export function create(
  clock: ports.Clock,
  scheduler: ports.Scheduler,
  residentBytes: () => number,
): entryLoad.LoadProbe {
  let weightedLag = 0;
  let elapsed = 0;
  let lastResidentBytes = 0;
  const run = (planned: ports.Milliseconds): void => {
    const lag = Math.min(MAXIMUM_LAG, Math.max(0, clock.now() - planned));
    weightedLag += lag * (TIMER_INTERVAL + lag);
    elapsed += TIMER_INTERVAL + lag;
    scheduleNext();
  };
  const scheduleNext = (): void => {
    const planned = clock.now() + TIMER_INTERVAL;
    scheduler.after(TIMER_INTERVAL, () => {
      run(planned);
    });
  };
  scheduleNext();
  return {
    takeLag: () => {
      const lag = elapsed === 0 ? 0 : weightedLag / elapsed;
      weightedLag = 0;
      elapsed = 0;
      return lag;
    },
    residentBytes: () => {
      try {
        lastResidentBytes = residentBytes();
      } catch {
        // Reading it needs a file descriptor; while none is left, the last figure stands.
      }
      return lastResidentBytes;
    },
  };
}
