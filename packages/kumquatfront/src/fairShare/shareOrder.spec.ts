/**
 * Order of queued requests by share, and which one is refused when the queue is full.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as engineReservations from './engineReservations.js';
import * as refusalOrder from './refusalOrder.js';
import * as shareOrder from './shareOrder.js';

interface Item extends shareOrder.OrderedRequest {
  readonly name: string;
}

function item(name: string, account: string, orderClass = '1 0', service = 'llm'): Item {
  return { name, account, orderClass, service };
}

/** Visits items while each placed one adds 10 to the key of its account; returns the names in the order of visits. */
function visit(
  items: readonly Item[],
  keys: Readonly<Record<string, number>>,
  fits: (visited: Item) => boolean = () => true,
): { readonly visited: readonly string[]; readonly overtaken: readonly string[] } {
  const current = new Map(Object.entries(keys));
  const visited: string[] = [];
  const overtaken = new Set<string>();
  shareOrder.visit(items, (_service, account) => current.get(account) ?? 0, {
    attempt: (visitedItem) => {
      visited.push(visitedItem.name);
      const placed = fits(visitedItem);
      current.set(visitedItem.account, (current.get(visitedItem.account) ?? 0) + (placed ? 10 : 0));
      return placed;
    },
    overtaken: ({ name }) => {
      overtaken.add(name);
    },
  });
  return { visited, overtaken: [...overtaken] };
}

// Guards against a small account that waits behind the backlog of a large one.
void test.test('the account furthest below its share goes first, and each grant counts at once', () => {
  const items = [item('a1', 'a'), item('a2', 'a'), item('a3', 'a'), item('b1', 'b'), item('b2', 'b')];
  const { visited, overtaken } = visit(items, { a: 15, b: 0 });
  assert.deepEqual(visited, ['b1', 'b2', 'a1', 'a2', 'a3']);
  assert.deepEqual(overtaken, ['a1', 'a2', 'a3']);
  assert.deepEqual(visit(items, { a: 5, b: 0 }).visited, ['b1', 'a1', 'b2', 'a2', 'a3']);
});

void test.test('rank and lateness precede the share', () => {
  const items = [item('urgent', 'a', '0 0'), item('inTime', 'a', '1 0'), item('late', 'b', '1 1')];
  assert.deepEqual(visit(items, { a: 100, b: 0 }).visited, ['urgent', 'inTime', 'late']);
});

void test.test('services do not affect each other', () => {
  const items = [item('a1', 'a'), item('b1', 'b', '1 0', 'other'), item('a2', 'a')];
  assert.deepEqual(visit(items, { a: 50, b: 0 }).visited, ['a1', 'a2', 'b1']);
});

void test.test('the requests of one account keep their order', () => {
  const items = [item('a1', 'a'), item('a2', 'a'), item('a3', 'a')];
  assert.deepEqual(visit(items, { a: 3 }), { visited: ['a1', 'a2', 'a3'], overtaken: [] });
});

void test.test('a request that does not fit leaves capacity to the others', () => {
  const items = [item('b-large', 'b'), item('a1', 'a')];
  const { visited } = visit(items, { a: 10, b: 0 }, ({ name }) => name !== 'b-large');
  assert.deepEqual(visited, ['b-large', 'a1']);
});

void test.test('the account furthest above its share is refused first', () => {
  const keys: Readonly<Record<string, number>> = { large: 90, medium: 50, small: 10 };
  const keyOf = (_service: string, account: string): number => keys[account] ?? 0;
  const queued = [
    { name: 'm', service: 'llm', account: 'medium', rank: 1, waited: 100 },
    { name: 'l-first', service: 'llm', account: 'large', rank: 1, waited: 200 },
    { name: 'l-last', service: 'llm', account: 'large', rank: 1, waited: 20 },
    { name: 'l-urgent', service: 'llm', account: 'large', rank: 0, waited: 10 },
    { name: 'other', service: 'other', account: 'large', rank: 1, waited: 0 },
  ];
  const refusedFor = (account: string, rank = 1): string | undefined =>
    refusalOrder.select(queued, { service: 'llm', account, rank, waited: 0 }, keyOf)?.name;
  assert.equal(refusedFor('small'), 'l-last');
  assert.equal(refusedFor('large'), undefined);
  assert.equal(refusedFor('small', 2), undefined);
  // Before anything runs, the account with the longest queue is refused first.
  const { name } =
    refusalOrder.select(queued, { service: 'llm', account: 'small', rank: 1, waited: 0 }, () => 0) ?? {};
  assert.equal(name, 'l-last');
});

void test.test('the engine on which a request fits first is reserved, within the bound', () => {
  const engine = (identity: string, remaining: number): engineReservations.ReservableEngine => ({
    ...{ identity, usableTokens: 10_000 },
    generations: [
      { held: 5_000, remaining },
      { held: 4_000, remaining: 900 },
    ],
  });
  const engines = [engine('i0', 500), engine('i1', 100), engine('i2', 300), engine('i3', 400)];
  const memory = { held: 3_000, remaining: 100 };
  assert.equal(engineReservations.earliestFit(engines, memory), 'i1');
  // A request that fits already waits for something else; an engine kept for it would be unused.
  assert.equal(engineReservations.earliestFit(engines, { held: 10, remaining: 10 }), undefined);
  const reservations = new engineReservations.EngineReservations();
  const reserve = (identity: string, now: number): string | undefined =>
    reservations.reserve({ identity, service: 'llm', rank: 1, memory }, () => engines, now);
  assert.equal(reserve('g1', 0), 'i1');
  assert.equal(reserve('g2', 0), undefined, 'one engine of four may be reserved');
  assert.deepEqual(
    reservations.enginesOfOthers('llm', 'urgent', 0),
    [],
    'urgent requests may use the engine',
  );
  assert.deepEqual(reservations.enginesOfOthers('llm', 'patient', 1), ['i1']);
  reservations.removeUnless((identity) => identity !== 'g1');
  assert.equal(reserve('g2', 10), 'i1');
});
