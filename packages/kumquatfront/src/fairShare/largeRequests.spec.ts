/**
 * The largest tenth of the requests of an account below its share, while another account asks for all capacity.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as sharesTestHarness from './sharesTestHarness.js';

const LOADS: readonly sharesTestHarness.AccountLoad[] = [
  { account: 'large', demand: 1.5 },
  { account: 'steady', demand: 0.25 },
];

// Guards against smaller requests of the other account that take all memory before a large request fits.
void test.test(
  'the largest tenth of an account below its share is served about as often as the rest',
  (context) => {
    const harness = new sharesTestHarness.SharesTestHarness({ loads: LOADS, seed: 2, engineCount: 16 }).run(
      50,
    );
    const steady = harness.outcomes.filter((outcome) => outcome.account === 'steady');
    const prompts = steady.map((outcome) => outcome.promptTokens).sort((left, right) => left - right);
    const limit = prompts[Math.floor(0.9 * prompts.length)] ?? 0;
    const inTime = (isLarge: boolean): number =>
      sharesTestHarness.shareInTime(
        harness,
        ({ account, promptTokens }) => account === 'steady' && promptTokens >= limit === isLarge,
        8,
        46,
      );
    context.diagnostic(
      `largest tenth in time ${inTime(true).toFixed(3)}, the rest ${inTime(false).toFixed(3)}`,
    );
    assert.ok(
      inTime(true) >= 0.8 * inTime(false),
      `${inTime(true)} of the largest, ${inTime(false)} of the rest`,
    );
  },
);
