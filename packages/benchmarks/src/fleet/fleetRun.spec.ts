/**
 * Simulations of complete fleets. They guard against placement by free memory alone, refusals after long waits and
 * retries treated as new requests, each of which lowers the value that callers of an overloaded fleet receive.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fleetCases from './fleetCases.js';
import * as fleetRun from './fleetRun.js';

void test.test('a fleet with free capacity serves nearly all requests in time', () => {
  const figures = fleetRun.simulate({ ...fleetCases.small, seed: 1 });
  assert.ok(figures.earned > 0.9, `earned ${figures.earned}`);
  assert.equal(figures.short.refused, 0);
});

// Long generations arrive faster than memory can hold them. Those placed get their first event in time, since no request
// goes to an engine with queued prompts; the others are refused early.
void test.test(
  'a grown fleet at one and a half times its capacity serves in time the requests that it accepts',
  () => {
    const figures = fleetRun.simulate({ ...fleetCases.grown, duration: 40_000, seed: 1 });
    const { long, short } = figures;
    assert.ok(figures.earned > 0.7, `earned ${figures.earned}`);
    assert.ok(long.lateFirst < 0.03 * long.requested, `late ${long.lateFirst} of ${long.requested}`);
    assert.ok(figures.lateRefusals < 0.05, `late refusals ${figures.lateRefusals}`);
    assert.ok(short.inTime > 0.95 * short.requested, `urgent in time ${short.inTime} of ${short.requested}`);
  },
);

void test.test('a fleet that has lost a third of its engines still serves urgent requests in time', () => {
  const figures = fleetRun.simulate({ ...fleetCases.depleted, seed: 1 });
  const { short } = figures;
  assert.ok(figures.earned > 0.55, `earned ${figures.earned}`);
  assert.ok(short.inTime > 0.85 * short.requested, `urgent in time ${short.inTime} of ${short.requested}`);
});
