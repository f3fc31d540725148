/**
 * Responses of upstreams that are read as a whole.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as v8 from 'node:v8';

import * as rawAnswers from '../relay/rawAnswers.js';
import type * as singleUseConnection from './singleUseConnection.js';
import * as systemTime from './systemTime.js';
import * as wholeResponse from './wholeResponse.js';

const HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';
const ONE_BYTE_CHUNK = '1\r\nx\r\n';
const TEST_TIMEOUT_MS = 10_000;

/** Starts an upstream that sends a text to each request; returns its address. */
async function serve(context: test.TestContext, text: string): Promise<string> {
  const { address, close } = await rawAnswers.listen((socket) => {
    socket.once('data', () => {
      socket.write(text);
    });
  });
  context.after(close);
  return address;
}

/** Reads a response; `inspect` is called before the reader forgets what it has collected. */
function read(address: string, maximumBytes: number, inspect: () => void = () => undefined): Promise<string> {
  const request: singleUseConnection.OutgoingRequest = {
    ...{ address, method: 'GET', path: '/', body: Buffer.alloc(0) },
    headers: [['Host', address]],
  };
  const bounds = { maximumBytes, timeout: TEST_TIMEOUT_MS };
  return new Promise((resolve) => {
    wholeResponse.send(request, bounds, systemTime.scheduler, (result) => {
      inspect();
      resolve(result.ok ? result.val.body.toString() : result.val.reason);
    });
  });
}

function countByteObjects(): number {
  return v8.queryObjects(Uint8Array, { format: 'count' });
}

// Guards against a heap that is full of the objects of small pieces, while their bytes are below the bound.
void test.test(
  'a response in chunks of one byte is given up at its bound, and holds few objects until then',
  async (context) => {
    const address = await serve(context, HEAD + ONE_BYTE_CHUNK.repeat(150_001));
    const before = countByteObjects();
    let held = 0;
    const outcome = await read(address, 150_000, () => {
      held = countByteObjects() - before;
    });
    assert.equal(outcome, 'the response has more than 150000 bytes');
    assert.ok(held < 5_000, `${held} objects`);
  },
);

// Guards against bytes that are lost or repeated where pieces are copied.
void test.test('a response in chunks of any size is read as it was sent', async (context) => {
  const parts = ['a', 'b'.repeat(40_000), 'c', 'd'.repeat(700), 'e'.repeat(70_000), 'f'];
  const chunks = parts.map((part) => `${part.length.toString(16)}\r\n${part}\r\n`);
  const address = await serve(context, `${HEAD}${chunks.join('')}0\r\n\r\n`);
  const text = parts.join('');
  assert.equal(await read(address, text.length), text);
  assert.match(await read(address, text.length - 1), /more than/);
});
