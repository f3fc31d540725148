/**
 * Orders on data centres in the agreed state: which ones are void, also after snapshots, and bounded memory of them.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as evacuationTable from './evacuationTable.js';
import type * as types from './types.js';

function apply(
  table: evacuationTable.EvacuationTable,
  type: types.DataCentreCommand['type'],
  index: number,
  knownIndex?: number,
  dataCentre = 'a',
): boolean {
  const command = { type, dataCentre, ...(knownIndex !== undefined && { knownIndex }) };
  return table.apply(command, index, index).accepted;
}

function namesOf(table: evacuationTable.EvacuationTable): readonly string[] {
  return table.evacuations.dataCentres.map((record) => record.dataCentre);
}

void test.test('an order is void after a newer one on its data centre, and only there', () => {
  const table = new evacuationTable.EvacuationTable();
  assert.equal(apply(table, 'evacuate', 5, 4), true);
  assert.equal(apply(table, 'restore', 6, 4), false);
  assert.equal(apply(table, 'evacuate', 7, 4, 'b'), true);
  assert.deepEqual(namesOf(table), ['a', 'b']);
  assert.equal(apply(table, 'restore', 8, 5), true);
  assert.deepEqual(namesOf(table), ['b']);
});

void test.test('an order for the present state is accepted, and makes older ones void', () => {
  const table = new evacuationTable.EvacuationTable();
  apply(table, 'evacuate', 5, 4);
  const { revision } = table.evacuations;
  assert.equal(apply(table, 'evacuate', 9, 3), true);
  assert.equal(table.evacuations.revision, revision);
  assert.equal(apply(table, 'restore', 10, 8), false);
  assert.equal(apply(table, 'restore', 11, 9), true);
});

// Guards against a replica that starts from a snapshot and accepts what the others refuse.
void test.test('a snapshot contains the last orders, also of data centres that were restored', () => {
  const table = new evacuationTable.EvacuationTable();
  apply(table, 'evacuate', 5, 4);
  apply(table, 'restore', 6, 5);
  const copy = new evacuationTable.EvacuationTable();
  copy.restore(JSON.parse(JSON.stringify(table.toJson())) as evacuationTable.EvacuationTableJson);
  assert.equal(apply(copy, 'evacuate', 7, 5), false);
  assert.equal(apply(copy, 'evacuate', 8, 6), true);
  assert.deepEqual(namesOf(copy), ['a']);
});

void test.test('log entries and snapshots of earlier versions are read', () => {
  const table = new evacuationTable.EvacuationTable();
  table.restore({ evacuations: { revision: 7, dataCentres: [{ dataCentre: 'a', since: 1 }] } });
  assert.deepEqual(namesOf(table), ['a']);
  assert.equal(apply(table, 'restore', 8, 6), false);
  assert.equal(apply(table, 'restore', 9), true);
  assert.deepEqual(namesOf(table), []);
});

void test.test(
  'the number of remembered orders is bounded, and forgotten ones still make older ones void',
  () => {
    const table = new evacuationTable.EvacuationTable();
    for (let index = 1; index <= 1_000; index += 1) {
      apply(table, 'restore', index, index - 1, `centre-${index}`);
    }
    const { dataCentreOrders } = table.toJson();
    assert.equal(dataCentreOrders?.lastOrders.length, 256);
    assert.equal(dataCentreOrders.droppedIndex, 744);
    assert.equal(apply(table, 'evacuate', 1_001, 743, 'centre-1'), false);
    assert.equal(apply(table, 'evacuate', 1_002, 744, 'centre-1'), true);
  },
);
