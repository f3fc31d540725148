/**
 * JSON lines over a TCP connection, with a bound on a line and on what waits to be sent.
 */
import type * as net from 'node:net';
import * as stringDecoder from 'node:string_decoder';

const MAXIMUM_LINE = 8 * 1024 * 1024;
const MAXIMUM_UNSENT = 8 * 1024 * 1024;

/** Splits what a socket receives into lines and sends lines. */
export class LineSocket {
  private readonly socket: net.Socket;
  private rest = '';

  /**
   * @param socket - the connection
   * @param onLine - called with each line
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
    const lines = (this.rest + text).split('\n');
    this.rest = lines.pop() ?? '';
    if (this.rest.length > MAXIMUM_LINE) {
      this.socket.destroy();
      return;
    }
    for (const line of lines) {
      onLine(line);
    }
  }

  /** Sends a line; false where the peer takes nothing in, so that a frozen one cannot fill this process. */
  send(line: string): boolean {
    if (this.socket.destroyed || this.socket.writableLength > MAXIMUM_UNSENT) {
      return false;
    }
    this.socket.write(`${line}\n`);
    return true;
  }

  close(): void {
    this.socket.destroy();
  }
}
