/**
 * A connection whose reads stop at once, and go on later. `pause` of a stream is not enough: the event loop reads up to 32 times 64 KiB from
 * a connection in one iteration, and whatever is read waits as one object for each of its chunks.
 */
import * as net from 'node:net';

/** Why a connection is not read: its receiver takes no more, or its reads hold too many pieces. Each ends by itself. */
export type PauseReason = 'receiver' | 'pace';

/**
 * See the module comment. The connection is half-open: its user ends its own side.
 *
 * A subclass, since a connection whose methods are replaced is kept by collections of the young generation, which costs each process 10 MB.
 *
 * @example
 * ```ts
 * const socket = new pausableSocket.PausableSocket(() => passOn(collected));
 * socket.connect({ host, port });
 * incoming.on('data', () => socket.pauseReads('receiver'));
 * ```
 */
export class PausableSocket extends net.Socket {
  private readonly pauses = new Set<PauseReason>();

  /**
   * @param onReadEnded - called after all that follows from the bytes of one read
   */
  constructor(private readonly onReadEnded: () => void) {
    super({ allowHalfOpen: true });
  }

  /** The read in progress is still passed on; none follows. Called between two reads, one more may follow. */
  pauseReads(reason: PauseReason): void {
    this.pauses.add(reason);
  }

  /** Reads go on unless there is another reason to pause. */
  resumeReads(reason: PauseReason): void {
    this.pauses.delete(reason);
    if (!this.areReadsPaused && !this.destroyed) {
      this._read(0);
    }
  }

  private get areReadsPaused(): boolean {
    return this.pauses.size > 0;
  }

  /** A result of false stops the reads of the handle; it does not withhold the bytes, which are emitted while the stream flows. */
  override push(bytes: Buffer | null): boolean {
    const takesMore = super.push(bytes);
    this.onReadEnded();
    return takesMore && !this.areReadsPaused;
  }

  override _read(size: number): void {
    if (!this.areReadsPaused) {
      super._read(size);
    }
  }
}
