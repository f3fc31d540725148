/**
 * Assembles a snapshot that is too large for one message from its pieces.
 */
import type * as types from './types.js';

/** Assembles one snapshot at a time from pieces received in order. */
export class SnapshotReceiver {
  private index = 0;
  private text = '';

  /** Number of characters received so far; the leader continues at this offset. */
  get receivedLength(): number {
    return this.text.length;
  }

  /**
   * Adds a piece.
   *
   * @param piece - the piece; ignored if it does not continue the received text
   * @returns the snapshot once its last piece was received, else undefined
   */
  receive(piece: types.SnapshotPiece): types.Snapshot | undefined {
    if (piece.index !== this.index || piece.offset === 0) {
      this.index = piece.index;
      this.text = '';
    }
    if (piece.offset === this.text.length) {
      this.text += piece.data;
    }
    if (this.text.length < piece.total) {
      return undefined;
    }
    const snapshot = JSON.parse(this.text) as types.Snapshot;
    this.text = '';
    this.index = 0;
    return snapshot;
  }
}
