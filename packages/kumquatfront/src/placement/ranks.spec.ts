/**
 * Ranks of urgent and patient generations whose client accounts have the same priority.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as coordinatorTestHarness from './coordinatorTestHarness.js';
import * as lengthForecast from './lengthForecast.js';
import * as ranks from './ranks.js';
import type * as types from './types.js';

const ACCOUNT_PRIORITY = 1;
const SHORT = ranks.fromPriorities(0, ACCOUNT_PRIORITY);
const LONG = ranks.fromPriorities(1, ACCOUNT_PRIORITY);

void test.test('the account priority takes precedence over the route priority', () => {
  assert.ok(ranks.fromPriorities(5, 0) < ranks.fromPriorities(0, 1));
  assert.ok(SHORT < LONG);
  assert.ok(ranks.fromPriorities(1_000, 0) < ranks.fromPriorities(0, 1));
  assert.equal(ranks.fromPriorities(2), 2);
});

void test.test('a generation on an urgent route is urgent for any account priority', () => {
  assert.equal(ranks.isPatient(SHORT), false);
  assert.equal(ranks.isPatient(LONG), true);
  assert.equal(ranks.isPatient(ranks.fromPriorities(0)), false);
});

// Guards against ranking by account priority alone, which would queue urgent generations behind patient ones.
void test.test('an urgent generation does not wait behind patient ones of the same account priority', () => {
  const harness = new coordinatorTestHarness.CoordinatorTestHarness(1, 2).start();
  for (let index = 0; index < 4; index += 1) {
    harness.requestPlacement(`long-${index}`, `long-${index}`, LONG);
  }
  harness.advance(40);
  assert.equal(harness.stateOf('long-3'), 'waiting');
  harness.finish('long-0');
  harness.requestPlacement('short', 'short', SHORT);
  harness.advance(60);
  assert.equal(harness.stateOf('short'), 'placed');
  assert.equal(harness.stateOf('long-3'), 'waiting');
});

// Guards against underestimating long generations, which would overcommit engines and cause preemption.
void test.test('output lengths are observed separately for each rank', () => {
  const forecast = new lengthForecast.LengthForecast();
  const attributesOf = (rank: number): types.GenerationAttributes => ({
    ...{ identity: 'g', service: 'llm', promptTokens: 3_000, outputLimit: 2_000, lengthHint: 0 },
    ...{ rank, account: 'school' },
  });
  for (let count = 0; count < 40; count += 1) {
    forecast.observe(attributesOf(SHORT), 10);
    forecast.observe(attributesOf(LONG), 750);
  }
  assert.equal(forecast.totalOutput(attributesOf(SHORT), 0), 10);
  assert.equal(forecast.totalOutput(attributesOf(LONG), 0), 750);
});
