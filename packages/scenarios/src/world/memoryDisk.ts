/**
 * In-memory disk for fault injection: a crash discards unsynced writes and can leave a torn one; bits can be flipped.
 */
import type * as kumquatfront from 'kumquatfront';

type Operation =
  | { readonly type: 'append'; readonly file: string; readonly bytes: Uint8Array }
  | { readonly type: 'replace'; readonly file: string; readonly bytes: Uint8Array };

/** Data folder of one host; it survives crashes of the process. */
export class MemoryDisk {
  private readonly syncDelay: number;
  private durable = new Map<string, Uint8Array>();
  private pending: Operation[] = [];
  syncCount = 0;

  /**
   * @param syncDelay - duration of a sync in milliseconds
   */
  constructor(syncDelay: number) {
    this.syncDelay = syncDelay;
  }

  /** Creates the disk port of one incarnation of the process. */
  portFor(scheduler: kumquatfront.ports.Scheduler): kumquatfront.ports.Disk {
    return {
      read: (file) => this.durable.get(file),
      append: (file, bytes) => {
        this.pending.push({ type: 'append', file, bytes });
      },
      sync: (_file, done) => {
        this.scheduleFlush(scheduler, done);
      },
      replace: (file, bytes, done) => {
        this.pending.push({ type: 'replace', file, bytes });
        this.scheduleFlush(scheduler, done);
      },
    };
  }

  private scheduleFlush(scheduler: kumquatfront.ports.Scheduler, done: () => void): void {
    const pendingCount = this.pending.length;
    const flushed = this.pending.slice(0, pendingCount);
    scheduler.after(this.syncDelay, () => {
      for (const operation of flushed) {
        const position = this.pending.indexOf(operation);
        if (position >= 0) {
          this.pending.splice(position, 1);
          this.applyOperation(operation);
        }
      }
      this.syncCount += 1;
      done();
    });
  }

  private applyOperation(operation: Operation): void {
    const previous =
      operation.type === 'append' ? (this.durable.get(operation.file) ?? new Uint8Array()) : new Uint8Array();
    this.durable.set(operation.file, Buffer.concat([previous, operation.bytes]));
  }

  /** Discards unsynced writes; with `torn`, half of the first one reaches the disk. */
  crash(torn: boolean): void {
    const [first] = this.pending;
    if (torn && first?.type === 'append') {
      const part = first.bytes.subarray(0, Math.ceil(first.bytes.length / 2));
      this.applyOperation({ ...first, bytes: part });
    }
    this.pending = [];
  }

  /** Deletes all data. */
  erase(): void {
    this.durable = new Map();
    this.pending = [];
  }

  /** Flips a bit in the middle of a file. */
  flipBit(file: string): void {
    const bytes = this.durable.get(file);
    if (bytes !== undefined && bytes.length > 0) {
      const copy = Buffer.from(bytes);
      const position = Math.floor(copy.length / 2);
      copy[position] = (copy[position] ?? 0) ^ 1;
      this.durable.set(file, copy);
    }
  }
}
