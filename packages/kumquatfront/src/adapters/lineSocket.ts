/**
 * Newline-delimited messages over a TCP connection, with limits on the line length and on unsent data.
 */
import type * as net from 'node:net';
import * as stringDecoder from 'node:string_decoder';

/** Above the largest configuration as a JSON string, in which each character may be escaped. */
const MAXIMUM_LINE_LENGTH = 10 * 1024 * 1024;

/** Length of the lines of a handshake, before which the sender may be anybody. */
const MAXIMUM_HANDSHAKE_LENGTH = 4_096;
const MAXIMUM_UNSENT_BYTES = 8 * 1024 * 1024;

/** Splits received data into lines and sends lines. */
export class LineSocket {
  private readonly socket: net.Socket;
  private partialLine = '';
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
    this.socket.write(`${line}\n`);
    return true;
  }

  close(): void {
    this.socket.destroy();
  }
}
