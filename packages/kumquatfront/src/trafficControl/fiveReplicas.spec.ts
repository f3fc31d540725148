/**
 * Five replicas with many entries, of which two may be lost at once: repairs that overlap, and cuts in between.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as controlBench from './controlBench.js';

const SEEDS = ['c1', 'c2', 'c3', 'c4', 'c5'];
const ENTRIES = 191;

/** The time in which replicas that start must be repaired. */
const CATCH_UP = 6_000;

interface Large {
  readonly bench: controlBench.ControlBench;
  readonly entries: readonly ReturnType<controlBench.ControlBench['watch']>[];
}

function large(): Large {
  const bench = new controlBench.ControlBench(SEEDS, 2);
  bench.time.advance(6_000);
  assert.deepEqual([...bench.voters()].sort(), SEEDS);
  const entries = Array.from({ length: ENTRIES }, (_, index) => bench.watch(`e${index}`));
  bench.time.advance(1_000);
  assert.equal(bench.replace('c1', 7), true);
  return { bench, entries };
}

function othersThan(...addresses: readonly string[]): readonly string[] {
  return SEEDS.filter((seed) => !addresses.includes(seed));
}

function assertInForce({ bench, entries }: Large, version: number): void {
  bench.time.advance(1_000);
  assert.equal(bench.read(bench.leader()), version);
  const behind = entries.filter(({ taken }) => taken.at(-1)?.version !== version);
  assert.equal(behind.length, 0);
  for (const { taken } of entries) {
    const versions = taken.map((traffic) => traffic.version);
    assert.deepEqual(
      versions,
      [...versions].sort((left, right) => left - right),
    );
  }
}

// Two replicas lose their disks in the same moment, the leader among them. Nothing acknowledged is lost, and within
// the time of a repair two others may be lost.
void test.test('two disks lost at once are repaired in time for the next two', () => {
  const system = large();
  const { bench } = system;
  const first = [bench.leader(), othersThan(bench.leader())[0] ?? ''];
  first.forEach((address) => {
    bench.loseDisk(address);
  });
  first.forEach((address) => {
    bench.start(address);
  });
  bench.time.advance(CATCH_UP);
  assert.deepEqual([...bench.voters()].sort(), SEEDS);
  assertInForce(system, 7);
  const second = othersThan(...first).slice(0, 2);
  second.forEach((address) => {
    bench.loseDisk(address);
  });
  bench.time.advance(2_000);
  assert.equal(bench.replace(bench.leader(), 8), true);
  assertInForce(system, 8);
});

// The second disk goes while the first replica is being repaired, and it is the leader's.
void test.test('a disk lost during the repair of another loses nothing', () => {
  const system = large();
  const { bench } = system;
  const [first = ''] = othersThan(bench.leader());
  bench.loseDisk(first);
  bench.start(first);
  bench.time.advance(300);
  const second = bench.leader();
  bench.loseDisk(second);
  bench.start(second);
  bench.time.advance(CATCH_UP);
  assert.deepEqual([...bench.voters()].sort(), SEEDS);
  assert.equal(bench.replace(bench.leader(), 8), true);
  assertInForce(system, 8);
});

// One replica is replaced by an empty one at another address, a seed dies for good, and the leader is cut off from all
// others, each before the one before is over. Entries follow whoever leads, and never go back.
void test.test('a replaced replica, a lost seed and a leader that is cut off at the same time', () => {
  const system = large();
  const { bench } = system;
  const leader = bench.leader();
  const [replaced = '', lost = ''] = othersThan(leader);
  bench.loseDisk(replaced);
  bench.start('c6');
  bench.time.advance(400);
  bench.kill(lost);
  bench.time.advance(400);
  for (const other of [...SEEDS, 'c6'].filter((address) => address !== leader)) {
    bench.cut(leader, other);
  }
  bench.time.advance(2_000);
  bench.heal();
  bench.time.advance(CATCH_UP);
  assert.equal(bench.replace(bench.leader(), 9), true);
  assertInForce(system, 9);
});

// Two losses are to be tolerated, which takes five voters; only three seeds are told to anyone. Two replicas are still about
// to join when an operator sends a change. Acknowledged on two of three disks, it would be gone with them.
void test.test('no change is taken while replicas that the tolerated losses need are still joining', () => {
  const bench = new controlBench.ControlBench(['c1', 'c2', 'c3'], 2);
  bench.start('c4', true);
  bench.start('c5', true);
  while (bench.voters().length < 3) {
    bench.time.advance(5);
  }
  assert.equal(bench.replace(bench.leader(), 7), false);
  bench.time.advance(4_000);
  assert.equal(bench.voters().length, 5);
  assert.equal(bench.replace(bench.leader(), 7), true);
});

// Fewer replicas than the tolerated losses need are all that there are: nobody else is joining, and operators must be
// able to change the configuration.
void test.test('a change is taken by the replicas of the seeds where no other joins', () => {
  const bench = new controlBench.ControlBench(['c1', 'c2', 'c3'], 2);
  bench.time.advance(6_000);
  assert.equal(bench.replace(bench.leader(), 7), true);
});
