/**
 * Single decisions of a replica that random runs rarely reach, each driven by messages and timers alone.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as replicaBench from './replicaBench.js';
import type * as types from './types.js';

// A candidate that lacks an entry this voter holds could lead and overwrite it. If the entry is committed, an
// operator's accepted change would be gone.
void test.test('a voter refuses a candidate whose log is behind its own', () => {
  const bench = new replicaBench.Bench([replicaBench.command(2, 2)], 2);
  bench.advance(replicaBench.ELECTION_TIMEOUT);
  assert.equal(bench.askVote(3, 1, 1), false);
  assert.equal(bench.askVote(4, 2, 2), true);
});

// A voter that gave its vote away a second time in the same term would make two leaders possible.
void test.test('a voter gives one vote a term', () => {
  const bench = new replicaBench.Bench([], 1);
  bench.advance(replicaBench.ELECTION_TIMEOUT);
  assert.equal(bench.askVote(2, 1, 1), true);
  bench.replica.receive({
    ...{ type: 'voteRequest', preVote: false, clusterIdentity: replicaBench.CLUSTER, from: 'c', to: 'a' },
    ...{ term: 2, lastIndex: 1, lastTerm: 1, afterRestart: false, answerTo: 'c' },
  });
  assert.equal(bench.sent.at(-1)?.type === 'voteAnswer' && bench.sent.at(-1)?.to === 'c', true);
  const answer = bench.sent.at(-1);
  assert.equal(answer?.type === 'voteAnswer' && answer.granted, false);
});

// The leader's lease rests on this: whoever heard from it refuses others for an election timeout. A restart
// forgets when that was, so it counts as news of a leader.
void test.test('a voter refuses everyone while a leader may hold its lease, also after a restart', () => {
  const bench = new replicaBench.Bench([], 1);
  assert.equal(bench.askVote(2, 1, 1), false);
  bench.advance(replicaBench.ELECTION_TIMEOUT);
  bench.heartbeat(1);
  bench.advance(replicaBench.ELECTION_TIMEOUT - 1);
  assert.equal(bench.askVote(2, 9, 9), false);
  bench.advance(1);
  assert.equal(bench.askVote(2, 9, 9), true);
});

// An entry of an older term on a majority can still be overwritten by a later leader (figure 8 of the Raft
// paper). Only an entry of the leader's own term commits by counting, and the older ones with it.
void test.test('a leader commits an older entry only together with one of its own term', () => {
  const bench = new replicaBench.Bench([replicaBench.command(2, 1)], 1);
  bench.win();
  bench.acknowledge(2);
  assert.equal(bench.replica.commitIndex, 0);
  bench.acknowledge(3);
  assert.equal(bench.replica.commitIndex, 3);
  assert.deepEqual(bench.applied, [2]);
});

// Two changes of members at once, or one before this term has committed, could leave an old and a new majority
// that do not overlap.
void test.test('members change one at a time, and only after this term has committed', () => {
  const bench = new replicaBench.Bench([], 1);
  bench.win();
  const outcomes: boolean[] = [];
  const change = (identities: readonly string[]): void => {
    bench.replica.changeMembers(identities.map(replicaBench.member), (result) => outcomes.push(result.ok));
  };
  change(['a', 'b']);
  assert.deepEqual(outcomes, [false]);
  bench.acknowledge(2);
  change(['a', 'b']);
  change(['a', 'b', 'd']);
  assert.deepEqual(outcomes, [false, false]);
  bench.acknowledge(3);
  assert.deepEqual(outcomes, [false, false, true]);
});

// A frozen leader wakes up after its lease is over. Until its timers run it still believes that it leads; it
// must refuse operators on the clock alone.
void test.test('a leader past its lease refuses before anything is written', () => {
  const bench = new replicaBench.Bench([], 1);
  bench.win();
  bench.acknowledge(2);
  assert.equal(bench.replica.mayLead(), true);
  bench.now += replicaBench.ELECTION_TIMEOUT;
  assert.equal(bench.replica.mayLead(), false);
  const before = bench.store.lastIndex;
  bench.replica.propose('late', (result) => {
    assert.equal(result.err && result.val.kind, 'noQuorum');
  });
  assert.equal(bench.store.lastIndex, before);
});

// A VM was suspended and its steady clock stood still: its lease looks valid although the others have elected a
// successor and changed the state. Only an answer to a message that was sent after the read tells the truth.
void test.test('a read waits for an answer to a message that was sent after it', () => {
  const bench = new replicaBench.Bench([], 1);
  bench.win();
  bench.acknowledge(2);
  const outcomes: boolean[] = [];
  bench.replica.confirmRead((result) => outcomes.push(result.ok));
  bench.acknowledge(2, 1);
  assert.deepEqual(outcomes, []);
  bench.advance(1);
  bench.acknowledge(2);
  assert.deepEqual(outcomes, [true]);
});

void test.test('a read is refused when its leader steps down', () => {
  const bench = new replicaBench.Bench([], 1);
  bench.win();
  bench.acknowledge(2);
  const outcomes: boolean[] = [];
  bench.replica.confirmRead((result) => outcomes.push(result.ok));
  bench.heartbeat(bench.store.hardState.term + 1);
  assert.deepEqual(outcomes, [false]);
});

// Everything is killed at once. Each voter refuses its vote for an election timeout after its start, as it may have
// promised a leader its lease; all of them wait for nobody, and no entry gets a configuration meanwhile.
void test.test('voters that all know no leader elect one right after their start', () => {
  const bench = new replicaBench.Bench([], 3);
  bench.advance(100);
  const asked = bench.takeSent('voteRequest');
  assert.deepEqual(
    asked.map(({ to, preVote, afterRestart }) => ({ to, preVote, afterRestart })),
    ['b', 'c'].map((to) => ({ to, preVote: true, afterRestart: true })),
  );
  bench.answerLeaderless('b', true);
  assert.equal(bench.replica.role, 'follower');
  bench.answerLeaderless('c', true);
  assert.equal(bench.replica.role, 'candidate');
  const votes = bench.takeSent('voteRequest');
  assert.deepEqual(
    votes.map(({ term, preVote, afterRestart }) => ({ term, preVote, afterRestart })),
    [1, 2].map(() => ({ term: 4, preVote: false, afterRestart: true })),
  );
});

// All voters have each other's answers at nearly the same moment. If each asked for votes, nobody would get most.
void test.test('of voters that have just started, only the one with the longest log asks for votes', () => {
  const behind = new replicaBench.Bench([], 3);
  behind.advance(100);
  behind.answerLeaderless('b', true, 2);
  behind.answerLeaderless('c', true);
  assert.equal(behind.replica.role, 'follower');
  assert.equal(behind.store.hardState.term, 3);
});

// A candidate has this replica's vote and is being counted. Another one whose timer runs out meanwhile would raise the
// term: the leader just elected would step down, and callers would be refused for another second.
void test.test('a voter that has given its vote refuses other pre-votes for one election timeout', () => {
  const bench = new replicaBench.Bench([], 3);
  bench.advance(replicaBench.ELECTION_TIMEOUT + 1);
  bench.takeSent('voteRequest');
  const preVote = (from: string, afterRestart = false): readonly types.VoteAnswer[] => {
    bench.replica.receive({
      ...{ type: 'voteRequest', preVote: true, clusterIdentity: replicaBench.CLUSTER, from, to: 'a' },
      ...{ term: 5, lastIndex: 1, lastTerm: 1, afterRestart, answerTo: from },
    });
    return bench.takeSent('voteAnswer');
  };
  assert.equal(bench.askVote(4, 1, 1), true);
  bench.takeSent('voteAnswer');
  assert.deepEqual(
    preVote('c').map(({ granted, leaderless }) => ({ granted, leaderless })),
    [{ granted: false, leaderless: false }],
  );
  assert.equal(preVote('b')[0]?.granted, true);
  bench.advance(replicaBench.ELECTION_TIMEOUT - 10);
  assert.equal(preVote('c')[0]?.granted, false);
  bench.advance(11);
  assert.equal(preVote('c', true)[0]?.granted, false);
  assert.equal(preVote('c')[0]?.granted, true);
});

// One voter still hears from its leader, whose lease may rest on what this replica promised before its restart.
void test.test('a restarted voter waits where any voter knows a leader or does not answer', () => {
  const bench = new replicaBench.Bench([], 3);
  bench.advance(100);
  bench.answerLeaderless('b', true);
  bench.answerLeaderless('c', false);
  bench.advance(200);
  bench.answerLeaderless('b', true);
  assert.equal(bench.replica.role, 'follower');
  assert.equal(bench.store.hardState.term, 3);
});

// Two ask at the same time. The first is elected with the vote of the second, which must not depose it by answers
// from before: entries would get their configuration later, not sooner.
void test.test('a restarted voter that has voted meanwhile does not count answers from before', () => {
  const bench = new replicaBench.Bench([], 3);
  bench.advance(50);
  bench.answerLeaderless('c', true);
  assert.equal(bench.askVote(4, 1, 1, true), true);
  bench.answerLeaderless('b', true);
  assert.equal(bench.replica.role, 'follower');
  assert.equal(bench.store.hardState.term, 4);
});

// Two ask at the same time, and the one that is a candidate already is about to win.
void test.test('a candidate does not say that there is no leader', () => {
  const bench = new replicaBench.Bench([], 3);
  bench.advance(50);
  bench.answerLeaderless('b', true);
  bench.answerLeaderless('c', true);
  assert.equal(bench.replica.role, 'candidate');
  bench.takeSent('voteRequest');
  bench.replica.receive({
    ...{ type: 'voteRequest', preVote: true, clusterIdentity: replicaBench.CLUSTER, from: 'b', to: 'a' },
    ...{ term: 4, lastIndex: 1, lastTerm: 1, afterRestart: true, answerTo: 'b' },
  });
  assert.deepEqual(
    bench.takeSent('voteAnswer').map(({ leaderless }) => leaderless),
    [false],
  );
});

void test.test(
  'a restarted voter gives its vote at once where all know no leader, unless it hears from one',
  () => {
    const restarted = new replicaBench.Bench([], 3);
    assert.equal(restarted.askVote(4, 1, 1), false);
    assert.equal(restarted.askVote(4, 1, 1, true), true);
    const led = new replicaBench.Bench([], 3);
    led.heartbeat(3);
    assert.equal(led.askVote(4, 1, 1, true), false);
    assert.equal(led.store.hardState.term, 3);
  },
);

// A VM comes back without its disk: the identity that the others ask is gone for good and would never answer.
void test.test(
  'a replica without a leader answers for the one that was at its address; one with a leader does not',
  () => {
    const ask = (bench: replicaBench.Bench): readonly types.VoteAnswer[] => {
      bench.takeSent('voteAnswer');
      bench.replica.receive({
        ...{
          type: 'voteRequest',
          preVote: true,
          clusterIdentity: replicaBench.CLUSTER,
          from: 'b',
          to: 'lost',
        },
        ...{ term: 4, lastIndex: 1, lastTerm: 1, afterRestart: true, answerTo: 'b' },
      });
      return bench.takeSent('voteAnswer');
    };
    const bench = new replicaBench.Bench([], 3);
    assert.deepEqual(
      ask(bench).map(({ from, granted, leaderless, term }) => ({ from, granted, leaderless, term })),
      [{ from: 'lost', granted: false, leaderless: true, term: 3 }],
    );
    bench.heartbeat(3);
    assert.deepEqual(ask(bench), []);
  },
);
