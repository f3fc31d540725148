/**
 * Warm-ups of instances: announced at the start, announced again later, or assumed.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceTestHarness from './instanceTestHarness.js';
import * as instanceTable from './instanceTable.js';
import * as instanceView from './instanceView.js';

function tableWith(warmUpLeft: number): instanceTable.InstanceTable {
  const table = new instanceTable.InstanceTable('e');
  table.applyAnnouncement(instanceTestHarness.announcement('i', { warmUpLeft }), 0);
  return table;
}

function coldUntil(table: instanceTable.InstanceTable, now: number): number | undefined {
  const view = new instanceView.InstanceView(() => undefined);
  view.merge('control', table.updatesSince('', 0, now), now);
  return view.get('i')?.coldUntil;
}

void test.test('the remaining warm-up time elapses while an update is delayed', () => {
  assert.equal(coldUntil(tableWith(1_000), 400), 1_000);
});

// Guards against informing entries of a new warm-up only with the next unrelated change.
void test.test(
  'a new warm-up is an immediate change, a repeated announcement of the same one is none',
  () => {
    const table = tableWith(0);
    const { revision } = table.updatesSince('e', 0, 0);
    assert.equal(
      table.applyAnnouncement(
        instanceTestHarness.announcement('i', { warmUpLeft: 3_000, sequence: 2 }),
        1_200,
      ),
      true,
    );
    assert.ok(table.immediateRevision > revision);
    assert.equal(
      table.applyAnnouncement(
        instanceTestHarness.announcement('i', { warmUpLeft: 1_850, sequence: 3 }),
        2_400,
      ),
      false,
    );
    assert.equal(coldUntil(table, 2_400), 4_250);
  },
);

void test.test('instances of a data centre that are assumed cold stay cold for the warm-up time', () => {
  const table = tableWith(0);
  table.applyAnnouncement(
    instanceTestHarness.announcement('other', { dataCentre: 'b', address: '10.0.0.2:80' }),
    0,
  );
  assert.equal(
    table.assumeCold('a', (service) => (service === 'llm' ? 1_000 : 0), 500),
    true,
  );
  // A delayed announcement from before the instance became cold.
  table.applyAnnouncement(instanceTestHarness.announcement('i', { warmUpLeft: 0, sequence: 2 }), 600);
  assert.equal(coldUntil(table, 600), 1_500);
  const left = table.records(600).map(({ identity, warmUpLeft }) => `${identity} ${warmUpLeft}`);
  assert.deepEqual(left, ['i 900', 'other 0']);
  assert.equal(
    table.assumeCold('a', () => 0, 700),
    false,
  );
});
