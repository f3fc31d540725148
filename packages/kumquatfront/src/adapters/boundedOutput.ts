/**
 * Lines to a file descriptor, bounded in rate and in what waits, and never blocking.
 *
 * Failure: whoever reads the log stops reading. Node.js writes to a pipe at once and waits for room, so the one
 * thread of the process would stand still, and with it every request. Here writes run beside the thread; what
 * exceeds the bounds is left out and counted, and a line says how much.
 */
import * as fs from 'node:fs';

import type * as ports from '../kernel/ports.js';

/** How much is written. */
export interface OutputBounds {
  /** Lines a second, on average. */
  readonly linesPerSecond: number;
  /** Lines that may come at once. */
  readonly burst: number;
  /** Characters that may wait for the reader. */
  readonly waiting: number;
}

/**
 * Bounds that suit one process: three lines for each of a hundred requests a second, a burst of ten seconds of
 * quiet work, and a quarter of a megabyte for a reader that pauses.
 */
export const defaultBounds: OutputBounds = { linesPerSecond: 300, burst: 3_000, waiting: 262_144 };

/** Pause before a full pipe is tried again. */
const FULL_PIPE_PAUSE: ports.Milliseconds = 20;

/** Writes bytes to where the lines go; calls back with an error where none or not all could be written. */
export type WriteBytes = (
  bytes: Uint8Array,
  done: (error: NodeJS.ErrnoException | null, written: number) => void,
) => void;

/** Lines that matter most are written whatever the rate; only a reader that stops leaves them out. */
export type LineWeight = 'ordinary' | 'important';

/** The output; see the module comment. */
export class BoundedOutput {
  private readonly bounds: OutputBounds;
  private readonly clock: ports.Clock;
  private readonly scheduler: ports.Scheduler;
  private readonly writeBytes: WriteBytes;
  private waiting: string[] = [];
  private waitingLength = 0;
  private rest: Uint8Array = new Uint8Array(0);
  private writing = false;
  private tokens: number;
  private refilledAt: ports.Milliseconds;
  private leftOut = 0;

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

  private mayWrite(line: string, weight: LineWeight): boolean {
    const now = this.clock.now();
    const { burst, linesPerSecond, waiting } = this.bounds;
    this.tokens = Math.min(burst, this.tokens + ((now - this.refilledAt) * linesPerSecond) / 1_000);
    this.refilledAt = now;
    if (this.waitingLength + line.length > waiting || (weight === 'ordinary' && this.tokens < 1)) {
      return false;
    }
    this.tokens = Math.max(0, this.tokens - 1);
    return true;
  }

  /** Writes a line, or leaves it out and counts it. */
  write(line: string, weight: LineWeight): void {
    if (!this.mayWrite(line, weight)) {
      this.leftOut += 1;
      return;
    }
    if (this.leftOut > 0) {
      this.add(`level=warn event=linesLeftOut count=${this.leftOut}`);
      this.leftOut = 0;
    }
    this.add(line);
    this.flushSoon();
  }

  private add(line: string): void {
    this.waiting.push(line);
    this.waitingLength += line.length + 1;
  }

  private flushSoon(): void {
    if (!this.writing) {
      this.writing = true;
      this.scheduler.after(0, () => {
        this.flush();
      });
    }
  }

  private flush(): void {
    if (this.rest.length === 0) {
      if (this.waiting.length === 0) {
        this.writing = false;
        return;
      }
      this.rest = Buffer.from(`${this.waiting.join('\n')}\n`);
      this.waiting = [];
    }
    this.writeBytes(this.rest, (error, written) => {
      this.rest = this.rest.subarray(written);
      if (this.rest.length === 0) {
        this.waitingLength = this.waiting.reduce((sum, line) => sum + line.length + 1, 0);
      }
      // A pipe whose reader is gone takes nothing any more; the process serves on without its log.
      const pause = error === null ? 0 : FULL_PIPE_PAUSE;
      this.scheduler.after(pause, () => {
        this.flush();
      });
    });
  }

  /** What waits, for a last blocking write as the process ends. */
  takeRest(): Uint8Array {
    const last = Buffer.concat([this.rest, Buffer.from(this.waiting.map((line) => `${line}\n`).join(''))]);
    this.rest = new Uint8Array(0);
    this.waiting = [];
    this.waitingLength = 0;
    return last;
  }
}

/**
 * Creates an output to a file descriptor of this process.
 *
 * @param descriptor - 1 for standard output
 * @param clock - for the rate
 * @param scheduler - for flushing
 * @returns the output; what waits at the end of the process is written then
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
      fs.writeSync(descriptor, output.takeRest());
    } catch {
      // Nobody reads any more, and nothing is left to tell it to.
    }
  });
  return output;
}
