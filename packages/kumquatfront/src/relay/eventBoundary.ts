/**
 * Follows a server-sent event stream to tell whether it has had a complete event, and whether it now ends within one.
 * Lines end with CR LF, LF or CR, and an empty line completes an event.
 */
import * as eventSplitter from './eventSplitter.js';

/** A CR of the empty line may be the first half of CR LF, and then belongs to the terminator. */
const ENDS_WITH_EMPTY_LINE = /(?:\n\n|\n\r\n|\r\r\n?)$/;
const ONLY_LINE_ENDS = /^[\r\n]*$/;

const TAIL_LENGTH = 4;

/** Follows one stream; see the module comment. */
export class EventBoundary {
  /** True once a complete event was received. */
  hasEvent = false;
  /** Needed until the first event. */
  private splitter: eventSplitter.EventSplitter | undefined = new eventSplitter.EventSplitter();
  private tail = '';
  private length = 0;

  /** Adds bytes that were received. */
  push(bytes: Uint8Array): void {
    const received = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    if (this.splitter?.push(received).some((event) => !eventSplitter.isCommentOnly(event)) === true) {
      this.hasEvent = true;
      this.splitter = undefined;
    }
    this.length += bytes.length;
    const last = received.subarray(Math.max(0, received.length - TAIL_LENGTH)).toString('latin1');
    this.tail = (this.tail + last).slice(-TAIL_LENGTH);
  }

  /** True if the bytes so far end within an event. */
  get isWithinEvent(): boolean {
    const hasOnlyLineEnds = this.length <= TAIL_LENGTH && ONLY_LINE_ENDS.test(this.tail);
    return !hasOnlyLineEnds && !ENDS_WITH_EMPTY_LINE.test(this.tail);
  }
}
