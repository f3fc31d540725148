/**
 * Judges the bytes that a caller has received, by the grammar of HTTP alone (RFC 9112).
 */
import type * as standIns from 'kumquatfront-stand-ins';

import * as platform from 'kumquatfront-platform';

import * as malformedSystem from './malformedSystem.js';

/** A whole answer. */
export interface ReceivedAnswer {
  readonly status: number;
  /** Values by name in lower case. */
  readonly fields: ReadonlyMap<string, string>;
  readonly body: string;
}

const STATUS_LINE = /^HTTP\/1\.1 ([2-5]\d\d) [\t\x20-\x7e\x80-\xff]*$/;
const FIELD = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+): ?([\t\x20-\x7e\x80-\xff]*)$/;
const CHUNK = /^([0-9a-f]+)\r\n/i;

/** Joins chunks; undefined if the last one is missing. */
function joinChunks(text: string): string | undefined {
  let rest = text;
  let body = '';
  for (let match = CHUNK.exec(rest); match !== null; match = CHUNK.exec(rest)) {
    const length = Number.parseInt(match[1] ?? '', 16);
    const start = match[0].length;
    if (length === 0) {
      return rest.slice(start) === '\r\n' ? body : undefined;
    }
    body += rest.slice(start, start + length);
    rest = rest.slice(start + length + 2);
  }
  return undefined;
}

function bodyOf(text: string, fields: ReadonlyMap<string, string>, hasBody: boolean): string | undefined {
  if (!hasBody) {
    return text === '' ? '' : undefined;
  }
  if (fields.has('transfer-encoding')) {
    return joinChunks(text);
  }
  const length = fields.get('content-length');
  return length === undefined || Number(length) === text.length ? text : undefined;
}

/**
 * Parses one whole answer on a connection that has been closed.
 *
 * @param bytes - all bytes of the connection, as Latin-1
 * @param method - method of the request
 * @returns the answer; undefined if the bytes are none
 * @example
 * ```ts
 * receivedAnswer.parse('HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n', 'GET')?.status; // 200
 * ```
 */
export function parse(bytes: string, method: string): ReceivedAnswer | undefined {
  const end = bytes.indexOf('\r\n\r\n');
  const [statusLine = '', ...lines] = bytes.slice(0, Math.max(0, end)).split('\r\n');
  const status = Number(STATUS_LINE.exec(statusLine)?.[1]);
  const fields = new Map<string, string>();
  for (const line of lines) {
    const [, name, value = ''] = FIELD.exec(line) ?? [];
    if (name === undefined) {
      return undefined;
    }
    fields.set(name.toLowerCase(), value);
  }
  const hasBody = method !== 'HEAD' && status !== 204 && status !== 304;
  const body = bodyOf(bytes.slice(end + 4), fields, hasBody);
  return Number.isNaN(status) || body === undefined ? undefined : { status, fields, body };
}

/** Heads that have begun, of an answer that is broken off. */
function hasSoundHead(bytes: string): boolean {
  const end = bytes.indexOf('\r\n\r\n');
  return end >= 0 && parse(`${bytes.slice(0, end)}\r\n\r\n`, 'HEAD') !== undefined;
}

/**
 * Names what is wrong with what a caller has received.
 *
 * @param then - what the upstream did after its answer; only one that stays silent may keep the caller waiting
 * @returns the problem; undefined if there is none
 * @example
 * ```ts
 * assert.equal(receivedAnswer.problemOf(result, 'GET', 'end'), undefined);
 * ```
 */
export function problemOf(
  { bytes, end, milliseconds }: standIns.rawCaller.RawResult,
  method: string,
  then: standIns.rawAnswerServer.RawAnswer['then'],
): string | undefined {
  if (then !== 'stayOpen' && milliseconds > malformedSystem.TIME_LEFT_MS * 0.8) {
    return 'the caller waited for its deadline';
  }
  if (end === 'open') {
    return 'the connection was not closed';
  }
  const received = parse(bytes, method);
  if (received === undefined) {
    // A stream that breaks off has neither a last chunk nor a sound end.
    return hasSoundHead(bytes) ? undefined : 'the caller got bytes that are no answer';
  }
  const isSigned = received.fields.has(platform.httpNames.headers.signature);
  return received.status < 300 && !isSigned ? 'a success without a signature' : undefined;
}
