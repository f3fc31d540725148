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

/** Sequences that complete an event: the end of its last line, and that of the empty line. */
const EVENT_TERMINATORS: readonly string[] = ['\n\n', '\n\r\n', '\r\r'];

/** Incremental splitter of one event stream. */
export class EventSplitter {
  private buffer: Buffer = Buffer.alloc(0);

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
    let first = 0;
    for (const terminator of EVENT_TERMINATORS) {
      const index = this.buffer.indexOf(terminator, start, 'latin1');
      if (index >= 0 && (first === 0 || index + terminator.length < first)) {
        first = index + terminator.length;
      }
    }
    return first;
  }
}

function parseEventId(event: Buffer): string | undefined {
  const text = event.toString('latin1');
  const found = /(?:^|[\r\n])id: ?([^\r\n]*)/.exec(text);
  return found?.[1];
}
