/**
 * One segment of a stream: the complete events that one upstream sends. A closed segment reports nothing more, so
 * that late data never mixes with the next segment.
 */
import type * as ports from '../kernel/ports.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as trafficTypes from '../traffic/types.js';
import * as callerGap from './callerGap.js';
import type * as exchangeContext from './exchangeContext.js';
import * as heldBytes from './heldBytes.js';
import * as heldResponse from './heldResponse.js';
import * as responseClassification from './responseClassification.js';
import * as eventSplitter from './eventSplitter.js';
import type * as types from './types.js';

/** Bytes of one event, and of comments between two events. */
const MAXIMUM_EVENT_BYTES = 1_048_576;

/** Comments between two events, which keep a connection open: one in 15 s for four hours. */
const MAXIMUM_COMMENTS = 1_000;

/** An error response, buffered instead of streamed. */
export interface ErrorResponse {
  readonly head: types.ResponseHead;
  readonly body: Uint8Array;
}

/** Callbacks of a segment. */
export interface SegmentListener {
  /** The head of the event stream was received. */
  readonly started: (head: types.ResponseHead) => void;
  readonly loadReported: (load: NonNullable<types.ResponseHead['load']>) => void;
  readonly event: (event: eventSplitter.CompleteEvent) => void;
  /** All events that one read completes have been reported. */
  readonly readEnded: () => void;
  /** The segment is not read for a reason of this process, or read again. */
  readonly held: (isHeld: boolean) => void;
  /** The stream is complete; `remainder` contains the bytes after its last event. */
  readonly completed: (remainder: Uint8Array) => void;
  readonly errorReceived: (errorResponse: ErrorResponse) => void;
  /** The upstream states that it did not run the request. */
  readonly notRun: () => void;
  readonly broken: (failure: types.ExchangeFailure, reason: string) => void;
}

/** One segment of a stream; see the module comment. */
export class StreamSegment {
  readonly instance: instanceView.Instance;
  /** The memory copy that the segment resumes from; undefined for a new run. */
  readonly copy: types.MemoryCopy | undefined;
  /** Framing of the response; undefined before its head. */
  framing: types.BodyFraming | undefined;
  /** Number of received events. */
  eventCount = 0;
  /** Longest time between two of its events. */
  longestPause: ports.Milliseconds = 0;
  private lastEventAt: ports.Milliseconds | undefined;
  private readonly incomplete: heldBytes.HeldBytes;
  private readonly splitter: eventSplitter.EventSplitter;
  private listener: SegmentListener | undefined;
  private errorResponse: heldResponse.HeldResponse | undefined;
  /** Time at which the incomplete event began, by the clock of reading; undefined between events. */
  private eventBeganAt: ports.Milliseconds | undefined;
  /** Comments since the last event. */
  private comments = { count: 0, bytes: 0 };
  private open = true;
  private exchange: types.UpstreamExchange | undefined;
  private isPaused = false;

  /**
   * @param readingTime - a clock that stands still while the segment is paused
   */
  constructor(
    instance: instanceView.Instance,
    copy: types.MemoryCopy | undefined,
    private readonly context: exchangeContext.ExchangeContext,
    private readonly route: trafficTypes.Route,
    private readonly readingTime: () => ports.Milliseconds,
  ) {
    this.instance = instance;
    this.copy = copy;
    this.incomplete = new heldBytes.HeldBytes(context.responseMemory, (reason) => {
      if (this.listener !== undefined) {
        this.breakOff(this.listener, reason);
      }
    });
    this.splitter = new eventSplitter.EventSplitter(this.incomplete);
  }

  /**
   * Sends the request.
   *
   * @param repeatable - true if the request may run again on another upstream
   */
  start(
    upstreams: types.UpstreamPort,
    call: types.UpstreamCall,
    repeatable: boolean,
    listener: SegmentListener,
  ): void {
    this.listener = listener;
    this.exchange = upstreams.send(call, {
      head: (head) => {
        this.ifOpen(() => {
          this.onHead(head, repeatable, listener);
        });
      },
      data: (bytes) => {
        this.ifOpen(() => {
          this.onData(bytes, listener);
        });
      },
      held: (isHeld) => {
        this.ifOpen(() => {
          listener.held(isHeld);
        });
      },
      end: () => {
        this.ifOpen(() => {
          this.onEnd(listener);
        });
      },
      failed: (failure, reason) => {
        this.ifOpen(() => {
          listener.broken(failure, reason);
        });
      },
    });
    if (this.isPaused) {
      this.exchange.pause();
    }
  }

