/**
 * Replication of large log entries: what a leader sends again, how much in one message, and how large a log grows.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as replicaTestHarness from './replicaTestHarness.js';
import type * as types from './types.js';

const MEGABYTE = 1_048_576;
const LARGE_COMMAND = 'x'.repeat(MEGABYTE);
const HEARTBEAT = 100;

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

// The answer to a heartbeat that had been sent before made the leader send a large entry a second time.
void test.test('a large entry is not sent again when an earlier message is answered', () => {
  const harness = createLeader();
  harness.advance(HEARTBEAT);
  const heartbeatRound = harness.takeSent('appendRequest').at(-1)?.round ?? 0;
  assert.equal(proposeLarge(harness, 1).length, 1);
  harness.acknowledge(2, heartbeatRound);
  assert.equal(takeEntriesSent(harness).length, 0);
});

// A large entry takes a busy follower longer than two heartbeats; each repetition made it take longer still.
void test.test('a large entry that takes half a second is not sent again meanwhile', () => {
  const harness = createLeader();
  proposeLarge(harness, 1);
  for (let heartbeat = 0; heartbeat < 5; heartbeat += 1) {
    harness.advance(HEARTBEAT);
    assert.equal(takeEntriesSent(harness).length, 0);
  }
});

void test.test('an entry that was lost is sent again when a later message is answered', () => {
  const harness = createLeader();
  proposeLarge(harness, 1);
  harness.advance(HEARTBEAT);
  const heartbeatRound = harness.takeSent('appendRequest').at(-1)?.round ?? 0;
  harness.acknowledge(2, heartbeatRound);
  assert.equal(takeEntriesSent(harness).length, 1);
});

// A message longer than the transport accepts closed the connection, so that the follower never caught up.
void test.test('large entries are sent in several messages', () => {
  const harness = createLeader();
  const [first] = proposeLarge(harness, 12);
  assert.ok(first !== undefined && first.entries.length <= 2, `${first?.entries.length} entries`);
});

// A few dozen large changes filled the disk and the memory of a replica before a snapshot was due.
void test.test('a snapshot is taken when the log has become large', () => {
  const harness = createLeader();
  for (let change = 0; change < 24; change += 1) {
    proposeLarge(harness, 1);
    harness.acknowledge(harness.store.lastIndex);
  }
  assert.ok(harness.store.lastIndex - harness.store.snapshot.index <= 16);
});

// Each heartbeat sent the current piece once more, and each answer to it the next one, so that their number grew.
void test.test('each piece of a snapshot is sent once while it is answered', () => {
  const harness = createLeader();
  for (let change = 0; change < 24; change += 1) {
    proposeLarge(harness, 1);
    harness.acknowledge(harness.store.lastIndex);
  }
  const offsets: number[] = [];
  for (let step = 0; step < 40; step += 1) {
    harness.advance(HEARTBEAT / 4);
    for (const piece of harness.takeSent('snapshotPiece').filter(({ to }) => to === 'c')) {
      offsets.push(piece.offset);
      harness.advance(HEARTBEAT / 2);
      harness.receiveSnapshotAnswer('c', piece);
    }
  }
  assert.ok(offsets.length > 3);
  assert.deepEqual(offsets, [...new Set(offsets)]);
});
