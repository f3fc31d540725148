/**
 * Restarts of an instance under the same name, and conflicting announcements from other processes.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as announcements from './announcement.js';
import * as instanceTestHarness from './instanceTestHarness.js';
import * as instanceTable from './instanceTable.js';
import type * as types from './types.js';

const FIRST_START = 1_000;
const SECOND_START = 2_000;

function announcement(born: number, changes: Partial<types.Announcement> = {}): types.Announcement {
  return instanceTestHarness.announcement(announcements.identityOf('i', born), {
    name: 'i',
    born,
    ...changes,
  });
}

function statesOf(table: instanceTable.InstanceTable, now: number): readonly string[] {
  return table.records(now).map((record) => `${record.identity} ${record.state}`);
}

// Guards against ignoring the announcements of a restarted instance, whose sequence begins at 1 again, and against
// keeping it marked as draining.
void test.test('a newer incarnation replaces the older one, whatever its sequence', () => {
  const table = new instanceTable.InstanceTable('e');
  table.applyAnnouncement(announcement(FIRST_START, { sequence: 40, state: 'leaving' }), 0);
  assert.equal(table.applyAnnouncement(announcement(SECOND_START), 1_000), true);
  assert.deepEqual(statesOf(table, 1_000), ['i@2000 ready']);
  assert.deepEqual(table.updatesSince('e', 2, 1_000).removed, ['i@1000']);
});

// Guards against a delayed announcement or notice of an older incarnation.
void test.test('late announcements and notices of an older incarnation change nothing', () => {
  const table = new instanceTable.InstanceTable('e');
  table.applyAnnouncement(announcement(FIRST_START, { sequence: 40 }), 0);
  table.applyAnnouncement(announcement(SECOND_START), 1_000);
  assert.equal(table.applyAnnouncement(announcement(FIRST_START, { sequence: 41 }), 1_500), false);
  assert.equal(
    table.applyAnnouncement(announcement(FIRST_START, { sequence: 42, state: 'leaving' }), 1_600),
    false,
  );
  assert.equal(table.markDrainingByName('i', FIRST_START, 1_700), undefined);
  assert.deepEqual(statesOf(table, 1_700), ['i@2000 ready']);
});

// Guards against listing an older incarnation that this replica did not know before the newer one.
void test.test('an older incarnation is rejected after a newer one, also once that has expired', () => {
  const table = new instanceTable.InstanceTable('e', 1_000);
  table.applyAnnouncement(announcement(SECOND_START), 0);
  assert.equal(table.applyAnnouncement(announcement(FIRST_START, { sequence: 40 }), 100), false);
  table.expire(1_200);
  assert.deepEqual(statesOf(table, 1_200), []);
  assert.equal(table.applyAnnouncement(announcement(FIRST_START, { sequence: 41 }), 1_300), false);
});

void test.test('a notice without a start time applies to the newest known incarnation only', () => {
  const table = new instanceTable.InstanceTable('e');
  table.applyAnnouncement(announcement(SECOND_START), 0);
  assert.equal(table.markDrainingByName('i', undefined, 10), 'i@2000');
  assert.deepEqual(statesOf(table, 10), ['i@2000 leaving']);
  assert.equal(table.applyAnnouncement(announcement(SECOND_START, { sequence: 9 }), 20), false);
  assert.equal(table.applyAnnouncement(announcement(SECOND_START + 1), 30), true);
  assert.deepEqual(statesOf(table, 30), ['i@2001 ready']);
});

// Guards against a notice that arrives before every announcement and does not name the incarnation.
void test.test(
  'a notice of an unknown name rejects announcements right after it, but no later incarnation',
  () => {
    const table = new instanceTable.InstanceTable('e');
    table.markDrainingByName('i', undefined, 0);
    assert.equal(table.applyAnnouncement(announcement(FIRST_START, { sequence: 9 }), 500), false);
    assert.equal(table.applyAnnouncement(announcement(FIRST_START, { sequence: 10 }), 9_000), false);
    assert.equal(table.applyAnnouncement(announcement(SECOND_START), 9_000), true);
  },
);

void test.test('an announcement without a start time is older than any with one', () => {
  const table = new instanceTable.InstanceTable('e');
  table.applyAnnouncement(announcement(0, { sequence: 5 }), 0);
  assert.equal(table.applyAnnouncement(announcement(FIRST_START), 10), true);
  assert.equal(table.applyAnnouncement(announcement(0, { sequence: 6 }), 20), false);
  assert.deepEqual(statesOf(table, 20), ['i@1000 ready']);
});

// Guards against sending requests to the address of another process.
void test.test('an announcement that changes the address or service of an incarnation is ignored', () => {
  const table = new instanceTable.InstanceTable('e');
  table.applyAnnouncement(announcement(FIRST_START), 0);
  table.applyAnnouncement(announcement(FIRST_START, { sequence: 2, address: '10.0.0.9:80' }), 10);
  table.applyAnnouncement(announcement(FIRST_START, { sequence: 3, service: 'other' }), 20);
  assert.equal(table.records(20)[0]?.address, '10.0.0.1:80');
  assert.equal(table.records(20)[0]?.service, 'llm');
});

// Guards against a replica that still lists the older incarnation and reports last.
void test.test('an entry replaces the older incarnation, in whichever order replicas report', () => {
  const newer = new instanceTable.InstanceTable('newer');
  const older = new instanceTable.InstanceTable('older');
  newer.applyAnnouncement(announcement(SECOND_START), 0);
  older.applyAnnouncement(announcement(FIRST_START, { sequence: 40 }), 0);
  const inOrder = instanceTestHarness.createView();
  inOrder.view.merge('older', older.updatesSince('', 0, 0), 0);
  inOrder.view.merge('newer', newer.updatesSince('', 0, 0), 0);
  assert.deepEqual(inOrder.events, ['i@1000 found', 'i@1000 replaced', 'i@2000 found']);
  const reversed = instanceTestHarness.createView();
  reversed.view.merge('newer', newer.updatesSince('', 0, 0), 0);
  reversed.view.merge('older', older.updatesSince('', 0, 0), 0);
  assert.deepEqual(reversed.events, ['i@2000 found']);
  for (const { view } of [inOrder, reversed]) {
    assert.deepEqual(
      view.readyOf('llm').map(({ identity, name }) => [identity, name]),
      [['i@2000', 'i']],
    );
  }
});
