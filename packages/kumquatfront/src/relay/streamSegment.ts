/**
 * One segment of a stream: the complete events that one upstream sends. A closed segment reports nothing more, so
 * that late data never mixes with the next segment.
 */
import type * as ports from '../kernel/ports.js';
import type * as instanceView from '../instances/instanceView.js';
import * as responseClassification from './responseClassification.js';
import * as eventSplitter from './eventSplitter.js';
import type * as types from './types.js';

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
  private readonly splitter = new eventSplitter.EventSplitter();
  private errorResponse: { readonly head: types.ResponseHead; readonly chunks: Uint8Array[] } | undefined;
  private open = true;
  private cancel: types.CancelExchange = () => undefined;

  constructor(instance: instanceView.Instance, copy: types.MemoryCopy | undefined) {
    this.instance = instance;
    this.copy = copy;
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
    this.cancel = upstreams.send(call, {
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
  }

  private ifOpen(run: () => void): void {
    if (this.open) {
      run();
    }
  }

  /** Records the arrival of an event. */
  recordEvent(now: ports.Milliseconds): void {
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
      this.cancel(reason);
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
      this.close();
      listener.broken('garbled', 'the upstream sent an invalid response to this request');
    } else if (head.status >= 300) {
      this.errorResponse = { head, chunks: [] };
    } else {
      listener.started(head);
    }
  }

  private onData(bytes: Uint8Array, listener: SegmentListener): void {
    if (this.errorResponse !== undefined) {
      this.errorResponse.chunks.push(bytes);
      return;
    }
    for (const event of this.splitter.push(bytes)) {
      this.eventCount += 1;
      listener.event(event);
      // The listener may have closed this segment.
      if (!this.open) {
        return;
      }
    }
  }

  private onEnd(listener: SegmentListener): void {
    if (this.errorResponse === undefined) {
      listener.completed(this.splitter.takeRemainder());
    } else {
      listener.errorReceived({
        head: this.errorResponse.head,
        body: Buffer.concat(this.errorResponse.chunks),
      });
    }
  }
}
