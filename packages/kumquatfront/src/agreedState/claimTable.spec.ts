/** Claims within their bounds: in number for each client account, and in what their recorded outcomes take of the heap. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as claimTable from './claimTable.js';
import type * as types from './types.js';

const LIFE = 1_000;
const LIMIT = 3;
const LARGE_BODY = 16_384;

function createTable(claimsPerAccount = LIMIT): claimTable.ClaimTable {
  return new claimTable.ClaimTable({
    ...{ changeIdLife: LIFE, claimLife: LIFE, claimsPerAccount },
    ...{ tombstones: 1, finishedOrders: 1, quarantined: 1 },
  });
}

function claimOf(account: string, key: string, attempt = `${key}-1`): types.ClaimCommand {
  return { type: 'claim', account, key, attempt, digest: 'd', holder: 'edge' };
}

function settlementOf(
  { account, key, attempt }: types.ClaimCommand,
  result: types.SettleClaimCommand['result'],
  outcome: types.RecordedOutcome | null = null,
): types.SettleClaimCommand {
  return { type: 'settleClaim', account, key, attempt, result, outcome };
}

function outcomeOf(character: string): types.RecordedOutcome {
  return { status: 200, contentType: 'text/plain', body: character.repeat(LARGE_BODY) };
}

function bodyCharacters(table: claimTable.ClaimTable, account: string): number {
  return table
    .toJson()
    .filter((claim) => claim.account === account)
    .reduce((sum, { outcome }) => sum + (outcome?.body.length ?? 0), 0);
}

// Guards against a client account whose claims that time out fill the heap of control, although it has reached its bound.
void test.test('settlements of calls that did not run take no claim above the bound of their account', () => {
  const table = createTable();
  for (let count = 0; count < 3 * LIMIT; count += 1) {
    table.settle(settlementOf(claimOf('a', `k${count}`), 'notRun'), count);
  }
  assert.equal(table.size, LIMIT);
  assert.deepEqual(table.claim(claimOf('a', 'other'), 10), { state: 'full', retryAfter: LIFE - 10 });
  assert.deepEqual(table.claim(claimOf('b', 'other'), 10), { state: 'granted' });
});

// Guards against an attempt that is granted after its caller has been told that it did not run.
void test.test(
  'a claim within the bound that arrives after its settlement is not granted, and a new attempt is',
  () => {
    const table = createTable();
    const late = claimOf('a', 'k');
    table.settle(settlementOf(late, 'notRun'), 0);
    assert.deepEqual(table.claim(late, 1), { state: 'unknown' });
    assert.deepEqual(table.claim({ ...late, attempt: 'second' }, 2), { state: 'granted' });
  },
);

// Guards against claims that are made again, or repeated, and count twice or not at all.
void test.test('repeated and regranted claims count once', () => {
  const table = createTable();
  for (let round = 0; round < 5; round += 1) {
    for (const key of ['k1', 'k2', 'k3']) {
      const claim = claimOf('a', key, `${key}-${round}`);
      assert.deepEqual(table.claim(claim, round), { state: 'granted' });
      assert.deepEqual(table.claim(claim, round), { state: 'granted' });
      table.settle(settlementOf(claim, 'notRun'), round);
    }
  }
  assert.equal(table.size, LIMIT);
  assert.equal(table.claim(claimOf('a', 'k4'), 5).state, 'full');
  assert.deepEqual(table.claim(claimOf('a', 'k4'), LIFE + 4), { state: 'granted' });
  assert.equal(table.size, 1);
});

/** Claims and runs calls whose answers are as large as the largest that is recorded. */
function recordLarge(
  table: claimTable.ClaimTable,
  account: string,
  count: number,
  character = 'x',
  stamp = 0,
): void {
  for (let index = 0; index < count; index += 1) {
    const claim = claimOf(account, `k${index}`);
    table.claim(claim, stamp);
    table.settle(settlementOf(claim, 'done', outcomeOf(character)), stamp);
  }
}

const OUTCOME_BOUND = 16 * 1_048_576;

// Guards against the answers of one client account that fill the heap of control within its number of claims.
void test.test('recorded answers are bounded together, and the oldest are dropped', () => {
  for (const [character, bytesPerCharacter] of [
    ['x', 1],
    ['é', 1],
    ['水', 2],
  ] as const) {
    const table = createTable(5_000);
    recordLarge(table, 'a', 2_000, character);
    const held = bodyCharacters(table, 'a') * bytesPerCharacter;
    assert.ok(held <= OUTCOME_BOUND && held > 0.99 * OUTCOME_BOUND, `${held} bytes`);
    // What has run does not run again.
    assert.equal(table.size, 2_000);
    assert.deepEqual(table.claim(claimOf('a', 'k0', 'again'), 3), { state: 'done', outcome: null });
    const outcome = outcomeOf(character);
    assert.deepEqual(table.claim(claimOf('a', 'k1999', 'again'), 3), { state: 'done', outcome });
  }
});

// Guards against a client account that makes control drop the answers of others.
void test.test('the answers of the account that holds the most are dropped', () => {
  const table = createTable(5_000);
  recordLarge(table, 'small', 100);
  recordLarge(table, 'large', 2_000);
  assert.equal(bodyCharacters(table, 'small'), 100 * LARGE_BODY);
  assert.ok(bodyCharacters(table, 'large') <= OUTCOME_BOUND - 100 * LARGE_BODY);
});

// Guards against room that expired claims do not give back, and against a snapshot that brings more than the bound.
void test.test('expired answers give their room back, and those of a snapshot count', () => {
  const table = createTable(5_000);
  recordLarge(table, 'a', 900);
  table.claim(claimOf('b', 'late'), 10 * LIFE);
  assert.equal(table.size, 1);
  recordLarge(table, 'b', 1_000, 'x', 10 * LIFE);
  assert.equal(bodyCharacters(table, 'b'), 1_000 * LARGE_BODY);
  const restored = createTable(5_000);
  restored.restore([...table.toJson(), ...table.toJson().map((claim) => ({ ...claim, account: 'c' }))]);
  const held = bodyCharacters(restored, 'b') + bodyCharacters(restored, 'c');
  assert.ok(held <= OUTCOME_BOUND && held > 0.99 * OUTCOME_BOUND, `${held} bytes`);
});

// Guards against replicas that differ after a restart: one has the answers in the order of the calls, the other in that of the claims.
void test.test('a restored replica drops the same answers as one that was there all along', () => {
  const table = createTable(5_000);
  // The first claim of `a` is gone before the snapshot, so that it begins with those of `b`.
  table.claim(claimOf('a', 'first'), 0);
  for (const account of ['b', 'a']) {
    for (let index = 0; index < 600; index += 1) {
      table.claim(claimOf(account, `k${index}`), 10);
    }
  }
  table.claim(claimOf('c', 'late'), LIFE);
  const settle = (running: claimTable.ClaimTable, index: number): void => {
    for (const account of ['a', 'b']) {
      running.settle(settlementOf(claimOf(account, `k${index}`), 'done', outcomeOf('x')), 0);
    }
  };
  for (let index = 500; index > 0; index -= 1) {
    settle(table, index);
  }
  const restored = createTable(5_000);
  restored.restore(table.toJson());
  for (const running of [table, restored]) {
    for (let index = 500; index < 600; index += 1) {
      settle(running, index);
    }
  }
  assert.ok(bodyCharacters(table, 'a') < 590 * LARGE_BODY);
  assert.deepEqual(restored.toJson(), table.toJson());
});
