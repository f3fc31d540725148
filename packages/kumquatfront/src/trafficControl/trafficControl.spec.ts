/**
 * Configurations and termination notices while control replicas fail: nothing acknowledged is lost, read in an older
 * version, or withheld from an entry.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as trafficValidation from '../traffic/trafficValidation.js';
import * as controlTestHarness from './controlTestHarness.js';
import * as methods from './methods.js';
import * as testConfigurations from './testConfigurations.js';

const SEEDS = ['c1', 'c2', 'c3'];

/** Time within which a started replica must be a voter. */
const CATCH_UP_DURATION = 4_000;

function createCluster(): controlTestHarness.ControlTestHarness {
  const harness = new controlTestHarness.ControlTestHarness(SEEDS);
  harness.time.advance(3_000);
  assert.deepEqual([...harness.voters()].sort(), SEEDS);
  return harness;
}

void test.test('three new replicas that know only the seeds form one cluster', () => {
  createCluster();
});

// A change acknowledged by the first voter alone, before the others have joined, could be lost with its disk.
void test.test('no change is accepted before there are enough voters to tolerate a loss', () => {
  const harness = new controlTestHarness.ControlTestHarness(SEEDS);
  while (harness.leader() === '') {
    harness.time.advance(5);
  }
  assert.equal(harness.voters().length, 1);
  let outcome = '';
  harness.trafficOf(harness.leader()).replace(testConfigurations.configurationText(5), (result) => {
    outcome = result.err ? result.val.kind : 'acknowledged';
  });
  harness.time.advance(20);
  assert.equal(outcome, 'noQuorum');
  harness.time.advance(3_000);
  assert.equal(harness.replace('c2', 5), true);
});

void test.test('the highest version is in force; a lower one is acknowledged and changes nothing', () => {
  const harness = createCluster();
  assert.equal(harness.replace('c2', 7), true);
  assert.equal(harness.replace('c3', 5), true);
  assert.equal(harness.read('c1'), 7);
});

// Two operators send at the same time, so that the lower version is committed after the higher one.
void test.test('the highest version is in force if a lower one is committed after it', () => {
  const harness = createCluster();
  let acknowledged = 0;
  for (const version of [9, 7]) {
    harness.sendConfiguration(harness.leader(), testConfigurations.configurationText(version), () => {
      acknowledged += 1;
    });
  }
  harness.time.advance(1_000);
  assert.equal(acknowledged, 2);
  assert.equal(harness.read('c1'), 9);
});

void test.test('an invalid configuration is refused, whatever its version', () => {
  const harness = createCluster();
  let refused = '';
  harness.trafficOf('c1').replace('bad', (result) => {
    refused = result.err ? result.val.kind : '';
  });
  assert.equal(refused, 'badInput');
});

// An operator without an answer sends a configuration again, also to other replicas; each copy was replicated in full.
void test.test(
  'a configuration that is sent several times is replicated once and acknowledged each time',
  () => {
    const harness = createCluster();
    const before = harness.lastLogIndex(harness.leader());
    let acknowledged = 0;
    for (let repetition = 0; repetition < 2; repetition += 1) {
      for (const seed of SEEDS) {
        harness.sendConfiguration(seed, testConfigurations.configurationText(7), () => {
          acknowledged += 1;
        });
      }
      harness.time.advance(1_000);
    }
    assert.equal(acknowledged, 6);
    assert.equal(harness.lastLogIndex(harness.leader()) - before, 1);
  },
);

// The outcome of a proposal is unknown when its leader fails; the version must not stay blocked.
void test.test('a configuration whose proposal failed can be sent again', () => {
  const harness = createCluster();
  const leader = harness.leader();
  const others = SEEDS.filter((seed) => seed !== leader);
  others.forEach((other) => {
    harness.partition(leader, other);
  });
  assert.equal(harness.replace(leader, 7), false);
  harness.time.advance(3_000);
  harness.heal();
  harness.time.advance(3_000);
  for (const seed of SEEDS) {
    assert.equal(harness.replace(seed, 7), true);
  }
});

void test.test('a configuration above the maximum size is refused', () => {
  const harness = createCluster();
  let refused = '';
  const text = `7\n${' '.repeat(trafficValidation.MAXIMUM_CONFIGURATION_BYTES)}`;
  harness.trafficOf('c1').replace(text, (result) => {
    refused = result.err ? result.val.message : '';
  });
  assert.match(refused, /4194306 bytes; at most 4194304/);
});

