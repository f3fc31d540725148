/**
 * Splits a server-sent event stream into whole events, so that a stream that breaks in the middle of an event
 * never hands half of it to a caller.
 */

/** One whole event with the blank line that ends it. */
export interface WholeEvent {
  readonly bytes: Buffer;
  /** Value of its `id` field; undefined where it has none. */
  readonly identity?: string;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** The splitter; see the module comment. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** True where bytes of an unfinished event are held. */
  get holdsPart(): boolean {
    return this.rest.length > 0;
  }

  /** Takes bytes in and gives the events that they complete. */
  push(bytes: Uint8Array): readonly WholeEvent[] {
    this.rest = this.rest.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.rest, bytes]);
    const events: WholeEvent[] = [];
    let start = 0;
    for (let end = this.endOfEvent(start); end > 0; end = this.endOfEvent(start)) {
      const event = this.rest.subarray(start, end);
      events.push({ bytes: event, identity: identityOf(event) });
      start = end;
    }
    this.rest = this.rest.subarray(start);
    return events;
  }

  /** Takes what is left of a stream that ended. */
  takeRest(): Buffer {
    const { rest } = this;
    this.rest = Buffer.alloc(0);
    return rest;
  }

  private endOfEvent(start: number): number {
    for (let index = this.rest.indexOf(LINE_FEED, start); index >= 0;) {
      const next = this.rest[index + 1] === CARRIAGE_RETURN ? index + 2 : index + 1;
      if (this.rest[next] === LINE_FEED) {
        return next + 1;
      }
      index = this.rest.indexOf(LINE_FEED, index + 1);
    }
    return 0;
  }
}

function identityOf(event: Buffer): string | undefined {
  const text = event.toString('latin1');
  const found = /(?:^|\n)id: ?([^\r\n]*)/.exec(text);
  return found?.[1];
}
