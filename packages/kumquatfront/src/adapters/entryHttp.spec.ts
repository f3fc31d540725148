/**
 * Requests that an entry reads after a pause, on the product's own interface.
 */
import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import * as net from 'node:net';
import type * as http from 'node:http';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';

import type * as ports from '../kernel/ports.js';
import type * as streams from '../streams/types.js';
import * as entryHttpTestHarness from './entryHttpTestHarness.js';

const LOCAL = '127.0.0.1';
/** Time in which a caller reads 20 MB, also beside other work. */
const MOST_TURNS = 500;
const TURN_MILLISECONDS = 10;

const PATHS = ['/v1/completions', '/v1/services/stock/orders', '/v1/requests/r1'] as const;

/** An entry that records which requests it is given, and answers calls. */
class RecordingEntry {
  readonly given: string[] = [];
  readonly logged: string[] = [];
  private readonly server: http.Server;

  constructor(recentPause: ports.Milliseconds, refusesNew: () => boolean = () => false) {
    const handle = {
      requestId: 'r',
      onDrain: () => undefined,
      onCallerDisconnect: () => undefined,
      giveUpAnswer: () => undefined,
    };
    const requests = {
      otherEntries: () => ['127.0.0.9:1'],
      generate: ({ path }: { readonly path: string }) => {
        this.given.push(path);
        return handle;
      },
      resume: ({ requestId }: { readonly requestId: string }) => {
        this.given.push(`/v1/requests/${requestId}`);
        return handle;
      },
      callService: (
        { service, path }: { readonly service: string; readonly path: string },
        caller: { readonly respond: (answer: object, replayed: boolean) => void },
      ) => {
        this.given.push(`/v1/services/${service}${path}`);
        caller.respond({ status: 200, contentType: 'text/plain', body: 'ok' }, false);
      },
    };
    const write = (event: string): void => {
      this.logged.push(event);
    };
    const log: ports.Log = { debug: write, info: write, warn: write, error: write };
    const state = { recentPause: () => recentPause, log, refusesNew };
    this.server = entryHttpTestHarness.createServer({ requests }, state);
  }

  listen(): Promise<number> {
    return entryHttpTestHarness.listen(this.server);
  }

  /** The next connection that the server accepts. */
  async nextConnection(): Promise<net.Socket> {
    const [socket] = (await events.EventEmitter.once(this.server, 'connection')) as [net.Socket];
    return socket;
  }

  close(): void {
    this.server.closeAllConnections();
    this.server.close();
  }
}

function requestText(path: string): string {
  const method = path.includes('/requests/') ? 'GET' : 'POST';
  return `${method} ${path} HTTP/1.1\r\nHost: e\r\nContent-Length: 2\r\n\r\n{}`;
}

/** Sends a request and closes the connection before the entry reads either. */
async function sendAndLeave(entry: RecordingEntry, port: number, path: string): Promise<void> {
  const socket = net.connect(port, LOCAL);
  const [accepted] = await Promise.all([entry.nextConnection(), events.EventEmitter.once(socket, 'connect')]);
  const closed = events.EventEmitter.once(accepted, 'close');
  socket.write(requestText(path));
  socket.destroy();
  await closed;
  // A request that continues does so in the loop iteration in which the end of its connection was read.
  await new Promise((resolve) => setImmediate(resolve));
}

// Guards against running calls for nobody: an entry that stood still reads requests whose callers have given up.
void test.test('after a pause, an entry drops requests whose callers have left', async () => {
  for (const path of PATHS) {
    const entry = new RecordingEntry(2_000);
    const port = await entry.listen();
    try {
      await sendAndLeave(entry, port, path);
      assert.deepEqual(entry.given, [], path);
      assert.deepEqual(entry.logged, ['requestAbandoned'], path);
    } finally {
      entry.close();
    }
  }
});

