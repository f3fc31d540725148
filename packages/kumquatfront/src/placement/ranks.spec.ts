/**
 * Urgent and patient generations of client accounts that all have the same priority: the crowded hours of a site with
 * many accounts, where short answers and long reports want the same engines.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as coordinatorBench from './coordinatorBench.js';
import * as lengthForecast from './lengthForecast.js';
import * as ranks from './ranks.js';
import type * as types from './types.js';

const ACCOUNT_PRIORITY = 1;
const SHORT = ranks.of(0, ACCOUNT_PRIORITY);
const LONG = ranks.of(1, ACCOUNT_PRIORITY);

void test.test('the account comes before the route, and the route decides among equals', () => {
  assert.ok(ranks.of(5, 0) < ranks.of(0, 1));
  assert.ok(SHORT < LONG);
  assert.ok(ranks.of(1_000, 0) < ranks.of(0, 1));
  assert.equal(ranks.of(2), 2);
});

void test.test('an urgent route is urgent whatever the priority of its account', () => {
  assert.equal(ranks.isPatient(SHORT), false);
  assert.equal(ranks.isPatient(LONG), true);
  assert.equal(ranks.isPatient(ranks.of(0)), false);
});

// The only engine is full of long reports and more of them wait; a teacher's question comes last. It is short and urgent:
// it has room beside the reports, and must not wait behind them.
void test.test('a short answer does not wait behind long ones of accounts of the same priority', () => {
  const bench = new coordinatorBench.CoordinatorBench(1, 2).begin();
  for (let index = 0; index < 4; index += 1) {
    bench.ask(`long-${index}`, `long-${index}`, LONG);
  }
  bench.pass(40);
  assert.equal(bench.stateOf('long-3'), 'waiting');
  bench.end('long-0');
  bench.ask('short', 'short', SHORT);
  bench.pass(60);
  assert.equal(bench.stateOf('short'), 'placed');
  assert.equal(bench.stateOf('long-3'), 'waiting');
});

// Learnt as one kind, short answers make every report look short: engines take more of them than fit, and preempt.
void test.test('lengths of short and long generations are learnt apart', () => {
  const forecast = new lengthForecast.LengthForecast();
  const factsOf = (rank: number): types.GenerationFacts => ({
    ...{ identity: 'g', service: 'llm', promptTokens: 3_000, outputLimit: 2_000, lengthHint: 0 },
    ...{ rank, account: 'school' },
  });
  for (let count = 0; count < 40; count += 1) {
    forecast.learn(factsOf(SHORT), 10);
    forecast.learn(factsOf(LONG), 750);
  }
  assert.equal(forecast.expectedOutput(factsOf(SHORT), 0), 10);
  assert.equal(forecast.expectedOutput(factsOf(LONG), 0), 750);
});
