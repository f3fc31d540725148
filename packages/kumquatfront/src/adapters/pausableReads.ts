/**
 * Stops the reads of a connection at once, and goes on with them later. `pause` of a stream is not enough: the event loop reads up to
 * 32 times 64 KiB from a connection in one iteration, and whatever is read waits as one object for each of its chunks.
 */
import type * as net from 'node:net';

/** Controls the reads of one connection. */
export interface PausableReads {
  /** The read in progress is still passed on; none follows. Called between two reads, one more may follow. */
  readonly pause: () => void;
  readonly resume: () => void;
}

/**
 * Takes over the reads of a connection, which is read until `pause`.
 *
 * @param socket - a connection whose data are passed on by `data` events
 * @param onReadEnded - called after all that follows from the bytes of one read
 * @returns pauses and resumes its reads
 * @example
 * ```ts
 * const reads = pausableReads.control(socket, () => passOn(collected));
 * incoming.on('data', () => reads.pause());
 * ```
 */
export function control(socket: net.Socket, onReadEnded: () => void): PausableReads {
  const push = socket.push.bind(socket);
  const read = socket._read.bind(socket);
  let isPaused = false;
  // A result of false stops the reads of the handle; it does not withhold the bytes, which are emitted while the stream flows.
  socket.push = (bytes: Buffer | null): boolean => {
    const takesMore = push(bytes);
    onReadEnded();
    return takesMore && !isPaused;
  };
  socket._read = (size) => {
    if (!isPaused) {
      read(size);
    }
  };
  return {
    pause: () => {
      isPaused = true;
    },
    resume: () => {
      isPaused = false;
      if (!socket.destroyed) {
        socket._read(0);
      }
    },
  };
}
