/**
 * What an entry refuses while its heap is nearly full.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as heldMemoryTestHarness from './heldMemoryTestHarness.js';

const REFUSED = 'heap.shed 1 {"kind":"newRequest"}';

// Guards against a process that takes what it has no room for, and ends with all requests that it serves.
void test.test('from 85 in 100 of the limit, new requests are refused, and each is counted', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  const shedding = harness.shed();
  harness.collect(849_000);
  assert.equal(shedding.refusesNew(), false);
  harness.collect(851_000);
  assert.equal(shedding.refusesNew(), true);
  assert.equal(shedding.refusesNew(), true);
  assert.deepEqual(harness.counts, [REFUSED, REFUSED]);
});

// Guards against an entry that accepts and refuses in turn while its heap swings around the level.
void test.test(
  'new requests are accepted again well below the level, with one line for each decision',
  () => {
    const harness = new heldMemoryTestHarness.HeldMemoryHarness();
    const shedding = harness.shed();
    harness.collect(860_000);
    shedding.refusesNew();
    harness.collect(800_000);
    assert.equal(shedding.isShedding, true);
    harness.collect(760_000);
    assert.equal(shedding.isShedding, false);
    assert.deepEqual(harness.linesOf('newRequests'), [
      'newRequestsRefused {"live":860000,"limit":1000000}',
      'newRequestsAccepted {"live":760000,"limit":1000000,"refused":1}',
    ]);
  },
);

// Guards against an entry that refuses for garbage: one that does little makes no collection by itself.
void test.test('while new requests are refused, the heap is collected once a second', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  harness.shed();
  harness.collect(840_000);
  harness.time.advance(10_000);
  assert.equal(harness.collections, 0);
  harness.collect(860_000);
  harness.time.advance(900);
  assert.equal(harness.collections, 0);
  harness.time.advance(100);
  assert.equal(harness.collections, 1);
  harness.collect(860_000);
  harness.time.advance(900);
  assert.equal(harness.collections, 1);
});

// Guards against a fill between two samples, of which an entry can see more than its heap has left.
void test.test('a holder that grows fast is seen before the next sample', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  const shedding = harness.shed();
  const holder = harness.hold('relayed', { bytes: 0, pieces: 0 });
  harness.collect(800_000);
  harness.use(1_000_000);
  holder.held = { bytes: 60_000, pieces: 1 };
  holder.reportGrowth({ bytes: 15_000, pieces: 1 });
  harness.time.advance(1);
  assert.equal(shedding.isShedding, false);
  holder.reportGrowth({ bytes: 15_000, pieces: 1 });
  assert.equal(shedding.isShedding, false);
  harness.time.advance(1);
  assert.equal(shedding.isShedding, true);
});
