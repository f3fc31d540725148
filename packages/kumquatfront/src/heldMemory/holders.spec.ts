/**
 * What the parts of a process tell about what they hold.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import * as lineSocket from '../adapters/lineSocket.js';
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
  const port = { listener: 'callers', stallTimeout: () => 20_000, isLate: () => false, giveUp: noop };
  const connection = requests.openConnection(port);
  connection.grow(1_000);
  connection.grow(2_000);
  connection.serve();
  assert.deepEqual(requests.held(), { bytes: 3_000, pieces: 2 });
  connection.answer(50);
  assert.deepEqual(requests.held(), { bytes: 50, pieces: 0 });
  connection.close();
  assert.deepEqual(requests.held(), { bytes: 0, pieces: 0 });
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
  const port = { listener: 'callers', stallTimeout: () => 20_000, isLate: () => false, giveUp: noop };
  requests.openConnection(port).grow(1_000);
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
    { bytes: 0, pieces: 1 },
  ]);
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
  const lines = new lineSocket.LineSocket(socket, noop);
  await new Promise((resolve) => socket.once('data', resolve));
  assert.deepEqual(lines.held(), { bytes: 6, pieces: 1 });
  const line = 'x'.repeat(1_000_000);
  while (lines.send(line));
  const { bytes, pieces } = lines.held();
  assert.equal(bytes, socket.writableLength + 6);
  assert.ok(pieces >= 8);
  socket.destroy();
});
