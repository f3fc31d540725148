/**
 * HTTP clients for engines, plain services and orders, based on `undici`. Requests are never retried here; the
 * relays decide about retries.
 */
import * as stringDecoder from 'node:string_decoder';

import * as eventSource from 'eventsource-parser';
import * as undici from 'undici';

import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import type * as ports from '../kernel/ports.js';
import type * as orders from '../orders/types.js';
import type * as streams from '../streams/types.js';
import * as connectionCheck from './connectionCheck.js';
import * as systemTime from './systemTime.js';

const CONNECT_TIMEOUT = 1_000;
const MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024;
const MAXIMUM_EVENT_BYTES = 1024 * 1024;
const END_OF_STREAM = '[DONE]';

/** Error codes of failed connection attempts and of requests that HTTP cannot represent; no byte of either was sent. */
const NEVER_SENT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ERR_INVALID_URL',
  'UND_ERR_INVALID_ARG',
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function createAgent(): undici.Agent {
  // The relays enforce header and body timeouts. Pipelining is off: a broken connection would fail several calls.
  return new undici.Agent({
    connect: { timeout: CONNECT_TIMEOUT },
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });
}

function errorCode(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

/**
 * Checks whether an error proves that no byte of a request was sent.
 *
 * @param error - the error thrown by the HTTP client
 * @returns true only for failed connection attempts and requests that cannot be encoded
 * @example
 * ```ts
 * httpUpstreams.wasNeverSent(error);
 * ```
 */
export function wasNeverSent(error: unknown): boolean {
  return NEVER_SENT_ERROR_CODES.has(errorCode(error));
}

/** Sends a request; one that cannot be encoded rejects like any other failure, where `undici` may throw at once. */
const sendRequest: typeof undici.request = async (url, options) => undici.request(url, options);

/** Bytes of a body that are read only so that its connection can be used again. */
const MAXIMUM_DISCARDED_BYTES = 65_536;

/** Reads a short body that is not needed; the connection of a longer one is closed. */
function discardBody({ body }: undici.Dispatcher.ResponseData): void {
  // The outcome is decided, so a body that breaks off changes nothing.
  body.dump({ limit: MAXIMUM_DISCARDED_BYTES }).catch(() => undefined);
}

function failureForStatus(status: number): streams.ConnectionFailure {
  if (status === 404 || status === 410) {
    return 'unknownGeneration';
  }
  return status >= 400 && status < 500 && status !== 408 && status !== 429 ? 'invalid' : 'refused';
}

/** A connection that reads server-sent events from an engine. */
class EventStreamConnection implements streams.GenerationConnection {
  private readonly listener: streams.GenerationListener;
  private readonly abortController = new AbortController();
  private body: undici.Dispatcher.ResponseData['body'] | undefined;
  private finished = false;
  private paused = false;
  /** Bytes received since the last complete event. */
  private incompleteEventBytes = 0;

  constructor(listener: streams.GenerationListener) {
    this.listener = listener;
  }

  open(
    agent: undici.Agent,
    url: string,
    method: 'GET' | 'POST',
    headers: Record<string, string>,
    body?: string,
  ): void {
    const { signal } = this.abortController;
    sendRequest(url, { dispatcher: agent, method, headers, body, signal }).then(
      (response) => {
        this.onResponse(response);
      },
      (error: unknown) => {
        this.fail(wasNeverSent(error) ? 'neverSent' : 'broken', errorCode(error));
      },
    );
  }

  private fail(reason: streams.ConnectionFailure, detail: string): void {
    if (!this.finished) {
      this.finished = true;
      this.listener.onFailed(reason, detail);
    }
  }

  private onResponse(response: undici.Dispatcher.ResponseData): void {
    this.body = response.body;
    response.body.on('error', () => {
      this.fail('broken', 'response body error');
    });
    if (this.finished) {
      response.body.destroy();
      return;
    }
    if (response.statusCode !== 200) {
      discardBody(response);
      this.fail(failureForStatus(response.statusCode), `status ${response.statusCode}`);
      return;
    }
    this.listener.onAccepted();
    this.readEvents(response.body);
  }

  private readEvents(body: undici.Dispatcher.ResponseData['body']): void {
    const decoder = new stringDecoder.StringDecoder('utf8');
    const parser = eventSource.createParser({
      onEvent: (event) => {
        this.onEvent(event);
      },
    });
    body.on('data', (bytes: Buffer) => {
      this.incompleteEventBytes += bytes.length;
      parser.feed(decoder.write(bytes));
      // Bounds the memory used by an event that never ends.
      if (this.incompleteEventBytes > MAXIMUM_EVENT_BYTES) {
        this.fail('broken', 'event too large');
        body.destroy();
      }
    });
    body.on('end', () => {
      this.fail('broken', 'response ended before [DONE]');
    });
    body.on('close', () => {
      this.fail('broken', 'connection closed before [DONE]');
    });
    if (this.paused) {
      body.pause();
    }
  }

  private onEvent(event: eventSource.EventSourceMessage): void {
    this.incompleteEventBytes = 0;
    if (this.finished) {
      return;
    }
    const id = event.id ?? '';
    const colon = id.lastIndexOf(':');
    const generation = id.slice(0, colon);
    const index = Number(id.slice(colon + 1));
    if (event.data === END_OF_STREAM) {
      this.finished = true;
      this.listener.onCompleted(generation, index);
      return;
    }
    this.listener.onToken(generation, index, event.data);
  }

  pause(): void {
    this.paused = true;
    this.body?.pause();
  }

  resume(): void {
    this.paused = false;
    this.body?.resume();
  }

  close(): void {
    this.finished = true;
    this.abortController.abort();
    this.body?.destroy();
  }
}

/**
 * Creates the HTTP port to engines. An engine streams events with the id `generation:index` and ends with the
 * data `[DONE]`, whose id carries the token count. A request has the headers `X-Generation-Id` and `X-Priority`;
 * `GET /v1/generations/{id}?from=index` resumes a generation and `DELETE /v1/generations/{id}` cancels it.
 *
 * @example
 * ```ts
 * const ports = { engines: httpUpstreams.createGenerationPort() };
 * ```
 */
export function createGenerationPort(): streams.GenerationPort {
  const agent = createAgent();
  return {
    start: (target, request, listener) => {
      const connection = new EventStreamConnection(listener);
      const headers = {
        'content-type': 'application/json',
        'x-generation-id': request.generation,
        'x-priority': String(request.priority),
      };
      connection.open(agent, `${target.address}${request.path}`, 'POST', headers, request.body);
      return connection;
    },
    resume: (target, generation, fromIndex, listener) => {
      const connection = new EventStreamConnection(listener);
      const url = `${target.address}/v1/generations/${encodeURIComponent(generation)}?from=${fromIndex}`;
      connection.open(agent, url, 'GET', {});
      return connection;
    },
    cancel: (target, generation, ifUnread) => {
      const url = `${target.address}/v1/generations/${encodeURIComponent(generation)}?ifUnread=${String(ifUnread)}`;
      sendRequest(url, { dispatcher: agent, method: 'DELETE' }).then(
        discardBody,
        // Best effort: a lost cancellation wastes engine work but does not affect the caller.
        () => undefined,
      );
    },
  };
}

/**
 * Creates the check whether an upstream accepts connections at its address.
 *
 * @param scheduler - runs the timeout of the check
 * @returns the check
 * @example
 * ```ts
 * const ports = { checkUpstream: httpUpstreams.createConnectionCheck(systemTime.scheduler) };
 * ```
 */
export function createConnectionCheck(scheduler: ports.Scheduler): streams.CheckUpstream {
  return (address, done) => {
    connectionCheck.run(new URL(address).host, scheduler, done);
  };
}

async function readLimited(body: undici.Dispatcher.ResponseData['body']): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of body) {
    const bytes = chunk as Buffer;
    length += bytes.length;
    if (length > MAXIMUM_RESPONSE_BYTES) {
      throw new Error('response body too large');
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** True if neither a length nor chunks delimit a response, so that a crash of the service ends it in the same way. */
function endsWithConnection({ headers }: undici.Dispatcher.ResponseData): boolean {
  return headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
}

/** Time for a process that exits to close its listening port after its connections. */
const EXIT_TIME: ports.Milliseconds = 3;

function isListening(address: string): Promise<boolean> {
  return new Promise((resolve) => {
    systemTime.scheduler.after(EXIT_TIME, () => {
      connectionCheck.run(new URL(address).host, systemTime.scheduler, (result) => {
        resolve(result !== 'refused');
      });
    });
  });
}

async function sendServiceCall(
  agent: undici.Agent,
  target: streams.UpstreamTarget,
  call: streams.ServiceCall,
  signal: AbortSignal,
): Promise<streams.ServiceAnswer> {
  const headers: Record<string, string> = { 'content-type': call.contentType };
  if (call.idempotencyKey !== '') {
    headers['idempotency-key'] = call.idempotencyKey;
  }
  const response = await undici.request(`${target.address}${call.path}`, {
    dispatcher: agent,
    method: call.method,
    headers,
    body: call.method === 'GET' || call.method === 'HEAD' ? undefined : call.body,
    signal,
    // Prevents the HTTP client from retrying the call when its connection breaks.
    idempotent: false,
  });
  const contentType = response.headers['content-type'];
  const body = await readLimited(response.body);
  if (endsWithConnection(response) && !(await isListening(target.address))) {
    throw new Error('the service crashed as its connection ended');
  }
  return {
    status: response.statusCode,
    contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
    body,
  };
}

/**
 * Creates the HTTP port to plain services.
 *
 * @returns the port
 * @example
 * ```ts
 * const ports = { services: httpUpstreams.createServicePort() };
 * ```
 */
export function createServicePort(): streams.ServicePort {
  const agent = createAgent();
  return {
    call: (target, call, timeout, listener) => {
      const signal = AbortSignal.timeout(timeout);
      sendServiceCall(agent, target, call, signal).then(
        (answer) => {
          listener.onAnswer(answer);
        },
        (error: unknown) => {
          const failure = signal.aborted ? 'timeout' : 'broken';
          listener.onFailed(wasNeverSent(error) ? 'neverSent' : failure);
        },
      );
    },
  };
}

/**
 * Creates the HTTP port for orders. It sends `POST /v1/orders` with the fencing number, then reads the applied
 * order with `GET /v1/orders`, since some upstreams accept any fencing number.
 *
 * @returns the port
 * @example
 * ```ts
 * const ports = { orders: httpUpstreams.createOrderPort() };
 * ```
 */
export function createOrderPort(): orders.OrderPort {
  const agent = createAgent();
  const sendAndReadBack = async (
    address: string,
    body: string,
    timeout: number,
  ): Promise<orders.OrderReceipt> => {
    const signal = AbortSignal.timeout(timeout);
    const headers = { 'content-type': 'application/json' };
    const postResponse = await undici.request(`${address}/v1/orders`, {
      dispatcher: agent,
      method: 'POST',
      headers,
      body,
      signal,
    });
    await postResponse.body.dump({ limit: MAXIMUM_DISCARDED_BYTES });
    const receiptResponse = await undici.request(`${address}/v1/orders`, { dispatcher: agent, signal });
    return JSON.parse(await readLimited(receiptResponse.body)) as orders.OrderReceipt;
  };
  return {
    send: (order, address, timeout, done) => {
      const remedy = 'The order is retried automatically.';
      const body = JSON.stringify({
        ...order.order,
        orderId: order.orderId,
        fencingNumber: order.fencingNumber,
      });
      sendAndReadBack(address, body, timeout).then(
        (receipt) => {
          done(results.Ok(receipt));
        },
        () => {
          done(
            results.Err(
              failures.create('unreachable', `${order.upstream} did not confirm the order.`, remedy),
            ),
          );
        },
      );
    },
  };
}
