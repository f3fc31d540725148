/**
 * Connecting to a process that does not answer at all.
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as net from 'node:net';
import type * as stream from 'node:stream';
import * as test from 'node:test';
import * as timersPromises from 'node:timers/promises';

import * as virtualTime from '../kernel/virtualTime.js';
import * as jsonRpcTransport from './jsonRpcTransport.js';

const nothing = (): void => undefined;
const log = { debug: nothing, info: nothing, warn: nothing, error: nothing };

/** Listens with room for two connections that nobody accepts yet, and tells its port. */
const LISTENER = `const server = require('node:net').createServer();
server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => console.log(server.address().port));`;

async function firstLine(
  child: childProcess.ChildProcessByStdio<null, stream.Readable, null>,
): Promise<string> {
  return new Promise((resolve) => {
    child.stdout.once('data', (bytes: Buffer) => {
      resolve(bytes.toString('utf8').trim());
    });
  });
}

async function connected(port: number): Promise<net.Socket> {
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', nothing);
  return new Promise((resolve) => {
    socket.once('connect', () => {
      resolve(socket);
    });
  });
}

// All power is lost, and a process starts before the one that it asks: its opening packet vanishes, and the kernel
// sends the next one a second later. The question has to fail long before, so that it can be asked again.
void test.test('a connection that does not open fails within a quarter of a second', async () => {
  const child = childProcess.spawn(process.execPath, ['-e', LISTENER], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  const port = Number(await firstLine(child));
  child.kill('SIGSTOP');
  const fillers = [await connected(port), await connected(port)];
  const time = new virtualTime.VirtualTime();
  const transport = jsonRpcTransport.create({ clusterKey: 'key', scheduler: time, log });
  try {
    let failed = false;
    transport.request(`127.0.0.1:${port}`, 'any', null, 60_000, (result) => {
      failed = result.err;
    });
    time.advance(260);
    // The closing of the socket and the answer are heard of in the next turns of the loop.
    await timersPromises.setImmediate();
    await timersPromises.setImmediate();
    assert.equal(failed, true);
  } finally {
    transport.close();
    for (const filler of fillers) {
      filler.destroy();
    }
    child.kill('SIGKILL');
  }
});
