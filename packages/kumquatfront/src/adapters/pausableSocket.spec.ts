/**
 * Responses that are not read for a while, from upstreams on loopback connections that send without end.
 */
import * as assert from 'node:assert/strict';
import type * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';

import * as piecePace from '../flowControl/piecePace.js';
import * as virtualTime from '../kernel/virtualTime.js';
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
  /** Whether the process has told that it does not read the response, in order. */
  readonly holds: readonly boolean[];
  /** Resolves to what ended the response. */
  readonly ended: Promise<string>;
  readonly close: () => void;
}

/** No pace, so that only the receiver pauses. */
class NoPace extends piecePace.PiecePace {
  override count(): boolean {
    return false;
  }
}

/** Starts an upstream, and sends it a request. */
async function request(
  serve: (socket: net.Socket) => void,
  onData: (received: Received) => void = () => undefined,
  pace: piecePace.PiecePace = new NoPace(systemTime.clock, systemTime.scheduler),
): Promise<Received> {
  const server = await rawAnswers.listen((socket) => {
    socket.once('data', () => {
      serve(socket);
    });
  });
  const pieces: Uint8Array[] = [];
  const holds: boolean[] = [];
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
      held: (isHeld) => {
        holds.push(isHeld);
      },
      end: () => {
        settle('end');
      },
      failed: settle,
    },
    pace,
  );
  const close = (): void => {
    exchange.cancel();
    server.close();
  };
  const received: Received = { exchange, pieces, holds, ended, close };
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
void test.test(
  'after a pause at most one read more arrives, whatever the chunks',
  { timeout: 10_000 },
  async () => {
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
      while (bytesAtPause === 0) {
        await timers.setTimeout(5);
      }
      await untilBlocked(() => sentBytes());
      assert.ok(sentBytes() > READ_BYTES);
      assert.ok(pieces.length <= 5, `${pieces.length} pieces`);
      assert.ok(countBytes(pieces) - bytesAtPause <= READ_BYTES);
    } finally {
      close();
    }
  },
);

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

/** Bytes of the body in one read in chunks of one byte. */
const MOST_PIECES = 10_923;

interface PacedResponse {
  readonly received: Received;
  readonly time: virtualTime.VirtualTime;
  /** Bytes of the body, once the pace has held it so many times and nothing more arrives. */
  readonly bytesWhenHeld: (times: number) => Promise<number>;
}

/** Starts an upstream that sends without end, and is read at a pace whose time stands still. */
async function requestPaced(repeated: string): Promise<PacedResponse> {
  const time = new virtualTime.VirtualTime();
  const received = await request(
    (socket) => {
      endlessBytes.send(socket, CHUNKED_HEAD, repeated);
    },
    undefined,
    new piecePace.PiecePace(time, time),
  );
  const bytesWhenHeld = async (times: number): Promise<number> => {
    while (received.holds.filter(Boolean).length < times) {
      await timers.setTimeout(5);
    }
    await untilBlocked(() => countBytes(received.pieces));
    return countBytes(received.pieces);
  };
  return { received, time, bytesWhenHeld };
}

// Guards against an upstream whose chunks take the processor from the callers of all others.
void test.test('a response in chunks of one byte is read at the pace of the process', async () => {
  const { received, time, bytesWhenHeld } = await requestPaced(ONE_BYTE_CHUNKS);
  try {
    const first = await bytesWhenHeld(1);
    assert.ok(first > 0 && first <= 3 * MOST_PIECES, `${first} bytes`);
    assert.deepEqual(received.holds, [true]);
    time.advance(1_000);
    const second = await bytesWhenHeld(2);
    assert.ok(second > first && second <= first + 2 * MOST_PIECES, `${second - first} bytes`);
    assert.deepEqual(received.holds, [true, false, true]);
  } finally {
    received.close();
  }
});

// Guards against a receiver that drains and ends the pause of the pace, and a pace that ends the pause of the receiver.
void test.test('a response goes on when neither its receiver nor the pace holds it', async () => {
  const { received, time, bytesWhenHeld } = await requestPaced(ONE_BYTE_CHUNKS);
  const { exchange, close } = received;
  try {
    const first = await bytesWhenHeld(1);
    exchange.pause();
    exchange.resume();
    assert.equal(await bytesWhenHeld(1), first);
    exchange.pause();
    time.advance(1_000);
    assert.equal(await bytesWhenHeld(1), first);
    exchange.resume();
    assert.ok((await bytesWhenHeld(2)) > first);
  } finally {
    close();
  }
});

// Guards against the last events of an upstream that has stopped, which are lost if they are not read in time.
void test.test(
  'a response that is read to its end does not wait for the pace',
  { timeout: 10_000 },
  async () => {
    const { received, time, bytesWhenHeld } = await requestPaced(ONE_BYTE_CHUNKS);
    try {
      await bytesWhenHeld(1);
      received.exchange.readToEnd?.();
      for (const reads of [10, 20]) {
        while (countBytes(received.pieces) < reads * MOST_PIECES && received.holds.length < 3) {
          await timers.setTimeout(5);
        }
        // The interval ends in which the response was held.
        time.advance(1_000);
      }
      assert.deepEqual(received.holds, [true, false]);
    } finally {
      received.close();
    }
  },
);

// Guards against ordinary answers that wait.
void test.test('a response in large chunks does not wait for the pace', { timeout: 10_000 }, async () => {
  const { received } = await requestPaced(`2000\r\n${'x'.repeat(8_192)}\r\n`);
  try {
    while (countBytes(received.pieces) < 64 * READ_BYTES) {
      await timers.setTimeout(5);
    }
  } finally {
    received.close();
  }
});
