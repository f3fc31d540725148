/**
 * Collects bytes that another process sends in pieces of any size. It copies small pieces into blocks: a piece of a few bytes would
 * otherwise keep an object, and the read of 64 KiB that it lies in, until all have arrived.
 */

const SMALLEST_BLOCK = 1_024;
const LARGEST_BLOCK = 65_536;

/** Size from which a piece is kept as it is; it is at least half of the read that it lies in. */
const LARGE_PIECE = LARGEST_BLOCK / 2;

/** Bytes of one sender; see the module comment. */
export class ByteCollector {
  /** Bytes collected so far. */
  size = 0;
  /** Bytes of memory that hold them. */
  memory = 0;
  private readonly blocks: Buffer[] = [];
  private used = 0;

  /** Number of objects that hold them. */
  get pieces(): number {
    return this.blocks.length;
  }

  /**
   * Appends bytes.
   *
   * @returns bytes of memory by which the collector has grown
   * @example
   * ```ts
   * held.grow(body.append(bytes));
   * ```
   */
  append(bytes: Uint8Array): number {
    this.size += bytes.length;
    const growth = bytes.length >= LARGE_PIECE ? this.keep(bytes) : this.copy(bytes);
    this.memory += growth;
    return growth;
  }

  private keep(bytes: Uint8Array): number {
    const last = this.blocks.pop();
    if (last !== undefined) {
      this.blocks.push(last.subarray(0, this.used));
    }
    this.blocks.push(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length));
    this.used = bytes.length;
    return Math.max(bytes.length, LARGEST_BLOCK);
  }

  private copy(bytes: Uint8Array): number {
    let growth = 0;
    let offset = 0;
    while (offset < bytes.length) {
      let block = this.blocks.at(-1);
      if (block === undefined || this.used === block.length) {
        const wanted = Math.max(bytes.length - offset, (block?.length ?? 0) * 2, SMALLEST_BLOCK);
        // A block of the pool that Node.js slices small buffers from would keep the whole pool.
        block = Buffer.allocUnsafeSlow(Math.min(wanted, LARGEST_BLOCK));
        this.blocks.push(block);
        this.used = 0;
        growth += block.length;
      }
      const count = Math.min(bytes.length - offset, block.length - this.used);
      block.set(bytes.subarray(offset, offset + count), this.used);
      this.used += count;
      offset += count;
    }
    return growth;
  }

  /** All bytes in order; the collector is empty afterwards. */
  takeContent(): Buffer {
    const [first = Buffer.alloc(0), ...others] = this.blocks;
    const content =
      others.length === 0 ? first.subarray(0, this.size) : Buffer.concat(this.blocks, this.size);
    this.clear();
    return content;
  }

  /** Releases the memory. */
  clear(): void {
    this.blocks.length = 0;
    this.used = 0;
    this.size = 0;
    this.memory = 0;
  }
}
