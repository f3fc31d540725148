/**
 * Connect timeout of the peer transport.
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as net from 'node:net';
import type * as stream from 'node:stream';
import * as test from 'node:test';
import * as timersPromises from 'node:timers/promises';

import * as virtualTime from '../kernel/virtualTime.js';
import * as jsonRpcTransport from './jsonRpcTransport.js';

const noop = (): void => undefined;
const log = { debug: noop, info: noop, warn: noop, error: noop };

/** Script of a process that listens with a backlog of one connection and prints its port. */
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

async function connectTo(port: number): Promise<net.Socket> {
  const socket = net.connect(port, '127.0.0.1');
  socket.on('error', noop);
  return new Promise((resolve) => {
    socket.once('connect', () => {
      resolve(socket);
    });
  });
}

// The SYN to a process that is not up yet is lost, and the kernel retransmits it only after a second. The request
// must fail before that, so that it can be retried on a new connection.
void test.test('a connection that does not open fails within a quarter of a second', async () => {
  const child = childProcess.spawn(process.execPath, ['-e', LISTENER], {
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  const port = Number(await firstLine(child));
  child.kill('SIGSTOP');
  const fillers = [await connectTo(port), await connectTo(port)];
  const time = new virtualTime.VirtualTime();
  const transport = jsonRpcTransport.create({ clusterKey: 'key', scheduler: time, log });
  try {
    let failed = false;
    transport.request(`127.0.0.1:${port}`, 'any', null, 60_000, (result) => {
      failed = result.err;
    });
    time.advance(260);
    // The close event and the rejection are delivered in the next turns of the event loop.
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
