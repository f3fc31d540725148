/**
 * Tests output length estimates and the memory forecast built on them.
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

// Guards against underestimating a generation that has already exceeded the typical length.
void test.test(
  'the estimate of a generation that exceeds the typical length follows the long outputs',
  () => {
    const estimator = estimatorOf(MIXED);
    const fresh = estimator.quantile(['key'], 0, 0.5);
    assert.ok(fresh > 80 && fresh < 160, String(fresh));
    assert.ok(estimator.quantile(['key'], 300, 0.5) > 3_000);
  },
);

void test.test('survival starts at 1, never increases and matches the observed lengths', () => {
  const survival = estimatorOf(MIXED).survivalProbabilities(['key'], 0, memoryForecast.HORIZONS);
  assert.equal(survival[0], 1);
  for (let position = 1; position < survival.length; position += 1) {
    assert.ok((survival[position] ?? 0) <= (survival[position - 1] ?? 0));
  }
  const at240 = survival[memoryForecast.HORIZONS.indexOf(240)] ?? 0;
  assert.ok(at240 > 0.05 && at240 < 0.15, String(at240));
});

void test.test('a key with too few samples falls back to its parent, and an unknown key to the prior', () => {
  const estimator = estimatorOf(MIXED);
  estimator.observe(['new', 'parent'], 50);
  assert.equal(estimator.quantile(['new', 'parent'], 0, 0.5), estimator.quantile(['parent'], 0, 0.5));
  assert.ok(estimator.quantile(['unknown'], 0, 0.5) > 0);
  assert.ok(
    estimator.survivalProbabilities(['key'], 50_000, [0, 500]).every((share) => share >= 0 && share <= 1),
  );
});

// Surviving generations add their growth to the peak, ending ones release their memory; more deviations raise the
// peak of uncertain ones.
void test.test('the peak increases with surviving generations and with the number of deviations', () => {
  const surviving = { heldTokens: 100, survival: memoryForecast.HORIZONS.map(() => 1) };
  const ending = { heldTokens: 100, survival: memoryForecast.HORIZONS.map((steps) => (steps === 0 ? 1 : 0)) };
  const uncertain = {
    heldTokens: 100,
    survival: memoryForecast.HORIZONS.map((steps) => (steps === 0 ? 1 : 0.5)),
  };
  const longest = memoryForecast.HORIZONS.at(-1) ?? 0;
  assert.equal(memoryForecast.peakWith(memoryForecast.forGenerations([]), surviving, 3), 100 + longest);
  assert.equal(memoryForecast.peakWith(memoryForecast.forGenerations([ending]), ending, 3), 200);
  const withoutMargin = memoryForecast.peakWith(memoryForecast.forGenerations([uncertain]), uncertain, 0);
  assert.ok(
    memoryForecast.peakWith(memoryForecast.forGenerations([uncertain]), uncertain, 2) > withoutMargin,
  );
});
