/**
 * Connections that are reset, in each state.
 */
import * as assert from 'node:assert/strict';
import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';

import * as connectionReset from './connectionReset.js';

const PATIENCE = 5_000;

/** What has been sent on a connection when it is reset. */
const STATES: readonly (readonly [string, (socket: net.Socket) => void])[] = [
  ['is open', () => undefined],
  ['has bytes that are not sent', (socket) => socket.write(Buffer.alloc(8_000_000))],
  ['has an end that is not sent', (socket) => socket.end(Buffer.alloc(8_000_000))],
  ['is ending', (socket) => socket.end()],
];

for (const [state, prepare] of STATES) {
  // Guards against a descriptor that stays open, and a process that never ends, when the end of the connection is being sent.
  void test.test(`a connection that ${state} is closed by a reset`, async (context) => {
    const server = net.createServer({ allowHalfOpen: true });
    server.listen(0, '127.0.0.1');
    await events.EventEmitter.once(server, 'listening');
    const { port } = server.address() as net.AddressInfo;
    const accepted = events.EventEmitter.once(server, 'connection') as Promise<[net.Socket]>;
    const socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    await events.EventEmitter.once(socket, 'connect');
    const [other] = await accepted;
    other.on('error', () => undefined);
    context.after(() => {
      other.destroy();
      server.close();
    });
    prepare(socket);
    const closed = events.EventEmitter.once(socket, 'close', { signal: AbortSignal.timeout(PATIENCE) });
    connectionReset.reset(socket);
    await assert.doesNotReject(closed);
  });
}
