/**
 * Which parts of a request determine its content digest.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as relayTypes from '../relay/types.js';
import * as contentDigest from './contentDigest.js';

function request(changes: Partial<relayTypes.TrafficRequest> = {}): relayTypes.TrafficRequest {
  return {
    identity: 'r1',
    host: 'market.example',
    path: '/reports/1?page=2',
    method: 'POST',
    headers: [],
    body: Buffer.from('receipts'),
    arrivedAt: 0,
    ...changes,
  };
}

const digest = contentDigest.forRequest(request(), 'school-1');

void test.test('a retry of a request has the same digest', () => {
  const again = request({ identity: 'r2', arrivedAt: 900, headers: [['X-Guess', '12']], callerTimeout: 5 });
  assert.equal(contentDigest.forRequest(again, 'school-1'), digest);
  assert.match(digest, /^[0-9a-f]{32}$/);
});

void test.test('a different path, query, body, method, host or account gives a different digest', () => {
  const others = [
    contentDigest.forRequest(request({ path: '/reports/2?page=2' }), 'school-1'),
    contentDigest.forRequest(request({ path: '/reports/1?page=3' }), 'school-1'),
    contentDigest.forRequest(request({ body: Buffer.from('receipt') }), 'school-1'),
    contentDigest.forRequest(request({ method: 'PUT' }), 'school-1'),
    contentDigest.forRequest(request({ host: 'other.example' }), 'school-1'),
    contentDigest.forRequest(request(), 'school-2'),
  ];
  assert.equal(new Set([digest, ...others]).size, others.length + 1);
});

// Guards against ambiguous concatenation of path and body.
void test.test('parts that concatenate to the same text give different digests', () => {
  const one = request({ path: '/a', body: Buffer.from('') });
  const other = request({ path: '/', body: Buffer.from('a') });
  assert.notEqual(contentDigest.forRequest(one, ''), contentDigest.forRequest(other, ''));
});
