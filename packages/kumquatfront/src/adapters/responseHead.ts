/**
 * Checks the head of a response of an upstream as a whole, in one place and independent of what its parser lets through: a head that
 * is not sound is none, and nothing behind this check sees any part of it.
 */
import * as results from '../kernel/results.js';
import type * as relayTypes from '../relay/types.js';
import * as rawHeaders from './rawHeaders.js';

/** Lowest and highest status of a final response (RFC 9110, 15); interim responses have lower ones. */
const FINAL_STATUS = { first: 200, last: 599 } as const;

const VERSIONS: ReadonlySet<string> = new Set(['1.0', '1.1']);

/** Statuses whose responses have no body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304]);

/** A token (RFC 9110, 5.6.2). */
const NAME = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;

/** Bytes that a value or a reason may have (RFC 9110, 5.5). */
const VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

const LENGTH = /^\d+$/;

/**
 * Number of fields that a response may have. It is less than the 1,000 above which Node.js drops fields, such as the length, without
 * an error, here or at a caller, which also reads those that an entry adds.
 */
export const MAXIMUM_FIELDS = 500;

/** A head as the HTTP parser delivers it. */
export interface ReceivedHead {
  readonly httpVersion: string;
  readonly statusCode?: number | undefined;
  readonly statusMessage?: string | undefined;
  /** Names and values in turn. */
  readonly rawHeaders: readonly string[];
}

/** A sound head. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly relayTypes.Header[];
  readonly framing: relayTypes.BodyFraming;
}

function describe(text: string): string {
  return JSON.stringify(text.slice(0, 40));
}

function valuesOf(headers: readonly relayTypes.Header[], name: string): readonly string[] {
  return headers.filter(([key]) => key.toLowerCase() === name).map(([, value]) => value.trim());
}

function problemOfFields(headers: readonly relayTypes.Header[]): string | undefined {
  if (headers.length > MAXIMUM_FIELDS) {
    return `the response has more than ${MAXIMUM_FIELDS} fields`;
  }
  for (const [name, value] of headers) {
    if (!NAME.test(name)) {
      return `the response has a field with the name ${describe(name)}`;
    }
    if (!VALUE.test(value)) {
      return `the field ${name} has the value ${describe(value)}`;
    }
  }
  return undefined;
}

/** What makes the length of the body uncertain; a body in any coding but chunks would be passed on without its coding. */
function problemOfFraming(version: string, headers: readonly relayTypes.Header[]): string | undefined {
  const codings = valuesOf(headers, 'transfer-encoding');
  const lengths = valuesOf(headers, 'content-length');
  if (lengths.length > 1 || lengths.some((length) => !LENGTH.test(length))) {
    return `the response has the length ${describe(lengths.join(', '))}`;
  }
  if (codings.length === 0) {
    return undefined;
  }
  const isChunked = codings.length === 1 && codings[0]?.toLowerCase() === 'chunked';
  if (!isChunked) {
    return `the response has the transfer coding ${describe(codings.join(', '))}`;
  }
  if (version === '1.0') {
    return 'the response has a transfer coding under HTTP/1.0';
  }
  return lengths.length > 0 ? 'the response has both a length and a transfer coding' : undefined;
}

/** Must agree with the parser on where a message ends, or an exchange waits for an end that never comes. */
function framingOf(
  method: string,
  status: number,
  headers: readonly relayTypes.Header[],
): relayTypes.BodyFraming {
  if (method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status)) {
    return 'length';
  }
  if (valuesOf(headers, 'transfer-encoding').length > 0) {
    return 'chunked';
  }
  return valuesOf(headers, 'content-length').length > 0 ? 'length' : 'connection';
}

/**
 * Checks a head.
 *
 * @param method - method of the request
 * @param received - the head as it was parsed
 * @returns the head, or what makes it unsound
 * @example
 * ```ts
 * const head = responseHead.check('GET', incoming);
 * if (head.err) closeConnection(head.val);
 * ```
 */
export function check(method: string, received: ReceivedHead): results.Result<ResponseHead, string> {
  const { httpVersion, statusCode: status = 0, statusMessage: reason = '' } = received;
  if (!VERSIONS.has(httpVersion)) {
    return results.Err(`the response has the version HTTP/${httpVersion}`);
  }
  if (status < FINAL_STATUS.first || status > FINAL_STATUS.last) {
    return results.Err(`the response has the status ${status}`);
  }
  if (!VALUE.test(reason)) {
    return results.Err(`the response has the reason ${describe(reason)}`);
  }
  const headers = rawHeaders.toPairs(received.rawHeaders);
  const problem = problemOfFields(headers) ?? problemOfFraming(httpVersion, headers);
  return problem === undefined
    ? results.Ok({ status, headers, framing: framingOf(method, status, headers) })
    : results.Err(problem);
}