void test.test('after a pause, an entry serves the callers that wait', async () => {
  for (const recentPause of [0, 2_000]) {
    const entry = new RecordingEntry(recentPause);
    const port = await entry.listen();
    try {
      const socket = net.connect(port, LOCAL);
      socket.write(requestText('/v1/services/stock/orders'));
      const [answer] = (await events.EventEmitter.once(socket, 'data')) as [Buffer];
      assert.match(answer.toString(), /^HTTP\/1\.1 200/);
      assert.deepEqual(entry.given, ['/v1/services/stock/orders']);
      socket.destroy();
    } finally {
      entry.close();
    }
  }
});

// Guards against an entry that takes requests for which its heap has no room.
void test.test(
  'near the limit of the heap, requests are refused, not run, and connections closed',
  async () => {
    for (const path of PATHS) {
      const entry = new RecordingEntry(0, () => true);
      const port = await entry.listen();
      try {
        const socket = net.connect(port, LOCAL);
        socket.write(requestText(path));
        let answer = '';
        socket.on('data', (bytes: Buffer) => {
          answer += bytes.toString();
        });
        await events.EventEmitter.once(socket, 'close', { signal: AbortSignal.timeout(3_000) });
        assert.match(answer, /^HTTP\/1\.1 503 [^]*"notRun"[^]*"127\.0\.0\.9:1"/);
        assert.match(answer, /retry-after: 1\r\n/i);
        assert.match(answer, /connection: close\r\n/i);
        assert.deepEqual(entry.given, [], path);
      } finally {
        entry.close();
      }
    }
  },
);

void test.test('a request whose body was arriving when the heap came near its limit is not run', async () => {
  let asked = 0;
  const entry = new RecordingEntry(0, () => {
    asked += 1;
    return asked > 1;
  });
  const port = await entry.listen();
  try {
    const socket = net.connect(port, LOCAL);
    socket.write(requestText('/v1/services/stock/orders'));
    const [answer] = (await events.EventEmitter.once(socket, 'data')) as [Buffer];
    assert.match(answer.toString(), /^HTTP\/1\.1 503/);
    assert.deepEqual(entry.given, []);
    socket.destroy();
  } finally {
    entry.close();
  }
});

// Guards against a way to a stream on which nothing counts what its caller has not read.
void test.test('streams count until their end, whether they begin or are taken up again', async () => {
  const readers = entryHttpTestHarness.createReaders();
  const open = new Set<object>();
  const track = readers.track.bind(readers);
  readers.track = (reader) => {
    const tracked = track(reader);
    open.add(tracked);
    const remove = (): void => {
      open.delete(tracked);
      tracked.remove();
    };
    return { ...tracked, remove };
  };
  let caller: streams.GenerationCaller | undefined;
  const handle = (_request: unknown, given: streams.GenerationCaller): object => {
    caller = given;
    given.sendAccepted('t');
    return { requestId: 'r', onDrain: () => undefined, onCallerDisconnect: () => undefined };
  };
  const requests = { generate: handle, resume: handle };
  const server = entryHttpTestHarness.createServer({ requests }, undefined, readers);
  const port = await entryHttpTestHarness.listen(server);
  try {
    for (const method of ['POST /v1/completions', 'GET /v1/requests/r1'] as const) {
      const socket = net.connect(port, LOCAL);
      socket.write(`${method} HTTP/1.1\r\nHost: e\r\nContent-Length: 15\r\n\r\n{"stream":true}`);
      await events.EventEmitter.once(socket, 'readable');
      caller?.sendToken('t', 0, 'x'.repeat(20_000_000));
      assert.ok(readers.held().bytes > 1_000_000, method);
      assert.equal(readers.largest()?.fields.request, 'r');
      caller?.complete(1);
      socket.resume();
      for (let turns = 0; open.size > 0 && turns < MOST_TURNS; turns += 1) {
        await timers.setTimeout(TURN_MILLISECONDS);
      }
      assert.equal(open.size, 0, method);
      assert.deepEqual(readers.held(), { bytes: 0, pieces: 0 });
      socket.destroy();
    }
  } finally {
    server.closeAllConnections();
    server.close();
  }
});
