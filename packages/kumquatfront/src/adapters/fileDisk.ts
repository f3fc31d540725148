/**
 * The data folder on a real disk. Operations run one after another, in the order in which they were asked.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';

import type * as ports from '../kernel/ports.js';

/** Called when the disk fails: after a failed sync nothing that was written is certain. */
export type OnDiskFailure = (error: unknown) => void;

class FileDisk implements ports.Disk {
  private readonly folder: string;
  private readonly onFailure: OnDiskFailure;
  private readonly handles = new Map<string, fs.promises.FileHandle>();
  private readonly unwritten = new Map<string, Uint8Array[]>();
  private queue: Promise<void> = Promise.resolve();

  constructor(folder: string, onFailure: OnDiskFailure) {
    this.folder = folder;
    this.onFailure = onFailure;
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
      const handle = await this.handleOf(file);
      await handle.appendFile(Buffer.concat(chunks));
    });
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
      const temporary = this.pathOf(`${file}.new`);
      const handle = await fs.promises.open(temporary, 'w');
      await handle.writeFile(bytes);
      await handle.sync();
      await handle.close();
      await this.handles.get(file)?.close();
      this.handles.delete(file);
      await fs.promises.rename(temporary, this.pathOf(file));
      await this.syncFolder();
      done();
    });
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
 * @returns the disk
 * @example
 * ```ts
 * const disk = fileDisk.open('data/control-1', () => process.exit(1));
 * ```
 */
export function open(folder: string, onFailure: OnDiskFailure): ports.Disk {
  return new FileDisk(folder, onFailure);
}
