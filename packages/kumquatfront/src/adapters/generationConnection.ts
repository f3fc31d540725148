/**
 * A connection that reads the events of a generation from an engine. It is closed with the last event, whatever else the engine sends.
 */
import * as stringDecoder from 'node:string_decoder';

import * as eventSource from 'eventsource-parser';

import * as byteCollector from '../buffers/byteCollector.js';
import * as eventSplitter from '../relay/eventSplitter.js';
import * as heldBytes from '../relay/heldBytes.js';
import * as responseClassification from '../relay/responseClassification.js';
import type * as responseMemory from '../relay/responseMemory.js';
import type * as relayTypes from '../relay/types.js';
import * as completionChunk from '../streams/completionChunk.js';
import type * as streams from '../streams/types.js';
import * as singleUseConnection from './singleUseConnection.js';
import * as systemTime from './systemTime.js';

const MAXIMUM_EVENT_BYTES = 1024 * 1024;
const END_OF_STREAM = '[DONE]';

/**
 * Bytes that are parsed before a pause is heeded. A read of 64 KiB holds a thousand small events, each of which is passed on with a
 * resume token that is several times as long.
 */
const PARSED_BYTES = 4_096;

/** Bytes that wait; counted with those of all connections, if these have a bound. */
type WaitingBytes = heldBytes.HeldBytes | byteCollector.ByteCollector;

function failureForStatus(status: number): streams.ConnectionFailure {
  if (status === 404 || status === 410) {
    return 'unknownGeneration';
  }
  return status >= 400 && status < 500 && status !== 408 && status !== 429 ? 'invalid' : 'refused';
}

/** See the module comment. */
class GenerationConnection implements streams.GenerationConnection {
  private readonly exchange: relayTypes.UpstreamExchange;
  private readonly decoder = new stringDecoder.StringDecoder('utf8');
  private readonly parser = eventSource.createParser({
    onEvent: (event) => {
      this.onEvent(event);
    },
  });
  private finished = false;
  /** Collects an event until it is complete: the parser would hold an object for each piece and each line of it. */
  private readonly splitter: eventSplitter.EventSplitter;
  private readonly incomplete: WaitingBytes;
  /** Bytes received since the last token. */
  private bytesWithoutToken = 0;
  private isPaused = false;
  /** Complete events that were read and are not parsed during a pause. */
  private readonly unparsed: WaitingBytes;
  /** Reports how the exchange ended, after the events that were read before, or that these were given up. */
  private reportEnd: (() => void) | undefined;

  constructor(
    request: singleUseConnection.OutgoingRequest,
    private readonly listener: streams.GenerationListener,
    responses: responseMemory.ResponseMemory | undefined,
  ) {
    const hold = (giveUp: (reason: string) => void): WaitingBytes =>
      responses === undefined
        ? new byteCollector.ByteCollector()
        : new heldBytes.HeldBytes(responses, giveUp);
    this.incomplete = hold((reason) => {
      this.fail('broken', reason);
    });
    this.unparsed = hold((reason) => {
      // Told after the pause: another connection would be read for a caller that takes nothing, and its events wait as well.
      this.reportEnd = () => {
        this.fail('broken', reason);
      };
    });
    this.splitter = new eventSplitter.EventSplitter(this.incomplete);
    this.exchange = singleUseConnection.send(request, systemTime.scheduler, {
      head: (status) => {
        this.onHead(status);
      },
      data: (bytes) => {
        this.onData(bytes);
      },
      held: (isHeld) => {
        this.listener.onHeld?.(isHeld);
      },
      end: () => {
        this.endAfterEvents(() => {
          this.fail('broken', 'response ended before [DONE]');
        });
      },
      failed: (failure, reason) => {
        this.endAfterEvents(() => {
          this.onFailed(failure, reason);
        });
      },
    });
  }

  /** Ends the exchange, once; false if it has ended. */
  private finish(): boolean {
    const isOpen = !this.finished;
    this.finished = true;
    this.unparsed.clear();
    this.incomplete.clear();
    this.exchange.cancel();
    return isOpen;
  }

  private fail(failure: streams.ConnectionFailure, detail: string): void {
    if (this.finish()) {
      this.listener.onFailed(failure, detail);
    }
  }

  private onFailed(failure: relayTypes.ExchangeFailure, reason: string): void {
    this.fail(responseClassification.wasNeverSent(failure) ? 'neverSent' : 'broken', reason);
  }

  private onHead(status: number): void {
    if (status === 200) {
      this.listener.onAccepted();
    } else {
      this.fail(failureForStatus(status), `status ${status}`);
    }
  }

  private onData(bytes: Uint8Array): void {
    if (this.reportEnd !== undefined) {
      // The events before were given up.
      return;
    }
    this.bytesWithoutToken += bytes.length;
    this.parseOrKeep(this.splitter.pushTogether(bytes));
    // Bounds the memory used by an event that never ends, and the time of a stream that has no tokens.
    if (Math.max(this.bytesWithoutToken, this.splitter.incompleteBytes) > MAXIMUM_EVENT_BYTES) {
      this.fail('broken', 'event too large');
    }
  }

  /** Parses complete events, and keeps those that come after a pause begins. */
  private parseOrKeep(complete: Buffer): void {
    let parsed = 0;
    while (!this.isPaused && parsed < complete.length) {
      this.feed(complete.subarray(parsed, parsed + PARSED_BYTES));
      parsed += PARSED_BYTES;
    }
    if (!this.finished) {
      this.unparsed.append(complete.subarray(parsed));
    }
  }

  /** Parses what was kept until it is paused or ended; returns false if it is. */
  private parseKept(): boolean {
    while (!this.isPaused && this.unparsed.size > 0) {
      this.feed(this.unparsed.takeFirst(PARSED_BYTES) ?? Buffer.alloc(0));
    }
    return !this.isPaused && !this.finished;
  }

  private feed(bytes: Buffer): void {
    this.parser.feed(this.decoder.write(bytes));
  }

  private endAfterEvents(report: () => void): void {
    if (this.unparsed.size === 0 && this.reportEnd === undefined) {
      report();
    } else {
      this.reportEnd ??= report;
    }
  }

  private onEvent(event: eventSource.EventSourceMessage): void {
    this.bytesWithoutToken = 0;
    if (this.finished) {
      return;
    }
    const id = event.id ?? '';
    const colon = id.lastIndexOf(':');
    const generation = id.slice(0, colon);
    const index = Number(id.slice(colon + 1));
    if (event.data === END_OF_STREAM) {
      this.finish();
      this.listener.onCompleted(generation, index);
      return;
    }
    if (completionChunk.parse(event.data) === undefined) {
      this.fail('broken', 'an event is no chunk of a completion');
      return;
    }
    this.listener.onToken(generation, index, event.data);
  }

  pause(): void {
    this.isPaused = true;
    this.exchange.pause();
  }

  resume(): void {
    this.isPaused = false;
    if (!this.parseKept()) {
      return;
    }
    if (this.reportEnd === undefined) {
      this.exchange.resume();
    } else {
      this.reportEnd();
    }
  }

  close(): void {
    this.finish();
  }
}

/**
 * Opens a connection to an engine.
 *
 * @param request - starts or resumes a generation
 * @param responses - counts an event that has not ended with all responses that are held, and bounds them together
 * @returns the connection
 * @example
 * ```ts
 * const connection = generationConnection.open(request, listener);
 * ```
 */
export function open(
  request: singleUseConnection.OutgoingRequest,
  listener: streams.GenerationListener,
  responses?: responseMemory.ResponseMemory,
): streams.GenerationConnection {
  return new GenerationConnection(request, listener, responses);
}
