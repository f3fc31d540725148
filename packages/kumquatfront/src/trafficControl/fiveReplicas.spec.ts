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
