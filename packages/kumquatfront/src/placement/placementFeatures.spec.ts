/**
 * Placement features that control's settings disable.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as coordinatorTestHarness from './coordinatorTestHarness.js';
import * as placementFeatures from './placementFeatures.js';

void test.test('named features are disabled, all others are enabled', () => {
  const isEnabled = placementFeatures.withDisabled(['evacuation']).unwrap();
  assert.deepEqual([isEnabled('evacuation'), isEnabled('memoryBound')], [false, true]);
});

void test.test('an unknown feature name is rejected with a list of the valid ones', () => {
  const refused = placementFeatures.withDisabled(['evacuation', 'magic']);
  assert.ok(!refused.ok);
  assert.match(refused.val.message, /magic/);
  assert.match(refused.val.remedy, /memoryBound/);
});

// One engine with memory for one generation: only the memory limit prevents placing the second one.
void test.test('without the memory limit a full engine accepts more generations', () => {
  const disabled = placementFeatures.withDisabled(['memoryBound']).unwrap();
  const states = [placementFeatures.allEnabled, disabled].map((isEnabled) => {
    const harness = new coordinatorTestHarness.CoordinatorTestHarness(1, 1, isEnabled).start();
    harness.requestPlacement('first');
    harness.advance(500);
    harness.requestPlacement('second');
    harness.advance(1_000);
    return harness.stateOf('second');
  });
  assert.deepEqual(states, ['refused', 'placed']);
});
