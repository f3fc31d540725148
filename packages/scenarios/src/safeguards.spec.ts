/**
 * Checks the list of safeguards against the built library: `npm run prove` cannot remove a safeguard whose text does
 * not occur exactly once.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as test from 'node:test';

import * as safeguards from './scripts/safeguards.js';

const LIBRARY = new URL('../../kumquatfront/dist/', import.meta.url);

void test.test('the text of each safeguard occurs exactly once in its file', () => {
  for (const { name, file, find } of safeguards.safeguards) {
    const text = fs.readFileSync(new URL(file, LIBRARY), 'utf8');
    assert.equal(text.split(find).length, 2, `${name}: ${find}`);
  }
});
