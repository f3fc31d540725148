/**
 * Durations of requests by route.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as routeDurations from './routeDurations.js';

void test.test('the bound of a route is above all its recent durations, and infinite without any', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.array(fastCheck.integer({ min: 0, max: 60_000 })), (times) => {
      const durations = new routeDurations.RouteDurations();
      for (const time of times) {
        durations.record('route', time);
      }
      const bound = durations.upperBound('route');
      assert.ok(times.slice(-64).every((time) => time <= bound));
      assert.equal(Number.isFinite(bound), times.length >= 8);
      assert.equal(durations.upperBound('other'), Number.POSITIVE_INFINITY);
    }),
    { numRuns: 200, seed: 4 },
  );
});

// Guards against a bound that one slow request leaves behind for ever.
void test.test('old durations are forgotten', () => {
  const durations = new routeDurations.RouteDurations();
  durations.record('route', 50_000);
  for (let count = 0; count < 64; count += 1) {
    durations.record('route', 10);
  }
  assert.ok(durations.upperBound('route') <= 20);
});

// Guards against memory that grows with each configuration that names other routes.
void test.test('the number of routes is bounded', () => {
  const durations = new routeDurations.RouteDurations();
  for (let route = 0; route < 5_000; route += 1) {
    for (let count = 0; count < 8; count += 1) {
      durations.record(`route-${route}`, 10);
    }
  }
  assert.equal(durations.upperBound('route-0'), Number.POSITIVE_INFINITY);
  assert.ok(Number.isFinite(durations.upperBound('route-4999')));
});
