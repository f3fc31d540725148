/**
 * A connection that reads the events of a generation from an engine. It is closed with the last event, whatever else the engine sends.
 */
import * as stringDecoder from 'node:string_decoder';

import * as eventSource from 'eventsource-parser';

import * as eventSplitter from '../relay/eventSplitter.js';
import * as responseClassification from '../relay/responseClassification.js';
import type * as relayTypes from '../relay/types.js';
import * as completionChunk from '../streams/completionChunk.js';
import type * as streams from '../streams/types.js';
import * as singleUseConnection from './singleUseConnection.js';
import * as systemTime from './systemTime.js';

const MAXIMUM_EVENT_BYTES = 1024 * 1024;
const END_OF_STREAM = '[DONE]';

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
  private readonly splitter = new eventSplitter.EventSplitter();
  /** Bytes received since the last token. */
  private bytesWithoutToken = 0;

  constructor(
    request: singleUseConnection.OutgoingRequest,
    private readonly listener: streams.GenerationListener,
  ) {
    this.exchange = singleUseConnection.send(request, systemTime.scheduler, {
      head: (status) => {
        this.onHead(status);
      },
      data: (bytes) => {
        this.onData(bytes);
      },
      end: () => {
        this.fail('broken', 'response ended before [DONE]');
      },
      failed: (failure, reason) => {
        this.onFailed(failure, reason);
      },
    });
  }

  /** Ends the exchange, once; false if it has ended. */
  private finish(): boolean {
    const isOpen = !this.finished;
    this.finished = true;
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
    this.bytesWithoutToken += bytes.length;
    const complete = this.splitter.pushTogether(bytes);
    if (complete.length > 0) {
      this.parser.feed(this.decoder.write(complete));
    }
    // Bounds the memory used by an event that never ends, and the time of a stream that has no tokens.
    if (Math.max(this.bytesWithoutToken, this.splitter.incompleteBytes) > MAXIMUM_EVENT_BYTES) {
      this.fail('broken', 'event too large');
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
    this.exchange.pause();
  }

  resume(): void {
    this.exchange.resume();
  }

  close(): void {
    this.finish();
  }
}

/**
 * Opens a connection to an engine.
 *
 * @param request - starts or resumes a generation
 * @returns the connection
 * @example
 * ```ts
 * const connection = generationConnection.open(request, listener);
 * ```
 */
export function open(
  request: singleUseConnection.OutgoingRequest,
  listener: streams.GenerationListener,
): streams.GenerationConnection {
  return new GenerationConnection(request, listener);
}
