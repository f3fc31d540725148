/**
 * Resets a connection, so that its other side cannot take the bytes that have arrived for a whole answer.
 */
import type * as http from 'node:http';
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

/**
 * Ends an answer so that its caller cannot take the part that was sent for the whole.
 *
 * @param socket - the connection of the answer, which Node.js takes from it at its end
 * @example
 * ```ts
 * connectionReset.abort(outgoing, incoming.socket);
 * ```
 */
export function abort(outgoing: http.ServerResponse, socket: net.Socket): void {
  // Without chunks an ordinary end of the connection would complete the answer.
  if (outgoing.headersSent && !outgoing.chunkedEncoding) {
    reset(socket);
  }
  outgoing.destroy();
}
