/**
 * Clock and scheduler of the operating system.
 */
import type * as ports from '../kernel/ports.js';

/** Monotonic and wall clock; the monotonic clock continues while the process is suspended. */
export const clock: ports.Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
};

/** Scheduler based on the timers of the event loop. */
export const scheduler: ports.Scheduler = {
  after: (delay, run) => {
    const timer = setTimeout(run, delay);
    return () => {
      clearTimeout(timer);
    };
  },
};
