/**
 * A caller that keeps each byte it receives, so that a test can judge what an HTTP library would accept or repair.
 */
import * as net from 'node:net';

/** How the connection of a call ended; `open` if it was still open at the end of the waiting time. */
export type CallEnd = 'closed' | 'reset' | 'open';

/** What the caller received. */
export interface RawResult {
  /** As Latin-1. */
  readonly bytes: string;
  readonly end: CallEnd;
  readonly milliseconds: number;
}

/** One call. */
export interface RawCall {
  readonly host: string;
  readonly port: number;
  /** Parts of the request, with a pause before each but the first. */
  readonly parts: readonly (string | Buffer)[];
  readonly pause?: number;
  /** Time after which the caller leaves, in milliseconds. */
  readonly leavesAfter?: number;
  /** Time after which the caller stops waiting, in milliseconds. */
  readonly timeout: number;
}

/**
 * Sends a request on a new connection and waits until the other side closes it; the request should ask for that.
 *
 * @param call - the request, and how long to wait
 * @returns the bytes and the end of the connection
 * @example
 * ```ts
 * const { bytes } = await rawCaller.send({ host, port, parts: [request], timeout: 5_000 });
 * ```
 */
export function send({ host, port, parts, pause = 0, leavesAfter, timeout }: RawCall): Promise<RawResult> {
  return new Promise((resolve) => {
    const startedAt = performance.now();
    const chunks: Buffer[] = [];
    const socket = net.connect(port, host);
    const timers: NodeJS.Timeout[] = [];
    let wasReset = false;
    const finish = (end: CallEnd): void => {
      timers.forEach(clearTimeout);
      socket.destroy();
      const bytes = Buffer.concat(chunks).toString('latin1');
      resolve({ bytes, end, milliseconds: performance.now() - startedAt });
    };
    socket.on('data', (bytes: Buffer) => {
      chunks.push(bytes);
    });
    socket.on('error', () => {
      wasReset = true;
    });
    socket.on('close', () => {
      finish(wasReset ? 'reset' : 'closed');
    });
    const sendFrom = (index: number): void => {
      const part = parts[index];
      if (part !== undefined) {
        socket.write(part);
        timers.push(setTimeout(sendFrom, pause, index + 1));
      }
    };
    sendFrom(0);
    timers.push(
      setTimeout(() => {
        finish('open');
      }, leavesAfter ?? timeout),
    );
  });
}
