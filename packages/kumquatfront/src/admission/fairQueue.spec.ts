/**
 * Tests the fairness, bounds and aging of the queue.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fairQueue from './fairQueue.js';

function createQueue(weightOf: (account: string) => number = () => 1): fairQueue.FairQueue<number> {
  return new fairQueue.FairQueue<number>(() => ({ perAccount: 100, total: 250 }), weightOf);
}

function push(queue: fairQueue.FairQueue<number>, account: string, cost: number, enqueuedAt = 0): boolean {
  return queue.push({ account, cost, enqueuedAt, value: cost });
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

// Guards against starvation of a small account by the backlog of a large one.
void test.test('a large account does not starve a small one', () => {
  const queue = createQueue();
  for (let count = 0; count < 100; count += 1) {
    push(queue, 'large', 500);
  }
  push(queue, 'small', 500);
  push(queue, 'small', 500);
  const served = serve(queue, 6);
  assert.equal(served.filter((account) => account === 'small').length, 2);
});

void test.test('accounts are served in proportion to their weights', () => {
  const queue = createQueue((account) => (account === 'heavy' ? 3 : 1));
  for (let count = 0; count < 100; count += 1) {
    push(queue, 'heavy', 1_000);
    push(queue, 'light', 1_000);
  }
  const served = serve(queue, 40);
  assert.equal(served.filter((account) => account === 'heavy').length, 30);
});

void test.test('fairness counts tokens, not requests', () => {
  const queue = createQueue();
  for (let count = 0; count < 100; count += 1) {
    push(queue, 'long', 2_000);
    push(queue, 'short', 200);
  }
  const served = serve(queue, 55);
  const long = served.filter((account) => account === 'long').length;
  assert.ok(long >= 4 && long <= 6, `${long} long requests among 55`);
});

void test.test('the bounds per account and in total are enforced, and serving an item frees capacity', () => {
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

// Guards against starvation of an expensive request by a steady supply of cheap ones.
void test.test('a request queued for longer than the aging threshold is served first', () => {
  const queue = createQueue();
  push(queue, 'patient', 50_000, 0);
  for (let count = 0; count < 50; count += 1) {
    push(queue, 'busy', 10, 900);
  }
  assert.deepEqual(serve(queue, 1, 500), ['busy']);
  assert.deepEqual(serve(queue, 1, 1_001), ['patient']);
});
