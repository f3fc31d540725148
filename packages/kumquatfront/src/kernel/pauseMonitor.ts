/**
 * Detects that the process was paused: stopped, suspended, or without processor time. Requests that it reads right after
 * a pause may have waited in its sockets.
 */
import type * as ports from './ports.js';
import type * as timerService from './timerService.js';

const TICK_INTERVAL: ports.Milliseconds = 100;

/** Shortest pause that counts; below the second for which callers wait before they send a request elsewhere. */
const PAUSE_THRESHOLD: ports.Milliseconds = 500;

/** Time after a pause within which the process has read everything that had waited. */
const BACKLOG_TIME: ports.Milliseconds = 250;

/** Ports of {@link PauseMonitor}. */
export interface PauseMonitorOptions {
  readonly timers: timerService.TimerService;
  readonly clock: ports.Clock;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
}

/** Watches the clocks of one process; see the module comment. */
export class PauseMonitor {
  private readonly options: PauseMonitorOptions;
  private tickedAt: ports.Milliseconds;
  private tickedAtWall: ports.Milliseconds;
  private lastPause = { duration: 0, endedAt: Number.NEGATIVE_INFINITY };

  constructor(options: PauseMonitorOptions) {
    this.options = options;
    this.tickedAt = options.clock.now();
    this.tickedAtWall = options.clock.wall();
    options.timers.every(
      () => TICK_INTERVAL,
      () => {
        this.tick();
      },
    );
  }

  /**
   * The pause that has just ended, in milliseconds; 0 if there was none.
   *
   * @example
   * ```ts
   * if (pauses.recentPause() > 0) refuse();
   * ```
   */
  recentPause(): ports.Milliseconds {
    // The first request after a pause may be read before the timer fires.
    const current = this.currentPause();
    if (current > 0) {
      return current;
    }
    const { duration, endedAt } = this.lastPause;
    return this.options.clock.now() < endedAt + BACKLOG_TIME ? duration : 0;
  }

  private currentPause(): ports.Milliseconds {
    const { clock } = this.options;
    // The monotonic clock stands still while a machine is suspended, the wall clock does not.
    const elapsed = Math.max(clock.now() - this.tickedAt, clock.wall() - this.tickedAtWall);
    return elapsed - TICK_INTERVAL >= PAUSE_THRESHOLD ? elapsed : 0;
  }

  private tick(): void {
    const { clock, log, metrics } = this.options;
    const duration = this.currentPause();
    if (duration > 0) {
      this.lastPause = { duration, endedAt: clock.now() };
      log.warn('processPaused', { duration: Math.round(duration) });
      metrics.timing('process.pause', duration);
    }
    this.tickedAt = clock.now();
    this.tickedAtWall = clock.wall();
  }
}
