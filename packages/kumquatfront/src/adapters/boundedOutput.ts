/**
 * Non-blocking line output to a file descriptor, with a rate limit and a bounded buffer.
 *
 * Safeguard: when the reader of a log pipe stalls, a synchronous write blocks the event loop and with it every
 * request. Writes here are asynchronous; lines beyond the bounds are dropped, and a log line reports their count.
 */
import * as fs from 'node:fs';

import type * as heldMemoryTypes from '../heldMemory/types.js';
import type * as ports from '../kernel/ports.js';

/** Limits on the rate and the buffered size of an output. */
export interface OutputBounds {
  /** Sustained rate, in lines per second. */
  readonly linesPerSecond: number;
  /** Capacity of the token bucket, in lines. */
  readonly burst: number;
  /** Maximum number of characters that are buffered while the reader is slow. */
  readonly maximumPendingCharacters: number;
}

/** Default bounds for the log of one process. */
export const defaultBounds: OutputBounds = {
  linesPerSecond: 300,
  burst: 3_000,
  maximumPendingCharacters: 262_144,
};

/** Delay before a failed write, such as one to a full pipe, is retried. */
const FULL_PIPE_RETRY_DELAY: ports.Milliseconds = 20;

/** Writes bytes to the destination and calls back with an error, if any, and the number of bytes written. */
export type WriteBytes = (
  bytes: Uint8Array,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Important lines are exempt from the rate limit; they are dropped only when the buffer is full. */
export type LinePriority = 'ordinary' | 'important';

/** A non-blocking line output; see the module comment. */
export class BoundedOutput {
  private readonly bounds: OutputBounds;
  private readonly clock: ports.Clock;
  private readonly scheduler: ports.Scheduler;
  private readonly writeBytes: WriteBytes;
  private pendingLines: string[] = [];
  private pendingCharacters = 0;
  private unwrittenBytes: Uint8Array = new Uint8Array(0);
  private isFlushing = false;
  private isWriting = false;
  private cancelPlanned: ports.Cancel = () => undefined;
  private tokens: number;
  private refilledAt: ports.Milliseconds;
  private droppedLines = 0;

  constructor(
    clock: ports.Clock,
    scheduler: ports.Scheduler,
    writeBytes: WriteBytes,
    bounds: OutputBounds = defaultBounds,
  ) {
    this.bounds = bounds;
    this.clock = clock;
    this.scheduler = scheduler;
    this.writeBytes = writeBytes;
    this.tokens = bounds.burst;
    this.refilledAt = clock.now();
  }

  private mayWrite(line: string, priority: LinePriority): boolean {
    const now = this.clock.now();
    const { burst, linesPerSecond, maximumPendingCharacters } = this.bounds;
    this.tokens = Math.min(burst, this.tokens + ((now - this.refilledAt) * linesPerSecond) / 1_000);
    this.refilledAt = now;
    if (
      this.pendingCharacters + line.length > maximumPendingCharacters ||
      (priority === 'ordinary' && this.tokens < 1)
    ) {
      return false;
    }
    this.tokens = Math.max(0, this.tokens - 1);
    return true;
  }

  /** Queues a line for writing, or drops and counts it if it exceeds the bounds. */
  write(line: string, priority: LinePriority): void {
    if (!this.mayWrite(line, priority)) {
      this.droppedLines += 1;
      return;
    }
    if (this.droppedLines > 0) {
      this.enqueue(`level=warn event=linesLeftOut count=${this.droppedLines}`);
      this.droppedLines = 0;
    }
    this.enqueue(line);
    this.scheduleFlush();
  }

  private enqueue(line: string): void {
    this.pendingLines.push(line);
    this.pendingCharacters += line.length + 1;
  }

  private scheduleFlush(): void {
    if (!this.isFlushing) {
      this.isFlushing = true;
      this.planFlush(0);
    }
  }

  private planFlush(delay: ports.Milliseconds): void {
    this.cancelPlanned = this.scheduler.after(delay, () => {
      this.flush();
    });
  }

  /** What is not written yet. */
  held(): heldMemoryTypes.Held {
    return { bytes: this.pendingCharacters, pieces: this.pendingLines.length };
  }

  /**
   * Begins to write what is pending, without waiting for the next turn of the event loop. The write itself runs on another
   * thread, so that a line reaches its reader even if this thread does nothing else any more.
   */
  flushNow(): void {
    if (!this.isWriting) {
      this.cancelPlanned();
      this.isFlushing = true;
      this.flush();
    }
  }

  private flush(): void {
    if (this.unwrittenBytes.length === 0) {
      if (this.pendingLines.length === 0) {
        this.isFlushing = false;
        return;
      }
      this.unwrittenBytes = Buffer.from(`${this.pendingLines.join('\n')}\n`);
      this.pendingLines = [];
    }
    this.isWriting = true;
    this.writeBytes(this.unwrittenBytes, (error, written) => {
      this.isWriting = false;
      this.unwrittenBytes = this.unwrittenBytes.subarray(written);
      if (this.unwrittenBytes.length === 0) {
        this.pendingCharacters = this.pendingLines.reduce((sum, line) => sum + line.length + 1, 0);
      }
      // Writing to a pipe without a reader keeps failing; the process continues to serve without its log.
      this.planFlush(error === null ? 0 : FULL_PIPE_RETRY_DELAY);
    });
  }

  /** Removes and returns all unwritten bytes, for a final synchronous write at process exit. */
  takeUnwritten(): Uint8Array {
    const unwritten = Buffer.concat([
      this.unwrittenBytes,
      Buffer.from(this.pendingLines.map((line) => `${line}\n`).join('')),
    ]);
    this.unwrittenBytes = new Uint8Array(0);
    this.pendingLines = [];
    this.pendingCharacters = 0;
    return unwritten;
  }
}

/**
 * Creates an output to a file descriptor of this process.
 *
 * @param descriptor - 1 for standard output
 * @returns the output; unwritten lines are written synchronously at process exit
 * @example
 * ```ts
 * const output = boundedOutput.toDescriptor(1, systemTime.clock, systemTime.scheduler);
 * output.write('level=info event=started', 'important');
 * ```
 */
export function toDescriptor(
  descriptor: number,
  clock: ports.Clock,
  scheduler: ports.Scheduler,
): BoundedOutput {
  const output = new BoundedOutput(clock, scheduler, (bytes, done) => {
    fs.write(descriptor, bytes, (error, written) => {
      done(error, error === null ? written : 0);
    });
  });
  process.once('exit', () => {
    try {
      fs.writeSync(descriptor, output.takeUnwritten());
    } catch {
      // The reader is gone, so the failure cannot be reported.
    }
  });
  return output;
}
