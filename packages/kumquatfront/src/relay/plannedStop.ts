/**
 * The end of an entry that drains until its process is killed: what is not answered shortly before is told so, since a
 * connection that a kill closes tells its caller nothing.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';

/** Time before the kill at which open requests are answered, so that the answers leave the process. */
const ANSWER_TIME: ports.Milliseconds = 200;

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