  /** Stops reading the stream; what has been read is still reported. */
  pause(): void {
    this.isPaused = true;
    this.exchange?.pause();
  }

  resume(): void {
    this.isPaused = false;
    this.exchange?.resume();
  }

  readToEnd(): void {
    this.exchange?.readToEnd?.();
  }

  private ifOpen(run: () => void): void {
    if (this.open) {
      run();
    }
  }

  /** Records the arrival of an event. */
  recordEvent(): void {
    const now = this.readingTime();
    this.longestPause = Math.max(this.longestPause, now - (this.lastEventAt ?? now));
    this.lastEventAt = now;
  }

  /**
   * Closes the segment and cancels its request.
   *
   * @param reason - `silent` if the upstream was unresponsive
   */
  close(reason?: 'silent'): void {
    if (this.open) {
      this.open = false;
      this.incomplete.clear();
      this.errorResponse?.release();
      this.exchange?.cancel(reason);
    }
  }

  private onHead(head: types.ResponseHead, repeatable: boolean, listener: SegmentListener): void {
    this.framing = head.framing;
    if (head.load !== undefined) {
      listener.loadReported(head.load);
    }
    const responseClass = responseClassification.classify(head, repeatable);
    if (responseClass === 'notRun') {
      this.close();
      listener.notRun();
    } else if (responseClass === 'garbled') {
      this.breakOff(listener, 'the upstream sent an invalid response to this request');
    } else if (head.status >= 300) {
      this.errorResponse = new heldResponse.HeldResponse(this.context, (reason) => {
        this.breakOff(listener, reason);
      });
      this.errorResponse.recordHead(head);
    } else {
      listener.started(head);
    }
  }

  private onData(bytes: Uint8Array, listener: SegmentListener): void {
    if (this.errorResponse !== undefined) {
      this.errorResponse.add(bytes);
      return;
    }
    const events = this.splitter.push(bytes);
    const problem = this.reportEvents(events, listener) ?? this.findEndlessEvent();
    if (events.length > 0) {
      listener.readEnded();
    }
    // The listener may have closed this segment.
    if (this.open && problem !== undefined) {
      this.breakOff(listener, problem);
    }
  }

  /** Reports the events of one read; returns what shows that more of them can make no answer. */
  private reportEvents(
    events: readonly eventSplitter.CompleteEvent[],
    listener: SegmentListener,
  ): string | undefined {
    for (const event of events) {
      // The listener may have closed this segment, or the bytes behind the events were given up.
      if (!this.open) {
        return undefined;
      }
      this.eventBeganAt = undefined;
      this.countComment(event);
      this.eventCount += 1;
      listener.event(event);
      if (this.comments.count > MAXIMUM_COMMENTS) {
        return `the stream has more than ${MAXIMUM_COMMENTS} comments without an event`;
      }
    }
    return undefined;
  }

  private countComment(event: eventSplitter.CompleteEvent): void {
    const { count, bytes } = this.comments;
    this.comments = eventSplitter.isCommentOnly(event)
      ? { count: count + 1, bytes: bytes + event.bytes.length }
      : { count: 0, bytes: 0 };
  }

  /** What shows that more bytes can make no event; undefined if nothing does. */
  private findEndlessEvent(): string | undefined {
    const { incompleteBytes } = this.splitter;
    if (incompleteBytes + this.comments.bytes > MAXIMUM_EVENT_BYTES) {
      return `the stream has more than ${MAXIMUM_EVENT_BYTES} bytes without an event`;
    }
    if (incompleteBytes === 0) {
      return undefined;
    }
    const now = this.readingTime();
    this.eventBeganAt ??= now;
    const timeout = callerGap.forRoute(this.route);
    return now - this.eventBeganAt > timeout ? `an event did not end within ${timeout} ms` : undefined;
  }

  private breakOff(listener: SegmentListener, reason: string): void {
    this.close();
    listener.broken('garbled', reason);
  }

  private onEnd(listener: SegmentListener): void {
    const { errorResponse } = this;
    if (errorResponse?.head === undefined) {
      listener.completed(this.splitter.takeRemainder());
      return;
    }
    errorResponse.release();
    listener.errorReceived({ head: errorResponse.head, body: errorResponse.body() });
  }
}
