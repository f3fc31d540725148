/**
 * Newline-delimited messages over a TCP connection, with limits on the bytes of a line and on unsent data.
 */
import type * as net from 'node:net';

import * as byteCollector from '../buffers/byteCollector.js';
import type * as heldMemoryTypes from '../heldMemory/types.js';
import type * as messageMemory from './messageMemory.js';

/** Above the largest configuration as a JSON string, in which each character may be escaped. */
const MAXIMUM_LINE_BYTES = 10 * 1024 * 1024;

/** Bytes of a line of a handshake, before whose end the sender may be anybody. */
const MAXIMUM_HANDSHAKE_BYTES = 4_096;

/** Bytes that may be unsent before another line is refused. */
const MAXIMUM_UNSENT_BYTES = 8 * 1024 * 1024;

/** Lines that may be unsent: each takes some 200 bytes of heap beside its own, so that bytes alone do not bound what a peer costs. */
export const MAXIMUM_UNSENT_LINES = 10_000;

const LINE_FEED = 10;

/** Splits received data into lines and sends lines. */
export class LineSocket {
  /** The line that has arrived in part: a peer that sends single bytes would otherwise fill the heap below the bound on a line. */
  private readonly partialLine = new byteCollector.ByteCollector();
  private unsentLines = 0;
  private readonly recordSent = (): void => {
    this.unsentLines -= 1;
    this.updateMemory();
  };
  private isProven = false;
  /** Lines that wait until the connection is open. */
  private queued: string[] = [];
  private queuedBytes = 0;

  /**
   * @param socket - the connection
   * @param memory - its account of what all connections hold
   * @param onLine - called with each received line, without its line terminator
   */
  constructor(
    private readonly socket: net.Socket,
    private readonly memory: messageMemory.ConnectionMemory,
    onLine: (line: string) => void,
  ) {
    socket.once('close', () => {
      memory.close();
    });
    socket.on('data', (bytes: Buffer) => {
      this.receive(bytes, onLine);
    });
    socket.setNoDelay(true);
  }

  private receive(bytes: Buffer, onLine: (line: string) => void): void {
    let start = 0;
    for (let end = bytes.indexOf(LINE_FEED); end >= 0; end = bytes.indexOf(LINE_FEED, start)) {
      // A line before may have closed the connection, as that of a process without the key does.
      if (this.socket.destroyed || !this.checkLength(end - start)) {
        return;
      }
      const line = this.complete(bytes, start, end);
      this.updateMemory();
      start = end + 1;
      onLine(line);
    }
    if (start < bytes.length && !this.socket.destroyed && this.checkLength(bytes.length - start)) {
      this.hold(bytes.subarray(start));
    }
  }

  /**
   * Holds a part of a line. If all connections hold too much, its connection is closed, as by a line that is too long. Before its proof a
   * connection holds little, and takes no room from others.
   */
  private hold(bytes: Buffer): void {
    if (this.isProven && !this.memory.makeRoom(bytes.length)) {
      this.partialLine.clear();
      this.memory.giveUp();
      return;
    }
    this.partialLine.append(bytes);
    this.updateMemory();
  }

  /** Closes the connection of a line that is too long with so many bytes more. */
  private checkLength(added: number): boolean {
    const maximum = this.isProven ? MAXIMUM_LINE_BYTES : MAXIMUM_HANDSHAKE_BYTES;
    const isWithinBound = this.partialLine.size + added <= maximum;
    if (!isWithinBound) {
      this.partialLine.clear();
      this.socket.destroy();
    }
    return isWithinBound;
  }

  private complete(bytes: Buffer, start: number, end: number): string {
    if (this.partialLine.size === 0) {
      return bytes.toString('utf8', start, end);
    }
    this.partialLine.append(bytes.subarray(start, end));
    return this.partialLine.takeContent().toString('utf8');
  }

  /** Permits long lines, once the other side is authenticated. */
  permitLongLines(): void {
    this.isProven = true;
  }

  /**
   * Sends a line.
   *
   * @param line - the line without its line terminator
   * @returns false if the connection is closed or too much data is unsent, on it or on all connections, which bounds the memory used
   * for peers that do not read
   */
  send(line: string): boolean {
    const isFull =
      this.socket.writableLength > MAXIMUM_UNSENT_BYTES || this.unsentLines >= MAXIMUM_UNSENT_LINES;
    if (this.socket.destroyed || isFull || !this.memory.makeRoom(line.length)) {
      return false;
    }
    this.write(line);
    return true;
  }

  /**
   * Keeps a line until the connection is open.
   *
   * @returns false if too much waits, on it or on all connections
   */
  queue(line: string): boolean {
    const bytes = Buffer.byteLength(line);
    const isFull =
      this.queuedBytes + bytes > MAXIMUM_UNSENT_BYTES || this.queued.length >= MAXIMUM_UNSENT_LINES;
    if (isFull || !this.memory.makeRoom(bytes)) {
      return false;
    }
    this.queued.push(line);
    this.queuedBytes += bytes;
    this.updateMemory();
    return true;
  }

  /** Sends the lines that were queued. */
  sendQueued(): void {
    for (const line of this.takeQueued()) {
      this.write(line);
    }
  }

  private takeQueued(): readonly string[] {
    const { queued } = this;
    this.queued = [];
    this.queuedBytes = 0;
    return queued;
  }

  /** Sends a line that needs no room: one of the handshake, or one that waited for it and is counted as held already. */
  write(line: string): void {
    this.unsentLines += 1;
    this.socket.write(`${line}\n`, this.recordSent);
    this.updateMemory();
  }

  private updateMemory(): void {
    const { bytes, pieces } = this.held();
    this.memory.set(bytes, pieces);
  }

  /** What has arrived in part, and what is not sent yet. */
  held(): heldMemoryTypes.Held {
    return {
      bytes: this.socket.writableLength + this.queuedBytes + this.partialLine.memory,
      pieces: this.unsentLines + this.queued.length + this.partialLine.pieces,
    };
  }

  /** Closes the connection, and drops what is queued. */
  close(): void {
    this.takeQueued();
    this.socket.destroy();
  }
}
