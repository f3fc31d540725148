/**
 * Responses that are not read for a while, from upstreams on loopback connections that send without end.
 */
import * as assert from 'node:assert/strict';
import type * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';

import * as rawAnswers from '../relay/rawAnswers.js';
import type * as relayTypes from '../relay/types.js';
import * as endlessBytes from './endlessBytes.js';
import * as singleUseConnection from './singleUseConnection.js';
import * as systemTime from './systemTime.js';

/** Bytes of one read of a connection. */
const READ_BYTES = 65_536;

const CHUNKED_HEAD = 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n';

/** Chunks of one byte each, as many as one read holds. */
const ONE_BYTE_CHUNKS = '1\r\nx\r\n'.repeat(10_000);

interface Received {
  readonly exchange: relayTypes.UpstreamExchange;
  readonly pieces: Uint8Array[];
  /** Resolves to what ended the response. */
  readonly ended: Promise<string>;
  readonly close: () => void;
}

/** Starts an upstream, and sends it a request. */
async function request(
  serve: (socket: net.Socket) => void,
  onData: (received: Received) => void = () => undefined,
): Promise<Received> {
  const server = await rawAnswers.listen((socket) => {
    socket.once('data', () => {
      serve(socket);
    });
  });
  const pieces: Uint8Array[] = [];
  let settle: (outcome: string) => void = () => undefined;
  const ended = new Promise<string>((resolve) => {
    settle = resolve;
  });
  const exchange = singleUseConnection.send(
    { address: server.address, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) },
    systemTime.scheduler,
    {
      head: () => undefined,
      data: (bytes) => {
        pieces.push(bytes);
        onData(received);
      },
      end: () => {
        settle('end');
      },
      failed: settle,
    },
  );
  const close = (): void => {
    exchange.cancel();
    server.close();
  };
  const received: Received = { exchange, pieces, ended, close };
  return received;
}

/** More than the connection holds. */
const MOST_SENT = 67_108_864;

/** Waits until the upstream can send no more, or has sent far too much. */
async function untilBlocked(sentBytes: () => number): Promise<void> {
  for (let before = -1; before !== sentBytes() && before < MOST_SENT;) {
    before = sentBytes();
    await timers.setTimeout(50);
  }
}

function countBytes(pieces: readonly Uint8Array[]): number {
  return pieces.reduce((sum, { length }) => sum + length, 0);
}

// Guards against the reads that follow in the same iteration of the event loop, and against thousands of objects that wait.
void test.test('after a pause at most one read more arrives, whatever the chunks', async () => {
  let sentBytes = (): number => 0;
  let bytesAtPause = 0;
  const { pieces, close } = await request(
    (socket) => {
      sentBytes = endlessBytes.send(socket, CHUNKED_HEAD, ONE_BYTE_CHUNKS);
    },
    (received) => {
      // Later reads are passed on without a delay, which the first one is not.
      if (received.pieces.length === 4) {
        bytesAtPause = countBytes(received.pieces);
        received.exchange.pause();
      }
    },
  );
  try {
    await untilBlocked(() => sentBytes());
    assert.ok(sentBytes() > READ_BYTES);
    assert.ok(pieces.length <= 5, `${pieces.length} pieces`);
    assert.ok(countBytes(pieces) - bytesAtPause <= READ_BYTES);
  } finally {
    close();
  }
});

// Guards against bytes that are lost or repeated where reading stopped, and against a stream that never goes on.
void test.test('a response that is paused at each read arrives whole', { timeout: 10_000 }, async () => {
  const body = Array.from({ length: 200_000 }, (_, index) => `id: ${index}\ndata: x\n\n`).join('');
  const { pieces, ended, close } = await request(
    (socket) => {
      socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
    },
    ({ exchange }) => {
      exchange.pause();
      setImmediate(exchange.resume);
    },
  );
  try {
    assert.equal(await ended, 'end');
    assert.ok(Buffer.concat(pieces).toString() === body);
  } finally {
    close();
  }
});

// Guards against a response that holds its place although all of it has been read.
void test.test('the end of a response that was read whole comes during a pause', async () => {
  const { ended, close } = await request(
    (socket) => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole');
    },
    ({ exchange }) => {
      exchange.pause();
    },
  );
  try {
    assert.equal(await ended, 'end');
  } finally {
    close();
  }
});

// Guards against a pause that is forgotten when the connection opens.
void test.test('a pause before the connection holds for the response', async () => {
  let sentBytes = (): number => 0;
  const { exchange, pieces, ended, close } = await request((socket) => {
    sentBytes = () => 1;
    socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole');
  });
  exchange.pause();
  try {
    while (sentBytes() === 0) {
      await timers.setTimeout(5);
    }
    await timers.setTimeout(50);
    assert.deepEqual(pieces, []);
    exchange.resume();
    assert.equal(await ended, 'end');
    assert.equal(Buffer.concat(pieces).toString(), 'whole');
  } finally {
    close();
  }
});

// Guards against an event, a write and several objects for each chunk of a read.
void test.test('the chunks of one read arrive as one piece', async () => {
  const { pieces, ended, close } = await request((socket) => {
    socket.end(`${CHUNKED_HEAD}${ONE_BYTE_CHUNKS}0\r\n\r\n`);
  });
  try {
    assert.equal(await ended, 'end');
    assert.equal(countBytes(pieces), 10_000);
    assert.ok(pieces.length < 50, `${pieces.length} pieces`);
  } finally {
    close();
  }
});
