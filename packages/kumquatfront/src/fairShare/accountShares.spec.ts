/**
 * Shares, use and debts of client accounts, without a coordinator.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';
import * as v8 from 'node:v8';
import * as vm from 'node:vm';

import * as accountShares from './accountShares.js';
import * as waterLevel from './waterLevel.js';

const NONE: accountShares.TokensByAccount = new Map();
const STEP = 100;

type Amounts = Readonly<Record<string, number>>;

function use(held: Amounts, waiting: Amounts = {}): accountShares.ServiceUse {
  return { held: new Map(Object.entries(held)), waiting: new Map(Object.entries(waiting)) };
}

/** Updates the shares every 100 ms and returns the time of the last update. */
function hold(
  shares: accountShares.AccountShares,
  amounts: accountShares.ServiceUse,
  from: number,
  duration: number,
): number {
  for (let now = from; now <= from + duration; now += STEP) {
    shares.update('llm', amounts, now);
  }
  return from + duration;
}

void test.test('accounts below their share get their demand, the others divide the rest by weight', () => {
  const level = waterLevel.find(100, [
    { weight: 1, amount: 10 },
    { weight: 1, amount: 80 },
    { weight: 2, amount: 900 },
  ]);
  assert.equal(level, 30);
  assert.equal(waterLevel.find(0, []), 0);
  // With capacity for all, no account is above the level.
  assert.equal(waterLevel.find(100, [{ weight: 1, amount: 10 }]), 10);
});

void test.test('the weight determines the share', () => {
  const shares = new accountShares.AccountShares((account) => (account === 'heavy' ? 3 : 1));
  hold(shares, use({ heavy: 6_000, light: 2_000 }, { heavy: 9_000, light: 9_000 }), 0, 5_000);
  const [heavy, light] = shares.rowsOf('llm');
  assert.equal(heavy?.share, 6_000);
  assert.equal(light?.share, 2_000);
  assert.ok(Math.abs(shares.debtOf('llm', 'heavy')) < 50);
  assert.ok(
    Math.abs(shares.furthestBelowShare('llm', 'heavy') - shares.furthestBelowShare('llm', 'light')) < 50,
  );
});

// Guards against an account that was alone on idle engines and is locked out for long once others come.
void test.test('debt is bounded and decays', () => {
  const shares = new accountShares.AccountShares(() => 1);
  const alone = hold(shares, use({ alone: 100_000 }), 0, 60_000);
  const others = Object.fromEntries(Array.from({ length: 9 }, (_none, index) => [`other-${index}`, 10_500]));
  const both = use({ alone: 5_500, ...others }, { alone: 90_000, ...others });
  shares.update('llm', both, alone + STEP);
  const debt = shares.debtOf('llm', 'alone');
  assert.ok(debt > 0 && debt <= accountShares.MAXIMUM_DEBT, `debt ${debt}`);
  const later = hold(shares, both, alone + 2 * STEP, 3_000);
  assert.ok(shares.debtOf('llm', 'alone') < 0, `debt ${shares.debtOf('llm', 'alone')} at ${later}`);
});

// Guards against an account that collects a claim to the whole capacity while it is away.
void test.test('an account that pauses and returns gains at most two seconds of its share', () => {
  const shares = new accountShares.AccountShares(() => 1);
  const before = hold(shares, use({ steady: 50_000, pausing: 50_000 }), 0, 10_000);
  const away = hold(shares, use({ steady: 100_000 }), before + STEP, 3_600_000);
  shares.update('llm', use({ steady: 100_000 }, { steady: 50_000, pausing: 100_000 }), away + STEP);
  const debt = shares.debtOf('llm', 'pausing');
  assert.ok(debt >= -accountShares.AVERAGING_TIME && debt < 0, `debt ${debt}`);
  assert.ok(shares.debtOf('llm', 'steady') <= accountShares.MAXIMUM_DEBT);
  // Once it holds its share, it is level again within the time that its lead lasts.
  const level = use({ steady: 50_000, pausing: 50_000 }, { steady: 50_000, pausing: 50_000 });
  const returned = hold(shares, level, away + 2 * STEP, 6_000);
  const difference = shares.furthestBelowShare('llm', 'steady') - shares.furthestBelowShare('llm', 'pausing');
  assert.ok(difference < 0.1 * 100_000, `difference ${difference} at ${returned}`);
});

// Guards against a new coordinator that takes all accounts for inactive ones and serves the largest again.
void test.test('a new state takes what accounts hold as their use', () => {
  const shares = new accountShares.AccountShares(() => 1);
  shares.update('llm', use({ large: 90_000, small: 10_000 }, { large: 50_000, small: 90_000 }), 5_000);
  assert.equal(shares.rowsOf('llm')[1]?.use, 10_000);
  assert.ok(shares.debtOf('llm', 'large') > 0);
  // An entry whose report arrives later changes the use as soon.
  shares.update('llm', use({ large: 90_000, small: 10_000, late: 50_000 }), 5_100);
  shares.update('llm', use({ large: 90_000, small: 10_000, late: 50_000 }), 5_600);
  assert.ok((shares.rowsOf('llm')[2]?.use ?? 0) > 25_000);
});

// Guards against a replica that leads again with the use of a time when others led.
void test.test('a state that was not updated for long is rebuilt', () => {
  const shares = new accountShares.AccountShares(() => 1);
  hold(shares, use({ first: 90_000, second: 10_000 }), 0, 5_000);
  shares.update('llm', use({ first: 10_000, second: 90_000 }), 60_000);
  assert.equal(shares.rowsOf('llm').find((row) => row.account === 'first')?.use, 10_000);
});

void test.test('a grant counts before the next update', () => {
  const shares = new accountShares.AccountShares(() => 1);
  shares.update('llm', use({}, { first: 6_000, second: 6_000 }), 0);
  shares.recordGrant('llm', 'first', 3_000);
  assert.ok(shares.furthestBelowShare('llm', 'second') < shares.furthestBelowShare('llm', 'first'));
});

// Guards against a clock that steps back and turns use into credit.
void test.test('a time that steps back changes no average', () => {
  const shares = new accountShares.AccountShares(() => 1);
  const now = hold(shares, use({ first: 1_000 }), 0, 10_000);
  shares.update('llm', use({ first: 1_000 }), now - 5_000);
  assert.ok(Math.abs((shares.rowsOf('llm')[0]?.use ?? 0) - 1_000) < 1);
});

void test.test('accounts without use are forgotten', () => {
  const shares = new accountShares.AccountShares(() => 1);
  const now = hold(shares, use({ first: 1_000 }), 0, 1_000);
  hold(shares, { held: NONE, waiting: NONE }, now, 60_000);
  assert.deepEqual(shares.serviceNames, []);
});

void test.test('the state of 1,600 accounts takes less than 1 MB', (context) => {
  v8.setFlagsFromString('--expose_gc');
  const collectGarbage = vm.runInNewContext('gc') as () => void;
  const names = Array.from({ length: 1_600 }, (_none, index) => `account-with-a-longer-name-${index}`);
  const held = new Map(names.map((name, index) => [name, 1_000 + index / 3]));
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const shares = new accountShares.AccountShares(() => 1);
  for (let now = 0; now < 5_000; now += STEP) {
    shares.update('llm', { held, waiting: held }, now);
  }
  collectGarbage();
  const bytes = process.memoryUsage().heapUsed - before;
  context.diagnostic(`${bytes} bytes`);
  assert.equal(shares.rowsOf('llm').length, 1_600);
  assert.ok(bytes < 1_000_000, `${bytes} bytes`);
});
