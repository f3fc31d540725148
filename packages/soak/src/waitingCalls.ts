/**
 * Many calls at once, each on a connection of its own, to an upstream that accepts requests and never answers.
 */
import * as crypto from 'node:crypto';
import * as net from 'node:net';

import * as callRequest from './callRequest.js';
import * as sleep from './sleep.js';

/** Bytes of one header field; its value cannot be shared with that of another call. */
const FIELD_BYTES = 100;

/** What became of one call. */
export interface WaitingResult {
  /** 0 if no head was received. */
  readonly status: number;
  readonly isClosed: boolean;
  readonly retryAfter: string | undefined;
}

/** The calls. */
export interface WaitingCallsOptions extends Pick<
  callRequest.CallRequest,
  'host' | 'port' | 'route' | 'timeLeft'
> {
  readonly count: number;
  /** Bytes of header fields of each call that the platform does not know. */
  readonly headBytes: number;
}

function randomFields(bytes: number): Record<string, string> {
  const count = Math.floor(bytes / FIELD_BYTES);
  return Object.fromEntries(
    Array.from({ length: count }, (_none, index) => [`x-${index}`, crypto.randomBytes(46).toString('hex')]),
  );
}

function send({ host, port, route, headBytes, timeLeft }: WaitingCallsOptions): Promise<WaitingResult> {
  return new Promise((resolve) => {
    const request = callRequest.send({
      ...{ host, port, route, timeLeft, attempt: crypto.randomUUID() },
      fields: randomFields(headBytes),
    });
    request.on('error', () => {
      resolve({ status: 0, isClosed: true, retryAfter: undefined });
    });
    request.on('response', (response) => {
      const { connection, 'retry-after': retryAfter } = response.headers;
      response.resume();
      response.on('error', () => undefined);
      response.on('close', () => {
        resolve({ status: response.statusCode ?? 0, isClosed: connection === 'close', retryAfter });
      });
    });
  });
}

/**
 * Sends the calls, one in each millisecond, and waits until all have ended.
 *
 * @example
 * ```ts
 * const results = await waitingCalls.sendAll({ host, port, route: 'lookUp', count: 2_000, headBytes: 0, timeLeft: 6_000 });
 * ```
 */
export function sendAll(options: WaitingCallsOptions): Promise<readonly WaitingResult[]> {
  return Promise.all(
    Array.from({ length: options.count }, async (_none, index) => {
      await sleep.forMilliseconds(index);
      return send(options);
    }),
  );
}

/** Starts an upstream that reads requests and answers nothing. */
export function listenSilently(host: string, port: number): net.Server {
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.resume();
  });
  return server.listen(port, host);
}
