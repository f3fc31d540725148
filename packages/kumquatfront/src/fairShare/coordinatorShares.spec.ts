/**
 * Shares at the coordinator through failures: a crash, a partition, stale and reordered reports, and accounts that
 * pause. The small accounts ask for a quarter of the capacity, the large one for more than all of it.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as sharesTestHarness from './sharesTestHarness.js';

const SMALL = ['small-0', 'small-1', 'small-2', 'small-3'];
const LOADS: readonly sharesTestHarness.AccountLoad[] = [
  { account: 'large', demand: 1.2 },
  { account: 'medium', demand: 0.6 },
  ...SMALL.map((account) => ({ account, demand: 0.05 })),
];

function start(
  loads: readonly sharesTestHarness.AccountLoad[] = LOADS,
  isEnabled: (feature: string) => boolean = () => true,
): sharesTestHarness.SharesTestHarness {
  return new sharesTestHarness.SharesTestHarness({ loads, seed: 4, isEnabled });
}

/** Ratio of what the large account holds to what the medium one holds; both have the same share. */
function ratio(harness: sharesTestHarness.SharesTestHarness, from: number, until: number): number {
  const held = (account: string): number => sharesTestHarness.meanHeld(harness, account, from, until);
  return held('large') / held('medium');
}

function smallInTime(harness: sharesTestHarness.SharesTestHarness, from: number, until: number): number {
  return sharesTestHarness.shareInTime(harness, ({ account }) => SMALL.includes(account), from, until);
}

// Guards against an order that ignores accounts: the large account would hold about twice as much as the medium one.
void test.test('two accounts above their shares hold the same', (context) => {
  const fair = start().run(24);
  const unfair = start(LOADS, (feature) => feature !== 'accountShares').run(24);
  context.diagnostic(`ratio ${ratio(fair, 8, 24)}, without shares ${ratio(unfair, 8, 24)}`);
  context.diagnostic(`small in time ${smallInTime(fair, 4, 20)}, without ${smallInTime(unfair, 4, 20)}`);
  assert.ok(ratio(fair, 8, 24) < 1.25, `ratio ${ratio(fair, 8, 24)}`);
  assert.ok(ratio(unfair, 8, 24) > 1.5, 'the load must be unfair without shares');
  assert.ok(smallInTime(fair, 4, 20) >= 0.95, `small in time ${smallInTime(fair, 4, 20)}`);
});

// Guards against a weight that has no effect at the coordinator.
void test.test('an account of twice the weight holds twice as much', () => {
  const loads = [
    { account: 'large', demand: 1.2, weight: 2 },
    { account: 'medium', demand: 1.2 },
  ];
  const found = ratio(start(loads).run(24), 8, 24);
  assert.ok(found > 1.6 && found < 2.4, `ratio ${found}`);
});

// Guards against a new coordinator that knows no earlier use and serves the largest backlog first.
void test.test('after a crash of the coordinator, the shares are right within 3 s', (context) => {
  const harness = start().run(15);
  harness.crashCoordinator('first');
  harness.startCoordinator('second');
  harness.direct(['e0', 'e1', 'e2', 'e3'], 'second');
  harness.run(3);
  const rows = harness.coordinatorNamed('second')?.accountStatus() ?? [];
  const use = (account: string): number => rows.find((row) => row.account === account)?.use ?? 0;
  context.diagnostic(`use at the new coordinator: large ${use('large')}, medium ${use('medium')}`);
  assert.ok(use('large') / use('medium') < 1.4, `use ${use('large')} and ${use('medium')}`);
  harness.run(12);
  context.diagnostic(`ratio afterwards ${ratio(harness, 18, 30)}`);
  assert.ok(ratio(harness, 18, 30) < 1.25, `ratio ${ratio(harness, 18, 30)}`);
  assert.ok(smallInTime(harness, 18, 27) >= 0.9, `small in time ${smallInTime(harness, 18, 27)}`);
});

/** Demand above the share even while two coordinators place on the same engines and their capacity seems doubled. */
const DOUBLED_LOADS = LOADS.map((load) => ({ ...load, demand: load.demand * 2 }));