// A partitioned leader that does not know of its successor must not return an older version.
void test.test('a partitioned leader answers no read', () => {
  const harness = createCluster();
  harness.replace('c1', 7);
  const oldLeader = harness.leader();
  const others = SEEDS.filter((seed) => seed !== oldLeader);
  for (const other of others) {
    harness.partition(oldLeader, other);
  }
  assert.equal(harness.read(oldLeader), undefined);
  harness.time.advance(3_000);
  assert.equal(harness.replace(others[0] ?? '', 9), true);
  assert.equal(harness.read(oldLeader), undefined);
  harness.heal();
  harness.time.advance(2_000);
  assert.equal(harness.read(oldLeader), 9);
});

// Two replicas in turn lose their disks and restart empty at their old addresses. Changes acknowledged before must
// survive.
void test.test('no change is lost when two disks fail one after another', () => {
  const harness = createCluster();
  harness.replace('c1', 7);
  for (const lost of ['c3', 'c2']) {
    harness.loseDisk(lost);
    harness.time.advance(200);
    harness.start(lost);
    harness.time.advance(CATCH_UP_DURATION);
    assert.deepEqual([...harness.voters()].sort(), SEEDS);
  }
  harness.kill('c1');
  harness.time.advance(4_000);
  assert.equal(harness.read('c2'), 7);
});

// The new VM is listed in no settings. It must replace the lost one without an operator, so that another loss is
// tolerated.
void test.test('a VM at another address replaces one that is permanently lost', () => {
  const harness = createCluster();
  harness.replace('c1', 7);
  harness.loseDisk('c3');
  harness.time.advance(1_000);
  harness.start('c4');
  harness.time.advance(CATCH_UP_DURATION);
  assert.deepEqual([...harness.voters()].sort(), ['c1', 'c2', 'c4']);
  harness.kill(harness.leader());
  harness.time.advance(4_000);
  assert.equal(harness.read('c4'), 7);
});

// No replica contacts a voter that was removed; after the partition heals it must detect the removal and rejoin.
void test.test('a voter that was removed during a partition rejoins', () => {
  const harness = createCluster();
  harness.start('c4');
  harness.time.advance(CATCH_UP_DURATION);
  assert.equal(harness.voters().length, 4);
  const removed = SEEDS.find((seed) => seed !== harness.leader()) ?? '';
  for (const other of [...SEEDS, 'c4'].filter((seed) => seed !== removed)) {
    harness.partition(removed, other);
  }
  harness.time.advance(6_000);
  assert.equal(harness.voters().includes(removed), false);
  harness.heal();
  harness.time.advance(6_000);
  assert.equal(harness.voters().includes(removed), true);
});

void test.test('an empty replica forms no new cluster while the other seeds are down', () => {
  const harness = createCluster();
  harness.replace('c1', 7);
  harness.kill('c1');
  harness.kill('c2');
  harness.loseDisk('c3');
  harness.start('c3');
  harness.time.advance(5_000);
  assert.equal(harness.leader(), '');
});

void test.test('a change reaches entries immediately, also when a follower accepts it', () => {
  const harness = createCluster();
  const entry = harness.watch('e1');
  harness.time.advance(1_000);
  const follower = SEEDS.find((seed) => seed !== harness.leader()) ?? '';
  assert.equal(harness.replace(follower, 7), true);
  assert.equal(entry.configurations.at(-1)?.version, 7);
});

// An entry that still reaches a partitioned leader must receive the change that the other replicas acknowledge, and
// never return to an older version.
void test.test('an entry applies the newest configuration of all replicas', () => {
  const harness = createCluster();
  const entry = harness.watch('e1');
  harness.replace('c1', 7);
  const oldLeader = harness.leader();
  const others = SEEDS.filter((seed) => seed !== oldLeader);
  for (const other of others) {
    harness.partition(oldLeader, other);
  }
  harness.time.advance(3_000);
  assert.equal(harness.replace(others[0] ?? '', 9), true);
  harness.time.advance(1_000);
  assert.deepEqual(
    entry.configurations.map((traffic) => traffic.version),
    [7, 9],
  );
});

// An entry that cannot reach the replica that received a termination notice must still receive it in time: requests sent
// to the instance later would be lost.
void test.test('a termination notice reaches entries that are connected to other replicas only', () => {
  const harness = createCluster();
  const entry = harness.watch('e1');
  harness.time.advance(1_000);
  harness.trafficOf('c2').announce(controlTestHarness.announcementOf('i1', 1));
  harness.time.advance(500);
  assert.equal(entry.view.readyOf('llm').length, 1);
  harness.partition('e1', 'c1');
  harness.trafficOf('c1').markDraining('i1', undefined);
  harness.time.advance(500);
  assert.equal(entry.view.readyOf('llm').length, 0);
});

void test.test('a replica without a quorum acknowledges no termination notice', () => {
  const harness = createCluster();
  harness.watch('e1');
  harness.time.advance(1_000);
  assert.equal(harness.trafficOf('c1').mayAcknowledgeNotice(), true);
  harness.partition('c1', 'c2');
  harness.partition('c1', 'c3');
  harness.time.advance(2_500);
  assert.equal(harness.trafficOf('c1').mayAcknowledgeNotice(), false);
});

