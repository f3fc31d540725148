/**
 * Generations over loopback connections, whose callers read less than their engines send, on the product's own interface.
 */
import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';

import * as eventSource from 'eventsource-parser';

import type * as slowReaders from '../entryLoad/slowReaders.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as defaultConfig from '../settings/defaultConfig.js';
import * as generationRelay from '../streams/generationRelay.js';
import type * as streams from '../streams/types.js';
import * as entryHttpTestHarness from './entryHttpTestHarness.js';
import * as httpUpstreams from './httpUpstreams.js';

const LOCAL = '127.0.0.1';

/** More than the connections on both sides hold. */
const TOKEN_COUNT = 400_000;

/** As long as that of a real request. */
const TOKEN_PREFIX = 'p'.repeat(300);

/** Node.js takes 16 KiB before it tells that a connection is full; the events of a part of a read may follow. */
const MOST_UNREAD = 64 * 1_024;

function eventText(index: number): string {
  return `id: r.1:${index}\ndata: {"choices":[{"text":"${index}"}]}\n\n`;
}

/** Sends a generation of so many tokens, each a chunk of its own, as fast as they are read. */
function createEngine(count: number): {
  server: net.Server;
  sentTokens: () => number;
  openConnections: () => number;
} {
  let sent = 0;
  let openConnections = 0;
  const server = net.createServer((socket) => {
    openConnections += 1;
    socket.on('close', () => {
      openConnections -= 1;
    });
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n');
      const chunkOf = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;
      const sendNext = (): void => {
        let chunks = '';
        for (const end = Math.min(sent + 1_000, count); sent < end; sent += 1) {
          chunks += chunkOf(eventText(sent));
        }
        if (sent < count) {
          socket.write(chunks, sendNext);
        } else {
          socket.end(`${chunks}${chunkOf(`id: r.1:${count}\ndata: [DONE]\n\n`)}0\r\n\r\n`);
        }
      };
      sendNext();
    });
  });
  return { server, sentTokens: () => sent, openConnections: () => openConnections };
}

/** A stream that is never read again fails its test. */
const LIMITED = { timeout: 20_000 };

interface Running {
  readonly port: number;
  readonly time: virtualTime.VirtualTime;
  readonly sentTokens: () => number;
  /** Connections to the engine. */
  readonly openConnections: () => number;
  /** Most bytes that waited for the caller after a token. */
  readonly mostUnread: () => number;
  readonly close: () => void;
}

/** Starts an engine and an entry that relays its generation; the timers of the relay are virtual. */
async function start(count: number, readers?: slowReaders.SlowReaders): Promise<Running> {
  const { server: engine, sentTokens, openConnections } = createEngine(count);
  const address = `http://${LOCAL}:${await entryHttpTestHarness.listen(engine)}`;
  const time = new virtualTime.VirtualTime();
  let mostUnread = 0;
  let response: http.ServerResponse | undefined;
  const generate = (_request: unknown, caller: streams.GenerationCaller): streams.StreamHandle => {
    const relay = new generationRelay.GenerationRelay({
      requestId: 'r',
      request: { path: '/v1/completions', body: '{}', priority: 1 },
      mayRestart: false,
      engines: httpUpstreams.createGenerationPort(),
      timers: timerService.create(time.clock, time),
      settings: defaultConfig.entryDefaults.relay,
      caller: {
        connection: caller.connection,
        sendAccepted: (token) => {
          caller.sendAccepted(token);
        },
        sendToken: (token, index, data) => {
          const takesMore = caller.sendToken(token, index, data);
          mostUnread = Math.max(mostUnread, response?.writableLength ?? 0);
          return takesMore;
        },
        sendRestart: (token) => {
          caller.sendRestart(token);
        },
        complete: (tokens) => {
          caller.complete(tokens);
        },
        refuse: (refusal) => {
          caller.refuse(refusal);
        },
      },
      host: {
        requestPlacement: (_exclude, done) => {
          done({ type: 'granted', upstream: { announcement: { name: 'e', address } } as never });
          return () => undefined;
        },
        issueTokenPrefix: () => TOKEN_PREFIX,
        mayRetry: () => false,
        onProgress: () => undefined,
        onReleased: () => undefined,
        onStall: () => undefined,
        onEventDiscarded: () => undefined,
        otherEntries: () => [],
        onFinished: () => undefined,
      },
    });
    relay.start();
    return relay;
  };
  const server = entryHttpTestHarness.createServer({ requests: { generate } }, undefined, readers);
  server.prependListener('request', (_request, outgoing) => {
    response = outgoing;
  });
  const port = await entryHttpTestHarness.listen(server);
  const close = (): void => {
    server.closeAllConnections();
    server.close();
    engine.close();
  };
  return { port, time, sentTokens, openConnections, mostUnread: () => mostUnread, close };
}

async function call(port: number): Promise<http.IncomingMessage> {
  const request = http.request({ host: LOCAL, port, method: 'POST', path: '/v1/completions' });
  request.end('{"stream":true}');
  const [response] = (await events.EventEmitter.once(request, 'response')) as [http.IncomingMessage];
  response.pause();
  return response;
}

/**
 * Turns of the event loop without a token, and their least time, after which an engine counts as stopped: one that is read can stand still for
 * 100 ms while a connection opens up, and for longer beside other work.
 */
const TURNS_WITHOUT_PROGRESS = 50;
const TURN_MILLISECONDS = 20;

async function untilBlocked(sentTokens: () => number): Promise<void> {
  let before = -1;
  for (let turns = 0; turns < TURNS_WITHOUT_PROGRESS; turns += 1) {
    if (before !== sentTokens()) {
      before = sentTokens();
      turns = 0;
    }
    await timers.setTimeout(TURN_MILLISECONDS);
  }
}

