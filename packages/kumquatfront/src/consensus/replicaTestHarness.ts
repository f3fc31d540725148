/**
 * Test harness that drives one replica of three by messages and timers.
 */
import * as assert from 'node:assert/strict';

import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as logStore from './logStore.js';
import * as replica from './replica.js';
import type * as types from './types.js';

/** Identity of the test cluster. */
export const CLUSTER = 'cluster';
/** Election timeout of the replica, in milliseconds. */
export const ELECTION_TIMEOUT = 1_000;

/** A voter whose name and address are its identity. */
export function voter(identity: string): types.Member {
  return { identity, name: identity, address: identity, role: 'voter' };
}

const MEMBERS = ['a', 'b', 'c'].map(voter);

/** Replica `a` of three, whose clock and timers advance only through `advance`. */
export class ReplicaTestHarness {
  now = 0;
  readonly sent: types.ConsensusMessage[] = [];
  readonly applied: unknown[] = [];
  readonly store: logStore.LogStore;
  readonly replica: replica.Replica;
  private readonly timers: { readonly at: number; readonly run: () => void; active: boolean }[] = [];

  constructor(entries: readonly types.LogEntry[], term: number) {
    const disk: ports.Disk = {
      read: (file) => (file === 'identity' ? Buffer.from('a') : undefined),
      append: () => undefined,
      sync: (_file, done) => {
        done();
      },
      replace: (_file, _bytes, done) => {
        done();
      },
    };
    const random: ports.Random = { next: () => 0, identity: () => 'a' };
    const clock: ports.Clock = { now: () => this.now, wall: () => this.now };
    this.store = logStore.LogStore.open(disk, random).unwrap();
    this.store.setHardState({ clusterIdentity: CLUSTER, term, votedFor: '' });
    this.store.append({ index: 1, term: 1, stamp: 0, payload: { type: 'members', members: MEMBERS } });
    for (const entry of entries) {
      this.store.append(entry);
    }
    const ignore = (): void => undefined;
    this.replica = new replica.Replica({
      store: this.store,
      clock,
      random,
      timers: timerService.create(clock, { after: (delay, run) => this.schedule(delay, run) }),
      log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
      timing: {
        heartbeat: 100,
        electionTimeout: ELECTION_TIMEOUT,
        leaseShare: 0.8,
        snapshotEvery: 1_000,
        snapshotPieceLength: 1_000,
        appendLimit: 10,
      },
      machine: {
        apply: (command) => this.applied.push(command),
        takeSnapshot: () => 'state'.repeat(2_000),
        restore: ignore,
      },
      send: (_address, message) => this.sent.push(message),
    });
  }

  private schedule(delay: number, run: () => void): ports.Cancel {
    const timer = { at: this.now + delay, run, active: true };
    this.timers.push(timer);
    return () => {
      timer.active = false;
    };
  }

  /** Advances the clock and runs the timers that are due. */
  advance(duration: number): void {
    this.now += duration;
    for (const timer of this.timers.splice(0)) {
      if (timer.active && timer.at <= this.now) {
        timer.run();
      } else if (timer.active) {
        this.timers.push(timer);
      }
    }
  }

  /** Requests a vote for `b` and returns whether it was granted. */
  requestVote(term: number, lastIndex: number, lastTerm: number, afterRestart = false): boolean {
    this.replica.receive({
      ...{ type: 'voteRequest', preVote: false, clusterIdentity: CLUSTER, from: 'b', to: 'a' },
      ...{ term, lastIndex, lastTerm, afterRestart, answerTo: 'b' },
    });
    const answer = this.sent.at(-1);
    return answer?.type === 'voteAnswer' && answer.granted;
  }

  /** Delivers a heartbeat of the leader `c`. */
  heartbeat(term: number): void {
    this.replica.receive({
      ...{ type: 'appendRequest', clusterIdentity: CLUSTER, from: 'c', to: 'a', term },
      ...{ previousIndex: this.store.lastIndex, previousTerm: this.store.lastTerm, entries: [] },
      ...{ commitIndex: 1, sentAt: 0, round: 1 },
    });
  }

  /** Wins an election with the vote of `b`. */
  winElection(): void {
    this.advance(ELECTION_TIMEOUT * 2);
    const term = this.store.hardState.term + 1;
    const address = { clusterIdentity: CLUSTER, from: 'b', to: 'a', term };
    const granted = { granted: true, leaderless: true, asks: false, lastIndex: 1, lastTerm: 1 };
    this.replica.receive({ type: 'voteAnswer', preVote: true, ...granted, ...address });
    this.replica.receive({ type: 'voteAnswer', preVote: false, ...granted, ...address });
    assert.equal(this.replica.role, 'leader');
  }

  /** Delivers the answer of another voter to a probe: whether it knows a leader. */
  receiveLeaderlessAnswer(from: string, leaderless: boolean, lastIndex = 1): void {
    const { term } = this.store.hardState;
    this.replica.receive({
      ...{
        type: 'voteAnswer',
        preVote: true,
        granted: false,
        leaderless,
        asks: true,
        lastIndex,
        lastTerm: 1,
      },
      ...{ clusterIdentity: CLUSTER, from, to: 'a', term },
    });
  }

  /** Messages of a type that were sent since the last call. All other sent messages are discarded. */
  takeSent<Type extends types.ConsensusMessage['type']>(
    type: Type,
  ): readonly Extract<types.ConsensusMessage, { type: Type }>[] {
    const sent = this.sent.splice(0);
    return sent.filter((message): message is Extract<types.ConsensusMessage, { type: Type }> => {
      return message.type === type;
    });
  }

  private lastRound(): number {
    const last = this.sent.filter((message) => message.type === 'appendRequest').at(-1);
    return last?.type === 'appendRequest' ? last.round : 0;
  }

  /** Delivers a successful append answer of `b`, by default to the last message sent. */
  acknowledge(matchIndex: number, answeredRound?: number): void {
    const { term } = this.store.hardState;
    const address = { clusterIdentity: CLUSTER, from: 'b', to: 'a', term };
    this.advance(1);
    const round = answeredRound ?? this.lastRound();
    this.replica.receive({
      ...{ type: 'appendAnswer', success: true, matchIndex, sentAt: this.now, round },
      ...address,
    });
  }

  /** Delivers the answer of a member that has stored a piece of a snapshot. */
  receiveSnapshotAnswer(from: string, piece: types.SnapshotPiece): void {
    const { index, term, sentAt, round, offset, data } = piece;
    this.replica.receive({
      ...{ type: 'snapshotAnswer', index, received: offset + data.length, installed: false, sentAt, round },
      ...{ clusterIdentity: CLUSTER, from, to: 'a', term },
    });
  }
}

/** A log entry with a command. */
export function command(index: number, term: number): types.LogEntry {
  return { index, term, stamp: 0, payload: { type: 'command', command: index } };
}
