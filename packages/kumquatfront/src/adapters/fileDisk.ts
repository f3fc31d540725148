/**
 * The data folder on a real disk. Operations run one after another, in the order in which they were asked.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';

import type * as ports from '../kernel/ports.js';

/** Called when the disk fails: after a failed sync nothing that was written is certain. */
export type OnDiskFailure = (error: unknown) => void;

/** Called each time a write finds the disk full; it is tried again until there is room. */
export type OnDiskFull = (file: string) => void;

/** Pause before a write that found the disk full is tried again. */
const FULL_DISK_PAUSE_MS = 250;

const FULL_DISK_CODES: ReadonlySet<string | undefined> = new Set(['ENOSPC', 'EDQUOT']);

function isFull(error: unknown): boolean {
  return FULL_DISK_CODES.has((error as NodeJS.ErrnoException).code);
}

class FileDisk implements ports.Disk {
  private readonly folder: string;
  private readonly onFailure: OnDiskFailure;
  private readonly onFull: OnDiskFull;
  private readonly handles = new Map<string, fs.promises.FileHandle>();
  private readonly unwritten = new Map<string, Uint8Array[]>();
  private queue: Promise<void> = Promise.resolve();

  constructor(folder: string, onFailure: OnDiskFailure, onFull: OnDiskFull) {
    this.folder = folder;
    this.onFailure = onFailure;
    this.onFull = onFull;
    fs.mkdirSync(folder, { recursive: true });
  }

  private pathOf(file: string): string {
    return path.join(this.folder, file);
  }

  read(file: string): Uint8Array | undefined {
    const filePath = this.pathOf(file);
    return fs.existsSync(filePath) ? fs.readFileSync(filePath) : undefined;
  }

  append(file: string, bytes: Uint8Array): void {
    const known = this.unwritten.get(file);
    if (known !== undefined) {
      known.push(bytes);
      return;
    }
    const chunks = [bytes];
    this.unwritten.set(file, chunks);
    // Appends that come before the queue gets here are written together.
    this.enqueue(async () => {
      this.unwritten.delete(file);
      const bytesOfAll = Buffer.concat(chunks);
      await this.whileFull(file, () => this.appendWhole(file, bytesOfAll));
    });
  }

  /** Appends all or nothing: half a record in front of the next try would read as a damaged log. */
  private async appendWhole(file: string, bytes: Uint8Array): Promise<void> {
    const handle = await this.handleOf(file);
    const { size } = await handle.stat();
    try {
      await handle.appendFile(bytes);
    } catch (error) {
      this.handles.delete(file);
      await handle.truncate(size).catch(() => undefined);
      await handle.close();
      throw error;
    }
  }

  /**
   * Tries a write until the disk has room. Ending the process would not make any; meanwhile nothing is answered
   * for that is not on the disk, so to the others this replica is merely silent.
   */
  private async whileFull(file: string, write: () => Promise<void>): Promise<void> {
    for (;;) {
      try {
        await write();
        return;
      } catch (error) {
        if (!isFull(error)) {
          throw error;
        }
        this.onFull(file);
        await new Promise((resolve) => setTimeout(resolve, FULL_DISK_PAUSE_MS));
      }
    }
  }

  sync(file: string, done: () => void): void {
    this.unwritten.delete(file);
    this.enqueue(async () => {
      const handle = await this.handleOf(file);
      await handle.datasync();
      done();
    });
  }

  replace(file: string, bytes: Uint8Array, done: () => void): void {
    this.unwritten.delete(file);
    this.enqueue(async () => {
      await this.whileFull(file, () => this.replaceWhole(file, bytes));
      done();
    });
  }

  private async replaceWhole(file: string, bytes: Uint8Array): Promise<void> {
    const temporary = this.pathOf(`${file}.new`);
    const handle = await fs.promises.open(temporary, 'w');
    try {
      await handle.writeFile(bytes);
      await handle.sync();
    } finally {
      await handle.close();
    }
    await this.handles.get(file)?.close();
    this.handles.delete(file);
    await fs.promises.rename(temporary, this.pathOf(file));
    await this.syncFolder();
  }

  private async handleOf(file: string): Promise<fs.promises.FileHandle> {
    const known = this.handles.get(file);
    if (known !== undefined) {
      return known;
    }
    const isNew = !fs.existsSync(this.pathOf(file));
    const handle = await fs.promises.open(this.pathOf(file), 'a');
    this.handles.set(file, handle);
    if (isNew) {
      await this.syncFolder();
    }
    return handle;
  }

  private async syncFolder(): Promise<void> {
    const folder = await fs.promises.open(this.folder, 'r');
    await folder.sync();
    await folder.close();
  }

  private enqueue(operation: () => Promise<void>): void {
    this.queue = this.queue.then(operation).catch((error: unknown) => {
      this.onFailure(error);
    });
  }
}

/**
 * Opens a data folder, creating it where it is missing.
 *
 * @param folder - its path
 * @param onFailure - called when a write or sync fails; the process should end, since going on would answer
 * for data that may be gone
 * @param onFull - called each time a write finds the disk full and waits
 * @returns the disk
 * @example
 * ```ts
 * const disk = fileDisk.open('data/control-1', () => process.exit(1));
 * ```
 */
export function open(
  folder: string,
  onFailure: OnDiskFailure,
  onFull: OnDiskFull = () => undefined,
): ports.Disk {
  return new FileDisk(folder, onFailure, onFull);
}
