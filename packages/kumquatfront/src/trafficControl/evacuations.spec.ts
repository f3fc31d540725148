/**
 * Evacuating and restoring data centres while control replicas fail: no acknowledged call is lost, and every entry
 * receives it.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as controlTestHarness from './controlTestHarness.js';
import * as testConfigurations from './testConfigurations.js';

const SEEDS = ['c1', 'c2', 'c3'];

function createCluster(): controlTestHarness.ControlTestHarness {
  const harness = new controlTestHarness.ControlTestHarness(SEEDS);
  harness.time.advance(3_000);
  assert.equal(harness.replace('c1', 1), true);
  return harness;
}

void test.test('any replica accepts the call, and a repeated call is acknowledged again', () => {
  const harness = createCluster();
  assert.equal(harness.evacuateOrRestore('c2', 'evacuate', 'a'), true);
  assert.equal(harness.evacuateOrRestore('c3', 'evacuate', 'a'), true);
  assert.deepEqual(harness.evacuatedAt('c1'), ['a']);
  assert.equal(harness.evacuateOrRestore('c1', 'restore', 'a'), true);
  assert.equal(harness.evacuateOrRestore('c2', 'restore', 'a'), true);
  assert.deepEqual(harness.evacuatedAt('c3'), []);
});

void test.test('an unknown data centre is refused with the names of the known ones', () => {
  const harness = createCluster();
  for (const dataCentre of ['', 'z']) {
    let outcome = '';
    harness
      .trafficOf('c1')
      .evacuateOrRestore({ type: 'evacuate', dataCentre }, harness.callerAt('c1'), (result) => {
        outcome = result.err ? `${result.val.kind} ${result.val.remedy}` : 'acknowledged';
      });
    assert.equal(outcome, 'notFound Name one of: a, b, c.');
  }
});

void test.test('all data centres may be evacuated, and restored one by one', () => {
  const harness = createCluster();
  for (const dataCentre of controlTestHarness.DATA_CENTRES) {
    assert.equal(harness.evacuateOrRestore('c1', 'evacuate', dataCentre), true);
  }
  assert.deepEqual(harness.evacuatedAt('c1'), ['a', 'b', 'c']);
  assert.equal(harness.evacuateOrRestore('c1', 'restore', 'b'), true);
  assert.deepEqual(harness.evacuatedAt('c1'), ['a', 'c']);
});

// All replicas lose power and one its disk right after the acknowledgement; the other disks must restore the evacuation.
void test.test(
  'an acknowledged evacuation survives the loss of power at all replicas and of one disk',
  () => {
    const harness = createCluster();
    assert.equal(harness.evacuateOrRestore('c2', 'evacuate', 'b'), true);
    for (const seed of SEEDS) {
      harness.kill(seed);
    }
    harness.loseDisk('c1');
    for (const seed of SEEDS) {
      harness.start(seed);
    }
    harness.time.advance(6_000);
    for (const seed of SEEDS) {
      assert.deepEqual(harness.evacuatedAt(seed), ['b']);
    }
  },
);

// After many changes the evacuation is contained only in a snapshot, no longer in the log.
void test.test('a joining replica receives the evacuation from a snapshot', () => {
  const harness = createCluster();
  assert.equal(harness.evacuateOrRestore('c1', 'evacuate', 'c'), true);
  for (let version = 2; version <= 2_100; version += 1) {
    harness
      .trafficOf(harness.leader())
      .replace(testConfigurations.configurationText(version), () => undefined);
    harness.time.advance(5);
  }
  harness.start('c4');
  harness.time.advance(4_000);
  assert.deepEqual(harness.evacuatedAt('c4'), ['c']);
});

// A leader partitioned from the other replicas must acknowledge no evacuation, and an entry that still reaches it must
// receive the one that the other replicas committed.
void test.test('an evacuation reaches an entry that is still connected to a partitioned leader', () => {
  const harness = createCluster();
  const { evacuations } = harness.watch('e1');
  harness.time.advance(2_000);
  const oldLeader = harness.leader();
  const others = SEEDS.filter((seed) => seed !== oldLeader);
  for (const other of others) {
    harness.partition(oldLeader, other);
  }
  assert.equal(harness.evacuateOrRestore(oldLeader, 'evacuate', 'b'), false);
  harness.time.advance(3_000);
  assert.equal(harness.evacuateOrRestore(others[0] ?? '', 'evacuate', 'a'), true);
  assert.deepEqual(
    evacuations.at(-1)?.dataCentres.map((record) => record.dataCentre),
    ['a'],
  );
});

void test.test('an entry receives an evacuation within a few round trips, and never an older state', () => {
  const harness = createCluster();
  const { evacuations } = harness.watch('e1');
  harness.time.advance(2_000);
  const countBefore = evacuations.length;
  const leader = harness.leader();
  harness
    .trafficOf(leader)
    .evacuateOrRestore({ type: 'evacuate', dataCentre: 'a' }, harness.callerAt(leader), () => undefined);
  harness.time.advance(20);
  assert.equal(evacuations.length, countBefore + 1);
  harness.time.advance(3_000);
  const revisions = evacuations.map(({ revision }) => revision);
  assert.deepEqual(
    revisions,
    [...revisions].sort((left, right) => left - right),
  );
});
