/**
 * Slows a source down to the pace of its receiver: it is not read while the receiver cannot take more, and read again when the receiver has
 * taken what waits. The time of these pauses is the doing of the receiver, and must not count as silence of the source.
 */
import type * as ports from '../kernel/ports.js';

/** What sends faster than its receiver may read. */
export interface Source {
  /** Stops reading; what has been read is still passed on. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Reads what is left without a pause of the process; nothing if absent. */
  readonly readToEnd?: () => void;
}

/** Dependencies of {@link FlowControl}. */
export interface FlowControlOptions {
  readonly now: () => ports.Milliseconds;
  /** The receiver cannot take more; called once until `onDrained`. */
  readonly onBlocked?: () => void;
  /**
   * The receiver has taken what waited. Called before the source is read again, which may at once report what was read before the pause, and
   * its end.
   *
   * @param wasPaused - whether the present source had to wait
   */
  readonly onDrained?: (wasPaused: boolean) => void;
}

/**
 * Flow of one stream from its present source to its receiver; see the module comment.
 *
 * @example
 * ```ts
 * const flow = new flowControl.FlowControl({ now: () => timers.now() });
 * flow.attach(exchange);
 * flow.recordWrite(outgoing.write(bytes));
 * outgoing.on('drain', () => flow.recordDrain());
 * ```
 */
export class FlowControl {
  private source: Source | undefined;
  private isBlocked = false;
  private isLifted = false;
  /** Whether the source was told to pause. */
  private isStopped = false;
  /** Whether the process does not read the source for a reason of its own. */
  private isHeld = false;
  /** Time at which the pause of the source began; undefined while it is read. */
  private pausedAt: ports.Milliseconds | undefined;
  private pastPauses: ports.Milliseconds = 0;

  constructor(private readonly options: FlowControlOptions) {}

  /** True while the source is not read. */
  get isPaused(): boolean {
    return this.pausedAt !== undefined;
  }

  /** Time for which sources were paused so far. */
  get pausedTime(): ports.Milliseconds {
    return this.pastPauses + (this.pausedAt === undefined ? 0 : this.options.now() - this.pausedAt);
  }

  /** A clock that stands still while the source is not read: what it measures is the doing of the source. */
  readingTime(): ports.Milliseconds {
    return this.options.now() - this.pausedTime;
  }

  /** Sets the source from now on. It is read until its first write, whatever its predecessor was: its head tells whether it goes on. */
  attach(source: Source): void {
    this.detach();
    this.source = source;
  }

  /** The source has ended. */
  detach(): void {
    this.isHeld = false;
    this.endPause();
    this.source = undefined;
    this.isLifted = false;
  }

  /**
   * Records a write to the receiver.
   *
   * @param canTakeMore - false if the source must wait until {@link recordDrain}
   */
  recordWrite(canTakeMore: boolean): void {
    if (canTakeMore) {
      return;
    }
    const wasBlocked = this.isBlocked;
    this.isBlocked = true;
    this.startPause();
    if (!wasBlocked) {
      this.options.onBlocked?.();
    }
  }

  /** Records that the receiver has taken what waited. */
  recordDrain(): void {
    if (!this.isBlocked) {
      return;
    }
    this.isBlocked = false;
    const { source, isStopped: isPaused } = this;
    this.endPause();
    this.options.onDrained?.(isPaused);
    if (isPaused) {
      source?.resume();
    }
  }

  /** Records that the process does not read the present source for a reason of its own, or reads it again. */
  recordHold(isHeld: boolean): void {
    this.isHeld = isHeld;
    this.updateClock();
  }

  /** Reads the present source to its end, whatever the receiver takes: for a source that has stopped and has little left. */
  readToEnd(): void {
    this.isLifted = true;
    if (this.isStopped) {
      this.endPause();
      this.source?.resume();
    }
    this.source?.readToEnd?.();
  }

  private startPause(): void {
    if (this.source !== undefined && !this.isStopped && !this.isLifted) {
      this.isStopped = true;
      this.updateClock();
      this.source.pause();
    }
  }

  private endPause(): void {
    this.isStopped = false;
    this.updateClock();
  }

  private updateClock(): void {
    if (this.isStopped || this.isHeld) {
      this.pausedAt ??= this.options.now();
    } else {
      this.pastPauses = this.pausedTime;
      this.pausedAt = undefined;
    }
  }
}
