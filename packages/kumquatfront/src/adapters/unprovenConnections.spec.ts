/**
 * Connections to the port of peers before their proof.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timersPromises from 'node:timers/promises';

import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as jsonRpcTransport from './jsonRpcTransport.js';

const noop = (): void => undefined;
const log = { debug: noop, info: noop, warn: noop, error: noop };

/** Bound of the code, stated here so that a change of it is seen. */
const BOUND = 1_024;

const STRANGER_ADDRESS = '127.0.0.2';

interface Fixture {
  /** Time of all processes, so that no time limit closes a connection on a loaded machine. */
  readonly time: virtualTime.VirtualTime;
  readonly port: number;
  readonly lines: readonly string[];
}

/** Waits until a condition holds; the time limit of the test ends the wait. */
async function until(holds: () => boolean): Promise<void> {
  while (!holds()) {
    await timersPromises.setTimeout(5);
  }
}

async function listen(context: test.TestContext): Promise<Fixture> {
  const lines: string[] = [];
  const warn = (event: string, fields: ports.LogFields = {}): void => {
    lines.push(`${event} ${JSON.stringify(fields)}`);
  };
  const time = new virtualTime.VirtualTime();
  const server = jsonRpcTransport.create({ clusterKey: 'key', scheduler: time, log: { ...log, warn } });
  server.serve('echo', (parameters, reply) => {
    reply(results.Ok(parameters));
  });
  context.after(() => {
    server.close();
  });
  const port = await new Promise<number>((resolve) => {
    server.listen('127.0.0.1:0', resolve);
  });
  return { time, port, lines };
}

/** Connections of a wave, below what the operating system keeps for a process that has not accepted them. */
const WAVE = 256;

/** Opens connections that say nothing; returns those that are open. */
async function openSilent(
  context: test.TestContext,
  port: number,
  count: number,
  localAddress = STRANGER_ADDRESS,
): Promise<ReadonlySet<net.Socket>> {
  const open = new Set<net.Socket>();
  context.after(() => {
    for (const socket of open) {
      socket.destroy();
    }
  });
  let settled = 0;
  const settle = (): void => {
    settled += 1;
  };
  for (let index = 0; index < count; index += 1) {
    const socket = net.connect({ port, host: '127.0.0.1', localAddress });
    open.add(socket);
    socket.on('error', noop);
    socket.once('data', settle);
    socket.once('close', () => {
      open.delete(socket);
    });
    if (index % WAVE === WAVE - 1) {
      await until(() => settled > index);
    }
  }
  await until(() => settled === count);
  return open;
}

/** Connects peers at once, each with a request; returns how many were answered. */
async function connectPeers(
  context: test.TestContext,
  { time, port }: Fixture,
  count: number,
): Promise<number> {
  const peers = Array.from({ length: count }, () =>
    jsonRpcTransport.create({ clusterKey: 'key', scheduler: time, log }),
  );
  context.after(() => {
    for (const peer of peers) {
      peer.close();
    }
  });
  const answers = peers.map(
    (peer) =>
      new Promise<boolean>((resolve) => {
        peer.request(`127.0.0.1:${port}`, 'echo', ['x'], 5_000, (result) => {
          resolve(result.ok);
        });
      }),
  );
  return (await Promise.all(answers)).filter(Boolean).length;
}

// Guards against strangers that use up the descriptors and the heap of a process before they are closed.
void test.test(
  'connections without a proof have a bound, and one line tells of many',
  { timeout: 20_000 },
  async (context) => {
    const fixture = await listen(context);
    const open = await openSilent(context, fixture.port, BOUND + 512);
    // Connections that were closed are seen as such in the next turns of the event loop.
    await timersPromises.setTimeout(50);
    assert.equal(open.size, BOUND);
    assert.equal(await connectPeers(context, fixture, 1), 1);
    fixture.time.advance(1_000);
    assert.equal(fixture.lines.length, 2);
    assert.match(fixture.lines[0] ?? '', /^strangersClosed .*"address":"127\.0\.0\.2"/);
  },
);

// Guards against peers that are kept out, or closed within their handshake, by a stranger that goes on to connect.
void test.test('peers get in while a stranger goes on to connect', { timeout: 20_000 }, async (context) => {
  const fixture = await listen(context);
  await openSilent(context, fixture.port, BOUND);
  const more = openSilent(context, fixture.port, 2 * BOUND);
  assert.equal(await connectPeers(context, fixture, 100), 100);
  await more;
});

// Guards against peers whose handshake is slow, and that a stranger closes by connecting more often.
void test.test(
  'a stranger that opens many connections closes its own',
  { timeout: 20_000 },
  async (context) => {
    const { port } = await listen(context);
    const slow = await openSilent(context, port, 10, '127.0.0.1');
    const strangers = await openSilent(context, port, BOUND + 512);
    await timersPromises.setTimeout(50);
    assert.deepEqual([slow.size, strangers.size], [10, BOUND - 10]);
  },
);

// Guards against a bound that keeps out a fleet whose processes all connect at once, or counts those that have proved themselves.
void test.test('a fleet that restarts together gets in', { timeout: 20_000 }, async (context) => {
  const fixture = await listen(context);
  assert.equal(await connectPeers(context, fixture, 800), 800);
  assert.equal(await connectPeers(context, fixture, 800), 800);
  assert.deepEqual(fixture.lines, []);
});

// Guards against a log that a crowd without the key fills.
void test.test(
  'strangers with a wrong proof are counted in one line a second',
  { timeout: 20_000 },
  async (context) => {
    const fixture = await listen(context);
    const sockets = await openSilent(context, fixture.port, 200);
    for (const socket of sockets) {
      socket.write('{"nonce":"1","proof":"2"}\n');
    }
    await until(() => sockets.size === 0);
    fixture.time.advance(1_000);
    assert.equal(fixture.lines.length, 2);
    const counted = fixture.lines.map((line) => Number(/"connections":(\d+)/.exec(line)?.[1]));
    assert.deepEqual(counted, [1, 199]);
  },
);
