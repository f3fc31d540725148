/**
 * HTTP responses for generations: a stream of server-sent events, or one JSON body.
 */
import type * as http from 'node:http';

import type * as ports from '../kernel/ports.js';
import type * as responseMemory from '../relay/responseMemory.js';
import type * as streams from '../streams/types.js';
import * as completionAggregator from '../streams/completionAggregator.js';
import * as completionChunk from '../streams/completionChunk.js';
import * as httpMessages from './httpMessages.js';
import * as systemTime from './systemTime.js';
import * as takenBytes from './takenBytes.js';

const KEEP_ALIVE_INTERVAL = 1_000;

/** Streams a generation as server-sent events; the id of each event is the token to resume after it. */
export class EventStreamResponse implements streams.GenerationCaller {
  readonly connection: streams.CallerConnection;
  private cancelKeepAlive: ports.Cancel = () => undefined;

  constructor(private readonly response: http.ServerResponse) {
    const { socket } = response;
    this.connection = {
      takenBytes: socket ? takenBytes.counter(socket) : () => 0,
      abort: () => {
        response.destroy();
      },
    };
    response.on('close', () => {
      this.cancelKeepAlive();
    });
  }

  /** Sends periodic comments, so that a caller can distinguish a slow engine from an unresponsive entry. */
  private scheduleKeepAlive(): void {
    this.cancelKeepAlive();
    this.cancelKeepAlive = systemTime.scheduler.after(KEEP_ALIVE_INTERVAL, () => {
      if (!this.response.writableNeedDrain && !this.response.writableEnded) {
        this.response.write(': alive\n\n');
      }
      this.scheduleKeepAlive();
    });
  }

  sendAccepted(resumeToken: string): void {
    if (this.response.headersSent) {
      return;
    }
    this.scheduleKeepAlive();
    this.response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      'kumquatfront-resume': resumeToken,
    });
    this.response.flushHeaders();
  }

  sendToken(resumeToken: string, _index: number, data: string): boolean {
    const lines = data.replaceAll('\n', '\ndata: ');
    return this.response.write(`id: ${resumeToken}\ndata: ${lines}\n\n`);
  }

  sendRestart(resumeToken: string): void {
    this.response.write(`id: ${resumeToken}\nevent: restart\ndata: {}\n\n`);
  }

  complete(): void {
    this.response.end('data: [DONE]\n\n');
  }

  refuse(refusal: streams.Refusal): void {
    if (!this.response.headersSent) {
      httpMessages.sendRefusal(this.response, refusal);
      return;
    }
    this.response.end(`event: error\ndata: ${JSON.stringify(httpMessages.refusalBody(refusal))}\n\n`);
  }
}

/**
 * Buffers a generation and sends it as one JSON body on completion, so a restart is invisible to the caller. An answer that grows
 * beyond the bounds on held responses is given up.
 */
export class BufferedJsonResponse implements streams.GenerationCaller {
  /** Ends the generation of an answer that is given up. */
  onGivenUp: (reason: string) => void = () => undefined;
  private buffer: responseMemory.ResponseBuffer;
  private aggregator: completionAggregator.CompletionAggregator;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly path: string,
    private readonly responses: responseMemory.ResponseMemory,
  ) {
    this.buffer = this.openBuffer();
    this.aggregator = new completionAggregator.CompletionAggregator(path, this.buffer);
    response.on('close', () => {
      this.buffer.release();
    });
  }

  private openBuffer(): responseMemory.ResponseBuffer {
    return this.responses.openResponse((reason) => {
      this.onGivenUp(reason);
    });
  }

  sendAccepted(): void {
    // Nothing is sent before the generation is complete.
  }

  sendToken(_resumeToken: string, _index: number, data: string): boolean {
    // The connection to the engine passes on chunks only.
    this.aggregator.addChunk(completionChunk.parse(data) ?? {});
    return true;
  }

  sendRestart(): void {
    this.buffer.release();
    this.buffer = this.openBuffer();
    this.aggregator = new completionAggregator.CompletionAggregator(this.path, this.buffer);
  }

  complete(count: number): void {
    const body = this.aggregator.toJson(count);
    this.buffer.release();
    this.response.writeHead(200, { 'content-type': 'application/json', 'content-length': body.length });
    this.response.end(body);
  }

  refuse(refusal: streams.Refusal): void {
    httpMessages.sendRefusal(this.response, refusal);
  }
}