async function readTokens(response: http.IncomingMessage): Promise<string[]> {
  const received: string[] = [];
  const parser = eventSource.createParser({
    onEvent: ({ data }) => {
      received.push(data);
    },
  });
  for await (const bytes of response) {
    parser.feed((bytes as Buffer).toString('latin1'));
  }
  return received;
}

function tokenTexts(count: number): string[] {
  const texts = Array.from({ length: count }, (_, index) => `{"choices":[{"text":"${index}"}]}`);
  return [...texts, '[DONE]'];
}

// Guards against tokens that wait in the memory of the entry without a bound, and against their loss or repetition.
void test.test(
  'an engine waits for a caller that does not read, which then gets every token once',
  async () => {
    const { port, sentTokens, mostUnread, close } = await start(TOKEN_COUNT);
    try {
      const response = await call(port);
      await untilBlocked(sentTokens);
      assert.ok(sentTokens() < TOKEN_COUNT, 'the engine was never stopped');
      assert.ok(mostUnread() <= MOST_UNREAD, `${mostUnread()} bytes waited`);
      const received = await readTokens(response);
      assert.ok(mostUnread() <= MOST_UNREAD, `${mostUnread()} bytes waited`);
      assert.equal(received.length, TOKEN_COUNT + 1);
      assert.ok(received.join('\n') === tokenTexts(TOKEN_COUNT).join('\n'));
    } finally {
      close();
    }
  },
);

// Guards against a generation that is taken for broken because its engine has sent all of it before its caller has read it.
void test.test(
  'a generation that its engine has sent whole during a pause reaches its caller whole',
  async () => {
    // All of it fits between the entry and the engine; what the connection of the caller holds is several times less.
    const count = 20_000;
    const { port, sentTokens, close } = await start(count);
    try {
      const response = await call(port);
      await untilBlocked(sentTokens);
      assert.deepEqual(await readTokens(response), tokenTexts(count));
    } finally {
      close();
    }
  },
);

// Guards against an engine that is held by a caller which does not read.
void test.test('a caller that takes nothing for 20 s is let go', LIMITED, async () => {
  const { port, time, sentTokens, close } = await start(TOKEN_COUNT);
  try {
    const response = await call(port);
    await untilBlocked(sentTokens);
    // The first measurement finds what the connection has taken since the last write.
    time.advance(22_000);
    await assert.rejects(readTokens(response), { code: 'ECONNRESET' });
  } finally {
    close();
  }
});

/** Blocks that wait for one caller are some, not one for each of hundreds of events. */
const MOST_PIECES = 10;

// Guards against streams that no kind of held memory counts, and that shedding does not reach.
void test.test('what waits for a caller counts, and can be given up for the heap', LIMITED, async () => {
  const readers = entryHttpTestHarness.createReaders();
  const { port, sentTokens, openConnections, close } = await start(TOKEN_COUNT, readers);
  try {
    const response = await call(port);
    await untilBlocked(sentTokens);
    const { bytes, pieces } = readers.held();
    assert.ok(bytes >= 16_384 && bytes <= MOST_UNREAD, `${bytes} bytes`);
    assert.ok(pieces > 0 && pieces <= MOST_PIECES, `${pieces} pieces`);
    const largest = readers.largest();
    assert.deepEqual(largest?.fields, { request: 'r', unread: bytes });
    largest.giveUp();
    await assert.rejects(readTokens(response), { code: 'ECONNRESET' });
    await untilBlocked(openConnections);
    assert.equal(openConnections(), 0);
    assert.deepEqual(readers.held(), { bytes: 0, pieces: 0 });
  } finally {
    close();
  }
});

// Guards against streams of all callers that together fill the memory of the entry.
void test.test('a caller that leaves too much unread for the entry is let go', LIMITED, async () => {
  let now = 0;
  const readers = entryHttpTestHarness.createReaders({ now: () => now, memoryMegabytes: 0.05 });
  const { port, sentTokens, openConnections, close } = await start(TOKEN_COUNT, readers);
  try {
    const response = await call(port);
    await untilBlocked(sentTokens);
    readers.check();
    now = 4_999;
    readers.check();
    assert.equal(openConnections(), 1);
    now = 5_000;
    readers.check();
    await assert.rejects(readTokens(response), { code: 'ECONNRESET' });
  } finally {
    close();
  }
});

/** Reads a connection to its end; returns whether it was reset. */
function isReset(socket: net.Socket): Promise<boolean> {
  return new Promise((resolve) => {
    let wasReset = false;
    socket.on('error', () => {
      wasReset = true;
    });
    // Where bytes are still to be read, Node.js reports an end instead of a reset; a write shows which of them it was.
    socket.on('end', () => {
      socket.end(' ');
    });
    socket.on('close', () => {
      resolve(wasReset);
    });
    socket.resume();
  });
}

// Guards against a part of a stream that ends like the whole.
void test.test('a caller in HTTP/1.0 that is let go is reset', LIMITED, async () => {
  const readers = entryHttpTestHarness.createReaders();
  const { port, sentTokens, close } = await start(TOKEN_COUNT, readers);
  try {
    const socket = net.connect({ port, host: LOCAL, allowHalfOpen: true });
    socket.write('POST /v1/completions HTTP/1.0\r\nContent-Length: 15\r\n\r\n{"stream":true}');
    await untilBlocked(sentTokens);
    assert.notEqual(readers.largest(), undefined);
    readers.largest()?.giveUp();
    assert.equal(await isReset(socket), true);
  } finally {
    close();
  }
});
