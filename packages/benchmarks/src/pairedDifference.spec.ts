/**
 * The comparison behind statements of what a mechanism is worth.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as pairedDifference from './pairedDifference.js';

void test.test('what a seed does to both series is no difference', () => {
  const { mean, error } = pairedDifference.of([0.5, 0.75, 1], [0.25, 0.5, 0.75]);
  assert.deepEqual([mean, error], [0.25, 0]);
});

void test.test('differences that scatter have a standard error', () => {
  const { mean, error } = pairedDifference.of([1, 3], [0, 0]);
  assert.equal(mean, 2);
  assert.equal(error, 1);
});

void test.test('series of different lengths make no figure', () => {
  assert.ok(Number.isNaN(pairedDifference.of([1, 2], [1]).mean));
});
