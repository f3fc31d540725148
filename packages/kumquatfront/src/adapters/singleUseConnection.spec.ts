/**
 * HTTP exchanges on single-use connections against a raw TCP server.
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as url from 'node:url';

import type * as ports from '../kernel/ports.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as endlessBytes from './endlessBytes.js';
import * as singleUseConnection from './singleUseConnection.js';
import * as systemTime from './systemTime.js';

interface Outcome {
  readonly ended: boolean;
  readonly body: string;
  readonly failure: string;
}

/** Sends a request to a server with the given connection handler and returns the outcome. */
function exchangeWith(
  serve: (socket: net.Socket) => void,
  scheduler: ports.Scheduler = systemTime.scheduler,
): Promise<Outcome> {
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
      singleUseConnection.send(
        { address: `127.0.0.1:${port}`, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) },
        scheduler,
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

// A response without a length ends with its connection, so only a reset shows that the upstream crashed before the
// response was complete.
void test.test('a response without a length is incomplete when its connection is reset', async () => {
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

// As above, but the last bytes and the reset arrive together, in which case Node.js reports an end instead of the
// reset.
void test.test(
  'a response without a length is incomplete when the reset arrives with its last bytes',
  async () => {
    const outcome = await exchangeWith((socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nhalf of it');
      socket.resetAndDestroy();
    });
    assert.equal(outcome.ended, false);
    assert.equal(outcome.failure, 'broken');
  },
);

void test.test(
  'a response without a length is complete when its connection ends without a reset',
  async () => {
    const outcome = await exchangeWith((socket) => {
      socket.end('HTTP/1.1 200 OK\r\n\r\nall of it');
    });
    assert.deepEqual(outcome, { ended: true, body: 'all of it', failure: '' });
  },
);

// Extra bytes that a faulty upstream sends after a complete response must not invalidate the response.
void test.test('bytes after a complete response are ignored', async () => {
  const outcome = await exchangeWith((socket) => {
    socket.end('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwholeHTTP/1.1 200 OK\r\n\r\nmore');
  });
  assert.deepEqual(outcome, { ended: true, body: 'whole', failure: '' });
});

void test.test(
  'a truncated response fails as broken, and a response that is not HTTP fails as garbled',
  async () => {
    const short = await exchangeWith((socket) => {
      socket.end('HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort');
    });
    assert.equal(short.failure, 'broken');
    const garbled = await exchangeWith((socket) => {
      socket.end('no answer at all\r\n\r\n');
    });
    assert.equal(garbled.failure, 'garbled');
  },
);

const UNENCODABLE: readonly (readonly [string, Partial<singleUseConnection.OutgoingRequest>])[] = [
  ['a header value with a control character', { headers: [['X-Name', '\u0001']] }],
  ['a header value with a line break', { headers: [['X-Name', 'a\r\nX-Other: b']] }],
  ['a header value beyond Latin-1', { headers: [['X-Name', '学校']] }],
  ['a header name with a space', { headers: [['X Name', 'a']] }],
  ['a path with a line break', { path: '/a\r\nb' }],
  ['a path beyond Latin-1', { path: '/学' }],
  ['a method that is none', { method: 'GE T' }],
];

interface AloneFailure {
  readonly kind: string;
  /** True if it was reported before `send` returned, when its caller does not have the exchange yet. */
  readonly isAtOnce: boolean;
}

function failureOf(changes: Partial<singleUseConnection.OutgoingRequest>): Promise<AloneFailure> {
  const noop = (): void => undefined;
  const base = { address: '127.0.0.1:1', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) };
  return new Promise((resolve) => {
    let isAtOnce = true;
    singleUseConnection.send({ ...base, ...changes }, systemTime.scheduler, {
      ...{ head: noop, data: noop, end: noop },
      failed: (kind) => {
        resolve({ kind, isAtOnce });
      },
    });
    isAtOnce = false;
  });
}

// Guards against a request that ends the process, and with it all other requests, because it cannot be encoded.
for (const [description, changes] of UNENCODABLE) {
  void test.test(`a request with ${description} fails alone, as withheld and not at once`, async () => {
    assert.deepEqual(await failureOf(changes), { kind: 'withheld', isAtOnce: false });
  });
}

// Guards against an address that ends the process; the upstream that announced it is the cause.
void test.test('a request to an address that cannot exist is reported as not sent', async () => {
  for (const address of ['127.0.0.1:99999', '127.0.0.1:x']) {
    assert.deepEqual(await failureOf({ address }), { kind: 'notSent', isAtOnce: false }, address);
  }
});

/** What a server sends again and again until its connection is closed, after a prefix. */
const ENDLESS: readonly (readonly [string, string, string])[] = [
  ['a head of lines', 'HTTP/1.1 200 OK\r\n', `X-Line: ${'x'.repeat(900)}\r\n`],
  ['a head of one line', 'HTTP/1.1 200 OK\r\nX-Line: ', 'x'.repeat(900)],
  ['interim responses', '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(20)],
  ['a chunk extension', 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=', 'x'.repeat(900)],
  [
    'chunks of one byte with extensions',
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n',
    `1;x=${'x'.repeat(900)}\r\na\r\n`,
  ],
  [
    'trailers',
    'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n',
    `X-Line: ${'x'.repeat(900)}\r\n`,
  ],
];

// Guards against connections that live, and take memory and processor time, until the deadline of a request.
for (const [description, prefix, repeated] of ENDLESS) {
  void test.test(`a connection that sends ${description} without end is closed`, async () => {
    let sentBytes = (): number => 0;
    const closed = new Promise<void>((resolve) => {
      void exchangeWith((socket) => {
        socket.once('close', () => {
          resolve();
        });
        sentBytes = endlessBytes.send(socket, prefix, repeated);
      }).then(({ ended, failure }) => {
        assert.equal(ended, false);
        assert.equal(failure, 'garbled');
      });
    });
    await closed;
    assert.ok(sentBytes() < 8_000_000, `${sentBytes()} bytes`);
  });
}

// Guards against a connection on which a head arrives byte by byte until the deadline of a request.
void test.test('a head that does not end in time fails as garbled', async () => {
  const time = new virtualTime.VirtualTime();
  const outcome = exchangeWith((socket) => {
    socket.write('HTTP/1.1 200 OK\r\nX-Slow: ');
  }, time);
  const timer = setInterval(() => {
    time.advance(100);
  }, 1);
  assert.equal((await outcome).failure, 'garbled');
  clearInterval(timer);
});

// Guards against taking an upstream that works for one whose head does not end.
void test.test('a response may come long after an interim response', async () => {
  const time = new virtualTime.VirtualTime();
  const outcome = await exchangeWith((socket) => {
    socket.write('HTTP/1.1 102 Processing\r\n\r\n', () => {
      setTimeout(() => {
        time.advance(10_000);
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole');
      }, 20);
    });
  }, time);
  assert.deepEqual(outcome, { ended: true, body: 'whole', failure: '' });
});

// Guards against a status that no response to the caller may have.
void test.test('a response with a status below 200 or above 599 fails as garbled', async () => {
  for (const status of ['000', '099', '600', '999']) {
    const outcome = await exchangeWith((socket) => {
      socket.end(`HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\n`);
    });
    assert.equal(outcome.failure, 'garbled', status);
  }
});

/** Heads that the parser takes, with what follows them. */
const UNSOUND_HEADS: readonly (readonly [string, string])[] = [
  [
    'a length behind fields that Node.js would drop',
    `${'X: a\r\n'.repeat(1_200)}Content-Length: 5\r\n\r\nsound`,
  ],
  ['a body in a coding that is not chunks', 'Transfer-Encoding: gzip\r\n\r\nsound'],
  ['chunks in another coding', 'Transfer-Encoding: chunked, gzip\r\n\r\n5\r\nsound\r\n0\r\n\r\n'],
];

// Guards against a body that is not the upstream's, and against an exchange that never ends.
for (const [description, rest] of UNSOUND_HEADS) {
  void test.test(`a response with ${description} fails as garbled`, async () => {
    const outcome = await exchangeWith((socket) => {
      socket.write(`HTTP/1.1 200 OK\r\n${rest}`);
    });
    assert.deepEqual(outcome, { ended: false, body: '', failure: 'garbled' });
  });
}

// Guards against chunks whose end a caller of HTTP/1.0 cannot know.
void test.test('a response with chunks under HTTP/1.0 fails as garbled', async () => {
  const outcome = await exchangeWith((socket) => {
    socket.end('HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n\r\n');
  });
  assert.equal(outcome.failure, 'garbled');
});

const LENIENT_PARSER = '--insecure-http-parser';
const LENIENT_TEST = 'a parser that the environment loosens reads responses strictly';

// Guards against heads that only a lenient parser takes: a process is started with what its environment states.
void test.test(LENIENT_TEST, async () => {
  if (process.execArgv.includes(LENIENT_PARSER)) {
    const outcome = await exchangeWith((socket) => {
      socket.end('HTTP/1.1 200 OK\r\n X-Folded: a\r\nContent-Length: 5\r\n\r\nsound');
    });
    assert.equal(outcome.failure, 'garbled');
    return;
  }
  const words = [LENIENT_PARSER, '--test-name-pattern', LENIENT_TEST, url.fileURLToPath(import.meta.url)];
  // Without the context, the child runs on its own instead of reporting to this test run.
  const env = { ...process.env, NODE_TEST_CONTEXT: undefined };
  const child = childProcess.spawn(process.execPath, words, { env, stdio: 'ignore' });
  const [status] = (await events.EventEmitter.once(child, 'exit')) as [number];
  assert.equal(status, 0);
});

// Nothing was sent on a refused connection, so the request may be sent to another upstream.
void test.test('a refused connection is reported as not sent', async () => {
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
    singleUseConnection.send(
      { address: `127.0.0.1:${port}`, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) },
      systemTime.scheduler,
      { head: () => undefined, data: () => undefined, end: () => undefined, failed: resolve },
    );
  });
  assert.equal(failure, 'notSent');
});
