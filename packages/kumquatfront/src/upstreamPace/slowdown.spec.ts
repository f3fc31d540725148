/**
 * Slowdowns that upstreams report.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as slowdown from './slowdown.js';

void test.test('a slowdown decays to 1 with a half-life of 300 ms', () => {
  assert.equal(slowdown.decayed(3, 0), 3);
  assert.equal(slowdown.decayed(3, 300), 2);
  assert.equal(slowdown.decayed(3, 600), 1.5);
  assert.ok(slowdown.decayed(10, 10_000) < 1.001);
});

// Guards against a false report attracting all calls, or making the forecast useless.
void test.test('implausible slowdowns are bounded', () => {
  for (const value of [undefined, Number.NaN, 0, -2, 0.01, 1]) {
    assert.equal(slowdown.bounded(value), 1, `${value}`);
  }
  assert.equal(slowdown.bounded(250), 10);
  assert.equal(slowdown.bounded(Number.POSITIVE_INFINITY), 10);
});

// Guards against a clock that steps back raising the slowdown without bound.
void test.test('a report from the future counts as current', () => {
  assert.equal(slowdown.decayed(3, -100_000), 3);
});
