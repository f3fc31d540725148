/**
 * Retry budget shared by many entries, each of which receives less than one request per second.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as serviceRetryBudget from './serviceRetryBudget.js';

const ENTRIES = 191;
const SETTINGS: serviceRetryBudget.RetryBudgetSettings = { ratio: 0.2, slack: 422, window: 10_000 };

/** Calls per second to one service, and the share of them that may be retried. */
const CALLS_PER_SECOND = 57;
const RETRYABLE_SHARE = 0.28;
const SIMULATED_SECONDS = 120;

interface SimulationResult {
  readonly wanted: number;
  readonly refused: number;
  /** Largest excess of retries over the limit in any window; negative if the limit was never reached. */
  readonly worstExcess: number;
}

/** Simulates calls at a constant rate to random entries that fail with a given probability. */
function simulate(
  entries: number,
  failureRate: number,
  slackShare: number,
  retryableShare = RETRYABLE_SHARE,
): SimulationResult {
  const random = seededRandom.create(11);
  const budgets = Array.from(
    { length: entries },
    () => new serviceRetryBudget.ServiceRetryBudget(SETTINGS, () => slackShare, random),
  );
  const callTimes: number[] = [];
  const retryTimes: number[] = [];
  let wanted = 0;
  let refused = 0;
  let worstExcess = Number.NEGATIVE_INFINITY;
  for (let call = 0; call < CALLS_PER_SECOND * SIMULATED_SECONDS; call += 1) {
    const now = (call / CALLS_PER_SECOND) * 1_000;
    const budget = budgets[Math.floor(random.next() * entries)];
    callTimes.push(now);
    budget?.recordRequest('app', now);
    if (random.next() < retryableShare && random.next() < failureRate) {
      wanted += 1;
      if (budget?.take('app', now) === true) {
        retryTimes.push(now);
      } else {
        refused += 1;
      }
    }
    const within = (times: readonly number[]): number =>
      times.filter((time) => time > now - SETTINGS.window).length;
    if (call % 50 === 0) {
      const limit = SETTINGS.ratio * within(callTimes) + SETTINGS.slack;
      worstExcess = Math.max(worstExcess, within(retryTimes) - limit);
    }
  }
  return { wanted, refused, worstExcess };
}

// Failure: an entry exhausts its small share and refuses retries although most of the shared budget is unused.
void test.test(
  'few retries are refused while the shared budget is unused and one call in eight fails',
  () => {
    const { wanted, refused } = simulate(ENTRIES, 0.125, 1 / ENTRIES);
    assert.ok(wanted > 200, `${wanted} wanted`);
    assert.ok(refused / wanted < 0.01, `${refused} of ${wanted} refused`);
  },
);

// Every call fails and may be retried; the retries of all entries together must stay within the limit.
void test.test('the limit holds when every call fails', () => {
  const { refused, worstExcess } = simulate(ENTRIES, 1, 1 / ENTRIES, 1);
  assert.ok(refused > 0);
  assert.ok(worstExcess <= 0, `${worstExcess} over the limit`);
});

// Entries assume a wrong number of entries after a third of them has crashed or restarted.
void test.test('the limit holds when a third of the entries has crashed or is not counted yet', () => {
  const alive = Math.round((ENTRIES * 2) / 3);
  assert.ok(simulate(alive, 1, 1 / ENTRIES, 1).worstExcess <= 0);
  assert.ok(simulate(ENTRIES, 1, 1 / alive, 1).worstExcess <= 0);
});
