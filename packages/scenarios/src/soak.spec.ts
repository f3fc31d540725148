/**
 * Soak test with a few fixed seeds; `npm run soak` runs many more.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as soakRun from './scripts/soakRun.js';

const SEEDS = [1, 17, 39, 61, 101, 202, 303, 404];

for (const seed of SEEDS) {
  void test.test(
    `random faults with seed ${seed}: nothing accepted is lost, no claim is granted twice`,
    () => {
      const result = soakRun.run(seed);
      assert.deepEqual(result.violations, []);
      assert.ok(result.accepted > 0);
    },
  );
}
