/**
 * The end of an entry that drains until its process is killed: what is not answered shortly before is told so, since a
 * connection that a kill closes tells its caller nothing.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as types from './types.js';

/** Time before the kill at which open requests are answered, so that the answers leave the process. */
const ANSWER_TIME: ports.Milliseconds = 200;

/** Retry delay of an entry that is draining; another entry can serve the retry. */
const DRAINING_RETRY_DELAY: ports.Milliseconds = 20;

/** Refusal of a request that may still run when this entry, which drains, ends. */
export const DRAINING: types.Refusal = {
  reason: 'draining',
  message: 'this entry is draining before it stops',
  retryAfter: DRAINING_RETRY_DELAY,
};

/**
 * Refusal of a request that is open when this entry is about to be killed.
 *
 * @param mayHaveRun - true if an attempt may have run it
 * @example
 * ```ts
 * caller.refuse(plannedStop.refusalFor(possibleRuns > 0));
 * ```
 */
export function refusalFor(mayHaveRun: boolean): types.Refusal {
  const message = 'this entry stops before an upstream has responded';
  return mayHaveRun ? { reason: 'outcomeUnknown', message } : DRAINING;
}

/** Planned stop of one entry; see the module comment. */
export class PlannedStop {
  /** Time by which requests must be answered; infinite if the entry ends by itself, undefined unless it drains. */
  answersBy: ports.Milliseconds | undefined;
  private readonly callbacks = new Set<() => void>();

  constructor(
    private readonly timers: timerService.TimerService,
    private readonly log: ports.Log,
  ) {}

  /**
   * Begins the drain; later calls change nothing.
   *
   * @param grace - time until the process is killed; infinite if it ends by itself
   * @returns false if the entry drains already
   */
  begin(grace: ports.Milliseconds): boolean {
    if (this.answersBy !== undefined) {
      return false;
    }
    const timeLeft = Math.max(0, grace - ANSWER_TIME);
    this.answersBy = this.timers.now() + timeLeft;
    if (Number.isFinite(timeLeft)) {
      this.timers.after(timeLeft, () => {
        this.answerAll();
      });
    }
    return true;
  }

  /**
   * Registers a request.
   *
   * @param callback - called when the request must be answered, because the process is about to be killed
   * @returns a function that removes the callback
   */
  whenImminent(callback: () => void): ports.Cancel {
    this.callbacks.add(callback);
    return () => {
      this.callbacks.delete(callback);
    };
  }

  private answerAll(): void {
    this.log.info('stopImminent', { open: this.callbacks.size });
    for (const callback of [...this.callbacks]) {
      callback();
    }
  }
}
