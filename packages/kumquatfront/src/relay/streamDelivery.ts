/**
 * The caller's side of one stream: each event once and in order, whichever upstreams they come from.
 */
import type * as ports from '../kernel/ports.js';
import type * as eventSplitter from './eventSplitter.js';
import type * as types from './types.js';

/** One stream as its caller gets it; see the module comment. */
export class StreamDelivery {
  /** True once the caller has the head of its answer. */
  begun = false;
  /** Identity of the last event that the caller has; undefined before the first. */
  lastEvent: string | undefined;
  /** Events handed over. */
  events = 0;
  /** When the first event was handed over; undefined before. */
  firstEventAt: ports.Milliseconds | undefined;
  /** Longest time between two events. */
  longestPause: ports.Milliseconds = 0;
  private head: types.UpstreamHead | undefined;
  private lastAt: ports.Milliseconds = 0;
  private readonly caller: types.CallerPort;

  constructor(caller: types.CallerPort, lastEvent: string | undefined) {
    this.caller = caller;
    this.lastEvent = lastEvent;
  }

  /** Takes the head of an upstream's answer; the caller keeps that of the first. */
  takeHead(head: types.UpstreamHead): void {
    this.head ??= head;
  }

  private begin(): void {
    if (!this.begun && this.head !== undefined) {
      this.begun = true;
      this.caller.begin(this.head);
    }
  }

  /** Hands an event over; false where the caller has it already, as an upstream may begin with what it has. */
  hand(event: eventSplitter.WholeEvent, now: ports.Milliseconds): boolean {
    if (event.identity !== undefined && !this.isNew(event.identity)) {
      return false;
    }
    this.lastEvent = event.identity ?? this.lastEvent;
    this.firstEventAt ??= now;
    if (this.begun) {
      this.longestPause = Math.max(this.longestPause, now - this.lastAt);
    }
    this.lastAt = now;
    this.events += 1;
    this.begin();
    this.caller.write(event.bytes);
    return true;
  }

  private isNew(identity: string): boolean {
    const number = Number(identity);
    const last = Number(this.lastEvent);
    return this.lastEvent === undefined || Number.isNaN(number) || Number.isNaN(last) || number > last;
  }

  /** Ends the stream as complete, with what came behind its last event. */
  end(rest: Uint8Array): void {
    this.begin();
    if (rest.length > 0) {
      this.caller.write(rest);
    }
    this.caller.end();
  }
}
