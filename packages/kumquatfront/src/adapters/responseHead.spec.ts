/**
 * Heads of upstreams: what makes one unsound, and how a sound one is framed.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as responseHead from './responseHead.js';

const FIELDS = ['Content-Type', 'text/plain'];

function check(
  changes: Partial<responseHead.ReceivedHead>,
  method = 'GET',
): ReturnType<typeof responseHead.check> {
  const sound = { httpVersion: '1.1', statusCode: 200, statusMessage: 'OK', rawHeaders: FIELDS };
  return responseHead.check(method, { ...sound, ...changes });
}

function isRefused(changes: Partial<responseHead.ReceivedHead>, method?: string): boolean {
  return check(changes, method).err;
}

// Guards against a status line that no response to a caller may have.
void test.test('versions, statuses and reasons that HTTP does not have are refused', () => {
  for (const httpVersion of ['0.9', '1.2', '2.0', '']) {
    assert.ok(isRefused({ httpVersion }), `version ${httpVersion}`);
  }
  for (const statusCode of [undefined, 0, 1, 99, 100, 101, 199, 600, 999]) {
    assert.ok(isRefused({ statusCode }), `status ${String(statusCode)}`);
  }
  assert.ok(isRefused({ statusMessage: 'O\x00K' }));
  for (const statusCode of [200, 299, 304, 500, 599]) {
    assert.equal(check({ statusCode, statusMessage: 'Gar\xe7on' }).unwrap().status, statusCode);
  }
});

// Guards against a lenient parser: a name or a value that cannot be written throws where the answer is passed on.
void test.test('each byte that no name and no value may have is refused', () => {
  for (let code = 0; code < 256; code += 1) {
    const byte = String.fromCharCode(code);
    const isToken = /[!#$%&'*+.^_`|~0-9A-Za-z-]/.test(byte);
    const isText = code === 9 || (code >= 32 && code !== 127);
    for (const name of [`X${byte}Y`, `X${byte}`, byte]) {
      assert.equal(isRefused({ rawHeaders: [...FIELDS, name, 'a'] }), !isToken, JSON.stringify(name));
    }
    for (const value of [`a${byte}b`, `a${byte}`, byte]) {
      assert.equal(isRefused({ rawHeaders: [...FIELDS, 'X', value] }), !isText, JSON.stringify(value));
    }
  }
  assert.ok(isRefused({ rawHeaders: ['', 'a'] }));
  assert.ok(isRefused({ rawHeaders: ['X', '\u0100'] }));
});

// Guards against fields that are dropped without an error, here or at a caller.
void test.test('more fields than any response needs are refused', () => {
  const fields = (count: number): string[] => Array.from({ length: count }, () => ['X', 'a']).flat();
  assert.ok(check({ rawHeaders: fields(responseHead.MAXIMUM_FIELDS) }).ok);
  assert.ok(isRefused({ rawHeaders: fields(responseHead.MAXIMUM_FIELDS + 1) }));
});

// Guards against a body whose end or whose coding is not certain.
void test.test('framings that are not certain are refused', () => {
  const codings = ['gzip', 'identity', 'gzip, chunked', 'chunked, gzip', 'chunked, chunked', ''];
  for (const coding of codings) {
    for (const [method, statusCode] of [
      ['GET', 200],
      ['HEAD', 200],
      ['GET', 204],
      ['GET', 304],
    ] as const) {
      assert.ok(isRefused({ statusCode, rawHeaders: ['Transfer-Encoding', coding] }, method), coding);
    }
  }
  const chunked = ['transfer-encoding', 'Chunked'];
  assert.ok(isRefused({ rawHeaders: [...chunked, ...chunked] }));
  assert.ok(isRefused({ rawHeaders: chunked, httpVersion: '1.0' }));
  assert.ok(isRefused({ rawHeaders: [...chunked, 'Content-Length', '5'] }));
  for (const length of ['-5', '+5', '0x5', '5, 5', '5 5', '']) {
    assert.ok(isRefused({ rawHeaders: ['Content-Length', length] }), length);
  }
  assert.ok(isRefused({ rawHeaders: ['Content-Length', '5', 'content-length', '5'] }));
});

// Guards against an exchange that waits for the end of a connection although the parser has ended the message.
void test.test('the framing is that of the parser', () => {
  const chunked = ['Transfer-Encoding', 'chunked'];
  const framingOf = (changes: Partial<responseHead.ReceivedHead>, method?: string): string =>
    check(changes, method).unwrap().framing;
  assert.equal(framingOf({}), 'connection');
  assert.equal(framingOf({ rawHeaders: ['Content-Length', '5'] }), 'length');
  assert.equal(framingOf({ rawHeaders: chunked }), 'chunked');
  for (const rawHeaders of [FIELDS, chunked]) {
    assert.equal(framingOf({ rawHeaders }, 'HEAD'), 'length');
    assert.equal(framingOf({ rawHeaders, statusCode: 204 }), 'length');
    assert.equal(framingOf({ rawHeaders, statusCode: 304 }), 'length');
  }
});
