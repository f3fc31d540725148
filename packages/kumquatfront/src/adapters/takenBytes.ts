/**
 * Bytes that the operating system has taken for a connection. Only the handle of its socket tells: Node.js counts a write as unread until all
 * of it is taken, which may be megabytes.
 */
import type * as net from 'node:net';

interface Handle {
  readonly bytesWritten?: number;
  readonly writeQueueSize?: number;
}

function handleOf(socket: net.Socket): Handle | undefined {
  return (socket as unknown as { readonly _handle?: Handle | null })._handle ?? undefined;
}

/**
 * Bytes of the current write that the operating system has not taken; 0 if the connection is closed.
 *
 * @example
 * ```ts
 * const isWaiting = takenBytes.queued(socket) > 0;
 * ```
 */
export function queued(socket: net.Socket): number {
  return handleOf(socket)?.writeQueueSize ?? 0;
}

/**
 * Counts the bytes that the operating system has taken, from the opening of a connection; the count stays when the connection closes.
 *
 * @param socket - the connection
 * @returns tells the count, which never falls
 * @example
 * ```ts
 * const takenBytes = takenBytes.counter(socket);
 * ```
 */
export function counter(socket: net.Socket): () => number {
  let taken = 0;
  return () => {
    taken = Math.max(taken, (handleOf(socket)?.bytesWritten ?? 0) - queued(socket));
    return taken;
  };
}
