/**
 * Lines over a TCP connection, as they arrive in chunks.
 */
import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import type * as net from 'node:net';
import * as test from 'node:test';

import * as trafficValidation from '../traffic/trafficValidation.js';
import * as lineSocket from './lineSocket.js';

/** Receives chunks on a connection; returns the lines, and whether the connection was closed. */
function receive(
  chunks: readonly string[],
  isAuthenticated = true,
): { readonly lines: readonly string[]; readonly closed: boolean } {
  let closed = false;
  const socket = Object.assign(new events.EventEmitter(), {
    setNoDelay: () => undefined,
    destroy: () => {
      closed = true;
    },
  });
  const lines: string[] = [];
  const received = new lineSocket.LineSocket(socket as unknown as net.Socket, (line) => {
    lines.push(line);
  });
  if (isAuthenticated) {
    received.permitLongLines();
  }
  for (const chunk of chunks) {
    socket.emit('data', Buffer.from(chunk));
  }
  return { lines, closed };
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
