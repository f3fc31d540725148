/**
 * File system implementation of the disk port. Operations run sequentially, in the order in which they were requested.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';

import type * as ports from '../kernel/ports.js';

/** Called when an operation fails; after a failed sync the durability of earlier writes is unknown. */
export type OnDiskFailure = (error: unknown) => void;

/** Called each time a write fails because the disk is full; the write is retried until it succeeds. */
export type OnDiskFull = (file: string) => void;

/** Delay before a write that failed on a full disk is retried, in milliseconds. */
const FULL_DISK_RETRY_DELAY = 250;

const FULL_DISK_CODES: ReadonlySet<string | undefined> = new Set(['ENOSPC', 'EDQUOT']);

function isDiskFull(error: unknown): boolean {
  return FULL_DISK_CODES.has((error as NodeJS.ErrnoException).code);
}

class FileDisk implements ports.Disk {
  private readonly folder: string;
  private readonly onFailure: OnDiskFailure;
  private readonly onFull: OnDiskFull;
  private readonly handles = new Map<string, fs.promises.FileHandle>();
  private readonly pendingAppends = new Map<string, Uint8Array[]>();
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
    const pending = this.pendingAppends.get(file);
    if (pending !== undefined) {
      pending.push(bytes);
      return;
    }
    const chunks = [bytes];
    this.pendingAppends.set(file, chunks);
    // Appends to the same file that arrive before this operation runs are written in one batch.
    this.enqueue(async () => {
      this.pendingAppends.delete(file);
      const combined = Buffer.concat(chunks);
      await this.retryWhileFull(file, () => this.appendAtomically(file, combined));
    });
  }

  /** Appends all bytes or none: a partial record followed by a retry would corrupt the log. */
  private async appendAtomically(file: string, bytes: Uint8Array): Promise<void> {
    const handle = await this.openHandle(file);
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
   * Retries a write while the disk is full. A restart would not free space, and nothing is acknowledged before it
   * is on disk, so the other replicas see this one only as unresponsive.
   */
  private async retryWhileFull(file: string, write: () => Promise<void>): Promise<void> {
    for (;;) {
      try {
        await write();
        return;
      } catch (error) {
        if (!isDiskFull(error)) {
          throw error;
        }
        this.onFull(file);
        await new Promise((resolve) => setTimeout(resolve, FULL_DISK_RETRY_DELAY));
      }
    }
  }

  sync(file: string, done: () => void): void {
    this.pendingAppends.delete(file);
    this.enqueue(async () => {
      const handle = await this.openHandle(file);
      await handle.datasync();
      done();
    });
  }

  replace(file: string, bytes: Uint8Array, done: () => void): void {
    this.pendingAppends.delete(file);
    this.enqueue(async () => {
      await this.retryWhileFull(file, () => this.replaceAtomically(file, bytes));
      done();
    });
  }

  private async replaceAtomically(file: string, bytes: Uint8Array): Promise<void> {
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

  private async openHandle(file: string): Promise<fs.promises.FileHandle> {
    const existing = this.handles.get(file);
    if (existing !== undefined) {
      return existing;
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
 * Opens a data folder and creates it if it does not exist.
 *
 * @param folder - path of the folder
 * @param onFailure - called when a write or sync fails; the process should exit, since it could otherwise
 * acknowledge data that was not persisted
 * @param onFull - called each time a write fails because the disk is full
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
