/**
 * The load that the shares address: 24 accounts ask for twice the capacity of 31 engines, one of them for 60 in 100.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as sharesTestHarness from './sharesTestHarness.js';

const SECONDS = 26;
/** Requests before are not counted, since the engines are still filling up. */
const FROM = 6;
/** Requests after are not counted, since they may wait for their retry when the run ends. */
const UNTIL = 22;

const SMALL_ACCOUNTS = Array.from({ length: 21 }, (_none, index) => `small-${index}`);
const OTHER_ACCOUNTS = ['large', 'medium-0', 'medium-1'];

/** The three largest accounts ask for more than the level, which is (1 - 0.5) / 3 of the capacity. */
const LOADS: readonly sharesTestHarness.AccountLoad[] = [
  { account: 'large', demand: 1.26 },
  { account: 'medium-0', demand: 0.17 },
  { account: 'medium-1', demand: 0.17 },
  ...SMALL_ACCOUNTS.map((account) => ({ account, demand: 0.5 / SMALL_ACCOUNTS.length })),
];

function run(withShares: boolean): sharesTestHarness.SharesTestHarness {
  const isEnabled = (feature: string): boolean => feature !== 'accountShares' || withShares;
  return new sharesTestHarness.SharesTestHarness({ loads: LOADS, seed: 1, isEnabled }).run(SECONDS);
}

// Guards against accounts that are refused or late because another one asks for most of the capacity.
void test.test('accounts below their share are served, and the others divide the rest evenly', (context) => {
  const fair = run(true);
  const unfair = run(false);
  const used = sharesTestHarness.meanHeldByAll(fair, FROM, SECONDS);
  const usedWithoutShares = sharesTestHarness.meanHeldByAll(unfair, FROM, SECONDS);
  const inTimeOf = (harness: sharesTestHarness.SharesTestHarness, account: string): number =>
    sharesTestHarness.shareInTime(harness, (outcome) => outcome.account === account, FROM, UNTIL);
  const lowest = Math.min(...SMALL_ACCOUNTS.map((account) => inTimeOf(fair, account)));
  const lowestWithoutShares = Math.min(...SMALL_ACCOUNTS.map((account) => inTimeOf(unfair, account)));
  const jainOf = (harness: sharesTestHarness.SharesTestHarness): number =>
    sharesTestHarness.jainIndex(
      OTHER_ACCOUNTS.map((account) => sharesTestHarness.meanHeld(harness, account, FROM, SECONDS)),
    );
  const prompts = fair.outcomes.map((outcome) => outcome.promptTokens).sort((left, right) => left - right);
  const large = prompts[Math.floor(0.9 * prompts.length)] ?? 0;
  const isLargeOfSmallAccount = (outcome: sharesTestHarness.RequestOutcome): boolean =>
    outcome.promptTokens >= large && outcome.account.startsWith('small-');
  const largeInTime = sharesTestHarness.shareInTime(fair, isLargeOfSmallAccount, FROM, UNTIL);
  const isLarge = (outcome: sharesTestHarness.RequestOutcome): boolean => outcome.promptTokens >= large;
  const anyLargeInTime = sharesTestHarness.shareInTime(fair, isLarge, FROM, UNTIL);
  const anyLargeWithoutShares = sharesTestHarness.shareInTime(unfair, isLarge, FROM, UNTIL);
  context.diagnostic(`lowest share in time below the share ${lowest.toFixed(3)}`);
  context.diagnostic(`without shares ${lowestWithoutShares.toFixed(3)}`);
  context.diagnostic(`Jain's index of the others ${jainOf(fair).toFixed(3)}, ${jainOf(unfair).toFixed(3)}`);
  context.diagnostic(`capacity used of that without shares ${(used / usedWithoutShares).toFixed(3)}`);
  context.diagnostic(`largest tenth in time: below the share ${largeInTime.toFixed(3)}`);
  context.diagnostic(
    `of all ${anyLargeInTime.toFixed(3)}, ${anyLargeWithoutShares.toFixed(3)} without shares`,
  );
  assert.ok(lowest >= 0.95, `an account below its share has ${lowest} in time`);
  assert.ok(jainOf(fair) >= 0.95, `Jain's index is ${jainOf(fair)}`);
  assert.ok(used >= 0.97 * usedWithoutShares, `uses ${used / usedWithoutShares} of the capacity`);
  // Guards against smaller requests that take all memory before a large one fits.
  assert.ok(largeInTime >= 0.9, `the largest tenth has ${largeInTime} in time`);
  assert.ok(anyLargeInTime >= anyLargeWithoutShares, `of all large ones ${anyLargeInTime} are in time`);
});
