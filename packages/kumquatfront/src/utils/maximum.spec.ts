/**
 * The largest of some items.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as maximum from './maximum.js';

// Guards against a smaller item, or one that does not take part, being given up for the largest.
void test.test('the largest is the first of those with the largest size above 0', () => {
  const sizeOf = (text: string): number => text.length;
  assert.equal(maximum.by(['a', 'cc', 'bb', ''], sizeOf), 'cc');
  assert.equal(maximum.by(['', ''], sizeOf), undefined);
  assert.equal(maximum.by([], sizeOf), undefined);
  assert.equal(
    maximum.by(new Set([3, 9, 4]), (size) => (size === 9 ? 0 : size)),
    4,
  );
});
