/**
 * When crash records lead to a quarantine, when they are voided or expire, and that merging them gives the same verdict
 * in any order.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fc from 'fast-check';

import * as crashRecordStore from './crashRecordStore.js';
import type * as types from './types.js';

const MINUTE = 60_000;

function recordCrashes(
  store: crashRecordStore.CrashRecordStore,
  content: string,
  instances: readonly string[],
): void {
  instances.forEach((instance, index) => {
    store.recordCrash(content, instance, index);
  });
}

/** Creates a store with one quarantined content, and a list of its reported changes. */
function createQuarantined(): { store: crashRecordStore.CrashRecordStore; changes: string[] } {
  const changes: string[] = [];
  const store = new crashRecordStore.CrashRecordStore(({ content, change }) =>
    changes.push(`${content} ${change}`),
  );
  recordCrashes(store, 'x', ['a', 'b', 'c']);
  return { store, changes };
}

void test.test('crashes of three different instances quarantine a content', () => {
  const store = new crashRecordStore.CrashRecordStore();
  recordCrashes(store, 'x', ['a', 'b', 'a', 'b']);
  assert.equal(store.verdictOf('x'), 'suspected');
  store.recordCrash('x', 'c', 9);
  assert.equal(store.verdictOf('x'), 'quarantined');
  assert.equal(store.verdictOf('y'), 'free');
});

// A content that an upstream answered does not crash every upstream that runs it.
void test.test('an answer voids earlier crashes', () => {
  const store = new crashRecordStore.CrashRecordStore();
  recordCrashes(store, 'x', ['a', 'b']);
  assert.equal(store.recordAnswer('x', 10), true);
  assert.equal(store.verdictOf('x'), 'free');
  store.recordCrash('x', 'c', 11);
  assert.equal(store.verdictOf('x'), 'suspected');
});

// A run that was in progress at the third crash is answered.
void test.test('an answer lifts a quarantine', () => {
  const { store, changes } = createQuarantined();
  store.recordAnswer('x', 10);
  assert.equal(store.verdictOf('x'), 'free');
  assert.deepEqual(changes, ['x quarantined', 'x answered']);
});

// Another content ran beside the quarantined one at two of its crashes, and on one more instance that crashed.
void test.test('a crash explained by a quarantined content is not counted for other contents', () => {
  const { store } = createQuarantined();
  recordCrashes(store, 'bystander', ['a', 'b', 'd']);
  assert.equal(store.verdictOf('bystander'), 'suspected');
});

void test.test('crashes that are far apart are not counted together', () => {
  const store = new crashRecordStore.CrashRecordStore();
  recordCrashes(store, 'x', ['a', 'b']);
  store.expire(11 * MINUTE);
  store.recordCrash('x', 'c', 11 * MINUTE);
  assert.equal(store.verdictOf('x'), 'suspected');
});

// The upstreams may have been repaired, or the verdict may have been wrong; one more crash confirms it.
void test.test('a quarantine expires, and one more crash starts a longer one', () => {
  const { store, changes } = createQuarantined();
  const end = crashRecordStore.FIRST_QUARANTINE_DURATION + 2;
  store.expire(end - 1);
  assert.equal(store.verdictOf('x'), 'quarantined');
  store.expire(end);
  assert.equal(store.verdictOf('x'), 'free');
  store.recordCrash('x', 'd', end + MINUTE);
  assert.equal(store.verdictOf('x'), 'quarantined');
  store.expire(end + 5 * crashRecordStore.FIRST_QUARANTINE_DURATION);
  assert.equal(store.verdictOf('x'), 'quarantined');
  assert.deepEqual(changes, ['x quarantined', 'x lapsed', 'x quarantined']);
});

// A peer whose clock is slightly behind publishes a quarantine that has already expired here.
void test.test('an expired quarantine is not restored by the record of a peer', () => {
  const { store } = createQuarantined();
  const end = crashRecordStore.FIRST_QUARANTINE_DURATION + 2;
  const late = store.recordOf('x', end - 1);
  assert.ok(late !== undefined);
  store.expire(end);
  store.merge(late, end);
  assert.equal(store.verdictOf('x'), 'free');
});

// Ten thousand contents crash one upstream each: the store stays bounded and keeps the quarantined content.
void test.test('many suspected contents do not evict a quarantined one', () => {
  const { store } = createQuarantined();
  for (let index = 0; index < 10_000; index += 1) {
    store.recordCrash(`flood ${index}`, `i${index}`, 10 + index);
  }
  assert.equal(store.verdictOf('x'), 'quarantined');
  assert.ok(store.updatesSince(0, 20_000).cases.length <= 2_000);
});

void test.test('updates since a revision contain the records that changed', () => {
  const { store } = createQuarantined();
  const { revision } = store;
  store.recordCrash('y', 'd', 5);
  const update = store.updatesSince(revision, 5);
  assert.deepEqual(
    update.cases.map(({ content }) => content),
    ['y'],
  );
  assert.equal(store.recordCrash('y', 'd', 6), false);
  assert.equal(store.revision, update.revision);
});

// Entries and replicas receive crashes and answers in any order, and repeatedly.
void test.test('merging the same records gives the same verdict in any order', () => {
  const NOW = 1_000;
  const crash = fc.record({
    instance: fc.constantFrom('a', 'b', 'c', 'd'),
    age: fc.integer({ min: 1, max: 900 }),
  });
  const record: fc.Arbitrary<types.CrashRecord> = fc.record(
    {
      content: fc.constant('x'),
      crashes: fc.array(crash, { maxLength: 2 }),
      voidedAge: fc.integer({ min: 1, max: 900 }),
      lapses: fc.constant(0),
    },
    { requiredKeys: ['content', 'crashes', 'lapses'] },
  );
  // Each instance crashes once, so all records have the same time for it.
  const agreeing = fc.array(record, { maxLength: 8 }).map((records) => {
    const ages = new Map(
      records.flatMap(({ crashes }) => crashes.map(({ instance, age }) => [instance, age])),
    );
    return records.map((crashRecord) => ({
      ...crashRecord,
      crashes: crashRecord.crashes.map(({ instance }) => ({ instance, age: ages.get(instance) ?? 0 })),
    }));
  });
  fc.assert(
    fc.property(agreeing, fc.nat(), (records, offset) => {
      const inOrder = new crashRecordStore.CrashRecordStore();
      const shuffled = new crashRecordStore.CrashRecordStore();
      const split = records.length === 0 ? 0 : offset % records.length;
      records.forEach((crashRecord) => inOrder.merge(crashRecord, NOW));
      [...records.slice(split), ...records.slice(0, split), ...records].forEach((crashRecord) =>
        shuffled.merge(crashRecord, NOW),
      );
      assert.equal(shuffled.verdictOf('x'), inOrder.verdictOf('x'));
    }),
    { seed: 29 },
  );
});
