/**
 * Orders to evacuate and to restore a data centre through control that fails: nothing acknowledged is lost, and every
 * entry learns of it.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as controlBench from './controlBench.js';

const SEEDS = ['c1', 'c2', 'c3'];

function founded(): controlBench.ControlBench {
  const bench = new controlBench.ControlBench(SEEDS);
  bench.time.advance(3_000);
  assert.equal(bench.replace('c1', 1), true);
  return bench;
}

void test.test('any replica takes the order, and the same one again is acknowledged again', () => {
  const bench = founded();
  assert.equal(bench.order('c2', 'evacuate', 'a'), true);
  assert.equal(bench.order('c3', 'evacuate', 'a'), true);
  assert.deepEqual(bench.evacuatedAt('c1'), ['a']);
  assert.equal(bench.order('c1', 'restore', 'a'), true);
  assert.equal(bench.order('c2', 'restore', 'a'), true);
  assert.deepEqual(bench.evacuatedAt('c3'), []);
});

void test.test('an unknown data centre is refused with the names of the known ones', () => {
  const bench = founded();
  for (const dataCentre of ['', 'z']) {
    let told = '';
    bench.trafficOf('c1').orderDataCentre({ type: 'evacuate', dataCentre }, (result) => {
      told = result.err ? `${result.val.kind} ${result.val.remedy}` : 'acknowledged';
    });
    assert.equal(told, 'notFound Name one of: a, b, c.');
  }
});

void test.test('all data centres may be evacuated, and restored one by one', () => {
  const bench = founded();
  for (const dataCentre of controlBench.DATA_CENTRES) {
    assert.equal(bench.order('c1', 'evacuate', dataCentre), true);
  }
  assert.deepEqual(bench.evacuatedAt('c1'), ['a', 'b', 'c']);
  assert.equal(bench.order('c1', 'restore', 'b'), true);
  assert.deepEqual(bench.evacuatedAt('c1'), ['a', 'c']);
});

// The operator's order was acknowledged; in the same moment all power is lost, and one disk besides. What comes back
// from the other disks still keeps work from the data centre.
void test.test('an acknowledged evacuation outlives the loss of all power and of a disk', () => {
  const bench = founded();
  assert.equal(bench.order('c2', 'evacuate', 'b'), true);
  for (const seed of SEEDS) {
    bench.kill(seed);
  }
  bench.loseDisk('c1');
  for (const seed of SEEDS) {
    bench.start(seed);
  }
  bench.time.advance(6_000);
  for (const seed of SEEDS) {
    assert.deepEqual(bench.evacuatedAt(seed), ['b']);
  }
});

// A hundred changes follow, so that the order stands in a snapshot only; then a new replica joins.
void test.test('a replica that joins learns of it from a snapshot', () => {
  const bench = founded();
  assert.equal(bench.order('c1', 'evacuate', 'c'), true);
  for (let version = 2; version <= 2_100; version += 1) {
    bench.trafficOf(bench.leader()).replace(controlBench.textOf(version), () => undefined);
    bench.time.advance(5);
  }
  bench.start('c4');
  bench.time.advance(4_000);
  assert.deepEqual(bench.evacuatedAt('c4'), ['c']);
});

// The leader is cut off from the other replicas; entries still reach it. An order that it cannot commit is not
// acknowledged; the one that the others take is in force at the entry although the old leader tells of nothing.
void test.test('an order is in force at an entry that still hears a leader cut off from the others', () => {
  const bench = founded();
  const { evacuations } = bench.watch('e1');
  bench.time.advance(2_000);
  const old = bench.leader();
  const others = SEEDS.filter((seed) => seed !== old);
  for (const other of others) {
    bench.cut(old, other);
  }
  assert.equal(bench.order(old, 'evacuate', 'b'), false);
  bench.time.advance(3_000);
  assert.equal(bench.order(others[0] ?? '', 'evacuate', 'a'), true);
  assert.deepEqual(
    evacuations.at(-1)?.dataCentres.map((held) => held.dataCentre),
    ['a'],
  );
});

void test.test('an entry hears of it within a few round trips, and never of an older state', () => {
  const bench = founded();
  const { evacuations } = bench.watch('e1');
  bench.time.advance(2_000);
  const heard = evacuations.length;
  bench.trafficOf(bench.leader()).orderDataCentre({ type: 'evacuate', dataCentre: 'a' }, () => undefined);
  bench.time.advance(20);
  assert.equal(evacuations.length, heard + 1);
  bench.time.advance(3_000);
  const revisions = evacuations.map(({ revision }) => revision);
  assert.deepEqual(
    revisions,
    [...revisions].sort((left, right) => left - right),
  );
});
