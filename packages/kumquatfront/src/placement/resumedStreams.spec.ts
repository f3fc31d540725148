/** Placement of streams that already have events. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as coordinatorTestHarness from './coordinatorTestHarness.js';

/** Fills an engine with patient generations until one has to wait. */
function fill(harness: coordinatorTestHarness.CoordinatorTestHarness): void {
  for (let count = 1; count <= 24; count += 1) {
    harness.requestPlacement(`new-${count}`);
    harness.advance(250);
    if (harness.stateOf(`new-${count}`) !== 'placed') {
      return;
    }
  }
}

// Guards against a stream that cannot go on because new ones, which could run at any version, have taken its room.
void test.test('a stream with events has room that new ones leave', () => {
  const harness = new coordinatorTestHarness.CoordinatorTestHarness(1, 20).start();
  fill(harness);
  assert.ok(harness.placedCount('i0') < 22);
  harness.requestPlacement('resumed', 'resumed', 1, 'incarnation i0');
  harness.advance(250);
  assert.equal(harness.stateOf('resumed'), 'placed');
});

// Guards against a coordinator that places a stream with events at any engine of its service.
void test.test('a stream with events is placed only on engines of its software', () => {
  const harness = new coordinatorTestHarness.CoordinatorTestHarness(6, 20).start();
  for (let count = 1; count <= 5; count += 1) {
    harness.requestPlacement(`resumed-${count}`, `resumed-${count}`, 1, 'incarnation i4');
    harness.advance(500);
  }
  assert.equal(harness.placedCount('i4'), 5);
});
