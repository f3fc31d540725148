/**
 * Joins the pieces in which a parser passes the body of one read on: a read of 64 KiB may hold thousands of chunks, each of which would be an
 * event, a write and several objects to everything behind it.
 */

/** Pieces of one read; see the module comment. */
export class ReadPieces {
  private pieces: Uint8Array[] = [];
  private isPlanned = false;

  /**
   * @param passOn - receives the bytes of one read
   */
  constructor(private readonly passOn: (bytes: Uint8Array) => void) {}

  /** Adds a piece, which is passed on with the others of its read. */
  add(piece: Uint8Array): void {
    this.pieces.push(piece);
    // What comes with the head waits in the stream of the body, and is emitted after the read.
    if (!this.isPlanned) {
      this.isPlanned = true;
      process.nextTick(() => {
        this.isPlanned = false;
        this.flush();
      });
    }
  }

  /** Passes on what was added. */
  flush(): void {
    const { pieces } = this;
    const [first] = pieces;
    if (first !== undefined) {
      this.pieces = [];
      this.passOn(pieces.length === 1 ? first : Buffer.concat(pieces));
    }
  }

  /** Drops what was added. */
  clear(): void {
    this.pieces = [];
  }
}
