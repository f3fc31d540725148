/**
 * Predicted completion times of plain calls.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as completionForecast from './completionForecast.js';

const idle: completionForecast.ForecastInput = {
  ...{ pace: 40, announcedSlots: 6, age: 0, ownInFlight: 0, turnedAwayShare: 0 },
};

void test.test('a call waits only if all slots are in use', () => {
  assert.equal(completionForecast.predict(idle), 40);
  const free = { running: 5, waiting: 0, slots: 6 };
  assert.equal(completionForecast.predict({ ...idle, report: free }), 40);
  const full = { running: 6, waiting: 5, slots: 6 };
  assert.equal(completionForecast.predict({ ...idle, report: full }), 80);
});

void test.test('calls of the own entry count although no report includes them', () => {
  assert.equal(completionForecast.predict({ ...idle, ownInFlight: 11 }), 80);
});

void test.test('a reported load and slowdown lose weight with age', () => {
  const report = { running: 6, waiting: 17, slots: 6, slowdown: 2 };
  const times = [0, 300, 1_000, 60_000].map((age) => completionForecast.predict({ ...idle, report, age }));
  assert.deepEqual(
    times,
    [...times].sort((left, right) => right - left),
  );
  assert.equal(Math.round(times[0] ?? 0), 320);
  assert.ok(Math.abs((times[3] ?? 0) - 40) < 0.1);
});

// Guards against an upstream that turns calls away at once, and therefore reports no load, looking the fastest.
void test.test('an upstream that turns calls away takes longer', () => {
  assert.equal(completionForecast.predict({ ...idle, turnedAwayShare: 0.5 }), 80);
  assert.ok(Number.isFinite(completionForecast.predict({ ...idle, turnedAwayShare: 1 })));
});

// Guards against a false report making the forecast negative, infinite or not a number.
void test.test('implausible reports give a finite forecast', () => {
  const values = [Number.NaN, -5, 0, 1e30, Number.POSITIVE_INFINITY];
  for (const value of values) {
    const report = { running: value, waiting: value, slots: value, slowdown: value };
    const time = completionForecast.predict({ ...idle, report });
    assert.ok(time >= 40 && time < 1e6, `${value}: ${time}`);
  }
  const time = completionForecast.predict({ ...idle, report: { running: 1, waiting: 0 }, announcedSlots: 0 });
  assert.ok(Number.isFinite(time));
});
