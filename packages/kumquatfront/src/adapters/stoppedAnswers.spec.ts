/**
 * Answers that callers have not read when the process of an entry is about to be killed, over loopback connections.
 */
import * as assert from 'node:assert/strict';
import * as net from 'node:net';
import * as test from 'node:test';

import * as unboundedRequests from '../callerBounds/unboundedRequests.js';
import type * as ports from '../kernel/ports.js';
import type * as relayTypes from '../relay/types.js';
import * as systemTime from './systemTime.js';
import * as trafficHttp from './trafficHttp.js';

const LOCAL = '127.0.0.1';

/** More than the kernel takes for a caller that does not read. */
const LARGE = Buffer.alloc(16 * 1_024 * 1_024, 'x');
const NO_BYTES = Buffer.alloc(0);
const SMALL = Buffer.from('sound');

const noop = (): void => undefined;
const log: ports.Log = { debug: noop, info: noop, warn: noop, error: noop };

function headWith(framing: relayTypes.BodyFraming): relayTypes.ResponseHead {
  return { status: 200, headers: [], notRun: false, matchesRequest: true, signed: false, framing };
}

/** How an entry answers. */
interface Answer {
  readonly framing: relayTypes.BodyFraming;
  readonly body: Buffer;
  readonly isStream?: boolean;
}

/**
 * Lets a caller send a request, which an entry answers, and read only after the entry was told that its process is about to be killed.
 *
 * @param version - version of HTTP of the caller
 * @returns how the connection ended, whether all bytes were read, and how many callbacks are left
 */
function readAfterStop(
  { framing, body, isStream = false }: Answer,
  version: '1.0' | '1.1',
): Promise<{ readonly end: 'closed' | 'reset'; readonly isWhole: boolean; readonly callbacks: number }> {
  const callbacks = new Set<() => void>();
  return new Promise((resolve) => {
    const { server } = trafficHttp.create({
      ...{ clock: systemTime.clock, log, requests: unboundedRequests.create() },
      limits: () => undefined,
      isDraining: () => true,
      recentPause: () => 0,
      whenStopImminent: (callback) => {
        callbacks.add(callback);
        return () => callbacks.delete(callback);
      },
      decode: ({ method, url, body: content, arrivedAt }) => ({
        ...{ identity: 'r', host: 'h', path: url, method, headers: [], body: content, arrivedAt },
      }),
      encodeRefusal: () => ({ status: 503, headers: [], body: '{}' }),
      handle: (_request, caller) => {
        if (isStream) {
          caller.begin(headWith(framing));
          caller.write(body);
          caller.end();
        } else {
          caller.respond(headWith(framing), body);
        }
        // The answer has been handed to the operating system as far as it takes it.
        setTimeout(() => {
          for (const callback of callbacks) {
            callback();
          }
          read();
        }, 50);
      },
    });
    let read = noop;
    server.listen(0, LOCAL, () => {
      const { port } = server.address() as net.AddressInfo;
      const socket = net.connect({ port, host: LOCAL, allowHalfOpen: true });
      let wasReset = false;
      let receivedBytes = 0;
      socket.pause();
      read = () => {
        socket.on('data', (bytes) => {
          receivedBytes += bytes.length;
        });
        socket.resume();
      };
      socket.on('error', () => {
        wasReset = true;
      });
      // Where bytes are still to be read, Node.js reports an end instead of a reset; a write of no bytes shows which of them it was.
      socket.on('end', () => {
        socket.write(NO_BYTES, (error) => {
          wasReset = wasReset || (error !== undefined && error !== null);
          socket.end();
        });
      });
      socket.on('close', () => {
        const end = wasReset ? 'reset' : 'closed';
        // The connection is closed on both sides then, and the answer is told of it in the same iteration.
        server.close(() => {
          setImmediate(() => {
            resolve({ end, isWhole: receivedBytes > body.length, callbacks: callbacks.size });
          });
        });
      });
      socket.write(`GET / HTTP/${version}\r\nHost: h\r\nConnection: close\r\n\r\n`);
    });
  });
}

// Guards against a part of an answer that its caller takes for a whole one, since a kill ends its connection like the end of the answer.
void test.test(
  'an unread answer that only its connection ends is reset before the process is killed',
  async () => {
    const plain = await readAfterStop({ framing: 'connection', body: LARGE }, '1.1');
    assert.deepEqual([plain.end, plain.callbacks], ['reset', 0]);
    const stream = await readAfterStop({ framing: 'chunked', body: LARGE, isStream: true }, '1.0');
    assert.deepEqual([stream.end, stream.callbacks], ['reset', 0]);
  },
);

// Guards against an answer that is broken off although its caller could tell a part of it from the whole, or gets all of it.
void test.test('other answers go on until the process is killed', async () => {
  const whole = { end: 'closed', isWhole: true, callbacks: 0 };
  assert.deepEqual(await readAfterStop({ framing: 'length', body: LARGE }, '1.1'), whole);
  assert.deepEqual(await readAfterStop({ framing: 'chunked', body: LARGE, isStream: true }, '1.1'), whole);
  assert.deepEqual(await readAfterStop({ framing: 'length', body: LARGE }, '1.0'), whole);
  assert.deepEqual(await readAfterStop({ framing: 'connection', body: SMALL }, '1.1'), whole);
});
