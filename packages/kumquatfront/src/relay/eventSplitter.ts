/**
 * Splits a server-sent event stream into complete events, so that a stream that is cut off within an event never
 * forwards a partial event.
 */
import * as byteCollector from '../buffers/byteCollector.js';

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

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const NO_BYTES = Buffer.alloc(0);

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

/** Bytes that hold the end of an event. */
interface JoinedBytes {
  readonly buffer: Buffer;
  /** Position before which no event ends. */
  readonly searchFrom: number;
}

/** End of the last event; 0 if none ends. */
function endOfLastEvent(buffer: Buffer): number {
  const ends = EVENT_TERMINATORS.map((terminator) => {
    const found = buffer.lastIndexOf(terminator, undefined, 'latin1');
    return found < 0 ? 0 : found + terminator.length;
  });
  return Math.max(...ends);
}

/** Holds the bytes of an event until it is complete. */
export interface EventCollector {
  /** Bytes held. */
  readonly size: number;
  append(bytes: Uint8Array): void;
  /** All bytes in order; nothing is held afterwards. */
  takeContent(): Buffer;
}

/** Incremental splitter of one event stream. */
export class EventSplitter {
  /**
   * @param incomplete - holds the bytes after the last complete event
   */
  constructor(private readonly incomplete: EventCollector = new byteCollector.ByteCollector()) {}

  /** Last of them, as far as they may belong to a terminator. */
  private tail: Buffer = NO_BYTES;

  /** Number of bytes received after the last complete event. */
  get incompleteBytes(): number {
    return this.incomplete.size;
  }

  /** Appends bytes, which must not change afterwards, and returns the events that they complete. */
  push(bytes: Uint8Array): readonly CompleteEvent[] {
    const received = this.join(bytes);
    if (received === undefined) {
      return [];
    }
    const { buffer, searchFrom } = received;
    const events: CompleteEvent[] = [];
    let eventStart = 0;
    const ends = new EventEnds(buffer, searchFrom);
    for (let end = ends.after(0); end > 0; end = ends.after(eventStart)) {
      const event = buffer.subarray(eventStart, end);
      events.push({ bytes: event, identity: parseEventId(event) });
      eventStart = end;
    }
    this.keep(buffer.subarray(eventStart));
    return events;
  }

  /**
   * Appends bytes, which must not change afterwards, and returns the bytes of all events that they complete, for readers that need
   * neither each event nor its identity.
   */
  pushTogether(bytes: Uint8Array): Buffer {
    const received = this.join(bytes);
    if (received === undefined) {
      return NO_BYTES;
    }
    const { buffer } = received;
    const end = endOfLastEvent(buffer);
    this.keep(buffer.subarray(end));
    return buffer.subarray(0, end);
  }

  /** All bytes since the last complete event, if the given ones complete another; undefined if they do not, and are kept. */
  private join(bytes: Uint8Array): JoinedBytes | undefined {
    if (bytes.length === 0) {
      return undefined;
    }
    if (!bytes.includes(LINE_FEED) && !bytes.includes(CARRIAGE_RETURN)) {
      this.keep(bytes, NO_BYTES);
      return undefined;
    }
    const window = Buffer.concat([this.tail, bytes]);
    if (new EventEnds(window, 0).after(0) === 0) {
      this.keep(bytes, window);
      return undefined;
    }
    const buffer =
      this.incomplete.size === 0 ? window : Buffer.concat([this.incomplete.takeContent(), bytes]);
    return { buffer, searchFrom: buffer.length - window.length };
  }

  /**
   * Keeps bytes of an incomplete event.
   *
   * @param end - its last bytes, or all of them; empty if none of them can belong to a terminator
   */
  private keep(bytes: Uint8Array, end = bytes): void {
    this.incomplete.append(bytes);
    this.tail = end.length === 0 ? NO_BYTES : Buffer.from(end.subarray(-TERMINATOR_OVERLAP));
  }

  /** Removes and returns the bytes after the last complete event. */
  takeRemainder(): Buffer {
    this.tail = NO_BYTES;
    return this.incomplete.takeContent();
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
