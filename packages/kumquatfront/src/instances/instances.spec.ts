/**
 * Instance table of control replicas and instance view of entries.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceTestHarness from './instanceTestHarness.js';
import * as instanceTable from './instanceTable.js';

const { announcement, createView } = instanceTestHarness;

// Guards against new requests to a terminating instance because of a delayed announcement.
void test.test('a late announcement does not make a draining instance ready again', () => {
  const table = new instanceTable.InstanceTable('e');
  table.applyAnnouncement(announcement('i', { sequence: 4 }), 0);
  table.applyAnnouncement(announcement('i', { sequence: 6, state: 'leaving' }), 100);
  table.applyAnnouncement(announcement('i', { sequence: 5 }), 200);
  table.applyAnnouncement(announcement('i', { sequence: 7 }), 300);
  assert.deepEqual(
    table.records(300).map((record) => record.state),
    ['leaving'],
  );
});

void test.test('a notice with only the identity marks an instance as draining', () => {
  const table = new instanceTable.InstanceTable('e');
  table.applyAnnouncement(announcement('i', { sequence: 4 }), 0);
  assert.equal(table.markDraining('i', 10), true);
  assert.equal(table.records(10)[0]?.state, 'leaving');
  assert.equal(table.isDrainingOrRemoved('i'), true);
});

// Guards against a late first announcement on a replica that has just started and already received the notice.
void test.test('a notice of an unknown instance rejects its announcements', () => {
  const table = new instanceTable.InstanceTable('e');
  table.markDraining('i', 10);
  assert.equal(table.applyAnnouncement(announcement('i', { sequence: 9 }), 20), false);
  assert.deepEqual(table.records(20), []);
});

void test.test('an instance without announcements expires, and is listed again after a new one', () => {
  const table = new instanceTable.InstanceTable('e', 1_000);
  table.applyAnnouncement(announcement('i'), 0);
  assert.equal(table.expire(900), false);
  assert.equal(table.expire(1_100), true);
  assert.deepEqual(table.updatesSince('e', 2, 1_100).removed, ['i']);
  assert.equal(table.applyAnnouncement(announcement('i', { sequence: 2 }), 1_200), true);
});

void test.test('an update contains only later changes, and the complete table for another epoch', () => {
  const table = new instanceTable.InstanceTable('e');
  table.applyAnnouncement(announcement('i'), 0);
  const { revision } = table.updatesSince('', 0, 0);
  table.applyAnnouncement(announcement('j', { address: '10.0.0.2:80' }), 10);
  assert.deepEqual(
    table.updatesSince('e', revision, 10).records.map((record) => record.identity),
    ['j'],
  );
  const complete = table.updatesSince('other', revision, 10);
  assert.equal(complete.whole, true);
  assert.equal(complete.records.length, 2);
});

// Guards against refusing every request after all of control restarts with an empty table.
void test.test('an entry keeps its view while control is unreachable or has just started', () => {
  const { view, events } = createView();
  const before = new instanceTable.InstanceTable('before');
  before.applyAnnouncement(announcement('i'), 0);
  view.merge('control', before.updatesSince('', 0, 0), 0);
  const after = new instanceTable.InstanceTable('after');
  view.merge('control', after.updatesSince('', 0, 10_000), 10_000);
  assert.equal(view.readyOf('llm').length, 1);
  view.merge('control', after.updatesSince('after', 1, 14_000), 14_000);
  assert.deepEqual(events, ['i found', 'i gone']);
});

// Guards against removing a healthy instance that one replica cannot reach.
void test.test('an instance is kept while any replica in contact lists it', () => {
  const { view } = createView();
  const one = new instanceTable.InstanceTable('one', 1_000);
  const two = new instanceTable.InstanceTable('two', 1_000);
  one.applyAnnouncement(announcement('i'), 0);
  two.applyAnnouncement(announcement('i'), 0);
  view.merge('one', one.updatesSince('', 0, 0), 0);
  view.merge('two', two.updatesSince('', 0, 0), 0);
  two.applyAnnouncement(announcement('i', { sequence: 2 }), 4_000);
  one.expire(4_000);
  view.merge('two', two.updatesSince('two', 2, 4_000), 4_000);
  view.merge('one', one.updatesSince('one', 2, 4_001), 4_001);
  assert.equal(view.readyOf('llm').length, 1);
});

// Guards against sending requests to a crashed instance whose delayed announcement arrives after that of the instance
// that has taken its address.
void test.test('of two instances at one address the newer incarnation takes requests', () => {
  const { view } = createView();
  const table = new instanceTable.InstanceTable('e');
  table.applyAnnouncement(announcement('old', { sequence: 8 }), 0);
  table.applyAnnouncement(announcement('new', { sequence: 1 }), 3_000);
  table.applyAnnouncement(announcement('old', { sequence: 9 }), 3_500);
  view.merge('control', table.updatesSince('', 0, 3_500), 3_500);
  assert.deepEqual(
    view.readyOf('llm').map((instance) => instance.identity),
    ['new'],
  );
});

void test.test('a notice from any replica overrides older updates of the others', () => {
  const { view, events } = createView();
  const one = new instanceTable.InstanceTable('one');
  const two = new instanceTable.InstanceTable('two');
  one.applyAnnouncement(announcement('i'), 0);
  two.applyAnnouncement(announcement('i'), 0);
  one.markDraining('i', 10);
  view.merge('one', one.updatesSince('', 0, 10), 10);
  view.merge('two', two.updatesSince('', 0, 20), 20);
  assert.deepEqual(view.readyOf('llm'), []);
  assert.deepEqual(events, ['i found', 'i leaving']);
});

// Guards against a coordinator that, in a network partition, places everything on the engines of one side.
void test.test('an entry finds the instances that one replica lacks and another lists', () => {
  const { view } = createView();
  const one = new instanceTable.InstanceTable('one');
  const two = new instanceTable.InstanceTable('two');
  one.applyAnnouncement(announcement('i'), 0);
  two.applyAnnouncement(announcement('j', { address: '10.0.0.2:80' }), 0);
  view.merge('one', one.updatesSince('', 0, 0), 0);
  view.merge('two', two.updatesSince('', 0, 0), 0);
  const unlisted = view.unlistedBy('one', 10);
  assert.deepEqual(
    unlisted.map((entry) => entry.identity),
    ['j'],
  );
  assert.equal(one.applyReplicaListing(unlisted[0] ?? announcement('none'), 10), true);
  assert.equal(one.records(10).length, 2);
});

void test.test('instances that other replicas list do not expire', () => {
  const table = new instanceTable.InstanceTable('e', 1_000);
  table.applyAnnouncement(announcement('i'), 0);
  assert.equal(table.applyReplicaListing(announcement('i'), 900), false);
  assert.equal(table.expire(1_500), false);
});

// Guards against sending the complete table in every answer after an instance was removed.
void test.test('a reader that is up to date receives only changes, however long ago a removal was', () => {
  const table = new instanceTable.InstanceTable('e', 1_000);
  table.applyAnnouncement(announcement('gone'), 0);
  table.applyAnnouncement(announcement('i', { address: '10.0.0.2:80' }), 0);
  table.applyAnnouncement(announcement('i', { address: '10.0.0.2:80', sequence: 2 }), 40_000);
  table.expire(40_000);
  const revision = table.currentRevision;
  const update = table.updatesSince('e', revision, 75_000);
  assert.equal(update.whole, false);
  assert.deepEqual([update.records, update.removed], [[], []]);
});

// Guards against an entry that keeps removed instances after minutes without contact.
void test.test('a reader that missed discarded removals receives the complete table', () => {
  const table = new instanceTable.InstanceTable('e', 1_000);
  table.applyAnnouncement(announcement('gone'), 0);
  const revision = table.currentRevision;
  table.expire(2_000);
  table.expire(70_000);
  assert.equal(table.updatesSince('e', revision, 70_000).whole, true);
});

// Guards against two replicas that keep a crashed instance listed because each receives it from the other.
void test.test('an instance that a replica has just removed is not reported back to it', () => {
  const { view } = createView();
  const one = new instanceTable.InstanceTable('one', 1_000);
  const two = new instanceTable.InstanceTable('two', 1_000);
  for (const table of [one, two]) {
    table.applyAnnouncement(announcement('i'), 0);
    view.merge(table.epoch, table.updatesSince('', 0, 0), 0);
  }
  const revision = one.currentRevision;
  one.expire(1_100);
  view.merge('one', one.updatesSince('one', revision, 1_100), 1_100);
  view.merge('two', two.updatesSince('two', two.currentRevision, 1_100), 1_100);
  assert.deepEqual(view.unlistedBy('one', 1_200), []);
  view.merge('two', two.updatesSince('two', two.currentRevision, 2_700), 2_700);
  assert.equal(view.unlistedBy('one', 2_700).length, 1);
});

// Guards against keeping a crashed instance until its lease expires, and against losing one that is still running.
void test.test('a crashed instance is removed at once, and is listed again after an announcement', () => {
  const table = new instanceTable.InstanceTable('e');
  table.applyAnnouncement(instanceTestHarness.announcement('a'), 0);
  assert.equal(table.removeCrashed('a', 100), true);
  assert.equal(table.removeCrashed('a', 100), false);
  assert.deepEqual(table.updatesSince('e', 2, 100).removed, ['a']);
  assert.equal(table.applyAnnouncement(instanceTestHarness.announcement('a', { sequence: 2 }), 200), true);
});

// Guards against treating instances that were removed in a network partition as terminating: a notice is final, and
// these engines would stay unused after the partition.
void test.test('an instance that was removed without a notice is not terminating', () => {
  const { view } = instanceTestHarness.createView();
  const table = new instanceTable.InstanceTable('e');
  table.applyAnnouncement(instanceTestHarness.announcement('i'), 0);
  view.merge('control', table.updatesSince('', 0, 0), 0);
  assert.equal(view.isTerminating('i'), false);
  table.expire(6_000);
  view.merge('control', table.updatesSince('e', 2, 6_000), 6_000);
  assert.equal(view.get('i'), undefined);
  assert.equal(view.isTerminating('i'), false);
  const other = new instanceTable.InstanceTable('f');
  other.applyAnnouncement(instanceTestHarness.announcement('i', { sequence: 2 }), 7_000);
  other.markDraining('i', 7_100);
  view.merge('other', other.updatesSince('', 0, 7_100), 7_100);
  assert.equal(view.isTerminating('i'), true);
});
