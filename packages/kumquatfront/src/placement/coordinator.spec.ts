/**
 * When a coordinator that takes over begins to place.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as coordinatorBench from './coordinatorBench.js';

// A leader has died and another replica coordinates. It knows what runs as soon as every entry has told it; callers
// should not wait any longer than that.
void test.test('a new coordinator places once every entry has reported', () => {
  const bench = new coordinatorBench.CoordinatorBench(1, 1);
  bench.report();
  bench.ask('first');
  bench.time.advance(100);
  assert.equal(bench.stateOf('first'), 'placed');
});

// One entry has not reported yet, and may run much on these engines. Placing now could fill them twice.
void test.test('a new coordinator waits for an entry that has not reported, but not for ever', () => {
  const bench = new coordinatorBench.CoordinatorBench(1, 1);
  bench.entries = ['e', 'silent'];
  bench.report();
  bench.ask('first');
  bench.time.advance(300);
  assert.equal(bench.stateOf('first'), 'waiting');
  bench.time.advance(200);
  assert.equal(bench.stateOf('first'), 'placed');
});

// An engine comes back cold and empty beside a full one: it looks like the best place for all that waits. Sent at once
// they would run it down; one after another they find their places within seconds.
void test.test('a cold engine gets what it tolerates in any second, and the rest as it warms up', () => {
  const bench = new coordinatorBench.CoordinatorBench(0, 40);
  bench.addEngine(coordinatorBench.WARM_UP.duration);
  bench.begin();
  for (let index = 0; index < 20; index += 1) {
    bench.ask(`g${index}`, `g${index}`, 0);
  }
  bench.pass(500);
  assert.equal(bench.placedOn('i0'), 3);
});
