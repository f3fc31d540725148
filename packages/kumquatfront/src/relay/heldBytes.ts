/**
 * Bytes that are collected until an event or a whole answer is complete, counted with the responses that are held: each collection is
 * small, those of many exchanges are not.
 */
import type * as responseMemory from './responseMemory.js';

/** Bytes of one exchange; see the module comment. */
export class HeldBytes {
  private buffer: responseMemory.ResponseBuffer | undefined;

  /**
   * @param giveUp - called with the reason when all responses take too much, and this is the largest of them
   */
  constructor(
    private readonly responses: responseMemory.ResponseMemory,
    private readonly giveUp: (reason: string) => void,
  ) {}

  /** Bytes held. */
  get size(): number {
    return this.buffer?.size ?? 0;
  }

  /** Appends bytes; may give them up, or a larger response. */
  append(bytes: Uint8Array): void {
    if (bytes.length > 0) {
      this.buffer ??= this.responses.openResponse((reason) => {
        this.buffer = undefined;
        this.giveUp(reason);
      });
      this.buffer.add(bytes);
    }
  }

  /** All bytes in order; nothing is held afterwards. */
  takeContent(): Buffer {
    const content = this.buffer?.content() ?? Buffer.alloc(0);
    this.clear();
    return content;
  }

  /** Removes and returns the oldest bytes, at most so many; undefined if there are none. */
  takeFirst(maximum: number): Buffer | undefined {
    const bytes = this.buffer?.takeFirst(maximum);
    if (this.size === 0) {
      this.clear();
    }
    return bytes;
  }

  /** Gives the room back. */
  clear(): void {
    this.buffer?.release();
    this.buffer = undefined;
  }
}
