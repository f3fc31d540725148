/**
 * Which upstream instances there are, as control hears and entries believe.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceBench from './instanceBench.js';
import * as instanceTable from './instanceTable.js';

const { announcement, createView } = instanceBench;

// An announcement from before the notice arrives seconds after it. Taken at its word, the instance would get
// new requests while it is stopping, and they would be lost with it.
void test.test('a late announcement does not bring a leaving instance back', () => {
  const table = new instanceTable.InstanceTable('e');
  table.hear(announcement('i', { sequence: 4 }), 0);
  table.hear(announcement('i', { sequence: 6, state: 'leaving' }), 100);
  table.hear(announcement('i', { sequence: 5 }), 200);
  table.hear(announcement('i', { sequence: 7 }), 300);
  assert.deepEqual(
    table.records(300).map((record) => record.state),
    ['leaving'],
  );
});

void test.test('a notice that names nothing but the identity makes an instance leave', () => {
  const table = new instanceTable.InstanceTable('e');
  table.hear(announcement('i', { sequence: 4 }), 0);
  assert.equal(table.leave('i', 10), true);
  assert.equal(table.records(10)[0]?.state, 'leaving');
  assert.equal(table.isLeaving('i'), true);
});

// The notice overtakes every announcement: a replica that has just started must not take the late first
// announcement for a new instance.
void test.test('a notice of an unknown instance keeps it out', () => {
  const table = new instanceTable.InstanceTable('e');
  table.leave('i', 10);
  assert.equal(table.hear(announcement('i', { sequence: 9 }), 20), false);
  assert.deepEqual(table.records(20), []);
});

void test.test('a silent instance expires, and comes back when it is heard of again', () => {
  const table = new instanceTable.InstanceTable('e', 1_000);
  table.hear(announcement('i'), 0);
  assert.equal(table.expire(900), false);
  assert.equal(table.expire(1_100), true);
  assert.deepEqual(table.newsSince('e', 2, 1_100).removed, ['i']);
  assert.equal(table.hear(announcement('i', { sequence: 2 }), 1_200), true);
});

void test.test('news holds only what changed since, and everything for another epoch', () => {
  const table = new instanceTable.InstanceTable('e');
  table.hear(announcement('i'), 0);
  const { revision } = table.newsSince('', 0, 0);
  table.hear(announcement('j', { address: '10.0.0.2:80' }), 10);
  assert.deepEqual(
    table.newsSince('e', revision, 10).records.map((record) => record.identity),
    ['j'],
  );
  const whole = table.newsSince('other', revision, 10);
  assert.equal(whole.whole, true);
  assert.equal(whole.records.length, 2);
});

// Control is killed as a whole and starts again with nothing in memory. Entries that believed the empty lists
// would refuse every request until the instances announce themselves.
void test.test('an entry keeps its view while control is silent or has just started', () => {
  const { view, events } = createView();
  const before = new instanceTable.InstanceTable('before');
  before.hear(announcement('i'), 0);
  view.merge('control', before.newsSince('', 0, 0), 0);
  const after = new instanceTable.InstanceTable('after');
  view.merge('control', after.newsSince('', 0, 10_000), 10_000);
  assert.equal(view.readyOf('llm').length, 1);
  view.merge('control', after.newsSince('after', 1, 14_000), 14_000);
  assert.deepEqual(events, ['i found', 'i gone']);
});

// One replica is cut off from an instance that others still hear: the instance is sound.
void test.test('an instance counts while any replica in contact lists it', () => {
  const { view } = createView();
  const one = new instanceTable.InstanceTable('one', 1_000);
  const two = new instanceTable.InstanceTable('two', 1_000);
  one.hear(announcement('i'), 0);
  two.hear(announcement('i'), 0);
  view.merge('one', one.newsSince('', 0, 0), 0);
  view.merge('two', two.newsSince('', 0, 0), 0);
  two.hear(announcement('i', { sequence: 2 }), 4_000);
  one.expire(4_000);
  view.merge('two', two.newsSince('two', 2, 4_000), 4_000);
  view.merge('one', one.newsSince('one', 2, 4_001), 4_001);
  assert.equal(view.readyOf('llm').length, 1);
});

// An instance crashes and a new one takes its address. An announcement of the old one was held up by a cut and
// arrives last; requests sent in its name would be turned away by the new one.
void test.test('of two instances at one address the newer incarnation takes requests', () => {
  const { view } = createView();
  const table = new instanceTable.InstanceTable('e');
  table.hear(announcement('old', { sequence: 8 }), 0);
  table.hear(announcement('new', { sequence: 1 }), 3_000);
  table.hear(announcement('old', { sequence: 9 }), 3_500);
  view.merge('control', table.newsSince('', 0, 3_500), 3_500);
  assert.deepEqual(
    view.readyOf('llm').map((instance) => instance.identity),
    ['new'],
  );
});

void test.test('a notice from any replica holds against older news of the others', () => {
  const { view, events } = createView();
  const one = new instanceTable.InstanceTable('one');
  const two = new instanceTable.InstanceTable('two');
  one.hear(announcement('i'), 0);
  two.hear(announcement('i'), 0);
  one.leave('i', 10);
  view.merge('one', one.newsSince('', 0, 10), 10);
  view.merge('two', two.newsSince('', 0, 20), 20);
  assert.deepEqual(view.readyOf('llm'), []);
  assert.deepEqual(events, ['i found', 'i leaving']);
});

// Control is cut in halves, and each half hears half of the instances. The coordinator in one half would place
// everything on its own few engines; an entry that reaches both tells it of the others.
void test.test('an entry knows what one replica lacks and another lists', () => {
  const { view } = createView();
  const one = new instanceTable.InstanceTable('one');
  const two = new instanceTable.InstanceTable('two');
  one.hear(announcement('i'), 0);
  two.hear(announcement('j', { address: '10.0.0.2:80' }), 0);
  view.merge('one', one.newsSince('', 0, 0), 0);
  view.merge('two', two.newsSince('', 0, 0), 0);
  const unlisted = view.unlistedBy('one', 10);
  assert.deepEqual(
    unlisted.map((entry) => entry.identity),
    ['j'],
  );
  assert.equal(one.vouch(unlisted[0] ?? announcement('none'), 10), true);
  assert.equal(one.records(10).length, 2);
});

void test.test('what others vouch for does not expire', () => {
  const table = new instanceTable.InstanceTable('e', 1_000);
  table.hear(announcement('i'), 0);
  assert.equal(table.vouch(announcement('i'), 900), false);
  assert.equal(table.expire(1_500), false);
});

// Somewhere an instance goes every few seconds. If one that went half a minute ago made every answer a whole table, a
// fleet of hundreds would send each entry a hundred kilobytes several times a second, for ever.
void test.test('a reader that is up to date is told changes only, however long ago an instance went', () => {
  const table = new instanceTable.InstanceTable('e', 1_000);
  table.hear(announcement('gone'), 0);
  table.hear(announcement('i', { address: '10.0.0.2:80' }), 0);
  table.hear(announcement('i', { address: '10.0.0.2:80', sequence: 2 }), 40_000);
  table.expire(40_000);
  const revision = table.currentRevision;
  const news = table.newsSince('e', revision, 75_000);
  assert.equal(news.whole, false);
  assert.deepEqual([news.records, news.removed], [[], []]);
});

// An entry comes back after minutes. Who went meanwhile is forgotten here, so only the whole table tells it.
void test.test('a reader that missed removals which are forgotten is told everything', () => {
  const table = new instanceTable.InstanceTable('e', 1_000);
  table.hear(announcement('gone'), 0);
  const revision = table.currentRevision;
  table.expire(2_000);
  table.expire(70_000);
  assert.equal(table.newsSince('e', revision, 70_000).whole, true);
});

// An instance crashed. One replica has just dropped it, and the other will within a second. Told that the other still
// lists it, the first would take it back, and the two would keep it alive by hearsay.
void test.test('an instance that a replica has just dropped is not told to it again', () => {
  const { view } = createView();
  const one = new instanceTable.InstanceTable('one', 1_000);
  const two = new instanceTable.InstanceTable('two', 1_000);
  for (const table of [one, two]) {
    table.hear(announcement('i'), 0);
    view.merge(table.epoch, table.newsSince('', 0, 0), 0);
  }
  const revision = one.currentRevision;
  one.expire(1_100);
  view.merge('one', one.newsSince('one', revision, 1_100), 1_100);
  view.merge('two', two.newsSince('two', two.currentRevision, 1_100), 1_100);
  assert.deepEqual(view.unlistedBy('one', 1_200), []);
  view.merge('two', two.newsSince('two', two.currentRevision, 2_700), 2_700);
  assert.equal(view.unlistedBy('one', 2_700).length, 1);
});

// Its port is closed: an entry found out, and told every replica. A heartbeat from before may still be on its way, or
// the instance may have been there after all.
void test.test('an instance that has ended is dropped at once, and comes back with an announcement', () => {
  const table = new instanceTable.InstanceTable('e');
  table.hear(instanceBench.announcement('a'), 0);
  assert.equal(table.end('a', 100), true);
  assert.equal(table.end('a', 100), false);
  assert.deepEqual(table.newsSince('e', 2, 100).removed, ['a']);
  assert.equal(table.hear(instanceBench.announcement('a', { sequence: 2 }), 200), true);
});

// A data centre is cut off. Replicas and entries there hear nothing of the engines elsewhere and drop them, while streams
// on them are still open. Taken for notices, which are final, those engines would be lost for good once the cut heals:
// half of them stood idle until the end, and every second generation was refused.
void test.test('an instance that is not heard of any more has given no notice', () => {
  const { view } = instanceBench.createView();
  const table = new instanceTable.InstanceTable('e');
  table.hear(instanceBench.announcement('i'), 0);
  view.merge('control', table.newsSince('', 0, 0), 0);
  assert.equal(view.hasGivenNotice('i'), false);
  table.expire(6_000);
  view.merge('control', table.newsSince('e', 2, 6_000), 6_000);
  assert.equal(view.get('i'), undefined);
  assert.equal(view.hasGivenNotice('i'), false);
  const other = new instanceTable.InstanceTable('f');
  other.hear(instanceBench.announcement('i', { sequence: 2 }), 7_000);
  other.leave('i', 7_100);
  view.merge('other', other.newsSince('', 0, 7_100), 7_100);
  assert.equal(view.hasGivenNotice('i'), true);
});
