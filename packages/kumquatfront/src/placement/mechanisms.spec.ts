/**
 * Mechanisms that the settings of control switch off.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as coordinatorBench from './coordinatorBench.js';
import * as mechanisms from './mechanisms.js';

void test.test('what is named is off, all else is on', () => {
  const isOn = mechanisms.without(['evacuation']).unwrap();
  assert.deepEqual([isOn('evacuation'), isOn('memoryBound')], [false, true]);
});

void test.test('a name that is no mechanism is refused with those that are', () => {
  const refused = mechanisms.without(['evacuation', 'magic']);
  assert.ok(!refused.ok);
  assert.match(refused.val.message, /magic/);
  assert.match(refused.val.remedy, /memoryBound/);
});

// One engine with memory for one generation: the bound keeps the second one out.
void test.test('without the bound on memory a full engine takes more', () => {
  const off = mechanisms.without(['memoryBound']).unwrap();
  const states = [mechanisms.allOn, off].map((isOn) => {
    const bench = new coordinatorBench.CoordinatorBench(1, 1, isOn).begin();
    bench.ask('first');
    bench.pass(500);
    bench.ask('second');
    bench.pass(1_000);
    return bench.stateOf('second');
  });
  assert.deepEqual(states, ['refused', 'placed']);
});
