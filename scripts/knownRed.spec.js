import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as knownRed from './knownRed.js';

const entry = 'test: a.spec.js > one\ncommand: npm test\nseen: sent twice\nissue: 1\n';

void test.test('entries are read, comments and empty lines are not', () => {
  const [first, ...others] = knownRed.parse(`# a comment\n\n${entry}\n\n`);
  assert.equal(first?.test, 'a.spec.js > one');
  assert.equal(others.length, 0);
  assert.deepEqual(knownRed.parse(''), []);
});

void test.test('an entry that says too little, or a fourth one, is an error', () => {
  assert.throws(() => knownRed.parse('test: a > b\n'), /lacks "command"/);
  assert.throws(() => knownRed.parse('it fails\n'), /no line of an entry/);
  assert.throws(() => knownRed.parse(`${entry}\n`.repeat(4)), /the most/);
});

void test.test('just the listed failures are passed over', () => {
  const known = knownRed.parse(entry);
  const red = 'a.spec.js > one';
  assert.deepEqual(knownRed.judge([red], [], known), { unknown: [], mended: [], missing: [] });
  assert.deepEqual(knownRed.judge([red, 'a.spec.js > two'], [], known).unknown, ['a.spec.js > two']);
  assert.deepEqual(knownRed.judge([], [red], known).mended, [red]);
  assert.deepEqual(knownRed.judge([], [], known).missing, [red]);
});
