/**
 * HTTP clients for upstreams: a request is never sent twice, and the memory used by an event is bounded.
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

/** Starts a TCP server that counts requests and passes each to a handler. */
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

function callService(services: streams.ServicePort, target: streams.UpstreamTarget): Promise<string> {
  return new Promise((resolve) => {
    services.call(target, CALL, 2_000, {
      onAnswer: () => {
        resolve('answered');
      },
      onFailed: resolve,
    });
  });
}

const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}';

// The connection breaks after the call was sent. The call may have run, so the HTTP client must report the failure
// and must not retry.
void test.test('a call whose connection breaks is sent once and reported as broken', async () => {
  const server = await serve((socket) => socket.destroy());
  const outcome = await callService(httpUpstreams.createServicePort(), server.target);
  assert.equal(outcome, 'broken');
  assert.equal(server.count(), 1);
  server.close();
});

// HTTP clients often retry on a reused connection: here the second call on the connection breaks.
void test.test('a call that breaks on a reused connection is sent once', async () => {
  const server = await serve((socket, count) => {
    if (count === 1) {
      socket.write(ANSWER);
    } else {
      socket.destroy();
    }
  });
  const services = httpUpstreams.createServicePort();
  assert.equal(await callService(services, server.target), 'answered');
  assert.equal(await callService(services, server.target), 'broken');
  assert.equal(server.count(), 2);
  server.close();
});

void test.test('a refused connection is reported as never sent', async () => {
  const server = await serve(() => undefined);
  server.close();
  await new Promise((resolve) => setImmediate(resolve));
  assert.equal(await callService(httpUpstreams.createServicePort(), server.target), 'neverSent');
});

// An event that never ends must not exhaust the memory of the entry.
void test.test('an event without an end fails the connection', async () => {
  const server = await serve((socket, count) => {
    if (count === 1) {
      socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\ndata: ');
      socket.write('x'.repeat(3_000_000));
    }
  });
  const request = { generation: 'r.1', path: '/v1/completions', body: '{}', priority: 0 };
  const reason = await new Promise<string>((resolve) => {
    httpUpstreams.createGenerationPort().start(server.target, request, {
      onAccepted: () => undefined,
      onToken: () => {
        resolve('token');
      },
      onCompleted: () => {
        resolve('ended');
      },
      onFailed: (_reason, detail) => {
        resolve(detail);
      },
    });
  });
  assert.equal(reason, 'event too large');
  server.close();
});

// Guards against a part of an answer that is recorded as the outcome of a call, since a crash ends its connection alike.
void test.test('an answer that only its connection ends is broken if the service is gone', async () => {
  const answer = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{}';
  const running = await serve((socket) => socket.end(answer));
  assert.equal(await callService(httpUpstreams.createServicePort(), running.target), 'answered');
  running.close();
  const crashing = await serve((socket) => {
    crashing.close();
    socket.end(answer);
  });
  assert.equal(await callService(httpUpstreams.createServicePort(), crashing.target), 'broken');
});

// Guards against a call that ends the process because it cannot be encoded; nothing of it was sent.
void test.test('a call that cannot be encoded fails alone, as never sent', async () => {
  const services = httpUpstreams.createServicePort();
  const target = { name: 's', address: 'http://127.0.0.1:1' };
  const failureOf = (address: string, changes: Partial<streams.ServiceCall>): Promise<string> =>
    new Promise((resolve) => {
      services.call({ ...target, address }, { ...CALL, ...changes }, 2_000, {
        onAnswer: () => {
          resolve('answered');
        },
        onFailed: resolve,
      });
    });
  assert.equal(await failureOf(target.address, { idempotencyKey: '学校' }), 'neverSent');
  assert.equal(await failureOf(target.address, { contentType: 'a\r\nb: c' }), 'neverSent');
  assert.equal(await failureOf('http://127.0.0.1:99999', {}), 'neverSent');
  const generations = httpUpstreams.createGenerationPort();
  const request = { generation: '学校', priority: 0, path: '/v1/completions', body: '{}' };
  for (const address of [target.address, 'no address', 'http://127.0.0.1:99999']) {
    const failure = await new Promise<string>((resolve) => {
      const noop = (): void => undefined;
      generations.start({ name: 's', address }, request, {
        ...{ onAccepted: noop, onToken: noop, onCompleted: noop },
        onFailed: resolve,
      });
    });
    assert.equal(failure, 'neverSent', address);
    generations.cancel({ name: 's', address: 'no address' }, '学校', false);
  }
});
