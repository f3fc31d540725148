/**
 * Bound on the memory of engines by what can be moved off them in a notice.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as moveBudget from './moveBudget.js';

const link = { linkMegabitsPerSecond: 1_000, bytesPerToken: 5_000 };

void test.test('the bound is what the link copies in most of the default notice', () => {
  const budget = new moveBudget.MoveBudget();
  assert.equal(budget.tokensFor(link), 30_000);
  assert.equal(budget.isBinding(link, 26_891), false);
  assert.equal(budget.isBinding({ ...link, bytesPerToken: 10_000 }, 26_891), true);
});

// Guards against generations being lost because notices are shorter than assumed; one short notice is no rule.
void test.test('the bound follows the shorter of the observed notices', () => {
  const budget = new moveBudget.MoveBudget();
  for (const notice of [800, 800, 2_000, 2_000, 2_000]) {
    budget.observeNotice(notice);
  }
  assert.equal(budget.notice, 800);
  for (let count = 0; count < 16; count += 1) {
    budget.observeNotice(3_000);
  }
  assert.equal(budget.notice, 3_000);
});

// Guards against deployments that state no link, or a faulty notice, refusing all generations.
void test.test('nothing is bounded without figures, and implausible notices are ignored', () => {
  const budget = new moveBudget.MoveBudget();
  for (const notice of [0, -100, Number.NaN, Number.POSITIVE_INFINITY]) {
    budget.observeNotice(notice);
  }
  assert.equal(budget.notice, 1_500);
  for (const missing of [0, -1, Number.NaN]) {
    assert.equal(budget.isBinding({ ...link, linkMegabitsPerSecond: missing }, 1e9), false);
    assert.equal(budget.isBinding({ ...link, bytesPerToken: missing }, 1e9), false);
  }
});