// With two coordinators, each divides what it places by the accounts that wait there: an account that waits at both
// gets at most its share at each, and so at most its share of the whole.
void test.test(
  'two coordinators after a partition keep the shares of accounts that wait at both',
  (context) => {
    const harness = start(DOUBLED_LOADS).run(10);
    harness.startCoordinator('second');
    harness.direct(['e2', 'e3'], 'second');
    harness.run(12);
    context.diagnostic(`ratio with two coordinators ${ratio(harness, 14, 22)}`);
    assert.ok(ratio(harness, 14, 22) < 1.35, `ratio ${ratio(harness, 14, 22)}`);
    harness.direct(['e2', 'e3'], 'first');
    harness.crashCoordinator('second');
    harness.run(13);
    context.diagnostic(`ratio after it heals ${ratio(harness, 25, 35)}`);
    assert.ok(ratio(harness, 25, 35) < 1.3, `ratio ${ratio(harness, 25, 35)}`);
  },
);

// Guards against late reports that overwrite newer ones, and against use that is counted twice.
void test.test('stale and reordered reports do not change the shares', (context) => {
  const harness = start();
  let count = 0;
  harness.deliver = (send): void => {
    count += 1;
    harness.time.after(count % 3 === 0 ? 400 : 5, send);
    if (count % 5 === 0) {
      harness.time.after(900, send);
    }
  };
  harness.run(24);
  context.diagnostic(`ratio ${ratio(harness, 8, 24)}`);
  assert.ok(ratio(harness, 8, 24) < 1.3, `ratio ${ratio(harness, 8, 24)}`);
});

// Guards against credit without bound for the pause, and against a debt that lasts.
void test.test(
  'an account that pauses and returns neither takes everything nor waits for long',
  (context) => {
    const loads = [
      { account: 'large', demand: 1.2 },
      { account: 'medium', demand: 1.2, until: 8 },
      { account: 'returning', demand: 1.2, from: 20 },
    ];
    const harness = start(loads).run(40);
    const share = (account: string, from: number, until: number): number =>
      sharesTestHarness.meanHeld(harness, account, from, until) /
      sharesTestHarness.meanHeldByAll(harness, from, until);
    // The last generations of the account that pauses end about 10 s after its last request.
    context.diagnostic(`alone ${share('large', 18, 20)}, returning ${share('returning', 22, 26)}`);
    context.diagnostic(
      `large in the first seconds ${share('large', 22, 26)}, later ${share('large', 32, 40)}`,
    );
    assert.ok(share('large', 18, 20) > 0.95, 'an account alone uses all capacity');
    assert.ok(share('returning', 22, 26) > 0.25 && share('returning', 22, 26) < 0.75);
    assert.ok(Math.abs(share('large', 32, 40) - 0.5) < 0.08, `later ${share('large', 32, 40)}`);
  },
);

// Guards against a change of the order, or of the waits, where accounts do not compete.
void test.test('with one account everything is as without shares', () => {
  const loads = [{ account: 'large', demand: 2 }];
  const withShares = start(loads).run(8);
  const without = start(loads, (feature) => feature !== 'accountShares').run(8);
  assert.ok(withShares.outcomes.some((outcome) => outcome.refused));
  assert.deepEqual(withShares.outcomes, without.outcomes);
});

// Guards against unbounded logs, and refusals whose cause an operator cannot see.
void test.test(
  'while accounts compete, one line a second tells the shares, and refusals name the cause',
  () => {
    const harness = start().run(20);
    const lines = harness.lines.filter((line) => line.event === 'accountShares');
    assert.ok(lines.length > 10 && lines.length <= 20, `${lines.length} lines`);
    assert.match(String(lines.at(-1)?.fields.accounts), /\blarge:\d+%:\d+%:-?\d+\.\d:\d+/);
    const refusals = harness.lines.filter((line) => line.event === 'placementRefused');
    const caused = refusals.filter((line) => line.fields.cause === 'share');
    const ofSmall = caused.filter((line) => SMALL.includes(String(line.fields.account)));
    assert.ok(caused.length > 0.2 * refusals.length, `${caused.length} of ${refusals.length}`);
    assert.ok(ofSmall.length < 0.05 * caused.length, `${ofSmall.length} of small accounts`);
    const status = harness.coordinatorNamed('first')?.accountStatus() ?? [];
    const large = status.find((row) => row.account === 'large');
    assert.ok((large?.refusedForShare ?? 0) > 0 && (large?.refused ?? 0) >= (large?.refusedForShare ?? 0));
  },
);
