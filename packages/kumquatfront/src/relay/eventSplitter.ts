/**
 * Splits a server-sent event stream into complete events, so that a stream that is cut off within an event never
 * forwards a partial event.
 */

/** One complete event, including the blank line that terminates it. */
export interface CompleteEvent {
  readonly bytes: Buffer;
  /** Value of the `id` field; undefined if the event has none. */
  readonly identity?: string;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Incremental splitter of one event stream. */
export class EventSplitter {
  private buffer: Buffer = Buffer.alloc(0);

  /** True if the buffer holds bytes of an incomplete event. */
  get hasPartialEvent(): boolean {
    return this.buffer.length > 0;
  }

  /** Appends bytes and returns the events that they complete. */
  push(bytes: Uint8Array): readonly CompleteEvent[] {
    this.buffer = this.buffer.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.buffer, bytes]);
    const events: CompleteEvent[] = [];
    let eventStart = 0;
    for (let end = this.findEventEnd(eventStart); end > 0; end = this.findEventEnd(eventStart)) {
      const event = this.buffer.subarray(eventStart, end);
      events.push({ bytes: event, identity: parseEventId(event) });
      eventStart = end;
    }
    this.buffer = this.buffer.subarray(eventStart);
    return events;
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder(): Buffer {
    const { buffer: remainder } = this;
    this.buffer = Buffer.alloc(0);
    return remainder;
  }

  private findEventEnd(start: number): number {
    for (let index = this.buffer.indexOf(LINE_FEED, start); index >= 0;) {
      const next = this.buffer[index + 1] === CARRIAGE_RETURN ? index + 2 : index + 1;
      if (this.buffer[next] === LINE_FEED) {
        return next + 1;
      }
      index = this.buffer.indexOf(LINE_FEED, index + 1);
    }
    return 0;
  }
}

function parseEventId(event: Buffer): string | undefined {
  const text = event.toString('latin1');
  const found = /(?:^|\n)id: ?([^\r\n]*)/.exec(text);
  return found?.[1];
}
