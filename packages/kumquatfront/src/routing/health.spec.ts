/**
 * Ejection of upstreams and the budget of retries.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as health from './health.js';
import * as retryBudget from './retryBudget.js';

const FIRST = health.defaultSettings.firstEjection;

void test.test('failures in a row eject, one alone does not, and success forgets', () => {
  const upstreams = new health.Health();
  upstreams.failed('e1', 'failure', 0);
  assert.equal(upstreams.isEjected('e1', 0), false);
  upstreams.succeeded('e1');
  upstreams.failed('e1', 'failure', 0);
  assert.equal(upstreams.isEjected('e1', 0), false);
  upstreams.failed('e1', 'failure', 0);
  assert.equal(upstreams.isEjected('e1', FIRST - 1), true);
  assert.equal(upstreams.isEjected('e1', FIRST), false);
});

// A frozen engine costs every caller a whole timeout, a dead one a refused connection. One stall is enough.
void test.test('one stall ejects at once, and each relapse for twice as long', () => {
  const upstreams = new health.Health();
  upstreams.failed('e1', 'stall', 0);
  assert.equal(upstreams.isEjected('e1', FIRST - 1), true);
  upstreams.failed('e1', 'stall', FIRST);
  assert.equal(upstreams.isEjected('e1', FIRST + FIRST * 2 - 1), true);
  assert.equal(upstreams.isEjected('e1', FIRST + FIRST * 2), false);
});

void test.test('one request at a time tries an upstream that comes back', () => {
  const upstreams = new health.Health();
  upstreams.failed('e1', 'stall', 0);
  assert.equal(upstreams.isEjected('e1', FIRST), false);
  upstreams.dispatched('e1', FIRST);
  assert.equal(upstreams.isEjected('e1', FIRST + 1), true);
  upstreams.succeeded('e1');
  assert.equal(upstreams.isEjected('e1', FIRST + 1), false);
});

// Every call of an account fails. Retries are paid for by requests, so the load grows by the budget's share and
// not by a multiple; another account's budget is untouched.
void test.test('retries stay within the budget of the account', () => {
  const budget = new retryBudget.RetryBudget(20);
  let retries = 0;
  for (let request = 0; request < 1_000; request += 1) {
    budget.requested('failing');
    while (budget.mayRetry('failing')) {
      retries += 1;
    }
  }
  assert.ok(retries <= 10 + 1_000 * 0.2 + 1, `${retries} retries`);
  assert.ok(retries >= 200);
  assert.equal(budget.mayRetry('other'), true);
});
