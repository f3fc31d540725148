/**
 * Helpers shared by the HTTP servers: server options, size-limited request bodies, headers and JSON responses.
 */
import type * as http from 'node:http';

import * as defaultBounds from '../callerBounds/defaultBounds.js';
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import type * as streams from '../streams/types.js';
import type * as boundedServer from './boundedServer.js';
import type * as connectionGate from './connectionGate.js';

const MAXIMUM_HEADER_BYTES = 16 * 1024;

/** Options shared by the HTTP servers of entries and control replicas. */
export const serverOptions: http.ServerOptions = {
  maxHeaderSize: MAXIMUM_HEADER_BYTES,
  // Limits how long a slow caller can hold a connection while it sends its headers or body.
  headersTimeout: 10_000,
  requestTimeout: 60_000,
  keepAliveTimeout: 30_000,
};

/** Receives the request body, or the failure that prevented reading it. */
export type BodyCallback = (result: results.Result<string, failures.Failure>) => void;

/** A request at one of the servers. */
export interface ServedRequest extends connectionGate.CurrentRequest {
  readonly connection: boundedServer.ServedConnection;
}

/**
 * Reads the body of a request, up to the maximum size.
 *
 * @param done - called at most once with the body decoded as UTF-8, or with a failure; not called if the client disconnects
 * @example
 * ```ts
 * httpMessages.readBody(served, (body) => body.ok && handle(body.val));
 * ```
 */
export function readBody(served: ServedRequest, done: BodyCallback): void {
  served.connection.readBody(served, {
    maximumBytes: defaultBounds.MAXIMUM_BODY_BYTES,
    onComplete: (body) => {
      done(results.Ok(body.toString('utf8')));
    },
    onTooLarge: () => {
      served.outgoing.shouldKeepAlive = false;
      const remedy = `Send at most ${defaultBounds.MAXIMUM_BODY_BYTES} bytes.`;
      done(results.Err(failures.create('tooLarge', 'The body is too large.', remedy)));
    },
  });
  served.incoming.on('error', () => undefined);
}

/**
 * Parses a JSON object.
 *
 * @param text - the JSON text
 * @returns the object, or a `badInput` failure
 * @example
 * ```ts
 * httpMessages.parseObject('{"model":"ledger"}');
 * ```
 */
export function parseObject(text: string): results.Result<Record<string, unknown>, failures.Failure> {
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
      return results.Ok(value as Record<string, unknown>);
    }
  } catch {
    // Handled below, like any other text that is not a JSON object.
  }
  return results.Err(failures.create('badInput', 'The body is not a JSON object.', 'Send a JSON object.'));
}

/**
 * Sends a JSON response, unless the headers were already sent or the connection is closed.
 *
 * @param status - HTTP status code
 * @param value - the value to serialize as the body
 * @example
 * ```ts
 * httpMessages.sendJson(response, 200, { ok: true });
 * ```
 */
export function sendJson(
  response: http.ServerResponse,
  status: number,
  value: unknown,
  headers: http.OutgoingHttpHeaders = {},
): void {
  if (!response.headersSent && !response.destroyed) {
    const body = Buffer.from(`${JSON.stringify(value)}\n`);
    // Otherwise only the connection would end the response to a caller in HTTP/1.0, which a crash of this process ends alike.
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': body.length,
      ...headers,
    });
    response.end(body);
  }
}

const STATUS_BY_KIND: Readonly<Record<failures.FailureKind, number>> = {
  badInput: 400,
  unauthorized: 401,
  notFound: 404,
  conflict: 409,
  ambiguous: 409,
  notLeader: 421,
  noQuorum: 503,
  stale: 503,
  timeout: 504,
  unreachable: 502,
  draining: 503,
  overloaded: 429,
  corrupt: 500,
  tooLarge: 413,
};

/**
 * Sends a failure with the HTTP status code of its kind.
 *
 * @example
 * ```ts
 * httpMessages.sendFailure(response, failure);
 * ```
 */
export function sendFailure(response: http.ServerResponse, failure: failures.Failure): void {
  sendJson(response, STATUS_BY_KIND[failure.kind], { error: failure });
}

/**
 * Creates the body of a refusal in the error format of the OpenAI API.
 *
 * @param refusal - the refusal
 * @returns the response body
 * @example
 * ```ts
 * response.end(JSON.stringify(httpMessages.refusalBody(refusal)));
 * ```
 */
export function refusalBody(refusal: streams.Refusal): object {
  return {
    error: {
      type: refusal.kind,
      code: refusal.kind,
      message: `${refusal.message} ${refusal.remedy}`,
      retryAfterMilliseconds: refusal.retryAfter,
      entries: refusal.entries,
    },
  };
}

/**
 * Sends a refusal with its retry delay and alternative entries.
 *
 * @param refusal - the refusal
 * @example
 * ```ts
 * httpMessages.sendRefusal(response, refusals.unknownBearerKey);
 * ```
 */
export function sendRefusal(response: http.ServerResponse, refusal: streams.Refusal): void {
  const headers: http.OutgoingHttpHeaders =
    refusal.retryAfter === undefined ? {} : { 'retry-after': String(Math.ceil(refusal.retryAfter / 1000)) };
  sendJson(response, refusal.status, refusalBody(refusal), headers);
}

/**
 * Returns the bearer key of a request.
 *
 * @returns the key, or an empty string if there is none
 * @example
 * ```ts
 * const key = httpMessages.bearerKey(request);
 * ```
 */
export function bearerKey(request: http.IncomingMessage): string {
  const match = /^Bearer (\S{1,512})$/i.exec(request.headers.authorization ?? '');
  return match?.[1] ?? '';
}

/**
 * Returns the value of a request header.
 *
 * @param name - header name in lower case
 * @returns the first value, or undefined if the header is missing
 * @example
 * ```ts
 * httpMessages.header(request, 'idempotency-key');
 * ```
 */
export function header(request: http.IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
