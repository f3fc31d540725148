/**
 * HTTP responses for generations: a stream of server-sent events, or one JSON body.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

import * as byteCollector from '../buffers/byteCollector.js';
import type * as slowReaders from '../entryLoad/slowReaders.js';
import type * as ports from '../kernel/ports.js';
import type * as responseMemory from '../relay/responseMemory.js';
import type * as streams from '../streams/types.js';
import * as completionAggregator from '../streams/completionAggregator.js';
import * as completionChunk from '../streams/completionChunk.js';
import * as connectionReset from './connectionReset.js';
import * as httpMessages from './httpMessages.js';
import * as systemTime from './systemTime.js';
import * as takenBytes from './takenBytes.js';

const KEEP_ALIVE_INTERVAL = 1_000;

/**
 * Bytes of events that are written before the end of a turn: half of those for which Node.js tells that a connection is full, although it
 * may take them at once.
 */
const WRITE_BYTES = 8_192;

/** Runs a write to the caller, and returns its result. */
type RunWrite = <Result>(send: () => Result) => Result;

/**
 * Streams a generation as server-sent events; the id of each event is the token to resume after it. Events wait for the caller as bytes, which
 * lie outside the heap, and those of one turn of the event loop in few writes: each is several objects until the caller has taken it.
 */
export class EventStreamResponse implements streams.GenerationCaller {
  readonly connection: streams.CallerConnection;
  private cancelKeepAlive: ports.Cancel = () => undefined;
  /** Events that are not written; none is left at the end of a turn. */
  private readonly pending = new byteCollector.ByteCollector();
  private isFlushPlanned = false;
  private runWrite: RunWrite = (send) => send();

  constructor(private readonly response: http.ServerResponse) {
    const { socket } = response;
    this.connection = {
      takenBytes: socket ? takenBytes.counter(socket) : () => 0,
      abort: () => {
        this.abort(socket);
      },
    };
    response.on('close', () => {
      this.cancelKeepAlive();
      this.pending.clear();
    });
  }

  /**
   * Counts what the caller has not read with that of all callers, which may let go of it.
   *
   * @param request - names the request in logs
   */
  track(readers: slowReaders.SlowReaders, request: string): void {
    const { response } = this;
    const { socket } = response;
    if (socket === null || response.destroyed) {
      return;
    }
    const { write, remove } = readers.track({
      request,
      unreadBytes: () => response.writableLength,
      queuedBytes: () => takenBytes.queued(socket),
      disconnect: this.connection.abort,
    });
    this.runWrite = write;
    response.once('close', remove);
  }

  private abort(socket: net.Socket | null): void {
    if (socket !== null) {
      connectionReset.abort(this.response, socket);
    }
  }

  /** Sends periodic comments, so that a caller can distinguish a slow engine from an unresponsive entry. */
  private scheduleKeepAlive(): void {
    this.cancelKeepAlive();
    this.cancelKeepAlive = systemTime.scheduler.after(KEEP_ALIVE_INTERVAL, () => {
      if (!this.response.writableNeedDrain && !this.response.writableEnded) {
        this.send(': alive\n\n');
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
    return this.send(`id: ${resumeToken}\ndata: ${lines}\n\n`);
  }

  sendRestart(resumeToken: string): void {
    this.send(`id: ${resumeToken}\nevent: restart\ndata: {}\n\n`);
  }

  /** Writes an event with the others of this turn; returns false if the caller takes no more for now. */
  private send(event: string): boolean {
    const { response, pending } = this;
    if (response.destroyed) {
      return true;
    }
    pending.append(Buffer.from(event));
    if (pending.size >= WRITE_BYTES) {
      return this.flush();
    }
    if (!this.isFlushPlanned) {
      this.isFlushPlanned = true;
      process.nextTick(() => {
        this.isFlushPlanned = false;
        this.flush();
      });
    }
    return !response.writableNeedDrain;
  }

  private flush(): boolean {
    const { response, pending } = this;
    return pending.size === 0 || this.runWrite(() => response.write(pending.takeContent()));
  }

  private end(event: string): void {
    const { response, pending } = this;
    if (!response.destroyed) {
      pending.append(Buffer.from(event));
      this.runWrite(() => response.end(pending.takeContent()));
    }
  }

  complete(): void {
    this.end('data: [DONE]\n\n');
  }

  refuse(refusal: streams.Refusal): void {
    if (!this.response.headersSent) {
      httpMessages.sendRefusal(this.response, refusal);
      return;
    }
    this.end(`event: error\ndata: ${JSON.stringify(httpMessages.refusalBody(refusal))}\n\n`);
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
