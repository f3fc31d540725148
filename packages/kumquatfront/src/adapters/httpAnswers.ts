/**
 * What the HTTP fronts share: reading bodies within bounds, and answers in JSON.
 */
import type * as http from 'node:http';

import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import type * as streams from '../streams/types.js';

/** Bounds of the HTTP fronts. */
export const BODY_LIMIT = 4 * 1024 * 1024;
const HEADER_LIMIT = 16 * 1024;

/** Options of every HTTP server of the system. */
export const serverOptions: http.ServerOptions = {
  maxHeaderSize: HEADER_LIMIT,
  // A caller that sends its headers or body a byte at a time holds a connection for this long at most.
  headersTimeout: 10_000,
  requestTimeout: 60_000,
  keepAliveTimeout: 30_000,
};

/** Receives a body, or why there is none. */
export type BodyDone = (result: results.Result<string, failures.Failure>) => void;

/**
 * Reads a body within the limit.
 *
 * @param request - the request
 * @param done - called once with the text
 * @example
 * ```ts
 * httpAnswers.readBody(request, (body) => body.ok && handle(body.val));
 * ```
 */
export function readBody(request: http.IncomingMessage, done: BodyDone): void {
  const chunks: Buffer[] = [];
  let length = 0;
  let over = false;
  const finish: BodyDone = (result) => {
    if (!over) {
      over = true;
      done(result);
    }
  };
  request.on('data', (bytes: Buffer) => {
    length += bytes.length;
    if (length > BODY_LIMIT) {
      const remedy = `Send at most ${BODY_LIMIT} bytes.`;
      finish(results.Err(failures.create('tooLarge', 'The body is too large.', remedy)));
      return;
    }
    chunks.push(bytes);
  });
  request.on('end', () => {
    finish(results.Ok(Buffer.concat(chunks).toString('utf8')));
  });
  request.on('error', () => {
    finish(results.Err(failures.create('badInput', 'The body broke off.', 'Send the request again.')));
  });
}

/**
 * Parses a JSON object.
 *
 * @param text - the text
 * @returns the object, or a `badInput` failure
 * @example
 * ```ts
 * httpAnswers.parseObject('{"model":"ledger"}');
 * ```
 */
export function parseObject(text: string): results.Result<Record<string, unknown>, failures.Failure> {
  try {
    const value: unknown = JSON.parse(text);
    if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
      return results.Ok(value as Record<string, unknown>);
    }
  } catch {
    // Answered below, like any other text that is not an object.
  }
  return results.Err(failures.create('badInput', 'The body is not a JSON object.', 'Send a JSON object.'));
}

/**
 * Sends JSON.
 *
 * @param response - where to
 * @param status - HTTP status
 * @param value - what to send
 * @param headers - further headers
 * @example
 * ```ts
 * httpAnswers.sendJson(response, 200, { ok: true });
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
 * Sends a failure with the HTTP status of its kind.
 *
 * @param response - where to
 * @param failure - the failure
 * @example
 * ```ts
 * httpAnswers.sendFailure(response, failure);
 * ```
 */
export function sendFailure(response: http.ServerResponse, failure: failures.Failure): void {
  sendJson(response, STATUS_BY_KIND[failure.kind], { error: failure });
}

/**
 * The body of a refusal, in the form that OpenAI clients read.
 *
 * @param refusal - the refusal
 * @returns the body
 * @example
 * ```ts
 * response.end(JSON.stringify(httpAnswers.refusalBody(refusal)));
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
 * Sends a refusal with when and where to come back.
 *
 * @param response - where to
 * @param refusal - the refusal
 * @example
 * ```ts
 * httpAnswers.sendRefusal(response, refusals.unknownKey);
 * ```
 */
export function sendRefusal(response: http.ServerResponse, refusal: streams.Refusal): void {
  const headers: http.OutgoingHttpHeaders =
    refusal.retryAfter === undefined ? {} : { 'retry-after': String(Math.ceil(refusal.retryAfter / 1000)) };
  sendJson(response, refusal.status, refusalBody(refusal), headers);
}

/**
 * The bearer key of a request.
 *
 * @param request - the request
 * @returns the key; empty where there is none
 * @example
 * ```ts
 * const key = httpAnswers.bearerKey(request);
 * ```
 */
export function bearerKey(request: http.IncomingMessage): string {
  const match = /^Bearer (\S{1,512})$/i.exec(request.headers.authorization ?? '');
  return match?.[1] ?? '';
}

/**
 * One header as text.
 *
 * @param request - the request
 * @param name - its name in lower case
 * @returns the value; undefined where it is missing
 * @example
 * ```ts
 * httpAnswers.header(request, 'idempotency-key');
 * ```
 */
export function header(request: http.IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