void test.test('entries that stopped watching are not returned to callers', () => {
  const harness = createCluster();
  harness.watch('e1');
  harness.time.advance(1_000);
  assert.equal(harness.trafficOf('c1').entriesFor({ host: 'h', dataCentre: 'a', region: '' }, 10).length, 1);
  harness.kill('e1');
  harness.time.advance(3_000);
  assert.equal(harness.trafficOf('c1').entriesFor({ host: 'h', dataCentre: 'a', region: '' }, 10).length, 0);
});

// Control is upgraded before the entries, which know only complete configurations until then.
void test.test('an entry of an earlier release fetches the complete configuration', () => {
  const harness = createCluster();
  harness.replace('c1', 7);
  const fetched: unknown[] = [];
  for (const above of [0, 7]) {
    harness.send('c1', methods.methods.fetch, { above }, (result) => fetched.push(result.val));
  }
  assert.deepEqual(fetched, [{ version: 7, text: testConfigurations.configurationText(7) }, null]);
});

// If every replica sent every change to every entry, configurations would saturate the entries' links and delay calls.
void test.test('frequent changes are sent to an entry at a limited rate, and the last one soon', () => {
  const harness = createCluster();
  const entry = harness.watch('e');
  harness.time.advance(100);
  for (let version = 1; version <= 40; version += 1) {
    harness.trafficOf('c1').replace(testConfigurations.configurationText(version), () => undefined);
    harness.time.advance(50);
  }
  harness.time.advance(400);
  assert.equal(entry.configurations.at(-1)?.version, 40);
  assert.ok(harness.piecesSentTo('e') <= 14, `${harness.piecesSentTo('e')} sent`);
});

/** Creates an entry to which a replica is sending version 9. */
function entryWithPendingFetch(): {
  readonly harness: controlTestHarness.ControlTestHarness;
  readonly entry: ReturnType<controlTestHarness.ControlTestHarness['watch']>;
} {
  const harness = createCluster();
  const entry = harness.watch('e');
  harness.time.advance(100);
  harness.trafficOf('c1').replace(testConfigurations.configurationText(9), () => undefined);
  while (harness.piecesSentTo('e') === 0) {
    harness.time.advance(0.25);
  }
  return { harness, entry };
}

// The replica that the entry fetches from becomes unreachable before its answer arrives.
void test.test('a configuration is fetched from another replica if the first does not send it', () => {
  const { harness, entry } = entryWithPendingFetch();
  const [first = ''] = SEEDS.filter((seed) => harness.lastConfigurationFrom === seed);
  harness.partition(first, 'e');
  harness.time.advance(1_500);
  assert.equal(entry.configurations.at(-1)?.version, 9);
});

// The entry is partitioned from all replicas during a fetch. It must receive the missed version after the partition
// heals, although no further change is announced.
void test.test('a configuration that could not be fetched is fetched after the partition heals', () => {
  const { harness, entry } = entryWithPendingFetch();
  for (const seed of SEEDS) {
    harness.partition(seed, 'e');
  }
  harness.time.advance(6_000);
  assert.equal(entry.configurations.length, 0);
  harness.heal();
  harness.time.advance(2_500);
  assert.equal(entry.configurations.at(-1)?.version, 9);
});

// After a restart of all processes replicas know only some of the entries. An entry that used their count would take too
// large a share of the limits that all entries divide.
void test.test('an entry has no share of common limits until replicas know all entries', () => {
  const harness = createCluster();
  const entries = Array.from({ length: 8 }, (_, index) => harness.watch(`e${index}`));
  harness.time.advance(1_000);
  assert.deepEqual(
    entries.map(({ watch }) => watch.entryCount),
    entries.map(() => 0),
  );
  harness.time.advance(2_000);
  assert.deepEqual(
    entries.map(({ watch }) => watch.entryCount),
    entries.map(() => 8),
  );
});

// A replica in the minority of a partition may know few entries. An entry that used its count would take too large a
// share of the limits that all entries divide.
void test.test('the number of entries is unknown to an entry that reaches a minority of the replicas', () => {
  const harness = createCluster();
  const [first] = Array.from({ length: 8 }, (_, index) => harness.watch(`e${index}`));
  harness.time.advance(3_000);
  assert.equal(first?.watch.entryCount, 8);
  for (const seed of SEEDS.slice(1)) {
    harness.partition(seed, 'e0');
  }
  harness.time.advance(3_000);
  assert.equal(first.watch.entryCount, 0);
  harness.heal();
  harness.time.advance(3_000);
  assert.equal(first.watch.entryCount, 8);
});
