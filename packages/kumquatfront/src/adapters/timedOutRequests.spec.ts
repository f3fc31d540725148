/**
 * Requests to a peer that answers late or never.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as timersPromises from 'node:timers/promises';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';

import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as jsonRpcTransport from './jsonRpcTransport.js';
import * as systemTime from './systemTime.js';

const noop = (): void => undefined;
const log = { debug: noop, info: noop, warn: noop, error: noop };

const REQUESTS = 500;
const TIMEOUT = 100;

/** A peer that serves `echo` and keeps the replies to `late`, and a process that is connected to it. */
interface Fixture {
  readonly client: jsonRpcTransport.JsonRpcTransport;
  readonly address: string;
  readonly lateReplies: readonly ports.Reply[];
  /** Time of the process that is connected. */
  readonly time: virtualTime.VirtualTime;
}

/** Waits until a condition holds; the time limit of the test ends the wait. */
async function until(holds: () => boolean): Promise<void> {
  while (!holds()) {
    await timersPromises.setTimeout(5);
  }
}

async function echo({ client, address }: Fixture): Promise<boolean> {
  return new Promise((resolve) => {
    client.request(address, 'echo', ['x'], 60_000, (result) => {
      resolve(result.ok);
    });
  });
}

async function withPeer(context: test.TestContext): Promise<Fixture> {
  const server = jsonRpcTransport.create({ clusterKey: 'key', scheduler: systemTime.scheduler, log });
  const lateReplies: ports.Reply[] = [];
  server.serve('echo', (parameters, reply) => {
    reply(results.Ok(parameters));
  });
  server.serve('late', (_parameters, reply) => {
    lateReplies.push(reply);
  });
  const port = await new Promise<number>((resolve) => {
    server.listen('127.0.0.1:0', resolve);
  });
  const time = new virtualTime.VirtualTime();
  const client = jsonRpcTransport.create({ clusterKey: 'key', scheduler: time, log });
  context.after(() => {
    client.close();
    server.close();
  });
  const fixture = { client, address: `127.0.0.1:${port}`, lateReplies, time };
  assert.equal(await echo(fixture), true);
  return fixture;
}

/** Sends requests that are not answered; returns their callbacks, held weakly, and the messages of their failures. */
async function sendLate({ client, address, lateReplies }: Fixture): Promise<{
  readonly callbacks: readonly WeakRef<ports.Reply>[];
  readonly failures: readonly string[];
}> {
  const failures: string[] = [];
  const callbacks = Array.from({ length: REQUESTS }, () => {
    const done: ports.Reply = (result) => {
      failures.push(result.err ? result.val.kind : 'answered');
    };
    client.request(address, 'late', ['x'], TIMEOUT, done);
    return new WeakRef(done);
  });
  await until(() => lateReplies.length === REQUESTS);
  return { callbacks, failures };
}

function collectGarbage(): void {
  v8.setFlagsFromString('--expose-gc');
  const collect = vm.runInNewContext('gc') as () => void;
  v8.setFlagsFromString('--no-expose-gc');
  collect();
}

// Guards against a heap that fills with the requests to a peer that is alive and does not answer them, until its connection closes.
void test.test(
  'a request that has timed out leaves nothing in the process',
  { timeout: 20_000 },
  async (context) => {
    const fixture = await withPeer(context);
    const { callbacks, failures } = await sendLate(fixture);
    fixture.time.advance(TIMEOUT);
    await until(() => failures.length === REQUESTS);
    assert.deepEqual(new Set(failures), new Set(['timeout']));
    // What a turn of the event loop has looked at through a weak reference stays until its end.
    await timersPromises.setImmediate();
    collectGarbage();
    const kept = callbacks.filter((callback) => callback.deref() !== undefined).length;
    assert.ok(kept <= 1, `${kept} of ${REQUESTS} callbacks are kept`);
    assert.equal(await echo(fixture), true, 'its connection is open');
  },
);

// Guards against requests that fill a heap, and that no line of the log names.
void test.test(
  'requests that wait for a response count as messages until they time out',
  { timeout: 20_000 },
  async (context) => {
    const fixture = await withPeer(context);
    assert.equal(fixture.client.held().pieces, 0);
    const { failures } = await sendLate(fixture);
    const { pieces, heapBytes = 0 } = fixture.client.held();
    assert.equal(pieces, REQUESTS);
    assert.ok(heapBytes > REQUESTS * 500, `${heapBytes} bytes of heap`);
    fixture.time.advance(TIMEOUT);
    await until(() => failures.length === REQUESTS);
    assert.deepEqual(fixture.client.held(), { bytes: 0, pieces: 0, heapBytes: 0 });
  },
);

// Guards against a late response that closes the connection, or is given to another request.
void test.test(
  'a response to a request that has timed out is ignored',
  { timeout: 20_000 },
  async (context) => {
    const fixture = await withPeer(context);
    const { failures } = await sendLate(fixture);
    fixture.time.advance(TIMEOUT);
    await until(() => failures.length === REQUESTS);
    for (const reply of fixture.lateReplies) {
      reply(results.Ok('late'));
    }
    assert.equal(await echo(fixture), true);
    assert.equal(failures.length, REQUESTS);
    assert.deepEqual(new Set(failures), new Set(['timeout']));
  },
);
