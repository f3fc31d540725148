/**
 * Responses of an entry near its limits and to slow readers, over loopback connections.
 */
import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import * as test from 'node:test';

import * as unboundedRequests from '../callerBounds/unboundedRequests.js';
import * as entryLoad from '../entryLoad/entryLoad.js';
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import type * as relayTypes from '../relay/types.js';
import * as seededRandom from './seededRandom.js';
import * as trafficHttp from './trafficHttp.js';

const HEAD: relayTypes.ResponseHead = {
  ...{ status: 200, headers: [], notRun: false, matchesRequest: true, signed: false, framing: 'length' },
};
const PIECE = Buffer.alloc(256 * 1_024, 'x');

interface Running {
  readonly server: http.Server;
  readonly port: number;
  readonly time: virtualTime.VirtualTime;
  readonly measured: { lag: number };
  readonly load: entryLoad.EntryLoad;
  readonly lines: string[];
  readonly disconnected: string[];
  /** Requests that were passed to the relay, by path. */
  readonly handled: string[];
  readonly close: () => void;
}

/** Starts a server: `/call` is answered completely, `/stream` in two writes, `/flood` in many, `/refuse` refused. */
function start(
  recentPause = 0,
  { refusesNew }: { readonly refusesNew?: () => boolean } = {},
): Promise<Running> {
  const time = new virtualTime.VirtualTime();
  const lines: string[] = [];
  const disconnected: string[] = [];
  const handled: string[] = [];
  const write = (event: string): void => {
    lines.push(event);
  };
  const noop = (): void => undefined;
  const log: ports.Log = { debug: noop, info: write, warn: write, error: write };
  const measured = { lag: 0 };
  const load = new entryLoad.EntryLoad({
    timers: timerService.create(time.clock, time),
    log,
    metrics: { count: noop, gauge: noop, timing: noop },
    random: seededRandom.create(1),
    capacity: { memoryMegabytes: 178 },
    probe: { takeLag: () => measured.lag, residentBytes: () => 1 },
  });
  const flood = (caller: relayTypes.CallerPort): void => {
    let isConnected = true;
    caller.onDisconnect(() => {
      isConnected = false;
      disconnected.push('/flood');
    });
    caller.begin(HEAD);
    const next = (count: number): void => {
      if (isConnected && count < 200) {
        caller.write(PIECE);
        setImmediate(next, count + 1);
      }
    };
    next(0);
  };
  const { server } = trafficHttp.create({
    clock: time.clock,
    log,
    load,
    limits: () => undefined,
    requests: unboundedRequests.create(),
    isDraining: () => false,
    recentPause: () => recentPause,
    ...(refusesNew !== undefined && { refusesNew }),
    decode: (raw) => ({
      ...{ identity: 'r', host: 'h', path: raw.url, method: raw.method, headers: [], body: raw.body },
      arrivedAt: raw.arrivedAt,
    }),
    encodeRefusal: (_request, { reason, retryAfter = 0 }) => ({
      ...{ status: 503, body: JSON.stringify({ error: reason }) },
      headers: [['Retry-After', String(retryAfter / 1_000)]],
    }),
    handle: (request, caller) => {
      handled.push(request.path);
      if (request.path === '/call') {
        caller.respond(HEAD, Buffer.from('ok'));
      } else if (request.path === '/refuse') {
        caller.refuse({ reason: 'overloaded', message: '', closesConnection: true });
      } else if (request.path === '/flood') {
        flood(caller);
      } else {
        caller.begin(HEAD);
        caller.write(Buffer.from('a'));
        caller.end();
      }
    },
  });
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      const close = (): void => {
        server.closeAllConnections();
        server.close();
      };
      const { port } = server.address() as net.AddressInfo;
      resolve({ server, port, time, measured, load, lines, disconnected, handled, close });
    });
  });
}

function connectionHeader(port: number, path: string, agent: http.Agent): Promise<string> {
  return new Promise((resolve, reject) => {
    http
      .get({ host: '127.0.0.1', port, path, agent }, (response) => {
        response.resume();
        response.on('end', () => {
          resolve(response.headers.connection ?? '');
        });
      })
      .on('error', reject);
  });
}

async function countClosed(port: number, path: string, agent: http.Agent): Promise<number> {
  let closed = 0;
  for (let request = 0; request < 60; request += 1) {
    closed += (await connectionHeader(port, path, agent)) === 'close' ? 1 : 0;
  }
  return closed;
}

// Closing the connection of a stream would cut the work of a caller short.
void test.test('near a limit, some complete responses close their connection, streams never do', async () => {
  const running = await start();
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  try {
    running.time.advance(1_000);
    assert.equal(await countClosed(running.port, '/call', agent), 0);
    running.measured.lag = 300;
    running.time.advance(6_000);
    const closed = await countClosed(running.port, '/call', agent);
    assert.ok(closed > 5 && closed < 55, `${closed} of 60 closed`);
    assert.equal(await countClosed(running.port, '/stream', agent), 0);
  } finally {
    agent.destroy();
    running.close();
  }
});

