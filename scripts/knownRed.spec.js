/**
 * Parsing of KNOWN-RED.txt and its comparison with test results.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as knownRed from './knownRed.js';

const entry = 'test: a.spec.js > one\ncommand: npm test\nseen: sent twice\nissue: 1\n';

void test.test('entries are parsed; comments and empty lines are ignored', () => {
  const [first, ...others] = knownRed.parse(`# a comment\n\n${entry}\n\n`);
  assert.equal(first?.test, 'a.spec.js > one');
  assert.equal(others.length, 0);
  assert.deepEqual(knownRed.parse(''), []);
});

void test.test('an incomplete entry, an invalid line or a fourth entry is an error', () => {
  assert.throws(() => knownRed.parse('test: a > b\n'), /an entry has no "command"/);
  assert.throws(() => knownRed.parse('it fails\n'), /invalid line "it fails"/);
  assert.throws(() => knownRed.parse(`${entry}\n`.repeat(4)), /3 is the maximum/);
});

void test.test('only listed failures are tolerated', () => {
  const known = knownRed.parse(entry);
  const red = 'a.spec.js > one';
  assert.deepEqual(knownRed.judge([red], [], known), { unknown: [], mended: [], missing: [] });
  assert.deepEqual(knownRed.judge([red, 'a.spec.js > two'], [], known).unknown, ['a.spec.js > two']);
  assert.deepEqual(knownRed.judge([], [red], known).mended, [red]);
  assert.deepEqual(knownRed.judge([], [], known).missing, [red]);
});
