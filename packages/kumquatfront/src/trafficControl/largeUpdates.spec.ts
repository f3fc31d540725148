/**
 * Large fleets and many crash records reach an entry over a narrow link that streams use in full.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as controlTestHarness from './controlTestHarness.js';
import * as methods from './methods.js';
import * as sharedLink from './sharedLink.js';

const SEEDS = ['a/c1', 'b/c2', 'c/c3'];

const COMPETING_STREAMS = 10;

const INSTANCES = 600;
const CRASH_RECORDS = 2_000;

function createCluster(): controlTestHarness.ControlTestHarness {
  const harness = new controlTestHarness.ControlTestHarness(SEEDS);
  harness.time.advance(3_000);
  assert.equal(harness.replace(harness.leader(), 1), true);
  harness.limitLink('e', sharedLink.NARROWEST_LINK, COMPETING_STREAMS);
  return harness;
}

function announceFleet(harness: controlTestHarness.ControlTestHarness, sequence: number): void {
  for (let index = 0; index < INSTANCES; index += 1) {
    harness.trafficOf('a/c1').announce(controlTestHarness.announcementOf(`i${index}`, sequence));
  }
}

// The complete list of each replica was larger than what the link carries within the timeout of a watch.
void test.test('a starting entry learns a large fleet over a narrow link', () => {
  const harness = createCluster();
  announceFleet(harness, 1);
  const { view } = harness.watch('e');
  for (let second = 0; second < 20; second += 1) {
    announceFleet(harness, second + 2);
    harness.time.advance(1_000);
  }
  const { service } = controlTestHarness.announcementOf('i0', 1);
  assert.equal(view.readyOf(service).length, INSTANCES);
});

// A starting entry must know the quarantined contents before it serves; their records never arrived in one piece.
void test.test(
  'a starting entry learns many crash records over a narrow link, and then its configuration',
  () => {
    const harness = createCluster();
    const crashes = ['i1', 'i2', 'i3'].map((instance) => ({ instance, age: 0 }));
    const cases = Array.from({ length: CRASH_RECORDS }, (_, index) => ({
      ...{ content: String(index).padStart(32, '0'), crashes, lapses: 0 },
    }));
    for (const seed of SEEDS) {
      harness.send(seed, methods.methods.crashRecords, { cases });
    }
    const entry = harness.watch('e');
    for (let elapsed = 0; elapsed < 40_000 && entry.configurations.length === 0; elapsed += 5) {
      harness.time.advance(5);
    }
    assert.equal(entry.configurations.at(-1)?.version, 1);
    assert.equal(entry.crashedContents.size, CRASH_RECORDS);
  },
);
