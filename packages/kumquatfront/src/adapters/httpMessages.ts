/**
 * Helpers shared by the HTTP servers: server options, size-limited request bodies, headers and JSON responses.
 */
import type * as http from 'node:http';

import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import type * as streams from '../streams/types.js';

/** Maximum size of a request body. */
export const MAXIMUM_BODY_BYTES = 4 * 1024 * 1024;
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

/**
 * Reads the body of a request, up to the maximum size.
 *
 * @param done - called once with the body decoded as UTF-8, or with a failure
 * @example
 * ```ts
 * httpMessages.readBody(request, (body) => body.ok && handle(body.val));
 * ```
 */
export function readBody(request: http.IncomingMessage, done: BodyCallback): void {
  const chunks: Buffer[] = [];
  let length = 0;
  let settled = false;
  const finish: BodyCallback = (result) => {
    if (!settled) {
      settled = true;
      done(result);
    }
  };
  request.on('data', (bytes: Buffer) => {
    length += bytes.length;
    if (length > MAXIMUM_BODY_BYTES) {
      const remedy = `Send at most ${MAXIMUM_BODY_BYTES} bytes.`;
      finish(results.Err(failures.create('tooLarge', 'The body is too large.', remedy)));
      return;
    }
    chunks.push(bytes);
  });
  request.on('end', () => {
    finish(results.Ok(Buffer.concat(chunks).toString('utf8')));
  });
  request.on('error', () => {
    finish(
      results.Err(
        failures.create(
          'badInput',
          'The connection closed before the body was complete.',
          'Send the request again.',
        ),
      ),
    );
  });
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
    response.writeHead(status, { 'content-type': 'application/json', ...headers });
    response.end(`${JSON.stringify(value)}\n`);
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
