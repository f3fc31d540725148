/**
 * Five replicas that tolerate two losses at once, with many entries: overlapping repairs and partitions.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as controlTestHarness from './controlTestHarness.js';

const SEEDS = ['c1', 'c2', 'c3', 'c4', 'c5'];
const ENTRIES = 191;

/** Time within which started replicas must be voters again. */
const CATCH_UP_DURATION = 6_000;

interface LargeCluster {
  readonly harness: controlTestHarness.ControlTestHarness;
  readonly entries: readonly ReturnType<controlTestHarness.ControlTestHarness['watch']>[];
}

function createLargeCluster(): LargeCluster {
  const harness = new controlTestHarness.ControlTestHarness(SEEDS, 2);
  harness.time.advance(6_000);
  assert.deepEqual([...harness.voters()].sort(), SEEDS);
  const entries = Array.from({ length: ENTRIES }, (_, index) => harness.watch(`e${index}`));
  harness.time.advance(1_000);
  assert.equal(harness.replace('c1', 7), true);
  return { harness, entries };
}

function othersThan(...addresses: readonly string[]): readonly string[] {
  return SEEDS.filter((seed) => !addresses.includes(seed));
}

function assertInForce({ harness, entries }: LargeCluster, version: number): void {
  harness.time.advance(1_000);
  assert.equal(harness.read(harness.leader()), version);
  const behind = entries.filter(({ configurations }) => configurations.at(-1)?.version !== version);
  assert.equal(behind.length, 0);
  for (const { configurations } of entries) {
    const versions = configurations.map((traffic) => traffic.version);
    assert.deepEqual(
      versions,
      [...versions].sort((left, right) => left - right),
    );
  }
}

// Two replicas, one of them the leader, lose their disks at once. No acknowledged change may be lost, and after the
// repair two other replicas may fail.
void test.test(
  'after two disks are lost at once, the membership is repaired in time for two more losses',
  () => {
    const cluster = createLargeCluster();
    const { harness } = cluster;
    const first = [harness.leader(), othersThan(harness.leader())[0] ?? ''];
    first.forEach((address) => {
      harness.loseDisk(address);
    });
    first.forEach((address) => {
      harness.start(address);
    });
    harness.time.advance(CATCH_UP_DURATION);
    assert.deepEqual([...harness.voters()].sort(), SEEDS);
    assertInForce(cluster, 7);
    const second = othersThan(...first).slice(0, 2);
    second.forEach((address) => {
      harness.loseDisk(address);
    });
    harness.time.advance(2_000);
    assert.equal(harness.replace(harness.leader(), 8), true);
    assertInForce(cluster, 8);
  },
);

// The second disk, that of the leader, is lost while the first replica is still catching up.
void test.test('no change is lost when a disk fails during the repair of another replica', () => {
  const cluster = createLargeCluster();
  const { harness } = cluster;
  const [first = ''] = othersThan(harness.leader());
  harness.loseDisk(first);
  harness.start(first);
  harness.time.advance(300);
  const second = harness.leader();
  harness.loseDisk(second);
  harness.start(second);
  harness.time.advance(CATCH_UP_DURATION);
  assert.deepEqual([...harness.voters()].sort(), SEEDS);
  assert.equal(harness.replace(harness.leader(), 8), true);
  assertInForce(cluster, 8);
});

// A replica is replaced by an empty one at another address, a seed crashes for good, and the leader is partitioned, each
// before the previous fault is repaired. Entries must follow the current leader and never apply an older version.
void test.test('a replaced replica, a lost seed and a partitioned leader at the same time', () => {
  const cluster = createLargeCluster();
  const { harness } = cluster;
  const leader = harness.leader();
  const [replaced = '', lost = ''] = othersThan(leader);
  harness.loseDisk(replaced);
  harness.start('c6');
  harness.time.advance(400);
  harness.kill(lost);
  harness.time.advance(400);
  for (const other of [...SEEDS, 'c6'].filter((address) => address !== leader)) {
    harness.partition(leader, other);
  }
  harness.time.advance(2_000);
  harness.heal();
  harness.time.advance(CATCH_UP_DURATION);
  assert.equal(harness.replace(harness.leader(), 9), true);
  assertInForce(cluster, 9);
});

// Tolerating two losses takes five voters. A change acknowledged by two of the first three could be lost with their
// disks.
void test.test(
  'no change is accepted while replicas that the tolerated losses require are still joining',
  () => {
    const harness = new controlTestHarness.ControlTestHarness(['c1', 'c2', 'c3'], 2);
    harness.start('c4', true);
    harness.start('c5', true);
    while (harness.voters().length < 3) {
      harness.time.advance(5);
    }
    assert.equal(harness.replace(harness.leader(), 7), false);
    harness.time.advance(4_000);
    assert.equal(harness.voters().length, 5);
    assert.equal(harness.replace(harness.leader(), 7), true);
  },
);

// Without further replicas that could join, operators must still be able to change the configuration.
void test.test('a change is accepted by the seed replicas if no other replica joins', () => {
  const harness = new controlTestHarness.ControlTestHarness(['c1', 'c2', 'c3'], 2);
  harness.time.advance(6_000);
  assert.equal(harness.replace(harness.leader(), 7), true);
});
