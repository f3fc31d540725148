/**
 * Decides whether an answer is complete when its exchange ends. All paths to upstreams pass the one gate that asks this
 * module, and follow its verdict.
 *
 * A length or the last chunk states that a body is whole. Otherwise only its connection ends it, and the crash of an
 * upstream ends its connections in the same way. An event stream that ends within an event was cut off in any framing.
 */
import * as eventBoundary from './eventBoundary.js';
import type * as types from './types.js';

/**
 * - `complete`: the framing states that the body is whole.
 * - `unconfirmed`: the connection has ended, and nothing else tells whether the body is whole.
 * - `cutOff`: the stream ends within an event.
 */
export type Completion = 'complete' | 'unconfirmed' | 'cutOff';

const EVENT_STREAM_TYPE = /^text\/event-stream\b/i;

function isEventStream({ status, headers }: types.ResponseHead): boolean {
  const [, type] = headers.find(([name]) => name.toLowerCase() === 'content-type') ?? [];
  return status < 300 && (type === undefined || EVENT_STREAM_TYPE.test(type));
}

/** Follows the answer of one exchange. */
export class AnswerCompletion {
  private head: types.ResponseHead | undefined;
  private events: eventBoundary.EventBoundary | undefined;

  /**
   * @param isStream - true if the request is for an event stream
   */
  constructor(private readonly isStream: boolean) {}

  /** Records the head of the answer. */
  recordHead(head: types.ResponseHead): void {
    this.head = head;
    this.events = this.isStream && isEventStream(head) ? new eventBoundary.EventBoundary() : undefined;
  }

  /** Records bytes of the body. */
  recordData(bytes: Uint8Array): void {
    this.events?.push(bytes);
  }

  /** True once a complete event of a stream was received. */
  get hasEvent(): boolean {
    return this.events?.hasEvent === true;
  }

  /**
   * Verdict at the end of the exchange.
   *
   * @returns whether the answer is complete
   * @example
   * ```ts
   * if (completion.atEnd() === 'cutOff') listener.failed('broken', 'the stream ended within an event');
   * ```
   */
  atEnd(): Completion {
    if (this.events?.isWithinEvent === true) {
      return 'cutOff';
    }
    // The entry that has the connection to the upstream has confirmed the end of a relayed answer.
    const isConfirmed = this.head?.framing !== 'connection' || this.head.relayed === true;
    return isConfirmed ? 'complete' : 'unconfirmed';
  }
}
