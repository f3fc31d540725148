/** Software of upstreams, and where streams may go on. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceTestHarness from '../instances/instanceTestHarness.js';
import * as software from './software.js';

const { announcement } = instanceTestHarness;

void test.test('a stream goes on at another upstream of its service and version', () => {
  const origin = software.originAt(announcement('a', { softwareVersion: 'v1' }));
  assert.ok(software.mayContinue(origin, announcement('b', { softwareVersion: 'v1' })));
  assert.ok(!software.mayContinue(origin, announcement('b', { softwareVersion: 'v1.1' })));
  assert.ok(!software.mayContinue(origin, announcement('b', { softwareVersion: 'v1', service: 'other' })));
});

// Guards against upstreams without a version that are taken for alike, although each may run other software.
void test.test('an upstream without a version goes on only with its own streams', () => {
  const unversioned = { softwareVersion: undefined };
  const origin = software.originAt(announcement('a', unversioned));
  assert.ok(software.mayContinue(origin, announcement('a', unversioned)));
  assert.ok(!software.mayContinue(origin, announcement('b', unversioned)));
});

// Guards against a version whose name looks like the identity of an upstream without one.
void test.test('a version is never taken for an identity', () => {
  const origin = software.originAt(announcement('a', { softwareVersion: undefined }));
  assert.ok(!software.mayContinue(origin, announcement('b', { softwareVersion: 'a' })));
});
