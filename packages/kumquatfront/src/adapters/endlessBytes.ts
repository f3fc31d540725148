/**
 * Bytes without end, for tests of readers.
 */
import type * as net from 'node:net';

/**
 * Sends bytes again and again until the connection is closed.
 *
 * @returns tells the number of bytes so far
 * @example
 * ```ts
 * const sentBytes = endlessBytes.send(socket, 'HTTP/1.1 200 OK\r\n', 'X-Line: x\r\n');
 * ```
 */
export function send(socket: net.Socket, prefix: string, repeated: string): () => number {
  let sent = 0;
  socket.write(prefix);
  const sendNext = (): void => {
    if (!socket.destroyed) {
      sent += repeated.length;
      socket.write(repeated, () => {
        setImmediate(sendNext);
      });
    }
  };
  sendNext();
  return () => sent;
}
