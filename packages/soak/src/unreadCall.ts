/**
 * A caller that reads its answer only when it is told to, and tells a reset from an ordinary end also where bytes were still to be read.
 */
import * as net from 'node:net';

const NO_BYTES = Buffer.alloc(0);

/** What the caller got. */
export interface UnreadResult {
  /** As Latin-1. */
  readonly bytes: string;
  readonly wasReset: boolean;
}

/** One call. */
export interface UnreadCall {
  /** Reads all there is, until the connection ends. */
  readonly read: () => Promise<UnreadResult>;
}

/**
 * Sends a request on a connection of its own.
 *
 * @param request - the bytes of the request
 * @example
 * ```ts
 * const call = unreadCall.open(host, port, request);
 * const { wasReset } = await call.read();
 * ```
 */
export function open(host: string, port: number, request: string): UnreadCall {
  const socket = net.connect({ host, port, allowHalfOpen: true });
  let wasReset = false;
  socket.pause();
  socket.on('error', () => {
    wasReset = true;
  });
  socket.write(request);
  return {
    read: () =>
      new Promise((resolve) => {
        const chunks: Buffer[] = [];
        const finish = (): void => {
          resolve({ bytes: Buffer.concat(chunks).toString('latin1'), wasReset });
        };
        socket.on('data', (bytes: Buffer) => {
          chunks.push(bytes);
        });
        // Node.js reports an end instead of a reset that comes with bytes; a write of no bytes shows which of them it was.
        socket.on('end', () => {
          socket.write(NO_BYTES, (error) => {
            wasReset = wasReset || (error !== undefined && error !== null);
            socket.end();
          });
        });
        if (socket.closed) {
          finish();
        } else {
          socket.once('close', finish);
        }
        socket.resume();
      }),
  };
}
