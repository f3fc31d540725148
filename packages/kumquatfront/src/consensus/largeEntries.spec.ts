/**
 * Replication of large log entries: what a leader sends again, how much in one message, and how large a log grows.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as replicaTestHarness from './replicaTestHarness.js';
import type * as types from './types.js';

const MEGABYTE = 1_048_576;
const LARGE_COMMAND = 'x'.repeat(MEGABYTE);

function createLeader(): replicaTestHarness.ReplicaTestHarness {
  const harness = new replicaTestHarness.ReplicaTestHarness([], 1);
  harness.winElection();
  harness.advance(1);
  harness.acknowledge(2);
  harness.takeSent('appendRequest');
  return harness;
}

/** Proposes large commands, and returns the messages to `b` that carry log entries. */
function proposeLarge(
  harness: replicaTestHarness.ReplicaTestHarness,
  count: number,
): readonly types.AppendRequest[] {
  for (let command = 0; command < count; command += 1) {
    harness.replica.propose(LARGE_COMMAND, () => undefined);
  }
  harness.advance(1);
  return takeEntriesSent(harness);
}

function takeEntriesSent(harness: replicaTestHarness.ReplicaTestHarness): readonly types.AppendRequest[] {
  return harness.takeSent('appendRequest').filter(({ to, entries }) => to === 'b' && entries.length > 0);
}

// A few dozen large changes filled the disk and the memory of a replica before a snapshot was due.
void test.test('a snapshot is taken when the log has become large', () => {
  const harness = createLeader();
  for (let change = 0; change < 24; change += 1) {
    proposeLarge(harness, 1);
    harness.acknowledge(harness.store.lastIndex);
  }
  assert.ok(harness.store.lastIndex - harness.store.snapshot.index <= 16);
});
