/**
 * Fairness, bounds and ageing of the queue.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fairQueue from './fairQueue.js';

function createQueue(weightOf: (account: string) => number = () => 1): fairQueue.FairQueue<number> {
  return new fairQueue.FairQueue<number>(() => ({ perAccount: 100, total: 250 }), weightOf);
}

function push(queue: fairQueue.FairQueue<number>, account: string, cost: number, since = 0): boolean {
  return queue.push({ account, cost, since, value: cost });
}

function serve(queue: fairQueue.FairQueue<number>, count: number, now = 0): readonly string[] {
  const served: string[] = [];
  for (let position = 0; position < count; position += 1) {
    const item = queue.peek(now, 1_000);
    if (item !== undefined) {
      queue.remove(item, true);
      served.push(item.account);
    }
  }
  return served;
}

// A large account queues a hundred requests before a small one queues two. By turns, the small one is served
// long before the large one is done, and both get about the same tokens meanwhile.
void test.test('a large account does not push a small one out', () => {
  const queue = createQueue();
  for (let count = 0; count < 100; count += 1) {
    push(queue, 'large', 500);
  }
  push(queue, 'small', 500);
  push(queue, 'small', 500);
  const served = serve(queue, 6);
  assert.equal(served.filter((account) => account === 'small').length, 2);
});

void test.test('shares follow the weights', () => {
  const queue = createQueue((account) => (account === 'heavy' ? 3 : 1));
  for (let count = 0; count < 100; count += 1) {
    push(queue, 'heavy', 1_000);
    push(queue, 'light', 1_000);
  }
  const served = serve(queue, 40);
  assert.equal(served.filter((account) => account === 'heavy').length, 30);
});

void test.test('shares are of tokens, not of requests', () => {
  const queue = createQueue();
  for (let count = 0; count < 100; count += 1) {
    push(queue, 'long', 2_000);
    push(queue, 'short', 200);
  }
  const served = serve(queue, 55);
  const long = served.filter((account) => account === 'long').length;
  assert.ok(long >= 4 && long <= 6, `${long} long ones in 55`);
});

void test.test('bounds of an account and of all are kept, and room comes back', () => {
  const queue = createQueue();
  for (let count = 0; count < 100; count += 1) {
    assert.equal(push(queue, 'a', 1), true);
  }
  assert.equal(push(queue, 'a', 1), false);
  for (const account of ['b', 'c']) {
    for (let count = 0; count < 75; count += 1) {
      assert.equal(push(queue, account, 1), true);
    }
  }
  assert.equal(push(queue, 'd', 1), false);
  serve(queue, 1);
  assert.equal(push(queue, 'd', 1), true);
});

// One expensive request of a patient account would wait while cheap ones keep coming. Once it has waited long
// enough it goes first whatever the turns say.
void test.test('a request that waited too long goes first', () => {
  const queue = createQueue();
  push(queue, 'patient', 50_000, 0);
  for (let count = 0; count < 50; count += 1) {
    push(queue, 'busy', 10, 900);
  }
  assert.deepEqual(serve(queue, 1, 500), ['busy']);
  assert.deepEqual(serve(queue, 1, 1_001), ['patient']);
});
