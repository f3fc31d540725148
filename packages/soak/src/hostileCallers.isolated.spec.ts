/**
 * Hostile clients at the address for callers of an entry.
 */
import * as assert from 'node:assert/strict';
import * as http from 'node:http';
import * as test from 'node:test';

import * as hostileCases from './hostileCases.js';
import * as hostileClients from './hostileClients.js';
import * as hostileSystem from './hostileSystem.js';

const BODY_BYTES = 1024 * 1024;
const CHUNKS_PER_WRITE = 10_000;
const REQUEST_TIMEOUT = 60_000;

const callers = {
  listener: 'callers',
  request: 'POST /payment/x',
  headers: hostileClients.callerHeaders,
} as const;

/** Sends a body in chunks of one byte; returns the status of the answer, 0 if there is none. */
function sendInBytes({ host, port }: { readonly host: string; readonly port: number }): Promise<number> {
  return new Promise((resolve) => {
    const request = http.request({ host, port, method: 'POST', path: '/payment/x', agent: false });
    for (const line of hostileClients.callerHeaders) {
      const [name = '', value = ''] = line.split(': ');
      request.setHeader(name, value);
    }
    request.setTimeout(REQUEST_TIMEOUT, () => request.destroy());
    request.on('error', () => {
      resolve(0);
    });
    request.on('response', (response) => {
      response.resume();
      response.on('close', () => {
        resolve(response.complete ? (response.statusCode ?? 0) : 0);
      });
    });
    request.flushHeaders();
    request.on('socket', (socket) => {
      const chunks = Buffer.from('1\r\nx\r\n'.repeat(CHUNKS_PER_WRITE));
      const write = (left: number): void => {
        if (left === 0) {
          socket.write('0\r\n\r\n');
        } else {
          const count = Math.min(left, CHUNKS_PER_WRITE);
          socket.write(chunks.subarray(0, count * '1\r\nx\r\n'.length), () => {
            write(left - count);
          });
        }
      };
      socket.once('connect', () => {
        setTimeout(write, 50, BODY_BYTES);
      });
    });
  });
}

// A request inside the limits used up the heap, since each chunk was held as an object of its own.
void test.test('a body of 1 MB in chunks of one byte is served', async () => {
  const system = await hostileSystem.HostileSystem.start();
  try {
    assert.equal(await sendInBytes(system.addressOf('callers')), 200);
    assert.equal(await system.callOnce('callers', REQUEST_TIMEOUT), 200);
    hostileCases.check(
      await system.attack('callers', { ...callers, kinds: ['idleConnections'], connections: 1 }, 5_000),
    );
  } finally {
    system.stop();
  }
});

hostileCases.define([
  // The heap fills with the objects of the chunks.
  { ...callers, failure: 'bodies in chunks of one byte, unfinished', kinds: ['bytesOfBodies'] },
  // Each body is inside the limit, all together are not.
  { ...callers, failure: 'bodies in large pieces, unfinished', kinds: ['piecesOfBodies'] },
  // The same with a length.
  { ...callers, failure: 'bodies with a length that stop short', kinds: ['bodiesCutShort'] },
  // Thousands of requests are parsed and answered before the first unread answer stops the connection.
  { ...callers, failure: 'bare requests ahead, unread', kinds: ['bareRequestsAhead'] },
  // Each request ahead opens a call to an upstream.
  { ...callers, failure: 'whole requests ahead, unread', kinds: ['wholeRequestsAhead'] },
  // The same with streams, whose answers are queued.
  { ...callers, failure: 'streams ahead, unread', kinds: ['streamsAhead'] },
  // Bodies of requests that wait for an earlier answer are held as well.
  { ...callers, failure: 'requests with bodies ahead, unread', kinds: ['bodiesAhead'] },
  // Connections that send nothing use up the descriptors.
  {
    ...callers,
    ...{ failure: 'idle connections beyond the descriptors', kinds: ['idleConnections'], connections: 500 },
  },
  // Heads that never end are held outside the bounds on bodies.
  {
    ...callers,
    ...{ failure: 'unfinished heads beyond the descriptors', kinds: ['unfinishedHeads'], connections: 500 },
  },
  // A bound on each kind alone leaves their sum without one.
  {
    ...callers,
    failure: 'several kinds together',
    kinds: ['bytesOfBodies', 'piecesOfBodies', 'bareRequestsAhead', 'bodiesAhead', 'bodiesCutShort'],
  },
]);
