/**
 * Collects bytes that another process sends in pieces of any size. It copies small pieces into blocks: a piece of a few bytes would
 * otherwise keep an object of some hundred bytes until all have arrived.
 *
 * The memory exceeds the bytes by less than one block of 64 KiB, and is at most twice the bytes and 1 KiB, however the bytes are cut; the
 * block whose bytes are being taken stays whole beside that.
 */

const SMALLEST_BLOCK = 1_024;

/** Size of the largest block, which is the most that the memory may exceed the bytes. */
export const LARGEST_BLOCK = 65_536;

/** Size from which a piece may be kept as it is; half of the largest read. */
const LARGE_PIECE = LARGEST_BLOCK / 2;

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes) ? bytes : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
}

/** Bytes of one sender; see the module comment. */
export class ByteCollector {
  /** Bytes collected so far. */
  size = 0;
  /** Bytes of memory that hold them. */
  memory = 0;
  private readonly blocks: Buffer[] = [];
  /** Free bytes at the end of the last block; all others are full. */
  private free = 0;
  /** Bytes of the first block that were taken. */
  private taken = 0;

  /** Number of objects that hold them. */
  get pieces(): number {
    return this.blocks.length;
  }

  /**
   * Appends bytes, which must not change afterwards.
   *
   * @returns bytes of memory by which the collector has grown
   * @example
   * ```ts
   * held.grow(body.append(bytes));
   * ```
   */
  append(bytes: Uint8Array): number {
    const before = this.memory;
    if (this.mayKeep(bytes)) {
      this.blocks.push(toBuffer(bytes));
      this.memory += bytes.length;
    } else {
      this.copy(bytes);
    }
    this.size += bytes.length;
    return this.memory - before;
  }

  /**
   * Whether a piece is kept without a copy: the only one of a small answer, or a large one. A part of a larger memory would keep all of
   * it, and free room of a block would be lost behind the piece.
   */
  private mayKeep(bytes: Uint8Array): boolean {
    const isFirst = this.blocks.length === 0;
    if (this.free > 0 || !(isFirst || bytes.length >= LARGE_PIECE)) {
      return false;
    }
    // Asked last: to read `buffer` moves the bytes of a small array out of the heap, which takes several times as long as to copy them.
    return bytes.length === bytes.buffer.byteLength && bytes.length > 0;
  }

  private copy(bytes: Uint8Array): void {
    const last = this.blocks.at(-1);
    if (last !== undefined && bytes.length <= this.free) {
      // Nearly all small pieces; a view of each for the copy would take most of the time.
      last.set(bytes, last.length - this.free);
      this.free -= bytes.length;
      return;
    }
    let offset = 0;
    while (offset < bytes.length) {
      if (this.free === 0) {
        this.addBlock(bytes.length - offset);
      }
      const block = this.blocks.at(-1);
      const count = Math.min(bytes.length - offset, this.free);
      block?.set(bytes.subarray(offset, offset + count), block.length - this.free);
      this.free -= count;
      offset += count;
    }
  }

  private addBlock(needed: number): void {
    const length = Math.min(Math.max(needed, this.size, SMALLEST_BLOCK), LARGEST_BLOCK);
    // A block of the pool that Node.js slices small buffers from would keep the whole pool.
    this.blocks.push(Buffer.allocUnsafeSlow(length));
    this.memory += length;
    this.free = length;
  }

  /** All bytes in order, which stay in the collector. */
  content(): Buffer {
    const [first = Buffer.alloc(0), ...others] = this.blocks;
    const start = this.taken === 0 ? first : first.subarray(this.taken);
    if (others.length > 0) {
      return Buffer.concat([start, ...others], this.size);
    }
    return start.length === this.size ? start : start.subarray(0, this.size);
  }

  /** All bytes in order; the collector is empty afterwards. */
  takeContent(): Buffer {
    const content = this.content();
    this.clear();
    return content;
  }

  /** The oldest bytes, which are removed: those of one block, so that no more than its free room is kept with them. */
  takeBlock(): Buffer | undefined {
    return this.takeFirst(Number.MAX_SAFE_INTEGER);
  }

  /**
   * The oldest bytes of one block, at most so many, which are removed; its memory is held until all of it is taken.
   *
   * @example
   * ```ts
   * parser.feed(collector.takeFirst(4_096));
   * ```
   */
  takeFirst(maximum: number): Buffer | undefined {
    const [block] = this.blocks;
    if (block === undefined) {
      return undefined;
    }
    const end = block.length - (this.blocks.length === 1 ? this.free : 0);
    const bytes = block.subarray(this.taken, Math.min(end, this.taken + maximum));
    this.taken += bytes.length;
    this.size -= bytes.length;
    if (this.taken === end) {
      this.dropFirst(block);
    }
    return bytes;
  }

  private dropFirst(block: Buffer): void {
    this.blocks.shift();
    this.memory -= block.length;
    this.taken = 0;
    if (this.blocks.length === 0) {
      this.free = 0;
    }
  }

  /** Releases the memory. */
  clear(): void {
    this.blocks.length = 0;
    this.free = 0;
    this.taken = 0;
    this.size = 0;
    this.memory = 0;
  }
}
