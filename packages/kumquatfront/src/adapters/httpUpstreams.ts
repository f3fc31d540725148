/**
 * Engines and plain services over HTTP by `undici`. Nothing here repeats a request: what may be tried again
 * is decided by the relays alone.
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

const CONNECT_TIMEOUT = 1_000;
const ANSWER_LIMIT = 4 * 1024 * 1024;
const EVENT_LIMIT = 1024 * 1024;
const DONE = '[DONE]';

/** Codes of errors that occur before a connection exists, so that no byte can have been sent on it. */
const NEVER_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

function createAgent(): undici.Agent {
  // Timeouts of headers and body are the relays' matter; a pipelined call could be lost with its neighbour.
  return new undici.Agent({
    connect: { timeout: CONNECT_TIMEOUT },
    headersTimeout: 0,
    bodyTimeout: 0,
    pipelining: 1,
  });
}

function codeOf(error: unknown): string {
  return error instanceof Error && 'code' in error ? String(error.code) : '';
}

/**
 * Tells whether an error proves that no byte of a request was sent.
 *
 * @param error - what the client threw
 * @returns true only for errors of opening a connection
 * @example
 * ```ts
 * httpUpstreams.wasNeverSent(error);
 * ```
 */
export function wasNeverSent(error: unknown): boolean {
  return NEVER_SENT_CODES.has(codeOf(error));
}

function reasonFor(status: number): streams.ConnectionFailure {
  if (status === 404 || status === 410) {
    return 'unknownGeneration';
  }
  return status >= 400 && status < 500 && status !== 408 && status !== 429 ? 'invalid' : 'refused';
}

/** One connection to an engine that streams events. */
class EventConnection implements streams.GenerationConnection {
  private readonly listener: streams.GenerationListener;
  private readonly aborter = new AbortController();
  private body: undici.Dispatcher.ResponseData['body'] | undefined;
  private over = false;
  private paused = false;
  /** Bytes received since the last whole event. */
  private unfinished = 0;

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
    const { signal } = this.aborter;
    undici.request(url, { dispatcher: agent, method, headers, body, signal }).then(
      (response) => {
        this.onResponse(response);
      },
      (error: unknown) => {
        this.fail(wasNeverSent(error) ? 'neverSent' : 'broken', codeOf(error));
      },
    );
  }

  private fail(reason: streams.ConnectionFailure, detail: string): void {
    if (!this.over) {
      this.over = true;
      this.listener.failed(reason, detail);
    }
  }

  private onResponse(response: undici.Dispatcher.ResponseData): void {
    this.body = response.body;
    response.body.on('error', () => {
      this.fail('broken', 'error');
    });
    if (this.over) {
      response.body.destroy();
      return;
    }
    if (response.statusCode !== 200) {
      response.body.resume();
      this.fail(reasonFor(response.statusCode), `status ${response.statusCode}`);
      return;
    }
    this.listener.opened();
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
      this.unfinished += bytes.length;
      parser.feed(decoder.write(bytes));
      // An engine that never ends an event would fill this process; no event comes near the limit.
      if (this.unfinished > EVENT_LIMIT) {
        this.fail('broken', 'event too large');
        body.destroy();
      }
    });
    body.on('end', () => {
      this.fail('broken', 'end');
    });
    body.on('close', () => {
      this.fail('broken', 'close');
    });
    if (this.paused) {
      body.pause();
    }
  }

  private onEvent(event: eventSource.EventSourceMessage): void {
    this.unfinished = 0;
    if (this.over) {
      return;
    }
    const id = event.id ?? '';
    const colon = id.lastIndexOf(':');
    const generation = id.slice(0, colon);
    const index = Number(id.slice(colon + 1));
    if (event.data === DONE) {
      this.over = true;
      this.listener.ended(generation, index);
      return;
    }
    this.listener.token(generation, index, event.data);
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
    this.over = true;
    this.aborter.abort();
    this.body?.destroy();
  }
}

