/**
 * The machine's clock and timers.
 */
import type * as ports from '../kernel/ports.js';

/** The machine's clocks; the monotonic one goes on while the process is frozen. */
export const clock: ports.Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
};

/** The event loop's timers. */
export const scheduler: ports.Scheduler = {
  after: (delay, run) => {
    const timer = setTimeout(run, delay);
    return () => {
      clearTimeout(timer);
    };
  },
};
