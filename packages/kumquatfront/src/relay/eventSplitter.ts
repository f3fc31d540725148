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

/** Bytes of a terminator that may have arrived before its last byte. */
const TERMINATOR_OVERLAP = 2;

/** Number of pieces above which they are joined: each small piece takes more memory than its bytes. */
const MAXIMUM_PIECES = 1_024;

/** Finds the ends of events in a buffer, each search going on where the one before ended. */
class EventEnds {
  /** Position of the next occurrence of each terminator; -1 if there is none. */
  private readonly next: number[];

  constructor(
    private readonly buffer: Buffer,
    start: number,
  ) {
    this.next = EVENT_TERMINATORS.map((terminator) => buffer.indexOf(terminator, start, 'latin1'));
  }

  /** End of the first event that ends behind the position; 0 if none does. */
  after(position: number): number {
    let first = 0;
    for (const [index, terminator] of EVENT_TERMINATORS.entries()) {
      let found = this.next[index] ?? -1;
      if (found >= 0 && found < position) {
        found = this.buffer.indexOf(terminator, position, 'latin1');
        this.next[index] = found;
      }
      if (found >= 0 && (first === 0 || found + terminator.length < first)) {
        first = found + terminator.length;
      }
    }
    return first;
  }
}

/** Incremental splitter of one event stream. */
export class EventSplitter {
  /** Bytes received after the last complete event, in pieces: joining them with each one would take quadratic time. */
  private pieces: Buffer[] = [];
  /** Last bytes of the pieces, which may belong to a terminator. */
  private tail: Buffer = Buffer.alloc(0);
  private length = 0;

  /** Number of bytes received after the last complete event. */
  get incompleteBytes(): number {
    return this.length;
  }

  /** Appends bytes and returns the events that they complete. */
  push(bytes: Uint8Array): readonly CompleteEvent[] {
    const received = Buffer.from(bytes);
    const window = Buffer.concat([this.tail, received]);
    this.pieces.push(received);
    this.length += received.length;
    if (new EventEnds(window, 0).after(0) === 0) {
      this.keep(this.pieces.length > MAXIMUM_PIECES ? [Buffer.concat(this.pieces)] : this.pieces, window);
      return [];
    }
    const buffer = Buffer.concat(this.pieces);
    const events: CompleteEvent[] = [];
    let eventStart = 0;
    const ends = new EventEnds(buffer, buffer.length - window.length);
    for (let end = ends.after(0); end > 0; end = ends.after(eventStart)) {
      const event = buffer.subarray(eventStart, end);
      events.push({ bytes: event, identity: parseEventId(event) });
      eventStart = end;
    }
    const remainder = buffer.subarray(eventStart);
    this.length = remainder.length;
    this.keep(remainder.length === 0 ? [] : [remainder], remainder);
    return events;
  }

  /**
   * Keeps an incomplete event.
   *
   * @param end - its last bytes, or all of them
   */
  private keep(pieces: Buffer[], end: Buffer): void {
    this.pieces = pieces;
    this.tail = Buffer.from(end.subarray(-TERMINATOR_OVERLAP));
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder(): Buffer {
    const remainder = Buffer.concat(this.pieces);
    this.length = 0;
    this.keep([], Buffer.alloc(0));
    return remainder;
  }
}

function parseEventId(event: Buffer): string | undefined {
  const text = event.toString('latin1');
  const found = /(?:^|[\r\n])id: ?([^\r\n]*)/.exec(text);
  return found?.[1];
}

/**
 * Whether an event has nothing but comments, which are sent to keep connections open, also before the first event.
 *
 * @example
 * ```ts
 * eventSplitter.isCommentOnly({ bytes: Buffer.from(': waiting\n\n') }); // true
 * ```
 */
export function isCommentOnly({ bytes, identity }: CompleteEvent): boolean {
  // Nearly every event has an identity, and its lines need not be looked at again.
  return (
    identity === undefined &&
    bytes
      .toString('latin1')
      .split(/[\r\n]+/)
      .every((line) => line === '' || line.startsWith(':'))
  );
}
