/**
 * Whole configurations and notices through control that fails: nothing acknowledged is lost, shown older, or
 * unknown to an entry.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as controlBench from './controlBench.js';

const SEEDS = ['c1', 'c2', 'c3'];

/** The time in which a replica that starts must be repaired. */
const CATCH_UP = 4_000;

function founded(): controlBench.ControlBench {
  const bench = new controlBench.ControlBench(SEEDS);
  bench.time.advance(3_000);
  assert.deepEqual([...bench.voters()].sort(), SEEDS);
  return bench;
}

void test.test('three new replicas that know only seeds found one system', () => {
  founded();
});

// A replica alone has founded the system and the others are about to join. A change acknowledged now would be
// gone with one disk.
void test.test('no change is taken before there are voters to lose', () => {
  const bench = new controlBench.ControlBench(SEEDS);
  while (bench.leader() === '') {
    bench.time.advance(5);
  }
  assert.equal(bench.voters().length, 1);
  let outcome = '';
  bench.trafficOf(bench.leader()).replace(controlBench.textOf(5), (result) => {
    outcome = result.err ? result.val.kind : 'acknowledged';
  });
  bench.time.advance(20);
  assert.equal(outcome, 'noQuorum');
  bench.time.advance(3_000);
  assert.equal(bench.replace('c2', 5), true);
});

void test.test('the highest version is in force; a lower one is acknowledged and changes nothing', () => {
  const bench = founded();
  assert.equal(bench.replace('c2', 7), true);
  assert.equal(bench.replace('c3', 5), true);
  assert.equal(bench.read('c1'), 7);
});

void test.test('an invalid configuration is refused, whatever its version', () => {
  const bench = founded();
  let refused = '';
  bench.trafficOf('c1').replace('bad', (result) => {
    refused = result.err ? result.val.kind : '';
  });
  assert.equal(refused, 'badInput');
});

// A leader is cut off from the others and still believes that it leads; they have elected another and changed the
// configuration. A read from the old one must not show the old version.
void test.test('a leader that is cut off answers no read', () => {
  const bench = founded();
  bench.replace('c1', 7);
  const old = bench.leader();
  const others = SEEDS.filter((seed) => seed !== old);
  for (const other of others) {
    bench.cut(old, other);
  }
  assert.equal(bench.read(old), undefined);
  bench.time.advance(3_000);
  assert.equal(bench.replace(others[0] ?? '', 9), true);
  assert.equal(bench.read(old), undefined);
  bench.heal();
  bench.time.advance(2_000);
  assert.equal(bench.read(old), 9);
});

// A VM loses its disk and comes back empty at its old address; right after it is repaired a second one loses its
// disk. What was acknowledged before both must be there.
void test.test('two disks lost one after another lose nothing', () => {
  const bench = founded();
  bench.replace('c1', 7);
  for (const lost of ['c3', 'c2']) {
    bench.loseDisk(lost);
    bench.time.advance(200);
    bench.start(lost);
    bench.time.advance(CATCH_UP);
    assert.deepEqual([...bench.voters()].sort(), SEEDS);
  }
  bench.kill('c1');
  bench.time.advance(4_000);
  assert.equal(bench.read('c2'), 7);
});

// A VM is gone for good and an empty one comes at another address, which no setting names. It takes the lost one's
// place without an operator, and the next loss is tolerated.
void test.test('a VM at another address takes the place of one that is gone for good', () => {
  const bench = founded();
  bench.replace('c1', 7);
  bench.loseDisk('c3');
  bench.time.advance(1_000);
  bench.start('c4');
  bench.time.advance(CATCH_UP);
  assert.deepEqual([...bench.voters()].sort(), ['c1', 'c2', 'c4']);
  bench.kill(bench.leader());
  bench.time.advance(4_000);
  assert.equal(bench.read('c4'), 7);
});

// A voter is frozen or cut off for longer than the others wait, and is removed. On its return nobody sends it
// anything; it must notice and join again.
void test.test('a voter that was removed while it was cut off joins again', () => {
  const bench = founded();
  bench.start('c4');
  bench.time.advance(CATCH_UP);
  assert.equal(bench.voters().length, 4);
  const away = SEEDS.find((seed) => seed !== bench.leader()) ?? '';
  for (const other of [...SEEDS, 'c4'].filter((seed) => seed !== away)) {
    bench.cut(away, other);
  }
  bench.time.advance(6_000);
  assert.equal(bench.voters().includes(away), false);
  bench.heal();
  bench.time.advance(6_000);
  assert.equal(bench.voters().includes(away), true);
});

void test.test('an empty replica with other seeds down founds nothing', () => {
  const bench = founded();
  bench.replace('c1', 7);
  bench.kill('c1');
  bench.kill('c2');
  bench.loseDisk('c3');
  bench.start('c3');
  bench.time.advance(5_000);
  assert.equal(bench.leader(), '');
});

void test.test('a change is at every entry at once, also from a replica that does not lead', () => {
  const bench = founded();
  const entry = bench.watch('e1');
  bench.time.advance(1_000);
  const follower = SEEDS.find((seed) => seed !== bench.leader()) ?? '';
  assert.equal(bench.replace(follower, 7), true);
  assert.equal(entry.taken.at(-1)?.version, 7);
});

