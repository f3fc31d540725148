/**
 * The bytes of an event that has not ended, counted with the responses that are held: each is small, those of many streams are not.
 */
import type * as responseMemory from './responseMemory.js';

/** The incomplete event of one stream; see the module comment. */
export class HeldEvent {
  private buffer: responseMemory.ResponseBuffer | undefined;

  /**
   * @param giveUp - called with the reason when all responses take too much, and this event is the largest of them
   */
  constructor(
    private readonly responses: responseMemory.ResponseMemory,
    private readonly giveUp: (reason: string) => void,
  ) {}

  /** Bytes held. */
  get size(): number {
    return this.buffer?.size ?? 0;
  }

  /** Appends bytes; may give up this event, or a larger response. */
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
    this.release();
    return content;
  }

  /** Gives the room back. */
  release(): void {
    this.buffer?.release();
    this.buffer = undefined;
  }
}
