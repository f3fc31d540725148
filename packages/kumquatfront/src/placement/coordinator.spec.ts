/**
 * Recovery of a new coordinator, and placement on cold engines.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as coordinatorTestHarness from './coordinatorTestHarness.js';
import type * as placementFeatures from './placementFeatures.js';

// Guards against delaying all requests for the maximum recovery time after a failover.
void test.test('a new coordinator starts placing as soon as every entry has reported', () => {
  const harness = new coordinatorTestHarness.CoordinatorTestHarness(1, 1);
  harness.report();
  harness.requestPlacement('first');
  harness.time.advance(100);
  assert.equal(harness.stateOf('first'), 'placed');
});

// Guards against overcommitting engines that run generations of an entry that has not reported yet.
void test.test(
  'a new coordinator waits for an entry that has not reported, up to the maximum recovery time',
  () => {
    const harness = new coordinatorTestHarness.CoordinatorTestHarness(1, 1);
    harness.entries = ['e', 'unresponsive'];
    harness.report();
    harness.requestPlacement('first');
    harness.time.advance(300);
    assert.equal(harness.stateOf('first'), 'waiting');
    harness.time.advance(200);
    assert.equal(harness.stateOf('first'), 'placed');
  },
);

/** Number of 20 simultaneous urgent requests that are placed on a cold engine within half a second. */
function startsOnColdEngine(isEnabled?: placementFeatures.IsEnabled): number {
  const harness = new coordinatorTestHarness.CoordinatorTestHarness(0, 40, isEnabled);
  harness.addEngine(coordinatorTestHarness.WARM_UP.duration);
  harness.start();
  for (let index = 0; index < 20; index += 1) {
    harness.requestPlacement(`g${index}`, `g${index}`, 0);
  }
  harness.advance(500);
  return harness.placedCount('i0');
}

// Guards against overloading a cold engine, which has the most free memory, with all queued requests at once.
void test.test('starts on a cold engine are limited per second', () => {
  assert.equal(startsOnColdEngine(), 3);
});

// With the prefill forecast few of these prompts are in time on one engine, so that it hides a missing limit.
void test.test('starts on a cold engine are limited per second without a prefill forecast', () => {
  const disabled: readonly placementFeatures.Feature[] = ['prefillScheduling', 'readingPace', 'lateLast'];
  assert.equal(
    startsOnColdEngine((feature) => !disabled.includes(feature)),
    3,
  );
});
