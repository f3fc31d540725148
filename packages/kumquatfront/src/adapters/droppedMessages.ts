/**
 * Logs the messages to peers that were dropped because too much waits for their connections: at once, and then once a second.
 */
import type * as ports from '../kernel/ports.js';

const LINE_INTERVAL: ports.Milliseconds = 1_000;

/** Messages dropped by one transport; see the module comment. */
export class DroppedMessages {
  private readonly counts = new Map<string, number>();
  private isWaiting = false;
  private cancelWait: ports.Cancel = () => undefined;

  constructor(
    private readonly scheduler: ports.Scheduler,
    private readonly log: ports.Log,
  ) {}

  /**
   * Counts a message.
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
    for (const [address, messages] of this.counts) {
      this.log.warn('peerMessagesDropped', { address, messages });
    }
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
