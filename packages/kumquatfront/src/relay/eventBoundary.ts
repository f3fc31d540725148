/**
 * Follows a server-sent event stream to tell whether it has had a complete event, and whether it now ends within one.
 * Lines end with CR LF, LF or CR, and an empty line completes an event.
 */
/** A CR of the empty line may be the first half of CR LF, and then belongs to the terminator. */
const ENDS_WITH_EMPTY_LINE = /(?:\n\n|\n\r\n|\r\r\n?)$/;
const ONLY_LINE_ENDS = /^[\r\n]*$/;

const TAIL_LENGTH = 4;

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const COLON = 58;

/** Positions of one byte in others; a large event has few line ends, and is searched natively. */
class Occurrences {
  private next = -1;

  constructor(
    private readonly bytes: Buffer,
    private readonly byte: number,
  ) {}

  /** Position of the first one from here on; the length if there is none. */
  from(position: number): number {
    if (this.next < position) {
      const found = this.bytes.indexOf(this.byte, position);
      this.next = found < 0 ? this.bytes.length : found;
    }
    return this.next;
  }
}

/** Finds the first event of a stream that is more than comments; holds none of its bytes. */
class FirstEvent {
  private isAtLineStart = true;
  private hasField = false;
  /** The last two bytes, of which a terminator may consist; 0 behind one. */
  private last = 0;
  private beforeLast = 0;

  /** Adds bytes; true if they complete the event. */
  push(bytes: Buffer): boolean {
    const lineFeeds = new Occurrences(bytes, LINE_FEED);
    const carriageReturns = new Occurrences(bytes, CARRIAGE_RETURN);
    for (let position = 0; position < bytes.length; position += 1) {
      const byte = bytes[position] ?? 0;
      if (byte > CARRIAGE_RETURN && !this.isAtLineStart) {
        this.last = byte;
        position = Math.min(lineFeeds.from(position), carriageReturns.from(position)) - 1;
      } else if (this.endsEvent(byte)) {
        if (this.hasField) {
          return true;
        }
        this.last = 0;
        this.beforeLast = 0;
        this.isAtLineStart = true;
      } else {
        this.addByte(byte);
      }
    }
    return false;
  }

  /** The terminators of relay/eventSplitter: LF LF, LF CR LF and CR CR. */
  private endsEvent(byte: number): boolean {
    if (byte === CARRIAGE_RETURN) {
      return this.last === CARRIAGE_RETURN;
    }
    const isEmptyLine =
      this.last === LINE_FEED || (this.last === CARRIAGE_RETURN && this.beforeLast === LINE_FEED);
    return byte === LINE_FEED && isEmptyLine;
  }

  private addByte(byte: number): void {
    const isLineEnd = byte === LINE_FEED || byte === CARRIAGE_RETURN;
    this.hasField ||= this.isAtLineStart && !isLineEnd && byte !== COLON;
    this.isAtLineStart = isLineEnd;
    this.beforeLast = this.last;
    this.last = byte;
  }
}

/** Follows one stream; see the module comment. */
export class EventBoundary {
  /** True once a complete event was received. */
  hasEvent = false;
  private readonly firstEvent = new FirstEvent();
  private tail = '';
  private length = 0;

  /** Adds bytes that were received. */
  push(bytes: Uint8Array): void {
    const received = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
    this.hasEvent ||= this.firstEvent.push(received);
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
