/**
 * Decisions of a replica that random simulations rarely reach, driven by messages and timers.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as replicaTestHarness from './replicaTestHarness.js';
import type * as types from './types.js';

// A leader that lacks a committed entry would overwrite it, and an accepted change would be lost.
void test.test('a voter refuses a candidate whose log is behind its own', () => {
  const harness = new replicaTestHarness.ReplicaTestHarness([replicaTestHarness.command(2, 2)], 2);
  harness.advance(replicaTestHarness.ELECTION_TIMEOUT);
  assert.equal(harness.requestVote(3, 1, 1), false);
  assert.equal(harness.requestVote(4, 2, 2), true);
});

// A second vote in the same term would allow two leaders.
void test.test('a voter grants one vote per term', () => {
  const harness = new replicaTestHarness.ReplicaTestHarness([], 1);
  harness.advance(replicaTestHarness.ELECTION_TIMEOUT);
  assert.equal(harness.requestVote(2, 1, 1), true);
  harness.replica.receive({
    ...{
      type: 'voteRequest',
      preVote: false,
      clusterIdentity: replicaTestHarness.CLUSTER,
      from: 'c',
      to: 'a',
    },
    ...{ term: 2, lastIndex: 1, lastTerm: 1, afterRestart: false, answerTo: 'c' },
  });
  assert.equal(harness.sent.at(-1)?.type === 'voteAnswer' && harness.sent.at(-1)?.to === 'c', true);
  const answer = harness.sent.at(-1);
  assert.equal(answer?.type === 'voteAnswer' && answer.granted, false);
});

// The leader lease relies on voters that refuse other candidates for an election timeout after leader contact. A
// restarted voter does not know when that was, so the restart counts as contact.
void test.test('a voter refuses votes while a leader may hold its lease, also after a restart', () => {
  const harness = new replicaTestHarness.ReplicaTestHarness([], 1);
  assert.equal(harness.requestVote(2, 1, 1), false);
  harness.advance(replicaTestHarness.ELECTION_TIMEOUT);
  harness.heartbeat(1);
  harness.advance(replicaTestHarness.ELECTION_TIMEOUT - 1);
  assert.equal(harness.requestVote(2, 9, 9), false);
  harness.advance(1);
  assert.equal(harness.requestVote(2, 9, 9), true);
});

// An entry of an earlier term that is stored on a majority can still be overwritten by a later leader (figure 8 of the
// Raft paper).
void test.test('a leader commits an earlier entry only together with one of its own term', () => {
  const harness = new replicaTestHarness.ReplicaTestHarness([replicaTestHarness.command(2, 1)], 1);
  harness.winElection();
  harness.acknowledge(2);
  assert.equal(harness.replica.commitIndex, 0);
  harness.acknowledge(3);
  assert.equal(harness.replica.commitIndex, 3);
  assert.deepEqual(harness.applied, [2]);
});

// With two concurrent membership changes, or one before the first commit of the term, the old and the new majority may
// not overlap.
void test.test('members change one at a time, and only after this term has committed', () => {
  const harness = new replicaTestHarness.ReplicaTestHarness([], 1);
  harness.winElection();
  const outcomes: boolean[] = [];
  const change = (identities: readonly string[]): void => {
    harness.replica.changeMembers(identities.map(replicaTestHarness.voter), (result) =>
      outcomes.push(result.ok),
    );
  };
  change(['a', 'b']);
  assert.deepEqual(outcomes, [false]);
  harness.acknowledge(2);
  change(['a', 'b']);
  change(['a', 'b', 'd']);
  assert.deepEqual(outcomes, [false, false]);
  harness.acknowledge(3);
  assert.deepEqual(outcomes, [false, false, true]);
});

// A suspended leader resumes after its lease has expired. It must refuse commands even before its timers have fired.
void test.test('a leader whose lease has expired refuses a command before anything is written', () => {
  const harness = new replicaTestHarness.ReplicaTestHarness([], 1);
  harness.winElection();
  harness.acknowledge(2);
  assert.equal(harness.replica.mayLead(), true);
  harness.now += replicaTestHarness.ELECTION_TIMEOUT;
  assert.equal(harness.replica.mayLead(), false);
  const before = harness.store.lastIndex;
  harness.replica.propose('late', (result) => {
    assert.equal(result.err && result.val.kind, 'noQuorum');
  });
  assert.equal(harness.store.lastIndex, before);
});

// The monotonic clock of a suspended VM stops, so its lease looks valid although a successor was elected. Only answers
// to messages sent after the read rule out a stale result.
void test.test('a read waits for an answer to a message that was sent after it', () => {
  const harness = new replicaTestHarness.ReplicaTestHarness([], 1);
  harness.winElection();
  harness.acknowledge(2);
  const outcomes: boolean[] = [];
  harness.replica.confirmRead((result) => outcomes.push(result.ok));
  harness.acknowledge(2, 1);
  assert.deepEqual(outcomes, []);
  harness.advance(1);
  harness.acknowledge(2);
  assert.deepEqual(outcomes, [true]);
});

void test.test('a read is refused when its leader steps down', () => {
  const harness = new replicaTestHarness.ReplicaTestHarness([], 1);
  harness.winElection();
  harness.acknowledge(2);
  const outcomes: boolean[] = [];
  harness.replica.confirmRead((result) => outcomes.push(result.ok));
  harness.heartbeat(harness.store.hardState.term + 1);
  assert.deepEqual(outcomes, [false]);
});

// Restarted voters refuse votes for an election timeout. If all of them restart, this must not delay the election.
void test.test('restarted voters elect a leader at once if none of them knows one', () => {
  const harness = new replicaTestHarness.ReplicaTestHarness([], 3);
  harness.advance(100);
  const probes = harness.takeSent('voteRequest');
  assert.deepEqual(
    probes.map(({ to, preVote, afterRestart }) => ({ to, preVote, afterRestart })),
    ['b', 'c'].map((to) => ({ to, preVote: true, afterRestart: true })),
  );
  harness.receiveLeaderlessAnswer('b', true);
  assert.equal(harness.replica.role, 'follower');
  harness.receiveLeaderlessAnswer('c', true);
  assert.equal(harness.replica.role, 'candidate');
  const votes = harness.takeSent('voteRequest');
  assert.deepEqual(
    votes.map(({ term, preVote, afterRestart }) => ({ term, preVote, afterRestart })),
    [1, 2].map(() => ({ term: 4, preVote: false, afterRestart: true })),
  );
});

// All voters receive the answers at nearly the same time. If each started an election, the votes would be split.
void test.test(
  'of the voters that have just started, only the one with the longest log starts an election',
  () => {
    const behind = new replicaTestHarness.ReplicaTestHarness([], 3);
    behind.advance(100);
    behind.receiveLeaderlessAnswer('b', true, 2);
    behind.receiveLeaderlessAnswer('c', true);
    assert.equal(behind.replica.role, 'follower');
    assert.equal(behind.store.hardState.term, 3);
  },
);

// A second candidate that raises the term while the votes for the first are counted would depose the new leader.
void test.test('a voter that has granted a vote refuses other pre-votes for one election timeout', () => {
  const harness = new replicaTestHarness.ReplicaTestHarness([], 3);
  harness.advance(replicaTestHarness.ELECTION_TIMEOUT + 1);
  harness.takeSent('voteRequest');
  const preVote = (from: string, afterRestart = false): readonly types.VoteAnswer[] => {
    harness.replica.receive({
      ...{ type: 'voteRequest', preVote: true, clusterIdentity: replicaTestHarness.CLUSTER, from, to: 'a' },
      ...{ term: 5, lastIndex: 1, lastTerm: 1, afterRestart, answerTo: from },
    });
    return harness.takeSent('voteAnswer');
  };
  assert.equal(harness.requestVote(4, 1, 1), true);
  harness.takeSent('voteAnswer');
  assert.deepEqual(
    preVote('c').map(({ granted, leaderless }) => ({ granted, leaderless })),
    [{ granted: false, leaderless: false }],
  );
  assert.equal(preVote('b')[0]?.granted, true);
  harness.advance(replicaTestHarness.ELECTION_TIMEOUT - 10);
  assert.equal(preVote('c')[0]?.granted, false);
  harness.advance(11);
  assert.equal(preVote('c', true)[0]?.granted, false);
  assert.equal(preVote('c')[0]?.granted, true);
});

// A voter is in contact with a leader, whose lease may rely on this replica's answers before its restart.
void test.test('a restarted voter waits if any voter knows a leader or does not answer', () => {
  const harness = new replicaTestHarness.ReplicaTestHarness([], 3);
  harness.advance(100);
  harness.receiveLeaderlessAnswer('b', true);
  harness.receiveLeaderlessAnswer('c', false);
  harness.advance(200);
  harness.receiveLeaderlessAnswer('b', true);
  assert.equal(harness.replica.role, 'follower');
  assert.equal(harness.store.hardState.term, 3);
});

// A voter that has voted for another candidate must not depose it because of answers received before its vote.
void test.test('a restarted voter that has voted does not count earlier answers', () => {
  const harness = new replicaTestHarness.ReplicaTestHarness([], 3);
  harness.advance(50);
  harness.receiveLeaderlessAnswer('c', true);
  assert.equal(harness.requestVote(4, 1, 1, true), true);
  harness.receiveLeaderlessAnswer('b', true);
  assert.equal(harness.replica.role, 'follower');
  assert.equal(harness.store.hardState.term, 4);
});

// Two voters probe at the same time, and the one that is already a candidate is about to win.
void test.test('a candidate does not report that there is no leader', () => {
  const harness = new replicaTestHarness.ReplicaTestHarness([], 3);
  harness.advance(50);
  harness.receiveLeaderlessAnswer('b', true);
  harness.receiveLeaderlessAnswer('c', true);
  assert.equal(harness.replica.role, 'candidate');
  harness.takeSent('voteRequest');
  harness.replica.receive({
    ...{
      type: 'voteRequest',
      preVote: true,
      clusterIdentity: replicaTestHarness.CLUSTER,
      from: 'b',
      to: 'a',
    },
    ...{ term: 4, lastIndex: 1, lastTerm: 1, afterRestart: true, answerTo: 'b' },
  });
  assert.deepEqual(
    harness.takeSent('voteAnswer').map(({ leaderless }) => leaderless),
    [false],
  );
});

void test.test(
  'a restarted voter grants its vote at once if no voter knows a leader, unless it has contact with one',
  () => {
    const restarted = new replicaTestHarness.ReplicaTestHarness([], 3);
    assert.equal(restarted.requestVote(4, 1, 1), false);
    assert.equal(restarted.requestVote(4, 1, 1, true), true);
    const led = new replicaTestHarness.ReplicaTestHarness([], 3);
    led.heartbeat(3);
    assert.equal(led.requestVote(4, 1, 1, true), false);
    assert.equal(led.store.hardState.term, 3);
  },
);

// A VM restarts without its disk: the identity that the others probe is gone and cannot answer.
void test.test(
  'a replica answers probes for the former identity at its address only while it knows no leader',
  () => {
    const probe = (harness: replicaTestHarness.ReplicaTestHarness): readonly types.VoteAnswer[] => {
      harness.takeSent('voteAnswer');
      harness.replica.receive({
        ...{
          type: 'voteRequest',
          preVote: true,
          clusterIdentity: replicaTestHarness.CLUSTER,
          from: 'b',
          to: 'lost',
        },
        ...{ term: 4, lastIndex: 1, lastTerm: 1, afterRestart: true, answerTo: 'b' },
      });
      return harness.takeSent('voteAnswer');
    };
    const harness = new replicaTestHarness.ReplicaTestHarness([], 3);
    assert.deepEqual(
      probe(harness).map(({ from, granted, leaderless, term }) => ({ from, granted, leaderless, term })),
      [{ from: 'lost', granted: false, leaderless: true, term: 3 }],
    );
    harness.heartbeat(3);
    assert.deepEqual(probe(harness), []);
  },
);
