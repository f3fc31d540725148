/**
 * What an entry refuses while its heap is nearly full.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as heldMemoryTestHarness from './heldMemoryTestHarness.js';
import type * as heldMemoryTypes from './types.js';

const REFUSED = 'heap.shed 1 {"kind":"newRequest"}';

// Guards against a process that takes what it has no room for, and ends with all requests that it serves.
void test.test('from 75 in 100 of the limit, new requests are refused, and each is counted', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  const shedding = harness.shed();
  harness.collect(749_000);
  assert.equal(shedding.refusesNew(), false);
  harness.collect(751_000);
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
    harness.collect(760_000);
    shedding.refusesNew();
    harness.collect(700_000);
    assert.equal(shedding.isShedding, true);
    harness.collect(660_000);
    assert.equal(shedding.isShedding, false);
    assert.deepEqual(harness.linesOf('newRequests'), [
      'newRequestsRefused {"live":760000,"limit":1000000}',
      'newRequestsAccepted {"live":660000,"limit":1000000,"refused":1}',
    ]);
  },
);

// Guards against an entry that refuses for garbage: one that does little makes no collection by itself.
void test.test('while new requests are refused, the heap is collected once a second', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  harness.shed();
  harness.collect(740_000);
  harness.time.advance(10_000);
  assert.equal(harness.collections, 0);
  harness.collect(760_000);
  harness.time.advance(900);
  assert.equal(harness.collections, 0);
  harness.time.advance(100);
  assert.equal(harness.collections, 1);
  harness.collect(760_000);
  harness.time.advance(900);
  assert.equal(harness.collections, 1);
});

// Guards against a fill between two samples, of which an entry can see more than its heap has left.
void test.test('a holder that grows fast is seen before the next sample', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  const shedding = harness.shed();
  const holder = harness.hold('relayed', { bytes: 0, pieces: 0 });
  harness.collect(700_000);
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

/** Registers a holder of so many objects each, which frees them when they are given up; the largest is first. */
function holdAll(
  harness: heldMemoryTestHarness.HeldMemoryHarness,
  kind: heldMemoryTypes.HolderKind,
  heapBytes: readonly number[],
): number[] {
  const left = [...heapBytes];
  const holder = harness.hold(kind, { bytes: 0, pieces: 0 });
  const update = (): void => {
    holder.held = { bytes: 0, pieces: 0, heapBytes: left.reduce((sum, size) => sum + size, 0) };
    holder.largest = () => ({
      held: { bytes: 0, pieces: 0, heapBytes: left[0] ?? 0 },
      fields: { request: `${kind}-${left.length}` },
      giveUp: () => {
        left.shift();
        update();
      },
    });
  };
  update();
  return left;
}

// Guards against an entry that refuses what is new and is filled by what it has begun.
void test.test(
  'what frees the most heap is given up, one after the other, until the heap is below the level',
  () => {
    const harness = new heldMemoryTestHarness.HeldMemoryHarness();
    harness.shed();
    const relayed = holdAll(harness, 'relayed', [60_000, 30_000, 20_000]);
    const requests = holdAll(harness, 'requests', [40_000, 24_000]);
    harness.collect(940_000);
    assert.deepEqual([relayed, requests], [[30_000, 20_000], [24_000]]);
    assert.deepEqual(harness.linesOf('heapGivenUp'), [
      'heapGivenUp {"kind":"relayed","request":"relayed-3","heap":60000,"live":940000,"limit":1000000}',
      'heapGivenUp {"kind":"requests","request":"requests-2","heap":40000,"live":880000,"limit":1000000}',
    ]);
    assert.deepEqual(harness.counts, ['heap.shed 1 {"kind":"relayed"}', 'heap.shed 1 {"kind":"requests"}']);
  },
);

// Guards against requests that are lost for a heap which they do not free.
void test.test('what frees next to nothing is kept', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  const shedding = harness.shed();
  const responses = holdAll(harness, 'responses', [16_000, 16_000]);
  harness.collect(990_000);
  assert.equal(shedding.isShedding, true);
  assert.equal(responses.length, 2);
});

// Guards against one fill that is counted twice, because what was given up is still counted by its holder.
void test.test('what was given up has time to leave the figures before more is given up', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  harness.shed();
  const relayed = holdAll(harness, 'relayed', [60_000, 60_000, 60_000]);
  harness.collect(860_000);
  assert.equal(relayed.length, 2);
  harness.collect(860_000);
  assert.equal(relayed.length, 2);
  harness.time.advance(100);
  harness.collect(860_000);
  assert.equal(relayed.length, 1);
});

// Guards against hundreds of requests that arrive in one turn, before which the heap was not looked at.
void test.test(
  'a crowd that arrives in one turn is refused within it, and nothing is given up before its end',
  () => {
    const harness = new heldMemoryTestHarness.HeldMemoryHarness();
    const shedding = harness.shed();
    const requests = holdAll(harness, 'requests', [200_000]);
    const holder = harness.hold('requests', { bytes: 0, pieces: 0 });
    harness.collect(740_000);
    harness.use(1_000_000);
    holder.held = { bytes: 0, pieces: 0, heapBytes: 120_000 };
    assert.equal(shedding.refusesNew(), false);
    holder.reportGrowth({ bytes: 0, pieces: 0, heapBytes: 120_000 });
    assert.equal(shedding.refusesNew(), true);
    assert.equal(requests.length, 1);
    harness.time.advance(1);
    assert.equal(requests.length, 0);
  },
);
