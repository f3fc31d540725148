/**
 * One exchange on a connection of its own, against a server that speaks bytes.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import * as freshExchange from './freshExchange.js';
import * as systemTime from './systemTime.js';

interface Outcome {
  readonly ended: boolean;
  readonly body: string;
  readonly failure: string;
}

/** Serves one connection, and tells how the exchange with it ended. */
function exchangeWith(serve: (socket: net.Socket) => void): Promise<Outcome> {
  return new Promise((resolve) => {
    const server = net.createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        serve(socket);
      });
    });
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as net.AddressInfo;
      const chunks: Uint8Array[] = [];
      const settle = (ended: boolean, failure: string): void => {
        server.close();
        resolve({ ended, body: Buffer.concat(chunks).toString(), failure });
      };
      freshExchange.send(
        { address: `127.0.0.1:${port}`, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) },
        systemTime.scheduler,
        {
          head: () => undefined,
          data: (bytes) => {
            chunks.push(bytes);
          },
          end: () => {
            settle(true, '');
          },
          failed: (failure) => {
            settle(false, failure);
          },
        },
      );
    });
  });
}

// The caller must not get half an answer as a whole one. An upstream may answer without a length and end with
// its connection; when it crashes in the middle the connection is reset, and nothing else tells the two apart.
void test.test('an answer without a length whose connection is reset is not whole', async () => {
  const outcome = await exchangeWith((socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf of it', () => {
      setTimeout(() => {
        socket.resetAndDestroy();
      }, 20);
    });
  });
  assert.equal(outcome.ended, false);
  assert.equal(outcome.failure, 'broken');
});

// As above, but the last bytes and the reset arrive together. The event loop then reports the end of the
// connection in place of its reset, so the caller would get half an answer as a whole one.
void test.test('an answer without a length is not whole where the reset comes with its bytes', async () => {
  const outcome = await exchangeWith((socket) => {
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf of it');
    socket.resetAndDestroy();
  });
  assert.equal(outcome.ended, false);
  assert.equal(outcome.failure, 'broken');
});

void test.test('an answer without a length that ends with its connection is whole', async () => {
  const outcome = await exchangeWith((socket) => {
    socket.end('HTTP/1.1 200 OK\r\n\r\nall of it');
  });
  assert.deepEqual(outcome, { ended: true, body: 'all of it', failure: '' });
});

// A faulty upstream sends bytes behind its whole answer; they belong to no request, and the answer counts.
void test.test('bytes behind a whole answer are dropped', async () => {
  const outcome = await exchangeWith((socket) => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n\r\nmore');
  });
  assert.deepEqual(outcome, { ended: true, body: 'whole', failure: '' });
});

void test.test('an answer that is cut short is broken, and one that is no answer is garbled', async () => {
  const short = await exchangeWith((socket) => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort');
  });
  assert.equal(short.failure, 'broken');
  const garbled = await exchangeWith((socket) => {
    socket.end('no answer at all\r\n\r\n');
  });
  assert.equal(garbled.failure, 'garbled');
});

// A connection that is refused has carried nothing, so the request may go to another upstream.
void test.test('a refused connection has sent nothing', async () => {
  const probe = net.createServer();
  const port = await new Promise<number>((resolve) => {
    probe.listen(0, '127.0.0.1', () => {
      const address = probe.address() as net.AddressInfo;
      probe.close(() => {
        resolve(address.port);
      });
    });
  });
  const failure = await new Promise<string>((resolve) => {
    freshExchange.send(
      { address: `127.0.0.1:${port}`, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) },
      systemTime.scheduler,
      { head: () => undefined, data: () => undefined, end: () => undefined, failed: resolve },
    );
  });
  assert.equal(failure, 'notSent');
});
