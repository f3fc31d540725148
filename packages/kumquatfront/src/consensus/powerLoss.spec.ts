/**
 * Elections after a power loss of the whole cluster: five voters start at different times and process messages with
 * delays while they start. Simulated in virtual time for many seeds.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as logStore from './logStore.js';
import * as replica from './replica.js';
import type * as types from './types.js';

const CLUSTER = 'cluster';
const TERM = 2;
const NAMES = ['a', 'b', 'c', 'd', 'e'];
const MEMBERS = NAMES.map((identity): types.Member => ({
  identity,
  name: identity,
  address: identity,
  role: 'voter',
}));

/** Shorter than the defaults, so that the startup takes long compared with an election. */
const TIMING: types.ConsensusTiming = {
  heartbeat: 60,
  electionTimeout: 480,
  leaseShare: 0.8,
  snapshotEvery: 1_000,
  snapshotPieceLength: 1_000,
  appendLimit: 10,
};

/** All voters start within this time. */
const START_WINDOW: ports.Milliseconds = 450;

/** Maximum delay of a message until its receiver has run for `STARTUP_DURATION`. */
const MAXIMUM_MESSAGE_DELAY: ports.Milliseconds = 100;
const STARTUP_DURATION: ports.Milliseconds = 900;
const DISK_SYNC_DELAY: ports.Milliseconds = 4;

/** Result of one simulated restart. */
interface RecoveryResult {
  readonly elections: number;
  readonly leaders: number;
  readonly stepsDown: number;
  /** From the start of the last voter until a leader has committed an entry of its term. */
  readonly timeToLeader: ports.Milliseconds;
}

/** Simulation of five restarting voters. */
class RestartingVoters {
  readonly time = new virtualTime.VirtualTime();
  readonly events: string[] = [];
  private readonly random: ports.Random;
  private readonly replicas = new Map<string, replica.Replica>();
  private readonly startedAt = new Map<string, ports.Milliseconds>();
  /** Time at which each process will have handled all messages sent to it so far. */
  private readonly busyUntil = new Map<string, ports.Milliseconds>();

  constructor(seed: number) {
    this.random = seededRandom.create(seed);
    for (const name of NAMES) {
      this.time.after(this.random.next() * START_WINDOW, () => {
        this.startedAt.set(name, this.time.now());
        this.replicas.set(name, this.start(name));
      });
    }
  }

  private start(name: string): replica.Replica {
    const { time, random } = this;
    const disk: ports.Disk = {
      read: (file) => (file === 'identity' ? Buffer.from(name) : undefined),
      append: () => undefined,
      sync: (_file, done) => time.after(DISK_SYNC_DELAY, done),
      replace: (_file, _bytes, done) => time.after(DISK_SYNC_DELAY, done),
    };
    const store = logStore.LogStore.open(disk, random).unwrap();
    store.setHardState({ clusterIdentity: CLUSTER, term: TERM, votedFor: '' });
    store.append({ index: 1, term: 1, stamp: 0, payload: { type: 'members', members: MEMBERS } });
    const recordEvent = (event: string): void => {
      this.events.push(event);
    };
    return new replica.Replica({
      store,
      random,
      clock: time.clock,
      timers: timerService.create(time.clock, time),
      log: { debug: recordEvent, info: recordEvent, warn: recordEvent, error: recordEvent },
      timing: TIMING,
      machine: { apply: () => null, takeSnapshot: () => null, restore: () => undefined },
      send: (address, message) => {
        time.after(1, () => {
          this.deliver(address, message);
        });
      },
    });
  }

  /** Drops messages to a process that has not started, and delays those to a busy one. */
  private deliver(name: string, message: types.ConsensusMessage): void {
    const started = this.startedAt.get(name);
    if (started === undefined) {
      return;
    }
    const now = this.time.now();
    const delay = now - started < STARTUP_DURATION ? this.random.next() * MAXIMUM_MESSAGE_DELAY : 0;
    const handledAt = Math.max(now + delay, this.busyUntil.get(name) ?? 0);
    this.busyUntil.set(name, handledAt);
    this.time.after(handledAt - now, () => {
      this.replicas.get(name)?.receive(message);
    });
  }

  private count(event: string): number {
    return this.events.filter((candidate) => candidate === event).length;
  }

  /** Simulates four seconds, long enough for a second election to occur. */
  run(): RecoveryResult {
    let leaderSince: ports.Milliseconds | undefined;
    for (let elapsed = 0; elapsed < 4_000; elapsed += 5) {
      this.time.advance(5);
      const hasLeader = [...this.replicas.values()].some((candidate) => candidate.mayLead());
      leaderSince = hasLeader ? (leaderSince ?? this.time.now()) : undefined;
    }
    return {
      elections: this.count('electionStarted'),
      leaders: this.count('leaderElected'),
      stepsDown: this.count('leaderStepsDown'),
      timeToLeader: (leaderSince ?? Number.POSITIVE_INFINITY) - Math.max(...this.startedAt.values()),
    };
  }
}

const SEEDS = Array.from({ length: 200 }, (_, index) => index + 1);

// Several voters learn at nearly the same time that there is no leader. If more than one started an election, votes
// would be split or the new leader would be deposed, and requests would be refused for longer.
void test.test('voters that restart together elect one leader in one term and keep it', () => {
  for (const seed of SEEDS) {
    const { elections, leaders, stepsDown } = new RestartingVoters(seed).run();
    assert.deepEqual(
      { elections, leaders, stepsDown },
      { elections: 1, leaders: 1, stepsDown: 0 },
      `seed ${seed}`,
    );
  }
});

/** Three delayed round trips (probe, vote, first append), two probe intervals and the disk syncs. */
const MAXIMUM_TIME_TO_LEADER: ports.Milliseconds = 6 * MAXIMUM_MESSAGE_DELAY + 2 * 60 + 80;

// Requests are refused until a leader is elected. The election must not wait for an election timeout.
void test.test('a leader is elected soon after the last voter has started', () => {
  const durations = SEEDS.map((seed) => new RestartingVoters(seed).run().timeToLeader).sort(
    (left, right) => left - right,
  );
  const percentile = durations[Math.floor(durations.length * 0.95)] ?? Number.POSITIVE_INFINITY;
  assert.ok(percentile <= MAXIMUM_TIME_TO_LEADER, `95th percentile: ${percentile} ms`);
});
