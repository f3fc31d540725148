/**
 * Loss of a data centre with all its control replicas, also after repairs of the membership.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as controlTestHarness from './controlTestHarness.js';

const CATCH_UP_DURATION = 6_000;

function createCluster(
  seeds: readonly string[],
  toleratedLosses: number,
): controlTestHarness.ControlTestHarness {
  const harness = new controlTestHarness.ControlTestHarness(seeds, toleratedLosses);
  harness.time.advance(6_000);
  assert.equal(harness.replace(seeds[0] ?? '', 7), true);
  return harness;
}

/** Kills all replicas of a data centre; the others must elect a leader, keep acknowledged changes and accept new ones. */
function loseAndCheck(
  harness: controlTestHarness.ControlTestHarness,
  lost: readonly string[],
  remaining: string,
): void {
  for (const address of lost) {
    harness.kill(address);
  }
  harness.time.advance(4_000);
  assert.equal(harness.read(remaining), 7);
  assert.equal(harness.replace(remaining, 9), true);
}

void test.test('two replicas in each of three data centres tolerate the loss of any of them', () => {
  for (const lost of ['a', 'b', 'c']) {
    const seeds = ['a/1', 'a/2', 'b/1', 'b/2', 'c/1', 'c/2'];
    const harness = createCluster(seeds, 2);
    const left = seeds.filter((seed) => !seed.startsWith(lost));
    loseAndCheck(
      harness,
      seeds.filter((seed) => !left.includes(seed)),
      left[0] ?? '',
    );
  }
});

// With the replica of the new VM as a sixth voter, three of six voters would be in data centre a, and its loss would
// stop every change. One voter of a must be demoted.
void test.test(
  'a repair that put three of five voters into one data centre is undone once another data centre has a VM',
  () => {
    const harness = createCluster(['a/1', 'a/2', 'b/1', 'b/2', 'c/1'], 2);
    harness.loseDisk('c/1');
    harness.time.advance(1_000);
    harness.start('a/3');
    harness.time.advance(CATCH_UP_DURATION);
    harness.start('c/2');
    harness.time.advance(CATCH_UP_DURATION);
    assert.equal(harness.voters().filter((name) => name.startsWith('a')).length, 2);
    loseAndCheck(harness, ['a/1', 'a/2', 'a/3'], 'b/1');
  },
);

// Three voters in three data centres tolerate the loss of one; with a fourth, two voters would share a data centre. The
// fourth replica must stay a learner and replace a voter that is lost.
void test.test(
  'a replica that would put two voters into one data centre stays a learner, and replaces a lost voter',
  () => {
    const harness = createCluster(['a/1', 'b/1', 'c/1'], 1);
    harness.start('a/2');
    harness.time.advance(CATCH_UP_DURATION);
    assert.deepEqual([...harness.voters()].sort(), ['a/1', 'b/1', 'c/1']);
    harness.loseDisk('a/1');
    harness.time.advance(CATCH_UP_DURATION);
    assert.deepEqual([...harness.voters()].sort(), ['a/2', 'b/1', 'c/1']);
    loseAndCheck(harness, ['b/1'], 'c/1');
  },
);
