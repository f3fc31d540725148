/**
 * Warnings about what a crowd may cause: written at once, and then once a second with their number, since a line for each would fill the log.
 */
import type * as ports from '../kernel/ports.js';

const LINE_INTERVAL: ports.Milliseconds = 1_000;

/** Numbers of one kind of warning by address; see the module comment. */
export class CountedWarnings {
  private readonly counts = new Map<string, number>();
  private isWaiting = false;
  private cancelWait: ports.Cancel = () => undefined;

  /**
   * @param scheduler - for the interval
   * @param log - writes the numbers since it was called last
   */
  constructor(
    private readonly scheduler: ports.Scheduler,
    private readonly log: (counts: ReadonlyMap<string, number>) => void,
  ) {}

  /**
   * Counts a warning.
   *
   * @param address - address of the peer
   * @example
   * ```ts
   * dropped.add('10.0.0.5:7200');
   * ```
   */
  add(address: string): void {
    this.counts.set(address, (this.counts.get(address) ?? 0) + 1);
    if (!this.isWaiting) {
      this.write();
    }
  }

  private write(): void {
    this.log(this.counts);
    this.counts.clear();
    this.isWaiting = true;
    this.cancelWait = this.scheduler.after(LINE_INTERVAL, () => {
      this.isWaiting = false;
      if (this.counts.size > 0) {
        this.write();
      }
    });
  }

  /** Writes what was not logged yet, and no more later. */
  close(): void {
    this.cancelWait();
    if (this.counts.size > 0) {
      this.write();
      this.cancelWait();
    }
  }
}
