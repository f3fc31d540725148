/**
 * The table of paces that the coordinator merges from reports of entries.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as paceTable from './paceTable.js';
import type * as types from './types.js';

const UPSTREAMS = ['i-7f3a@1767312000000', 'i-8b01@1767312000000'];

function create(): { table: paceTable.PaceTable; clock: { now: number }; known: Set<string> } {
  const clock = { now: 0 };
  const known = new Set(UPSTREAMS);
  const serviceOf = (upstream: string): string | undefined => (known.has(upstream) ? 'billing' : undefined);
  return { table: new paceTable.PaceTable(() => clock.now, serviceOf), clock, known };
}

const [first = '', second = ''] = UPSTREAMS;

void test.test('sums of several entries are merged, with the newest load report and its age', () => {
  const { table, clock } = create();
  table.merge([[first, 2, 60, 0, [500, 4, 1, 6, 250]]]);
  table.merge([[first, 2, 60, 0, [100, 3, 0, 6, 100]]]);
  // Reports may arrive out of order.
  table.merge([[first, 1, 30, 1, [900, 6, 9, 6, 100]]]);
  clock.now = 50;
  const [row] = table.rows();
  assert.equal(row?.[0], first);
  assert.ok(Math.abs(row[1] - 30) < 0.1, `${row[1]}`);
  assert.ok(row[4] > 10 && row[4] < 20, `${row[4]}`);
  assert.deepEqual(row[5], [150, 3, 0, 6, 100]);
});

// Guards against a faulty or newer process breaking the coordinator, and against state for upstreams that do not exist.
void test.test('invalid sums and sums of unknown upstreams are ignored', () => {
  const { table } = create();
  const invalid: readonly unknown[] = [
    null,
    'x',
    [],
    [first],
    [first, -1, 30, 0, null],
    [first, Number.NaN, 30, 0, null],
    [first, 1, 'x', 0, null],
    [7, 1, 30, 0, null],
    ['unknown', 1, 30, 0, null],
  ];
  table.merge(invalid as readonly types.PaceSum[]);
  table.merge('x' as unknown as readonly types.PaceSum[]);
  assert.deepEqual(table.rows(), []);
  table.merge([[first, 1, 30, 0, ['x', 1] as unknown as types.ReportedLoad]]);
  assert.equal(table.rows()[0]?.[5], null);
});

void test.test('an upstream that has ended is left out', () => {
  const { table, known } = create();
  table.merge(UPSTREAMS.map((upstream): types.PaceSum => [upstream, 1, 30, 0, null]));
  assert.equal(table.rows().length, 2);
  known.delete(first);
  assert.deepEqual(
    table.rows().map(([upstream]) => upstream),
    [second],
  );
});
