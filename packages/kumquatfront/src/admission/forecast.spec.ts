/**
 * Estimates of output length and the forecast of memory made from them.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as lengthEstimator from '../estimates/lengthEstimator.js';
import * as memoryForecast from './memoryForecast.js';

function estimatorOf(lengths: readonly number[]): lengthEstimator.LengthEstimator {
  const estimator = new lengthEstimator.LengthEstimator();
  for (const length of lengths) {
    estimator.observe(['key', 'parent'], length);
  }
  return estimator;
}

const MIXED = Array.from({ length: 200 }, (_, position) => (position % 10 === 0 ? 4_000 : 100));

// Most outputs are short, one in ten is long. One that has outlived the short ones is judged by the long ones.
void test.test('a generation that outlived its estimate is taken for a long one', () => {
  const estimator = estimatorOf(MIXED);
  const fresh = estimator.quantile(['key'], 0, 0.5);
  assert.ok(fresh > 80 && fresh < 160, String(fresh));
  assert.ok(estimator.quantile(['key'], 300, 0.5) > 3_000);
});

void test.test('survival never rises, begins at 1 and follows the lengths seen', () => {
  const survival = estimatorOf(MIXED).survival(['key'], 0, memoryForecast.HORIZONS);
  assert.equal(survival[0], 1);
  for (let position = 1; position < survival.length; position += 1) {
    assert.ok((survival[position] ?? 0) <= (survival[position - 1] ?? 0));
  }
  const at240 = survival[memoryForecast.HORIZONS.indexOf(240)] ?? 0;
  assert.ok(at240 > 0.05 && at240 < 0.15, String(at240));
});

void test.test(
  'a key that has seen too little answers with its parent, and an unknown one with the prior',
  () => {
    const estimator = estimatorOf(MIXED);
    estimator.observe(['new', 'parent'], 50);
    assert.equal(estimator.quantile(['new', 'parent'], 0, 0.5), estimator.quantile(['parent'], 0, 0.5));
    assert.ok(estimator.quantile(['unknown'], 0, 0.5) > 0);
    assert.ok(estimator.survival(['key'], 50_000, [0, 500]).every((share) => share >= 0 && share <= 1));
  },
);

// Generations that certainly live on fill the memory by their growth; ones that certainly end free it. In between,
// more deviations mean more caution.
void test.test('the peak grows with what lives on, and with caution', () => {
  const forever = { held: 100, survival: memoryForecast.HORIZONS.map(() => 1) };
  const ending = { held: 100, survival: memoryForecast.HORIZONS.map((steps) => (steps === 0 ? 1 : 0)) };
  const unsure = { held: 100, survival: memoryForecast.HORIZONS.map((steps) => (steps === 0 ? 1 : 0.5)) };
  const longest = memoryForecast.HORIZONS.at(-1) ?? 0;
  assert.equal(memoryForecast.peakWith(memoryForecast.of([]), forever, 3), 100 + longest);
  assert.equal(memoryForecast.peakWith(memoryForecast.of([ending]), ending, 3), 200);
  const calm = memoryForecast.peakWith(memoryForecast.of([unsure]), unsure, 0);
  assert.ok(memoryForecast.peakWith(memoryForecast.of([unsure]), unsure, 2) > calm);
});
