/**
 * What the HTTP client underneath does when a connection breaks or never ends: nothing is sent a second time,
 * and nothing fills the process.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import type * as streams from '../streams/types.js';
import * as httpUpstreams from './httpUpstreams.js';

const CALL: streams.ServiceCall = {
  method: 'POST',
  path: '/pay',
  contentType: 'application/json',
  body: '{}',
  idempotencyKey: 'k1',
};

/** A server that counts requests and breaks each connection when `breaks` says so. */
async function serve(
  onRequest: (socket: net.Socket, count: number) => void,
): Promise<{ target: streams.UpstreamTarget; count: () => number; close: () => void }> {
  let count = 0;
  const server = net.createServer((socket) => {
    socket.on('error', () => undefined);
    socket.on('data', () => {
      count += 1;
      onRequest(socket, count);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    target: { name: 's', address: `http://127.0.0.1:${port}` },
    count: () => count,
    close: () => server.close(),
  };
}

function call(services: streams.ServicePort, target: streams.UpstreamTarget): Promise<string> {
  return new Promise((resolve) => {
    services.call(target, CALL, 2_000, {
      answered: () => {
        resolve('answered');
      },
      failed: resolve,
    });
  });
}

const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}';

// The service takes the call and its connection breaks before the answer. The call may have run; the client
// underneath must report the break and not repair it by sending the call again.
void test.test('a call whose connection breaks is sent once and reported as broken', async () => {
  const server = await serve((socket) => socket.destroy());
  const outcome = await call(httpUpstreams.createServices(), server.target);
  assert.equal(outcome, 'broken');
  assert.equal(server.count(), 1);
  server.close();
});

// The same on a kept connection, where clients like to repeat: the first call is answered, the second breaks.
void test.test('a call that breaks on a reused connection is sent once', async () => {
  const server = await serve((socket, count) => {
    if (count === 1) {
      socket.write(ANSWER);
    } else {
      socket.destroy();
    }
  });
  const services = httpUpstreams.createServices();
  assert.equal(await call(services, server.target), 'answered');
  assert.equal(await call(services, server.target), 'broken');
  assert.equal(server.count(), 2);
  server.close();
});

void test.test('only a refused connection counts as never sent', async () => {
  const server = await serve(() => undefined);
  server.close();
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(await call(httpUpstreams.createServices(), server.target), 'neverSent');
});

// An engine sends one event without an end. The connection is given up instead of filling the entry's memory.
void test.test('an event without an end breaks the connection', async () => {
  const server = await serve((socket, count) => {
    if (count === 1) {
      socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ');
      socket.write('x'.repeat(3_000_000));
    }
  });
  const order = { generation: 'r.1', path: '/v1/completions', body: '{}', priority: 0 };
  const reason = await new Promise<string>((resolve) => {
    httpUpstreams.createEngines().start(server.target, order, {
      opened: () => undefined,
      token: () => {
        resolve('token');
      },
      ended: () => {
        resolve('ended');
      },
      failed: (_reason, detail) => {
        resolve(detail);
      },
    });
  });
  assert.equal(reason, 'event too large');
  server.close();
});
