/**
 * Delivers the events of one stream to its caller, each once and in order, whichever upstreams send them.
 */
import type * as ports from '../kernel/ports.js';
import type * as eventSplitter from './eventSplitter.js';
import type * as types from './types.js';

/** Caller side of one stream; see the module comment. */
export class StreamDelivery {
  /** True once the head of the response has been sent to the caller. */
  started = false;
  /** Identifier of the last event that the caller received; undefined before the first. */
  lastEvent: string | undefined;
  /** Number of delivered events. */
  eventCount = 0;
  /** Time of delivery of the first event; undefined before. */
  firstEventAt: ports.Milliseconds | undefined;
  /** Longest time between two delivered events. */
  longestPause: ports.Milliseconds = 0;
  private head: types.ResponseHead | undefined;
  private lastEventAt: ports.Milliseconds = 0;
  /** Adjacent events that are delivered but not written yet. */
  private pending: Buffer | undefined;

  /**
   * @param caller - receives the events of one read in one write: each write takes several objects until the caller has read it
   * @param recordWrite - told after each write whether the caller can take more
   */
  constructor(
    private readonly caller: types.CallerPort,
    lastEvent: string | undefined,
    private readonly recordWrite: (canTakeMore: boolean) => void,
  ) {
    this.lastEvent = lastEvent;
  }

  /** Sets the response head; heads of later upstreams are ignored. */
  setHead(head: types.ResponseHead): void {
    this.head ??= head;
  }

  /** Framing of the response whose head the caller has; undefined before the head. */
  get framing(): types.BodyFraming | undefined {
    return this.head?.framing;
  }

  private begin(): void {
    if (!this.started && this.head !== undefined) {
      this.started = true;
      this.caller.begin(this.head);
    }
  }

  /**
   * Delivers an event, which is written by the next `flush`.
   *
   * @returns false if the caller already has it, since a resumed upstream may repeat events
   */
  deliver(event: eventSplitter.CompleteEvent, now: ports.Milliseconds): boolean {
    if (event.identity !== undefined && !this.isNewEvent(event.identity)) {
      return false;
    }
    this.lastEvent = event.identity ?? this.lastEvent;
    this.firstEventAt ??= now;
    if (this.started) {
      this.longestPause = Math.max(this.longestPause, now - this.lastEventAt);
    }
    this.lastEventAt = now;
    this.eventCount += 1;
    this.begin();
    this.add(event.bytes);
    return true;
  }

  /** Writes the events that were delivered. */
  flush(): void {
    const { pending } = this;
    if (pending !== undefined) {
      this.pending = undefined;
      this.recordWrite(this.caller.write(pending));
    }
  }

  private add(bytes: Buffer): void {
    const { pending } = this;
    if (pending?.buffer === bytes.buffer && pending.byteOffset + pending.length === bytes.byteOffset) {
      this.pending = Buffer.from(bytes.buffer, pending.byteOffset, pending.length + bytes.length);
      return;
    }
    this.flush();
    this.pending = bytes;
  }

  private isNewEvent(identity: string): boolean {
    const number = Number(identity);
    const last = Number(this.lastEvent);
    return this.lastEvent === undefined || Number.isNaN(number) || Number.isNaN(last) || number > last;
  }

  /** Completes the stream with the bytes received after its last event. */
  end(remainder: Uint8Array): void {
    this.begin();
    this.flush();
    if (remainder.length > 0) {
      this.caller.write(remainder);
    }
    this.caller.end();
  }
}
