/**
 * Gathers the pieces of a snapshot that is too large for one message.
 */
import type * as types from './types.js';

/** Receives the pieces of one snapshot at a time, in order. */
export class SnapshotReceiver {
  private index = 0;
  private text = '';

  /** Characters received so far; the leader goes on from here. */
  get received(): number {
    return this.text.length;
  }

  /**
   * Takes a piece.
   *
   * @param piece - the piece; one that does not continue the text is dropped
   * @returns the whole snapshot once the last piece is there
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
