/**
 * Tests the ejection of upstreams and the retry budget.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as outlierDetector from './outlierDetector.js';
import * as accountRetryBudget from './accountRetryBudget.js';

const FIRST = outlierDetector.defaultSettings.baseEjectionTime;

void test.test(
  'consecutive failures eject an upstream, a single one does not, and a success resets the count',
  () => {
    const upstreams = new outlierDetector.OutlierDetector();
    upstreams.recordFailure('e1', 'failure', 0);
    assert.equal(upstreams.isEjected('e1', 0), false);
    upstreams.recordSuccess('e1');
    upstreams.recordFailure('e1', 'failure', 0);
    assert.equal(upstreams.isEjected('e1', 0), false);
    upstreams.recordFailure('e1', 'failure', 0);
    assert.equal(upstreams.isEjected('e1', FIRST - 1), true);
    assert.equal(upstreams.isEjected('e1', FIRST), false);
  },
);

// Guards against sending more callers to a frozen engine, each of which would wait for the full timeout.
void test.test(
  'a single stall ejects immediately, and each ejection lasts twice as long as the previous one',
  () => {
    const upstreams = new outlierDetector.OutlierDetector();
    upstreams.recordFailure('e1', 'stall', 0);
    assert.equal(upstreams.isEjected('e1', FIRST - 1), true);
    upstreams.recordFailure('e1', 'stall', FIRST);
    assert.equal(upstreams.isEjected('e1', FIRST + FIRST * 2 - 1), true);
    assert.equal(upstreams.isEjected('e1', FIRST + FIRST * 2), false);
  },
);

void test.test('an upstream that returns from ejection is probed with one request at a time', () => {
  const upstreams = new outlierDetector.OutlierDetector();
  upstreams.recordFailure('e1', 'stall', 0);
  assert.equal(upstreams.isEjected('e1', FIRST), false);
  upstreams.recordDispatch('e1', FIRST);
  assert.equal(upstreams.isEjected('e1', FIRST + 1), true);
  upstreams.recordSuccess('e1');
  assert.equal(upstreams.isEjected('e1', FIRST + 1), false);
});

// Guards against retry amplification when all requests of an account fail, and against one account using up the
// budget of another.
void test.test('retries stay within the budget of the account', () => {
  const budget = new accountRetryBudget.AccountRetryBudget(20);
  let retries = 0;
  for (let request = 0; request < 1_000; request += 1) {
    budget.recordRequest('failing');
    while (budget.mayRetry('failing')) {
      retries += 1;
    }
  }
  assert.ok(retries <= 10 + 1_000 * 0.2 + 1, `${retries} retries`);
  assert.ok(retries >= 200);
  assert.equal(budget.mayRetry('other'), true);
});
