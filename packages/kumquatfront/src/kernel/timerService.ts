/**
 * The timer service: parts subscribe to the passing of time here instead of holding timers of their own,
 * so that stopping a node ends every timer it ever started.
 */
import type * as ports from './ports.js';

/** Hands out subscriptions to time. */
export interface TimerService {
  /** Milliseconds on the monotonic clock. */
  now(): ports.Milliseconds;
  /** Runs once after a delay. */
  after(delay: ports.Milliseconds, run: () => void): ports.Cancel;
  /** Runs again and again; `interval` is asked each time, so that it may vary or carry jitter. */
  every(interval: () => ports.Milliseconds, run: () => void): ports.Cancel;
  /** Ends every subscription; none fires afterwards. */
  stop(): void;
}

/**
 * Creates a timer service over a clock and a scheduler.
 *
 * @param clock - where the time comes from
 * @param scheduler - what runs functions later
 * @returns the service
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
