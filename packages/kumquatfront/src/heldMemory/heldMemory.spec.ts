/**
 * What a process says about its memory before it is full.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as heldMemoryTestHarness from './heldMemoryTestHarness.js';

// Guards against a process that runs out of heap without having said what filled it.
void test.test('near the limit, one line names what each kind holds, and is written at once', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  harness.hold('responses', { bytes: 3_000, pieces: 3_000 });
  harness.hold('unread', { bytes: 200, pieces: 1 });
  harness.hold('responses', { bytes: 1_000, pieces: 10 });
  harness.collect(650_000);
  assert.equal(harness.flushes, 1);
  assert.deepEqual(harness.lines, [
    `heapNearLimit ${JSON.stringify({
      ...{ live: 650_000, used: 650_000, limit: 1_000_000, external: 7, resident: 9 },
      ...{ requestsBytes: 0, requestsPieces: 0, responsesBytes: 4_000, responsesPieces: 3_010 },
      ...{ unreadBytes: 200, unreadPieces: 1, relayedBytes: 0, relayedPieces: 0 },
      ...{ messagesBytes: 0, messagesPieces: 0, logBytes: 0, logPieces: 0 },
    })}`,
  ]);
});

// Guards against alarms for garbage, which a busy process always has.
void test.test('garbage does not count', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  harness.hold('responses', { bytes: 0, pieces: 0 });
  harness.collect(200_000);
  harness.use(990_000);
  harness.time.advance(60_000);
  assert.deepEqual(harness.lines, []);
});

// Guards against a fill that is noticed only at the next major collection, which may come too late.
void test.test('what a holder gains between two collections counts', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  const holder = harness.hold('responses', { bytes: 100, pieces: 100 });
  harness.collect(200_000);
  harness.use(700_000);
  holder.held = { bytes: 4_100, pieces: 4_100 };
  harness.time.advance(100);
  assert.equal(harness.lines.length, 1);
});

// Guards against an estimate beyond what the heap has in use.
void test.test('the live heap is never more than the heap in use', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  const holder = harness.hold('relayed', { bytes: 0, pieces: 0 });
  harness.collect(200_000);
  holder.held = { bytes: 5_000_000, pieces: 1 };
  harness.time.advance(5_000);
  assert.deepEqual(harness.lines, []);
  assert.equal(harness.gauges.get('heap.live'), 200_000);
});

// Guards against a log that repeats the line for each swing around a level.
void test.test('a level is reported once while the heap swings around it, and a higher one at once', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  for (let swing = 0; swing < 100; swing += 1) {
    harness.collect(610_000);
    harness.time.advance(200);
    harness.collect(550_000);
    harness.time.advance(200);
  }
  assert.equal(harness.lines.length, 1);
  harness.collect(760_000);
  harness.collect(860_000);
  assert.equal(harness.lines.length, 3);
});

void test.test(
  'a heap that fills again and again is reported at most once in five seconds for a level',
  () => {
    const harness = new heldMemoryTestHarness.HeldMemoryHarness();
    for (let fill = 0; fill < 100; fill += 1) {
      harness.collect(900_000);
      harness.time.advance(100);
      harness.collect(100_000);
      harness.time.advance(100);
    }
    assert.equal(harness.lines.length, 4);
  },
);

void test.test('metrics tell bytes and pieces by kind, and the heap', () => {
  const harness = new heldMemoryTestHarness.HeldMemoryHarness();
  harness.hold('messages', { bytes: 5_000, pieces: 4 });
  harness.time.advance(1_000);
  assert.equal(harness.gauges.get('held.bytes messages'), 5_000);
  assert.equal(harness.gauges.get('held.pieces messages'), 4);
  assert.equal(harness.gauges.get('heap.used'), 100_000);
  assert.equal(harness.gauges.get('heap.limit'), 1_000_000);
});
