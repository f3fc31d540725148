/**
 * Shares of client accounts decide only where the configuration in force states a weight.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as placementTypes from '../placement/types.js';
import * as controlTestHarness from '../trafficControl/controlTestHarness.js';
import * as methods from '../trafficControl/methods.js';
import type * as trafficTypes from '../traffic/types.js';
import * as sharesTestHarness from './sharesTestHarness.js';

const LOADS: readonly sharesTestHarness.AccountLoad[] = [
  { account: 'large', demand: 1.6 },
  { account: 'small', demand: 0.3 },
];

function run(
  options: Pick<sharesTestHarness.RunOptions, 'isEnabled' | 'sharesEnabled'>,
): sharesTestHarness.SharesTestHarness {
  return new sharesTestHarness.SharesTestHarness({ loads: LOADS, seed: 5, ...options }).run(12);
}

// Guards against an order by share, kept engines or longer waits in a deployment that states no weights.
void test.test(
  'without weights the outcomes are those without the feature, with weights they are not',
  () => {
    const withoutFeature = run({ isEnabled: (feature) => feature !== 'accountShares' });
    const withoutWeights = run({ sharesEnabled: () => false });
    const withWeights = run({ sharesEnabled: () => true });
    assert.deepEqual(withoutWeights.outcomes, withoutFeature.outcomes);
    assert.deepEqual(withoutWeights.lines, withoutFeature.lines);
    assert.notDeepEqual(withWeights.outcomes, withoutFeature.outcomes);
  },
);

const REQUEST: placementTypes.PlacementRequest = {
  facts: {
    ...{ identity: 'g', service: 'llm', promptTokens: 900, lengthHint: 100, outputLimit: 400 },
    ...{ rank: 1, account: 'school' },
  },
  ...{ entry: 'e', dataCentre: 'a', excluded: [], likeness: 'g' },
  ...{ patience: 2_000, objective: 4_000, objectiveLeft: 4_000 },
};

/** Accounts with a share at a replica where a request waits, for a configuration with these accounts. */
function accountsWithShare(accounts: readonly trafficTypes.Account[] | undefined): readonly string[] {
  const fixture = { routes: [], services: [], ...(accounts !== undefined && { accounts }) };
  const harness = new controlTestHarness.ControlTestHarness(['c1', 'c2', 'c3'], 1, fixture);
  harness.time.advance(3_000);
  assert.equal(harness.replace('c1', 1), true);
  harness.send('c1', methods.methods.place, REQUEST);
  harness.time.advance(900);
  return harness
    .trafficOf('c1')
    .accountStatus()
    .map((row) => row.account);
}

// Guards against a control replica that ignores whether the configuration states a weight.
void test.test('a control replica computes shares only for a configuration with a weight', () => {
  const named = { name: 'school', keys: ['k'] };
  assert.deepEqual(accountsWithShare(undefined), []);
  assert.deepEqual(accountsWithShare([named]), []);
  assert.deepEqual(accountsWithShare([named, { name: 'other', keys: ['o'], weight: 1 }]), ['school']);
});