// The leader is cut off from the other replicas but not from the entry. The entry must hear of the change that the
// others acknowledge, and never go back.
void test.test('an entry takes the newest of all replicas', () => {
  const bench = founded();
  const entry = bench.watch('e1');
  bench.replace('c1', 7);
  const old = bench.leader();
  const others = SEEDS.filter((seed) => seed !== old);
  for (const other of others) {
    bench.cut(old, other);
  }
  bench.time.advance(3_000);
  assert.equal(bench.replace(others[0] ?? '', 9), true);
  bench.time.advance(1_000);
  assert.deepEqual(
    entry.taken.map((traffic) => traffic.version),
    [7, 9],
  );
});

// A runner gives notice to one replica. Every entry must know within moments, also one that cannot reach that
// replica: requests sent to the runner two seconds later would be lost with it.
void test.test('a notice reaches entries that see other replicas only', () => {
  const bench = founded();
  const entry = bench.watch('e1');
  bench.time.advance(1_000);
  bench.trafficOf('c2').announce(controlBench.announcementOf('i1', 1));
  bench.time.advance(500);
  assert.equal(entry.view.readyOf('llm').length, 1);
  bench.cut('e1', 'c1');
  bench.trafficOf('c1').leave('i1', undefined);
  bench.time.advance(500);
  assert.equal(entry.view.readyOf('llm').length, 0);
});

void test.test('a replica without a quorum acknowledges no notice', () => {
  const bench = founded();
  bench.watch('e1');
  bench.time.advance(1_000);
  assert.equal(bench.trafficOf('c1').mayAcknowledge(), true);
  bench.cut('c1', 'c2');
  bench.cut('c1', 'c3');
  bench.time.advance(2_500);
  assert.equal(bench.trafficOf('c1').mayAcknowledge(), false);
});

void test.test('entries that are silent are not given to callers', () => {
  const bench = founded();
  bench.watch('e1');
  bench.time.advance(1_000);
  assert.equal(bench.trafficOf('c1').entriesFor({ host: 'h', dataCentre: 'a', region: '' }, 10).length, 1);
  bench.kill('e1');
  bench.time.advance(3_000);
  assert.equal(bench.trafficOf('c1').entriesFor({ host: 'h', dataCentre: 'a', region: '' }, 10).length, 0);
});

// Changes follow each other twenty times a second. If each replica sent each of them to every entry, the entries'
// links would be full of configurations, and their callers would wait a quarter of a second behind them.
void test.test(
  'changes in quick succession are sent to an entry once in a while, and the last one soon',
  () => {
    const bench = founded();
    const entry = bench.watch('e');
    bench.time.advance(100);
    for (let version = 1; version <= 40; version += 1) {
      bench.trafficOf('c1').replace(controlBench.textOf(version), () => undefined);
      bench.time.advance(50);
    }
    bench.time.advance(400);
    assert.equal(entry.taken.at(-1)?.version, 40);
    assert.ok(bench.textsSentTo('e') <= 14, `${bench.textsSentTo('e')} sent`);
  },
);

/** An entry to which some replica is just sending version 9. */
function withVersionOnItsWay(): {
  readonly bench: controlBench.ControlBench;
  readonly entry: ReturnType<controlBench.ControlBench['watch']>;
} {
  const bench = founded();
  const entry = bench.watch('e');
  bench.time.advance(100);
  bench.trafficOf('c1').replace(controlBench.textOf(9), () => undefined);
  while (bench.textsSentTo('e') === 0) {
    bench.time.advance(0.25);
  }
  return { bench, entry };
}

// The replica that tells of a change first falls silent before it has sent it. Another one has it too.
void test.test('a configuration is fetched from another replica where the first does not send it', () => {
  const { bench, entry } = withVersionOnItsWay();
  const [first = ''] = SEEDS.filter((seed) => bench.lastTextFrom === seed);
  bench.cut(first, 'e');
  bench.time.advance(1_500);
  assert.equal(entry.taken.at(-1)?.version, 9);
});

// The entry is cut off from everybody while it fetches. When the cut heals nothing new happens; the version it
// missed must come all the same.
void test.test('a configuration that could not be fetched is fetched when the cut heals', () => {
  const { bench, entry } = withVersionOnItsWay();
  for (const seed of SEEDS) {
    bench.cut(seed, 'e');
  }
  bench.time.advance(6_000);
  assert.equal(entry.taken.length, 0);
  bench.heal();
  bench.time.advance(2_500);
  assert.equal(entry.taken.at(-1)?.version, 9);
});

// Everything has been killed, and replicas hear from one entry after another again. An entry that took itself for one
// of three would use a third of the repeats that are meant for all.
void test.test(
  'an entry takes no share of what all entries share before replicas have heard from them',
  () => {
    const bench = founded();
    const entries = Array.from({ length: 8 }, (_, index) => bench.watch(`e${index}`));
    bench.time.advance(1_000);
    assert.deepEqual(
      entries.map(({ watch }) => watch.shareOfEntries),
      entries.map(() => 0),
    );
    bench.time.advance(2_000);
    assert.deepEqual(
      entries.map(({ watch }) => watch.shareOfEntries),
      entries.map(() => 1 / 8),
    );
  },
);
