/**
 * Newline-delimited messages over a TCP connection, with limits on the line length and on unsent data.
 */
import type * as net from 'node:net';
import * as stringDecoder from 'node:string_decoder';

import type * as heldMemoryTypes from '../heldMemory/types.js';

/** Above the largest configuration as a JSON string, in which each character may be escaped. */
const MAXIMUM_LINE_LENGTH = 10 * 1024 * 1024;

/** Length of the lines of a handshake, before which the sender may be anybody. */
const MAXIMUM_HANDSHAKE_LENGTH = 4_096;
const MAXIMUM_UNSENT_BYTES = 8 * 1024 * 1024;

/** Splits received data into lines and sends lines. */
export class LineSocket {
  private readonly socket: net.Socket;
  private partialLine = '';
  /** Reads that the partial line consists of, each a string of its own. */
  private partialReads = 0;
  /** Lines sent since all had been taken; an estimate of those that wait, never too low. */
  private waitingLines = 0;
  private maximumLength = MAXIMUM_HANDSHAKE_LENGTH;

  /**
   * @param socket - the connection
   * @param onLine - called with each received line, without its line terminator
   */
  constructor(socket: net.Socket, onLine: (line: string) => void) {
    this.socket = socket;
    const decoder = new stringDecoder.StringDecoder('utf8');
    socket.on('data', (bytes: Buffer) => {
      this.receive(decoder.write(bytes), onLine);
    });
    socket.setNoDelay(true);
  }

  private receive(text: string, onLine: (line: string) => void): void {
    // Only what is new is searched: with the rest, the time for a long line would grow with the square of its length.
    const [continuation = '', ...rest] = text.split('\n');
    this.partialLine += continuation;
    this.partialReads += 1;
    if (this.partialLine.length > this.maximumLength) {
      this.socket.destroy();
      return;
    }
    const last = rest.pop();
    if (last === undefined) {
      return;
    }
    const completed = this.partialLine;
    this.partialLine = last;
    this.partialReads = last === '' ? 0 : 1;
    for (const line of [completed, ...rest]) {
      onLine(line);
    }
  }

  /** Permits long lines, once the other side is authenticated. */
  permitLongLines(): void {
    this.maximumLength = MAXIMUM_LINE_LENGTH;
  }

  /**
   * Sends a line.
   *
   * @param line - the line without its line terminator
   * @returns false if the connection is closed or too much data is unsent, which bounds the memory used for a
   * peer that does not read
   */
  send(line: string): boolean {
    if (this.socket.destroyed || this.socket.writableLength > MAXIMUM_UNSENT_BYTES) {
      return false;
    }
    this.waitingLines = this.socket.writableLength === 0 ? 1 : this.waitingLines + 1;
    this.socket.write(`${line}\n`);
    return true;
  }

  /** What has arrived in part, and what is not sent yet. */
  held(): heldMemoryTypes.Held {
    const unsent = this.socket.writableLength;
    const waitingLines = unsent === 0 ? 0 : this.waitingLines;
    return { bytes: unsent + this.partialLine.length, pieces: waitingLines + this.partialReads };
  }

  close(): void {
    this.socket.destroy();
  }
}
