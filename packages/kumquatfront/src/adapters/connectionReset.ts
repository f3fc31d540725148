/**
 * Resets a connection, so that its other side cannot take the bytes that have arrived for a whole answer.
 */
import type * as net from 'node:net';

/**
 * Resets a connection, or closes it while its end is being sent: Node.js then fails to reset it, keeps its descriptor open, and never ends
 * the process.
 *
 * @example
 * ```ts
 * connectionReset.reset(outgoing.socket);
 * ```
 */
export function reset(socket: net.Socket): void {
  const isEnding = socket.writableEnded && socket.writableLength === 0 && !socket.writableFinished;
  if (isEnding) {
    socket.destroy();
  } else {
    socket.resetAndDestroy();
  }
}
