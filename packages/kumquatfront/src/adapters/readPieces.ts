/**
 * Joins the pieces in which a parser passes the body of one read on: a read of 64 KiB may hold thousands of chunks, each of which would be an
 * event, a write and several objects to everything behind it.
 */
import * as byteCollector from '../buffers/byteCollector.js';

/** Pieces of one read; see the module comment. */
export class ReadPieces {
  /** The only piece so far, which is passed on as it is. */
  private single: Uint8Array | undefined;
  private readonly joined = new byteCollector.ByteCollector();
  private isPlanned = false;
  private count = 0;

  /**
   * @param passOn - receives the bytes of one read, and the number of their pieces
   */
  constructor(private readonly passOn: (bytes: Uint8Array, pieces: number) => void) {}

  /** Adds a piece, which is passed on with the others of its read. */
  add(piece: Uint8Array): void {
    this.count += 1;
    if (this.single === undefined && this.joined.size === 0) {
      this.single = piece;
    } else {
      this.join(piece);
    }
    // What comes with the head waits in the stream of the body, and is emitted after the read.
    if (!this.isPlanned) {
      this.isPlanned = true;
      process.nextTick(() => {
        this.isPlanned = false;
        this.flush();
      });
    }
  }

  private join(piece: Uint8Array): void {
    if (this.single !== undefined) {
      this.joined.append(this.single);
      this.single = undefined;
    }
    this.joined.append(piece);
  }

  /** Passes on what was added. */
  flush(): void {
    const { single, count } = this;
    this.count = 0;
    if (single !== undefined) {
      this.single = undefined;
      this.passOn(single, count);
    } else if (this.joined.size > 0) {
      this.passOn(this.joined.takeContent(), count);
    }
  }

  /** Drops what was added. */
  clear(): void {
    this.single = undefined;
    this.count = 0;
    this.joined.clear();
  }
}