void test.test('a refusal that closes the connection says so', async () => {
  const running = await start();
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  try {
    assert.equal(await connectionHeader(running.port, '/refuse', agent), 'close');
    assert.equal(await connectionHeader(running.port, '/call', agent), 'keep-alive');
  } finally {
    agent.destroy();
    running.close();
  }
});

// 50 MB that are not read would otherwise stay in the memory of the entry.
void test.test('a caller that does not read its stream is disconnected, and no other is', async () => {
  const running = await start();
  const agent = new http.Agent({ keepAlive: true });
  const slow = net.connect(running.port, '127.0.0.1');
  try {
    slow.on('error', () => undefined);
    slow.pause();
    slow.write('GET /flood HTTP/1.1\r\nHost: h\r\n\r\n');
    await new Promise<void>((resolve, reject) => {
      const deadline = setTimeout(() => {
        reject(new Error('the caller was not disconnected'));
      }, 5_000);
      const poll = (): void => {
        // Virtual time passes while the loopback connection fills.
        running.time.advance(200);
        if (running.disconnected.length > 0) {
          clearTimeout(deadline);
          resolve();
        } else {
          setTimeout(poll, 5);
        }
      };
      poll();
    });
    assert.deepEqual(running.lines, ['slowReaderDisconnected']);
    assert.equal(await connectionHeader(running.port, '/stream', agent), 'keep-alive');
    running.time.advance(200);
    assert.deepEqual(running.load.status().utilization, [0, null, null, 0]);
  } finally {
    slow.destroy();
    agent.destroy();
    running.close();
  }
});

/** Sends a request on an open connection and closes it before the server can read either. */
async function sendAndLeave({ server, port }: Running, path: string): Promise<void> {
  const socket = net.connect(port, '127.0.0.1');
  const [[accepted]] = (await Promise.all([
    events.EventEmitter.once(server, 'connection'),
    events.EventEmitter.once(socket, 'connect'),
  ])) as [[net.Socket], unknown[]];
  const closed = events.EventEmitter.once(accepted, 'close');
  socket.write(`POST ${path} HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n`);
  socket.destroy();
  await closed;
  // The request is dropped or continued in the loop iteration that follows the one in which its end was read.
  await new Promise((resolve) => setImmediate(resolve));
}

// Guards against running calls for nobody: an entry that stood still reads requests whose callers have given up.
void test.test(
  'after a pause, a request whose caller has left is not relayed, and the others are',
  async () => {
    const running = await start(2_000);
    const agent = new http.Agent();
    try {
      await sendAndLeave(running, '/call');
      assert.deepEqual(running.handled, []);
      assert.deepEqual(running.lines, ['requestAbandoned']);
      await connectionHeader(running.port, '/call', agent);
      assert.deepEqual(running.handled, ['/call']);
    } finally {
      agent.destroy();
      running.close();
    }
  },
);

/** Sends a request and returns all that the server answers before it closes the connection. */
async function answerUntilClosed(port: number, parts: readonly string[]): Promise<string> {
  const socket = net.connect(port, '127.0.0.1');
  let answer = '';
  socket.on('data', (bytes: Buffer) => {
    answer += bytes.toString();
  });
  for (const part of parts) {
    socket.write(part);
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  if (!socket.closed) {
    await events.EventEmitter.once(socket, 'close', { signal: AbortSignal.timeout(3_000) });
  }
  return answer;
}

const WITH_BODY = 'POST /call HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n';

// Guards against an entry that reads bodies, or sends requests on, when its heap has no room for them.
void test.test(
  'near the limit of the heap, a request is refused at its head, and its connection closed',
  async () => {
    const running = await start(0, { refusesNew: () => true });
    try {
      for (const parts of [[WITH_BODY], [`${WITH_BODY}ab`]]) {
        const answer = await answerUntilClosed(running.port, parts);
        assert.match(answer, /^HTTP\/1\.1 503 [^]*"overloaded"/);
        assert.match(answer, /Retry-After: 1\r\n/);
        assert.match(answer, /Connection: close\r\n/);
      }
      assert.deepEqual(running.handled, []);
    } finally {
      running.close();
    }
  },
);

void test.test(
  'a request whose body was arriving when the heap came near its limit is not sent on',
  async () => {
    let asked = 0;
    const running = await start(0, {
      refusesNew: () => {
        asked += 1;
        return asked > 1;
      },
    });
    try {
      const answer = await answerUntilClosed(running.port, [WITH_BODY, 'ab']);
      assert.match(answer, /^HTTP\/1\.1 503 [^]*"overloaded"/);
      assert.deepEqual(running.handled, []);
    } finally {
      running.close();
    }
  },
);
