/**
 * A disk in memory that forgets what was not synced, can tear the last write and can flip a bit.
 */
import type * as kumquatfront from 'kumquatfront';

type Operation =
  | { readonly type: 'append'; readonly file: string; readonly bytes: Uint8Array }
  | { readonly type: 'replace'; readonly file: string; readonly bytes: Uint8Array };

/** One data folder, which outlives the process. */
export class MemoryDisk {
  private readonly syncDelay: number;
  private durable = new Map<string, Uint8Array>();
  private pending: Operation[] = [];
  syncs = 0;

  /**
   * @param syncDelay - milliseconds a sync takes
   */
  constructor(syncDelay: number) {
    this.syncDelay = syncDelay;
  }

  /** The disk as one life of the process sees it. */
  portFor(scheduler: kumquatfront.ports.Scheduler): kumquatfront.ports.Disk {
    return {
      read: (file) => this.durable.get(file),
      append: (file, bytes) => {
        this.pending.push({ type: 'append', file, bytes });
      },
      sync: (_file, done) => {
        this.flushLater(scheduler, done);
      },
      replace: (file, bytes, done) => {
        this.pending.push({ type: 'replace', file, bytes });
        this.flushLater(scheduler, done);
      },
    };
  }

  private flushLater(scheduler: kumquatfront.ports.Scheduler, done: () => void): void {
    const upTo = this.pending.length;
    const wanted = this.pending.slice(0, upTo);
    scheduler.after(this.syncDelay, () => {
      for (const operation of wanted) {
        const position = this.pending.indexOf(operation);
        if (position >= 0) {
          this.pending.splice(position, 1);
          this.perform(operation);
        }
      }
      this.syncs += 1;
      done();
    });
  }

  private perform(operation: Operation): void {
    const before =
      operation.type === 'append' ? (this.durable.get(operation.file) ?? new Uint8Array()) : new Uint8Array();
    this.durable.set(operation.file, Buffer.concat([before, operation.bytes]));
  }

  /** What a crash does: unsynced writes are gone; a torn one leaves a part of itself. */
  crash(torn: boolean): void {
    const [first] = this.pending;
    if (torn && first?.type === 'append') {
      const part = first.bytes.subarray(0, Math.ceil(first.bytes.length / 2));
      this.perform({ ...first, bytes: part });
    }
    this.pending = [];
  }

  /** The folder is emptied. */
  lose(): void {
    this.durable = new Map();
    this.pending = [];
  }

  /** A bit in the middle of a file flips. */
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
