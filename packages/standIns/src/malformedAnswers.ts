/**
 * Answers that no caller may receive: each is sound but for one fault in its head.
 */

/** One such answer. */
export interface MalformedAnswer {
  readonly fault: string;
  /** Method of the request; GET unless stated. */
  readonly method?: string;
  /** The bytes, as Latin-1; `fields` are sound header lines that make it the answer to a request. */
  readonly bytes: (fields: string) => string;
}

const BODY = 'sound';
const LENGTH = `Content-Length: ${BODY.length}\r\n`;
const CHUNKS = `${BODY.length}\r\n${BODY}\r\n0\r\n\r\n`;

function withStatusLine(statusLine: string): MalformedAnswer['bytes'] {
  return (fields) => `${statusLine}\r\n${fields}${LENGTH}\r\n${BODY}`;
}

function withLines(lines: string): MalformedAnswer['bytes'] {
  return (fields) => `HTTP/1.1 200 OK\r\n${fields}${LENGTH}${lines}\r\n${BODY}`;
}

/** Replaces the length by other framing. */
function withFraming(
  framing: string,
  body: string,
  statusLine = 'HTTP/1.1 200 OK',
): MalformedAnswer['bytes'] {
  return (fields) => `${statusLine}\r\n${fields}${framing}\r\n${body}`;
}

const statuses: readonly MalformedAnswer[] = [
  ...['000', '001', '099', '100', '101', '199', '600', '999', '20', '2000', '2x0', ''].map((status) => ({
    fault: `the status "${status}"`,
    bytes: withStatusLine(`HTTP/1.1 ${status} OK`),
  })),
  { fault: 'a control byte in the reason', bytes: withStatusLine('HTTP/1.1 200 O\x01K') },
  ...['HTTP/2.0', 'HTTP/0.9', 'HTTP/1.9', 'http/1.1', 'ICY'].map((version) => ({
    fault: `the version "${version}"`,
    bytes: withStatusLine(`${version} 200 OK`),
  })),
];

const fields: readonly MalformedAnswer[] = [
  { fault: 'a blank at the end of a name', bytes: withLines('X-Odd : a\r\n') },
  { fault: 'a blank in a name', bytes: withLines('X Odd: a\r\n') },
  ...['\t', '\x00', '\x01', '\x0b', '\x1f', '\x7f', '\x80', '\xff', '"', '/', '(', '\r'].map((byte) => ({
    fault: `the byte ${byte.charCodeAt(0)} in a name`,
    bytes: withLines(`X${byte}Odd: a\r\n`),
  })),
  { fault: 'an empty name', bytes: withLines(': a\r\n') },
  { fault: 'a line without a colon', bytes: withLines('X-Odd\r\n') },
  ...['\x00', '\x01', '\x08', '\x0b', '\x1f', '\x7f', '\r'].map((byte) => ({
    fault: `the byte ${byte.charCodeAt(0)} in a value`,
    bytes: withLines(`X-Odd: a${byte}b\r\n`),
  })),
  { fault: 'a blank in the name of the length', bytes: withFraming('Content-Length : 3\r\n', BODY) },
  {
    fault: 'a folded first line',
    bytes: (sound) => `HTTP/1.1 200 OK\r\n X-Odd: a\r\n${sound}${LENGTH}\r\n${BODY}`,
  },
  { fault: 'more fields than any answer needs', bytes: withLines('X-Odd: a\r\n'.repeat(1_200)) },
  {
    fault: 'a length behind more fields than any answer needs',
    bytes: withFraming('X-Odd: a\r\n'.repeat(1_200) + LENGTH, BODY),
  },
];

const framings: readonly MalformedAnswer[] = [
  ...['gzip', 'identity', 'chunked, gzip', 'gzip, chunked', 'chunked, chunked', ''].map((coding) => ({
    fault: `the transfer coding "${coding}"`,
    bytes: withFraming(`Transfer-Encoding: ${coding}\r\n`, CHUNKS),
  })),
  {
    fault: 'two transfer codings in two fields',
    bytes: withFraming('Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n', CHUNKS),
  },
  {
    fault: 'chunks under HTTP/1.0',
    bytes: withFraming('Transfer-Encoding: chunked\r\n', CHUNKS, 'HTTP/1.0 200 OK'),
  },
  {
    fault: 'chunks and a length',
    bytes: withFraming(`${LENGTH}Transfer-Encoding: chunked\r\n`, CHUNKS),
  },
  { fault: 'two lengths', bytes: withFraming(`${LENGTH}Content-Length: 3\r\n`, BODY) },
  ...['-5', '+5', '0x5', '5, 5', '5 5', '', '99999999999999999999'].map((length) => ({
    fault: `the length "${length}"`,
    bytes: withFraming(`Content-Length: ${length}\r\n`, BODY),
  })),
  ...(['204 No Content', '304 Not Modified'] as const).map((status) => ({
    fault: `a transfer coding that is not chunked under ${status}`,
    bytes: withFraming('Transfer-Encoding: gzip\r\n', '', `HTTP/1.1 ${status}`),
  })),
  {
    fault: 'a transfer coding that is not chunked in an answer to HEAD',
    method: 'HEAD',
    bytes: withFraming('Transfer-Encoding: gzip\r\n', ''),
  },
];

/** All of them. */
export const all: readonly MalformedAnswer[] = [...statuses, ...fields, ...framings];
