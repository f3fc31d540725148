import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as labelSelector from './labelSelector.js';

void test.test('a selector supports equality, set, existence and absence requirements', () => {
  const selector = labelSelector
    .parse('market=wa-perth,traffic in (balance, stock),!trial,tier!=free')
    .unwrap();
  const labels = { market: 'wa-perth', traffic: 'balance' };
  assert.equal(labelSelector.matches(selector, labels), true);
  assert.equal(labelSelector.matches(selector, { ...labels, traffic: 'report' }), false);
  assert.equal(labelSelector.matches(selector, { ...labels, trial: 'yes' }), false);
  assert.equal(labelSelector.matches(selector, { ...labels, tier: 'free' }), false);
});

void test.test('an inherited object property is not treated as a label', () => {
  const selector = labelSelector.parse('constructor').unwrap();
  assert.equal(labelSelector.matches(selector, {}), false);
});

void test.test('an invalid term is rejected with a remedy', () => {
  for (const text of ['market==', 'a in (b', 'a in ()', '=b', 'a b']) {
    const parsed = labelSelector.parse(text);
    assert.ok(parsed.err, text);
    assert.match(parsed.val.remedy, /key=value/);
  }
});

void test.test('selectors overlap if and only if one request can match both', () => {
  const cases: readonly (readonly [string, string, boolean])[] = [
    ['traffic=report', 'market=wa-perth', true],
    ['traffic=report', 'traffic=balance', false],
    ['traffic in (a,b)', 'traffic notin (a,b)', false],
    ['traffic in (a,b)', 'traffic!=a', true],
    ['traffic=report,!service', 'service=tuckshop', false],
    ['!trial', 'trial notin (x)', true],
    ['', 'traffic=report', true],
  ];
  for (const [left, right, expected] of cases) {
    const overlap = labelSelector.overlaps(
      labelSelector.parse(left).unwrap(),
      labelSelector.parse(right).unwrap(),
    );
    assert.equal(overlap, expected, `${left} and ${right}`);
  }
});
