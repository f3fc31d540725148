/**
 * Bounds the memory of responses that are held until they are complete. An upstream may send bytes without end: one such
 * response must neither use up the memory of the process nor take the room of others. What is counted is the memory that holds the
 * bytes: an answer in pieces of one byte would otherwise hold an object of some hundred bytes for each of them.
 */
import * as byteCollector from '../buffers/byteCollector.js';
import type * as heldMemoryTypes from '../heldMemory/types.js';
import type * as ports from '../kernel/ports.js';
import * as maximum from '../utils/maximum.js';

const MEBIBYTE = 1_048_576;

/** Bounds on held responses. */
export interface ResponseBounds {
  /** Bytes of one response; the memory that holds them exceeds them by less than a block of the collector. */
  readonly perResponse: number;
  /** Bytes of memory that hold all responses together; above it, the largest is given up. */
  readonly total: number;
}

/** Bounds of an entry. */
export const defaultBounds: ResponseBounds = { perResponse: 8 * MEBIBYTE, total: 24 * MEBIBYTE };

/** One response that is held. */
export class ResponseBuffer {
  private readonly collector = new byteCollector.ByteCollector();

  constructor(
    private readonly responses: ResponseMemory,
    readonly giveUp: (reason: string) => void,
    readonly shed: ((reason: string) => void) | undefined,
  ) {}

  /** Bytes of the response. */
  get size(): number {
    return this.collector.size;
  }

  /** Bytes of memory that hold them. */
  get memory(): number {
    return this.collector.memory;
  }

  /** Number of objects that hold them. */
  get pieces(): number {
    return this.collector.pieces;
  }

  /** Holds bytes; may give up this response, or a larger one. Does nothing once the room is given back. */
  add(bytes: Uint8Array): void {
    if (this.responses.holds(this)) {
      const { pieces } = this.collector;
      const growth = this.collector.append(bytes);
      this.responses.recordGrowth(this, growth, this.collector.pieces - pieces);
    }
  }

  /** All bytes in order. */
  content(): Buffer {
    return this.collector.content();
  }

  /** Removes and returns the oldest bytes, at most so many; undefined if there are none. */
  takeFirst(maximum: number): Buffer | undefined {
    const { memory, pieces } = this.collector;
    const bytes = this.collector.takeFirst(maximum);
    this.responses.recordTaken(this, memory - this.collector.memory, pieces - this.collector.pieces);
    return bytes;
  }

  /** Gives the room back; the content stays with whoever has taken it. */
  release(): void {
    this.responses.release(this);
  }

  /** Releases the memory of a response that was given up. */
  clear(): void {
    this.collector.clear();
  }
}

/** Responses that are held at one entry; see the module comment. */
export class ResponseMemory {
  private readonly open = new Set<ResponseBuffer>();
  private used = 0;
  private pieces = 0;
  private reportGrowth: (growth: heldMemoryTypes.Held) => void = () => undefined;

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
   * @param shed - called instead when this entry needs the room, whatever the response is; without it, it is not given up for that
   */
  openResponse(giveUp: (reason: string) => void, shed?: (reason: string) => void): ResponseBuffer {
    const buffer = new ResponseBuffer(this, giveUp, shed);
    this.open.add(buffer);
    return buffer;
  }

  /** Memory that holds all responses. */
  held(): heldMemoryTypes.Held {
    return { bytes: this.used, pieces: this.pieces };
  }

  /** The response that takes the most objects, if it may be given up. */
  largest(): heldMemoryTypes.LargestHeld | undefined {
    const buffer = maximum.by(this.open, (response) => (response.shed === undefined ? 0 : response.pieces));
    if (buffer === undefined) {
      return undefined;
    }
    const { memory: bytes, pieces, shed } = buffer;
    return {
      held: { bytes, pieces },
      fields: { bytes: buffer.size },
      giveUp: () => {
        this.discard(buffer, 'the memory of this entry is nearly full', shed);
      },
    };
  }

  /** Sets what is called each time more is held. */
  onGrowth(callback: (growth: heldMemoryTypes.Held) => void): void {
    this.reportGrowth = callback;
  }

  /** Whether the room of a response has not been given back. */
  holds(buffer: ResponseBuffer): boolean {
    return this.open.has(buffer);
  }

  /** Applies the bounds after a response has grown by bytes of memory and objects. */
  recordGrowth(buffer: ResponseBuffer, growth: number, pieces: number): void {
    this.used += growth;
    this.pieces += pieces;
    this.reportGrowth({ bytes: growth, pieces });
    if (buffer.size > this.bounds.perResponse) {
      this.giveUp(buffer, `the response has more than ${this.bounds.perResponse} bytes`);
    } else if (this.used > this.bounds.total) {
      this.giveUp(
        maximum.by(this.open, ({ memory }) => memory) ?? buffer,
        `held responses take more than ${this.bounds.total} bytes of memory, and this is the largest`,
      );
    }
  }

  /** Records that bytes of memory and objects of a response were taken. */
  recordTaken(buffer: ResponseBuffer, bytes: number, pieces: number): void {
    if (this.open.has(buffer)) {
      this.used -= bytes;
      this.pieces -= pieces;
    }
  }

  private giveUp(buffer: ResponseBuffer, reason: string): void {
    this.log.warn('responseGivenUp', {
      bytes: buffer.size,
      held: this.used,
      pieces: this.pieces,
      responses: this.open.size,
      reason,
    });
    this.metrics.count('relayed.responses_given_up', 1);
    this.discard(buffer, reason, buffer.giveUp);
  }

  private discard(
    buffer: ResponseBuffer,
    reason: string,
    tell: ((reason: string) => void) | undefined,
  ): void {
    this.release(buffer);
    tell?.(reason);
    buffer.clear();
  }

  /** Gives the room of a response back; does nothing if it was released. */
  release(buffer: ResponseBuffer): void {
    if (this.open.delete(buffer)) {
      this.used -= buffer.memory;
      this.pieces -= buffer.pieces;
    }
  }
}
