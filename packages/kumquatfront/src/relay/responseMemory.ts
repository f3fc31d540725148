/**
 * Bounds the memory of responses that are held until they are complete. An upstream may send bytes without end: one such
 * response must neither use up the memory of the process nor take the room of others.
 */
import type * as heldMemoryTypes from '../heldMemory/types.js';
import type * as ports from '../kernel/ports.js';

const MEBIBYTE = 1_048_576;

/** Bounds on held responses. */
export interface ResponseBounds {
  /** Bytes of one response. */
  readonly perResponse: number;
  /** Bytes of all responses together; above it, the largest is given up. */
  readonly total: number;
}

/** Bounds of an entry. */
export const defaultBounds: ResponseBounds = { perResponse: 8 * MEBIBYTE, total: 24 * MEBIBYTE };

/** One response that is held. */
export class ResponseBuffer {
  readonly chunks: Uint8Array[] = [];
  size = 0;

  constructor(
    private readonly memory: ResponseMemory,
    readonly giveUp: (reason: string) => void,
  ) {}

  /** Number of objects that hold the bytes. */
  get pieces(): number {
    return this.chunks.length;
  }

  /** Holds bytes; may give up this response, or a larger one. */
  add(bytes: Uint8Array): void {
    this.chunks.push(bytes);
    this.size += bytes.length;
    this.memory.onGrowth(this, bytes.length);
  }

  /** All bytes in order. */
  content(): Buffer {
    return Buffer.concat(this.chunks);
  }

  /** Gives the room back; the content stays with whoever has taken it. */
  release(): void {
    this.memory.release(this);
  }
}

/** Responses that are held at one entry; see the module comment. */
export class ResponseMemory {
  private readonly open = new Set<ResponseBuffer>();
  private used = 0;

  constructor(
    private readonly log: ports.Log,
    private readonly metrics: ports.Metrics,
    private readonly bounds: ResponseBounds = defaultBounds,
  ) {}

  /**
   * Opens a response.
   *
   * @param giveUp - called at most once, with the reason, when the response must not grow any more; the caller closes its
   * connection
   */
  openResponse(giveUp: (reason: string) => void): ResponseBuffer {
    const buffer = new ResponseBuffer(this, giveUp);
    this.open.add(buffer);
    return buffer;
  }

  /** What all responses hold. */
  held(): heldMemoryTypes.Held {
    let pieces = 0;
    for (const buffer of this.open) {
      pieces += buffer.pieces;
    }
    return { bytes: this.used, pieces };
  }

  /** Applies the bounds after a response has grown. */
  onGrowth(buffer: ResponseBuffer, growth: number): void {
    if (!this.open.has(buffer)) {
      return;
    }
    this.used += growth;
    if (buffer.size > this.bounds.perResponse) {
      this.giveUp(buffer, `the response has more than ${this.bounds.perResponse} bytes`);
    } else if (this.used > this.bounds.total) {
      const [largest = buffer] = [...this.open].sort((one, other) => other.size - one.size);
      this.giveUp(
        largest,
        `held responses have more than ${this.bounds.total} bytes, and this is the largest`,
      );
    }
  }

  private giveUp(buffer: ResponseBuffer, reason: string): void {
    this.log.warn('responseGivenUp', {
      bytes: buffer.size,
      held: this.used,
      responses: this.open.size,
      reason,
    });
    this.metrics.count('relayed.responses_given_up', 1);
    this.release(buffer);
    buffer.giveUp(reason);
  }

  /** Gives the room of a response back; does nothing if it was released. */
  release(buffer: ResponseBuffer): void {
    if (this.open.delete(buffer)) {
      this.used -= buffer.size;
    }
  }
}
