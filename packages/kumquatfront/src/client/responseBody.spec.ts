/**
 * Bodies and events of responses that clients read.
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as test from 'node:test';
import * as v8 from 'node:v8';

import * as systemTime from '../adapters/systemTime.js';
import * as callerClient from './callerClient.js';
import * as responseBody from './responseBody.js';

const PIECE = Buffer.alloc(65_536, 'x');
const BYTES_SENT = 20_000_000;

/** Bytes without end, in pieces; tells how many were asked for, and whether the reader has left. */
class EndlessBody {
  pieces = 0;
  isLeft = false;

  async *[Symbol.asyncIterator](): AsyncGenerator<Uint8Array> {
    try {
      for (;;) {
        await Promise.resolve();
        this.pieces += 1;
        yield PIECE;
      }
    } finally {
      this.isLeft = true;
    }
  }
}

async function* pieces(count: number): AsyncGenerator<Uint8Array> {
  for (let index = 0; index < count; index += 1) {
    await Promise.resolve();
    yield Buffer.alloc(1, 'a');
  }
}

// Guards against a client that reads, and holds, whatever an address sends.
void test.test('a body without end is given up at its bound', async () => {
  const body = new EndlessBody();
  await assert.rejects(responseBody.readText(body, 1_000_000), {
    message: 'the response has more than 1000000 bytes',
  });
  assert.deepEqual([body.pieces, body.isLeft], [16, true]);
});

// Guards against an object for each piece until the body is complete.
void test.test('a body in pieces of one byte is held in few objects', async () => {
  const before = v8.queryObjects(Uint8Array, { format: 'count' });
  let objects = 0;
  async function* counted(): AsyncGenerator<Uint8Array> {
    yield* pieces(50_000);
    objects = v8.queryObjects(Uint8Array, { format: 'count' }) - before;
  }
  assert.equal(await responseBody.readText(counted()), 'a'.repeat(50_000));
  assert.ok(objects < 1_000, `${objects} objects`);
});

/** An entry that answers every request with 20 MB and no end; `requests` counts those for other than its addresses. */
async function withEndlessEntry(
  head: http.OutgoingHttpHeaders,
  status: number,
  run: (client: callerClient.CallerClient) => Promise<void>,
): Promise<number> {
  let requests = 0;
  const server = http.createServer((incoming, outgoing) => {
    requests += incoming.url === '/v1/entries' ? 0 : 1;
    outgoing.writeHead(status, head);
    let left = BYTES_SENT;
    const send = (): void => {
      while (left > 0 && !outgoing.destroyed) {
        left -= PIECE.length;
        if (!outgoing.write(PIECE)) {
          return;
        }
      }
    };
    outgoing.on('drain', send);
    send();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const client = new callerClient.CallerClient(
    {
      ...{ entries: [address], key: 'k', labels: '' },
      ...{ idleTimeout: 2_000, deadline: 4_000, allowRestart: true },
    },
    systemTime,
  );
  try {
    await run(client);
  } finally {
    await client.close();
    server.closeAllConnections();
    server.close();
  }
  return requests;
}

const TOO_LARGE = {
  kind: 'outcomeUnknown',
  message: 'The answer was not read: the response has more than 4194304 bytes.',
};

// Guards against a caller whose process is filled by one answer, or that asks for the same answer until its deadline.
void test.test('an answer without end fails once, with its reason', async () => {
  const calls = await withEndlessEntry({ 'idempotency-replayed': 'false' }, 200, async (client) => {
    const result = await client.call('stock', 'GET', '/', '');
    assert.deepEqual(result.val, TOO_LARGE);
  });
  assert.equal(calls, 1);
  const receiver = { onToken: () => assert.fail(), onRestart: () => assert.fail() };
  for (const status of [200, 500]) {
    const streams = await withEndlessEntry({}, status, async (client) => {
      const result = await client.stream('/v1/completions', {}, receiver);
      assert.deepEqual(result.val, TOO_LARGE);
    });
    assert.equal(streams, 1);
  }
});
