/**
 * The list of safeguards against the built library: a text that no longer stands there takes nothing out, and its
 * scenario would prove nothing.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as test from 'node:test';

import * as safeguards from './scripts/safeguards.js';

const LIBRARY = new URL('../../kumquatfront/dist/', import.meta.url);

void test.test('the text of each safeguard stands exactly once in its file', () => {
  for (const { name, file, find } of safeguards.safeguards) {
    const text = fs.readFileSync(new URL(file, LIBRARY), 'utf8');
    assert.equal(text.split(find).length, 2, `${name}: ${find}`);
  }
});
