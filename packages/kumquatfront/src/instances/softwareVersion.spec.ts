/** The software version of an instance in the registry and in the view of an entry. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceTable from './instanceTable.js';
import * as instanceTestHarness from './instanceTestHarness.js';

const { announcement } = instanceTestHarness;

void test.test('the version reaches the view of an entry, and a version that becomes known is sent', () => {
  const table = new instanceTable.InstanceTable('epoch');
  const { view } = instanceTestHarness.createView();
  table.applyAnnouncement(announcement('a', { softwareVersion: undefined }), 0);
  view.merge('control', table.updatesSince('', 0, 0), 0);
  assert.equal(view.get('a')?.softwareVersion, undefined);
  assert.ok(table.applyAnnouncement(announcement('a', { softwareVersion: 'v1', sequence: 2 }), 10));
  view.merge('control', table.updatesSince('epoch', view.positionOf('control').revision, 10), 10);
  assert.equal(view.get('a')?.softwareVersion, 'v1');
});

// Guards against a stream that crosses versions because two announcements of one incarnation differ.
void test.test('an incarnation keeps its version', () => {
  const table = new instanceTable.InstanceTable('epoch');
  table.applyAnnouncement(announcement('a', { softwareVersion: 'v1' }), 0);
  assert.ok(!table.applyAnnouncement(announcement('a', { softwareVersion: 'v2', sequence: 2 }), 10));
  table.applyAnnouncement(announcement('a', { softwareVersion: undefined, sequence: 3 }), 20);
  assert.equal(table.records(20)[0]?.softwareVersion, 'v1');
});

// Guards against replicas that disagree about a version: the entry keeps the one that it acted on.
void test.test('an entry keeps the version that it first saw', () => {
  const { view } = instanceTestHarness.createView();
  for (const [source, softwareVersion] of [
    ['c1', 'v1'],
    ['c2', 'v2'],
  ] as const) {
    const table = new instanceTable.InstanceTable(source);
    table.applyAnnouncement(announcement('a', { softwareVersion }), 0);
    view.merge(source, table.updatesSince('', 0, 0), 0);
  }
  assert.equal(view.get('a')?.softwareVersion, 'v1');
});