/**
 * Creates the port to engines. An engine streams events whose id is `generation:index`, and ends with the
 * data `[DONE]` whose id carries the count. It takes `X-Generation-Id` and `X-Priority` with a request,
 * resumes at `GET /v1/generations/{id}?from=index`, and cancels at `DELETE /v1/generations/{id}`.
 *
 * @returns the port
 * @example
 * ```ts
 * const ports = { engines: httpUpstreams.createEngines() };
 * ```
 */
export function createEngines(): streams.GenerationPort {
  const agent = createAgent();
  return {
    start: (target, order, listener) => {
      const connection = new EventConnection(listener);
      const headers = {
        'content-type': 'application/json',
        'x-generation-id': order.generation,
        'x-priority': String(order.priority),
      };
      connection.open(agent, `${target.address}${order.path}`, 'POST', headers, order.body);
      return connection;
    },
    resume: (target, generation, fromIndex, listener) => {
      const connection = new EventConnection(listener);
      const url = `${target.address}/v1/generations/${encodeURIComponent(generation)}?from=${fromIndex}`;
      connection.open(agent, url, 'GET', {});
      return connection;
    },
    cancel: (target, generation, ifUnread) => {
      const url = `${target.address}/v1/generations/${encodeURIComponent(generation)}?ifUnread=${String(ifUnread)}`;
      undici.request(url, { dispatcher: agent, method: 'DELETE' }).then(
        (response) => {
          response.body.resume();
        },
        // A cancellation that is lost costs the engine some work and the caller nothing.
        () => undefined,
      );
    },
  };
}

/**
 * Creates the check of upstreams' addresses.
 *
 * @param scheduler - for its timeout
 * @returns the check
 * @example
 * ```ts
 * const ports = { checkUpstream: httpUpstreams.createCheck(systemTime.scheduler) };
 * ```
 */
export function createCheck(scheduler: ports.Scheduler): streams.CheckUpstream {
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
    if (length > ANSWER_LIMIT) {
      throw new Error('answer too large');
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks).toString('utf8');
}

async function performCall(
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
    // Told so, the client never sends the call a second time when its connection breaks.
    idempotent: false,
  });
  const contentType = response.headers['content-type'];
  return {
    status: response.statusCode,
    contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream',
    body: await readLimited(response.body),
  };
}

/**
 * Creates the port to plain services.
 *
 * @returns the port
 * @example
 * ```ts
 * const ports = { services: httpUpstreams.createServices() };
 * ```
 */
export function createServices(): streams.ServicePort {
  const agent = createAgent();
  return {
    call: (target, call, timeout, listener) => {
      const signal = AbortSignal.timeout(timeout);
      performCall(agent, target, call, signal).then(
        (answer) => {
          listener.answered(answer);
        },
        (error: unknown) => {
          const late = signal.aborted ? 'timeout' : 'broken';
          listener.failed(wasNeverSent(error) ? 'neverSent' : late);
        },
      );
    },
  };
}

/**
 * Creates the port for orders: `POST /v1/orders` with the fencing number, then `GET /v1/orders` to read back
 * what the upstream has taken, since some take any number.
 *
 * @returns the port
 * @example
 * ```ts
 * const ports = { orders: httpUpstreams.createOrders() };
 * ```
 */
export function createOrders(): orders.OrderPort {
  const agent = createAgent();
  const perform = async (address: string, body: string, timeout: number): Promise<orders.OrderReceipt> => {
    const signal = AbortSignal.timeout(timeout);
    const headers = { 'content-type': 'application/json' };
    const given = await undici.request(`${address}/v1/orders`, {
      dispatcher: agent,
      method: 'POST',
      headers,
      body,
      signal,
    });
    await given.body.dump();
    const readBack = await undici.request(`${address}/v1/orders`, { dispatcher: agent, signal });
    return (await readBack.body.json()) as orders.OrderReceipt;
  };
  return {
    give: (order, address, timeout, done) => {
      const remedy = 'It is tried again.';
      const body = JSON.stringify({
        ...order.order,
        orderId: order.orderId,
        fencingNumber: order.fencingNumber,
      });
      perform(address, body, timeout).then(
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
