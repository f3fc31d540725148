/**
 * Timers of a node. Services schedule work here instead of on the scheduler, so that stopping the node cancels all of its
 * timers.
 */
import type * as ports from './ports.js';

/** Creates timers and cancels all of them on `stop`. */
export interface TimerService {
  /** Milliseconds on the monotonic clock. */
  now(): ports.Milliseconds;
  /** Runs once after a delay. */
  after(delay: ports.Milliseconds, run: () => void): ports.Cancel;
  /** Runs periodically; `interval` is called for each run, so that the period may vary or include jitter. */
  every(interval: () => ports.Milliseconds, run: () => void): ports.Cancel;
  /** Cancels all timers; none fires afterwards, and new ones are ignored. */
  stop(): void;
}

/**
 * Creates a timer service over a clock and a scheduler.
 *
 * @param clock - source of the time
 * @param scheduler - runs functions after a delay
 * @example
 * ```ts
 * const timers = timerService.create(ports.clock, ports.scheduler);
 * const cancel = timers.every(() => 1000, () => sendHeartbeat());
 * ```
 */
export function create(clock: ports.Clock, scheduler: ports.Scheduler): TimerService {
  const active = new Set<ports.Cancel>();
  let stopped = false;

  const after = (delay: ports.Milliseconds, run: () => void): ports.Cancel => {
    if (stopped) {
      return () => undefined;
    }
    const cancelScheduled = scheduler.after(delay, () => {
      active.delete(cancel);
      run();
    });
    const cancel = (): void => {
      active.delete(cancel);
      cancelScheduled();
    };
    active.add(cancel);
    return cancel;
  };

  const every = (interval: () => ports.Milliseconds, run: () => void): ports.Cancel => {
    let cancelled = false;
    let cancelNext = after(interval(), tick);
    function tick(): void {
      run();
      if (!cancelled) {
        cancelNext = after(interval(), tick);
      }
    }
    return () => {
      cancelled = true;
      cancelNext();
    };
  };

  const stop = (): void => {
    stopped = true;
    for (const cancel of [...active]) {
      cancel();
    }
  };

  return { now: () => clock.now(), after, every, stop };
}
