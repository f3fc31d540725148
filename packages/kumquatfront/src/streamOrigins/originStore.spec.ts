/** Bounded memory of the origins of streams. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as originStore from './originStore.js';
import type * as types from './types.js';

function record(account: string, attempt: string, software = 'version v1'): types.OriginRecord {
  return { account, attempt, service: 'llm', software, expiresIn: 1_000 };
}

void test.test('an origin is found until it expires, and a later record keeps it for longer', () => {
  const store = new originStore.OriginStore(10);
  store.add(record('a', 'r1'), 0);
  assert.deepEqual(store.find(record('a', 'r1'), 999), { service: 'llm', software: 'version v1' });
  assert.equal(store.find(record('a', 'r1'), 1_000), undefined);
  store.add(record('a', 'r1'), 500);
  assert.ok(store.find(record('a', 'r1'), 1_400));
  store.removeExpired(1_500);
  assert.equal(store.size, 0);
});

// Guards against an account that learns or changes the origin of another's stream by naming its attempt.
void test.test('accounts that use the same attempt identifier have origins of their own', () => {
  const store = new originStore.OriginStore(10);
  store.add(record('a', 'r1'), 0);
  assert.equal(store.find(record('b', 'r1'), 1), undefined);
  store.add(record('b', 'r1', 'version v2'), 2);
  assert.equal(store.find(record('a', 'r1'), 3)?.software, 'version v1');
  assert.equal(store.find(record('b', 'r1'), 3)?.software, 'version v2');
});

// Guards against a guess where one attempt was recorded at two versions.
void test.test('an attempt with two origins has none', () => {
  const store = new originStore.OriginStore(10);
  store.add(record('a', 'r1'), 0);
  store.add(record('a', 'r1', 'version v2'), 1);
  assert.equal(store.find(record('a', 'r1'), 2), undefined);
  store.add(record('a', 'r1'), 3);
  assert.equal(store.find(record('a', 'r1'), 4), undefined);
});

// Guards against one account whose many streams push out the origins of all others.
void test.test('a flood of one account displaces only its own records', () => {
  const store = new originStore.OriginStore(100);
  for (let index = 0; index < 10; index += 1) {
    store.add(record('quiet', `q${index}`), 0);
  }
  for (let index = 0; index < 1_000; index += 1) {
    store.add(record('flood', `f${index}`), 1);
  }
  assert.equal(store.size, 100);
  for (let index = 0; index < 10; index += 1) {
    assert.ok(store.find(record('quiet', `q${index}`), 2));
  }
  assert.ok(store.find(record('flood', 'f999'), 2));
});
