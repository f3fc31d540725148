/**
 * What the parts of a process tell about what they hold.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import * as lineSocket from '../adapters/lineSocket.js';
import * as messageMemory from '../adapters/messageMemory.js';
import type * as heldRequests from '../callerBounds/heldRequests.js';
import * as unboundedRequests from '../callerBounds/unboundedRequests.js';
import * as slowReaders from '../entryLoad/slowReaders.js';
import type * as heldMemoryTypes from './types.js';
import type * as ports from '../kernel/ports.js';
import * as responseMemory from '../relay/responseMemory.js';

const noop = (): void => undefined;
const log: ports.Log = { debug: noop, info: noop, warn: noop, error: noop };
const metrics: ports.Metrics = { count: noop, gauge: noop, timing: noop };

// Guards against figures that stay after what they count has gone; in time they would hide what fills the memory.
void test.test('responses and requests count until they are released', () => {
  const memory = new responseMemory.ResponseMemory(log, metrics);
  const response = memory.openResponse(noop);
  response.add(Buffer.alloc(40_000));
  response.add(Buffer.alloc(40_000));
  assert.deepEqual(memory.held(), { bytes: 80_000, pieces: 2 });
  response.release();
  assert.deepEqual(memory.held(), { bytes: 0, pieces: 0 });

  const requests = unboundedRequests.create();
  const port = {
    listener: 'callers',
    stallTimeout: () => 20_000,
    isLate: () => false,
    takenBytes: () => 0,
    giveUp: noop,
  };
  const connection = requests.openConnection(port);
  connection.grow(1_000);
  connection.grow(2_000);
  connection.serve();
  assert.deepEqual(requests.held(), { bytes: 3_000, pieces: 2, heapBytes: 0 });
  connection.answer(50);
  assert.deepEqual(requests.held(), { bytes: 50, pieces: 0, heapBytes: 0 });
  connection.close();
  assert.deepEqual(requests.held(), { bytes: 0, pieces: 0, heapBytes: 0 });
});

void test.test('unread streams count the writes since their caller had read all', () => {
  const options = { now: () => 0, log, metrics, memoryMegabytes: 200 };
  const readers = new slowReaders.SlowReaders(options);
  let unread = 0;
  const reader = { request: 'a', unreadBytes: () => unread, queuedBytes: () => 0, disconnect: noop };
  const { write, remove } = readers.track(reader);
  const send = (): void => {
    unread += 100;
  };
  write(send);
  unread = 0;
  assert.deepEqual(readers.held(), { bytes: 0, pieces: 0 });
  write(send);
  write(send);
  write(send);
  assert.deepEqual(readers.held(), { bytes: 300, pieces: 3 });
  remove();
  assert.deepEqual(readers.held(), { bytes: 0, pieces: 0 });
});

// Guards against a holder that grows without the heap being looked at before the next sample.
void test.test('responses, requests and unread streams tell that they grow', () => {
  const growths: heldMemoryTypes.Held[] = [];
  const record = (growth: heldMemoryTypes.Held): void => {
    growths.push(growth);
  };
  const responses = new responseMemory.ResponseMemory(log, metrics);
  responses.onGrowth(record);
  responses.openResponse(noop).add(Buffer.alloc(40_000));
  const requests = unboundedRequests.create();
  requests.onGrowth(record);
  const port = {
    listener: 'callers',
    stallTimeout: () => 20_000,
    isLate: () => false,
    takenBytes: () => 0,
    giveUp: noop,
  };
  const connection = requests.openConnection(port);
  connection.growHead(1_000);
  // What is held is looked at each second until there is nothing left.
  connection.close();
  const readers = new slowReaders.SlowReaders({ now: () => 0, log, metrics, memoryMegabytes: 200 });
  readers.onGrowth(record);
  let unread = 0;
  const reader = { request: 'a', unreadBytes: () => unread, queuedBytes: () => 0, disconnect: noop };
  const { write } = readers.track(reader);
  write(noop);
  unread = 7;
  write(noop);
  assert.deepEqual(growths, [
    { bytes: 40_000, pieces: 1 },
    { bytes: 1_000, pieces: 1 },
    { bytes: 0, pieces: 0, heapBytes: 28_000 },
    { bytes: 0, pieces: 1 },
  ]);
});

// Guards against a request that is given up after it has run, or while its caller keeps up.
void test.test('only requests in part and streams of callers that do not keep up are given up', () => {
  const requests = unboundedRequests.create();
  const givenUp: string[] = [];
  const open = (name: string, headBytes: number): heldRequests.HeldConnection => {
    const connection = requests.openConnection({
      ...{ listener: 'callers', stallTimeout: () => 20_000, isLate: () => false, takenBytes: () => 0 },
      giveUp: (reason) => givenUp.push(`${name} ${reason}`),
    });
    connection.growHead(headBytes);
    return connection;
  };
  open('large', 1_000);
  open('small', 500);
  const served = open('served', 2_000);
  served.serve();
  const ahead = open('ahead', 3_000);
  ahead.serve();
  ahead.grow(100);
  assert.deepEqual(requests.largest()?.held, { bytes: 1_000, pieces: 1, heapBytes: 28_000 });
  requests.largest()?.giveUp();
  requests.largest()?.giveUp();
  assert.equal(requests.largest(), undefined);
  assert.deepEqual(givenUp, ['large memory', 'small memory']);
  served.close();
  ahead.close();

  const readers = new slowReaders.SlowReaders({ now: () => 0, log, metrics, memoryMegabytes: 200 });
  const track = (name: string, unread: number): (<Result>(send: () => Result) => Result) =>
    readers.track({
      ...{ request: name, unreadBytes: () => unread, queuedBytes: () => 0 },
      disconnect: () => givenUp.push(name),
    }).write;
  track('keepsUp', 16_383)(noop);
  track('behind', 20_000)(noop);
  track('complete', 900_000);
  assert.deepEqual(readers.largest()?.held, { bytes: 20_000, pieces: 1, heapBytes: 24_000 });
  readers.largest()?.giveUp();
  assert.equal(readers.largest(), undefined);
  assert.equal(givenUp.at(-1), 'behind');
});

void test.test('the response that takes the most objects is given up, unless its reader cannot tell', () => {
  const memory = new responseMemory.ResponseMemory(log, metrics);
  const givenUp: string[] = [];
  const open = (name: string, shed?: (reason: string) => void): responseMemory.ResponseBuffer =>
    memory.openResponse(() => givenUp.push(`${name} over its bound`), shed);
  const fill = (response: responseMemory.ResponseBuffer, pieces: number): void => {
    for (let piece = 0; piece < pieces; piece += 1) {
      response.add(Buffer.alloc(65_536));
    }
  };
  fill(
    open('few', (reason) => givenUp.push(`few: ${reason}`)),
    2,
  );
  fill(
    open('many', (reason) => givenUp.push(`many: ${reason}`)),
    3,
  );
  fill(open('untold'), 4);
  memory.largest()?.giveUp();
  assert.deepEqual(givenUp, ['many: the memory of this entry is nearly full']);
  assert.deepEqual(memory.held(), { bytes: 6 * 65_536, pieces: 6 });
});

void test.test('a line that has arrived in part counts, and what a peer does not read', async () => {
  const accepted = new Promise<net.Socket>((resolve) => {
    const server = net.createServer((socket) => {
      server.close();
      resolve(socket);
    });
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as net.AddressInfo;
      net.connect(port, '127.0.0.1').pause().write('a part');
    });
  });
  const socket = await accepted;
  const memory = new messageMemory.MessageMemory().open(noop);
  const lines = new lineSocket.LineSocket(socket, memory, noop);
  await new Promise((resolve) => socket.once('data', resolve));
  assert.deepEqual(lines.held(), { bytes: 6, pieces: 1 });
  const line = 'x'.repeat(1_000_000);
  while (lines.send(line));
  const { bytes, pieces } = lines.held();
  assert.equal(bytes, socket.writableLength + 6);
  assert.ok(pieces >= 8);
  socket.destroy();
});
