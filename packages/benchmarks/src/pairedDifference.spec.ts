/**
 * Paired comparison, which decides whether the effect of a placement feature is significant.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as pairedDifference from './pairedDifference.js';

void test.test(
  'variation between seeds that affects both series alike does not add to the standard error',
  () => {
    const { mean, standardError } = pairedDifference.compare([0.5, 0.75, 1], [0.25, 0.5, 0.75]);
    assert.deepEqual([mean, standardError], [0.25, 0]);
  },
);

void test.test('differences that vary between seeds have a standard error', () => {
  const { mean, standardError } = pairedDifference.compare([1, 3], [0, 0]);
  assert.equal(mean, 2);
  assert.equal(standardError, 1);
});

void test.test('series of different lengths yield NaN', () => {
  assert.ok(Number.isNaN(pairedDifference.compare([1, 2], [1]).mean));
});
