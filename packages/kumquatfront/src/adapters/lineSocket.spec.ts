/**
 * Lines over a TCP connection, as they arrive in chunks.
 */
import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';

import type * as heldMemoryTypes from '../heldMemory/types.js';
import * as trafficValidation from '../traffic/trafficValidation.js';
import * as lineSocket from './lineSocket.js';
import * as messageMemory from './messageMemory.js';

function openMemory(): messageMemory.ConnectionMemory {
  return new messageMemory.MessageMemory().open(() => undefined);
}

/** Receives chunks on a connection; returns the lines, and whether the connection was closed. */
function receive(
  chunks: readonly (string | Buffer)[],
  isAuthenticated = true,
): { readonly lines: readonly string[]; readonly closed: boolean; readonly held: heldMemoryTypes.Held } {
  let closed = false;
  const socket = Object.assign(new events.EventEmitter(), {
    setNoDelay: () => undefined,
    writableLength: 0,
    destroy: () => {
      closed = true;
    },
  });
  const lines: string[] = [];
  const received = new lineSocket.LineSocket(socket as unknown as net.Socket, openMemory(), (line) => {
    lines.push(line);
  });
  if (isAuthenticated) {
    received.permitLongLines();
  }
  for (const chunk of chunks) {
    socket.emit('data', Buffer.from(chunk));
  }
  return { lines, closed, held: received.held() };
}

void test.test('lines are split wherever the chunks end', () => {
  const { lines } = receive(['a', 'b\nc', '\n\nd\ne', '\n']);
  assert.deepEqual(lines, ['ab', 'c', '', 'd', 'e']);
});

// A configuration that control accepted but could not replicate would never be acknowledged.
void test.test('the largest configuration fits in a line even if every character is escaped', () => {
  const line = JSON.stringify({ text: '"'.repeat(trafficValidation.MAXIMUM_CONFIGURATION_BYTES) });
  const { lines, closed } = receive([line.slice(0, 70_000), line.slice(70_000), '\n']);
  assert.equal(closed, false);
  assert.deepEqual(
    lines.map(({ length }) => length),
    [line.length],
  );
});

void test.test('a connection whose line does not end is closed', () => {
  assert.equal(receive(['x'.repeat(11 * 1024 * 1024)]).closed, true);
});

// Guards against memory that any process can fill before it proves who it is.
void test.test('the lines of a handshake are short', () => {
  assert.equal(receive(['x'.repeat(5_000)], false).closed, true);
  assert.equal(receive(['x'.repeat(500), '\n'], false).closed, false);
});

// Guards against a heap that is full of the strings of single bytes, far below the bound on a line.
void test.test('a line in pieces of one byte holds about its size in few objects', () => {
  const pieces = Array.from({ length: 200_000 }, () => Buffer.from('a'));
  const { held } = receive(pieces);
  assert.ok(held.bytes < 300_000 && held.pieces < 20, `${held.bytes} bytes in ${held.pieces} pieces`);
  const { lines, held: afterwards } = receive([...pieces, Buffer.from('\n')]);
  assert.deepEqual(lines, ['a'.repeat(200_000)]);
  assert.deepEqual(afterwards, { bytes: 0, pieces: 0 });
});

// Guards against a line of characters of three bytes that takes three times the memory of its bound.
void test.test('the bound on a line is one on its bytes', () => {
  assert.equal(receive([Buffer.from('€'.repeat(3_600_000))]).closed, true);
  const { lines } = receive([...Buffer.from('€\n😀\n')].map((byte) => Buffer.from([byte])));
  assert.deepEqual(lines, ['€', '😀']);
});

/** Connects two processes; `peer` reads nothing until it is resumed. */
async function connect(context: test.TestContext): Promise<{ socket: net.Socket; peer: net.Socket }> {
  const server = net.createServer({ pauseOnConnect: true }).listen(0, '127.0.0.1');
  await events.EventEmitter.once(server, 'listening');
  const accepted = events.EventEmitter.once(server, 'connection') as Promise<[net.Socket]>;
  const socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
  await events.EventEmitter.once(socket, 'connect');
  const [peer] = await accepted;
  context.after(() => {
    socket.destroy();
    peer.destroy();
    server.close();
  });
  return { socket, peer };
}

// Guards against a heap that is full of short lines for a peer that does not read, far below the bound on unsent bytes.
void test.test(
  'short lines that a peer does not read have a bound, and it gets all that were sent',
  { timeout: 20_000 },
  async (context) => {
    const { socket, peer } = await connect(context);
    const lines = new lineSocket.LineSocket(socket, openMemory(), () => undefined);
    let sent = 0;
    while (sent < 1_000_000 && lines.send(String(sent).padEnd(40))) {
      sent += 1;
      if (sent % 1_000 === 0) {
        // What the operating system takes does not wait.
        await timers.setImmediate();
      }
    }
    assert.ok(sent < 1_000_000, 'no line was refused');
    assert.ok(lines.held().pieces <= lineSocket.MAXIMUM_UNSENT_LINES, `${lines.held().pieces} lines wait`);
    const received: string[] = [];
    const reader = new lineSocket.LineSocket(peer, openMemory(), (line) => received.push(line));
    peer.resume();
    while (received.length < sent) {
      await events.EventEmitter.once(peer, 'data', { signal: context.signal });
    }
    assert.equal(Number(received.at(-1)), sent - 1);
    assert.equal(reader.held().pieces, 0);
    // The operating system may tell that it has taken the last of them after they were read.
    while (lines.held().pieces > 0) {
      await timers.setImmediate();
    }
    assert.equal(lines.send('again'), true);
  },
);
