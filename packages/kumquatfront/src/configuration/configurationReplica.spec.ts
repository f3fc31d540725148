/**
 * Answers to pulls that cross, come from another cluster, or from the past.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as controlClient from '../controlClient/controlClient.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as timerService from '../kernel/timerService.js';
import * as configurationReplica from './configurationReplica.js';
import type * as types from './types.js';

/** A replica whose pulls are answered by hand. */
class Bench {
  readonly pulls: ports.Reply[] = [];
  readonly replica: configurationReplica.ConfigurationReplica;
  private readonly timers: (() => void)[] = [];

  constructor() {
    const clock: ports.Clock = { now: () => 0, wall: () => 0 };
    const schedule: ports.Scheduler = {
      after: (_delay, run) => {
        this.timers.push(run);
        return () => undefined;
      },
    };
    const timers = timerService.create(clock, schedule);
    const peers: ports.PeerTransport = {
      request: (_address, _method, _parameters, _timeout, done) => this.pulls.push(done),
      notify: () => undefined,
      serve: () => undefined,
    };
    const silent = (): void => undefined;
    this.replica = new configurationReplica.ConfigurationReplica({
      settings: { pullInterval: 1_000, pullTimeout: 1_000, staleAfter: 5_000 },
      control: new controlClient.ControlClient({ addresses: ['c1'], peers, timers, attemptTimeout: 500 }),
      peers,
      timers,
      random: { next: () => 0, identity: () => 'x' },
      log: { debug: silent, info: silent, warn: silent, error: silent },
      presence: () => ({
        name: 'entry-1',
        dataCentre: 'c',
        callerAddress: '',
        peerAddress: '',
        state: 'serving',
        inFlight: 0,
        configurationVersion: 0,
      }),
      entries: () => [],
      onEvacuations: () => undefined,
    });
  }

  /** Lets every timer fire that is set now. */
  tick(): void {
    for (const run of this.timers.splice(0)) {
      run();
    }
  }

  answer(position: number, delta: types.ConfigurationDelta): void {
    this.pulls[position]?.(results.Ok({ fresh: true, age: 0, delta }));
  }
}

function delta(
  version: number,
  clusterIdentity = 'cluster',
  region = `v${version}`,
): types.ConfigurationDelta {
  const market: types.ConfigurationObject = {
    kind: 'market',
    name: 'm',
    version,
    body: { labels: { region } },
  };
  return { clusterIdentity, version, whole: false, objects: [market], deleted: [] };
}

// Two pulls are under way; the answer to the first, with the older version, arrives last. It must not undo the
// newer one that is in force already.
void test.test('an older answer that arrives later reverts nothing', () => {
  const bench = new Bench();
  bench.tick();
  bench.tick();
  assert.ok(bench.pulls.length >= 2);
  bench.answer(1, delta(9));
  bench.answer(0, delta(5));
  assert.equal(bench.replica.inForce, 9);
  assert.equal(bench.replica.find('market', 'm')?.labels.region, 'v9');
});

// All control VMs were emptied and founded anew, so their versions begin again. Taking their word would revert
// everything that operators were told is in force.
void test.test('the configuration of another cluster is refused', () => {
  const bench = new Bench();
  bench.tick();
  bench.answer(0, delta(9));
  bench.tick();
  bench.answer(bench.pulls.length - 1, delta(99, 'another cluster', 'foreign'));
  assert.equal(bench.replica.inForce, 9);
  assert.equal(bench.replica.find('market', 'm')?.labels.region, 'v9');
});

void test.test('nothing is in force before a leader has answered', () => {
  const bench = new Bench();
  assert.equal(bench.replica.isReady(), false);
  bench.tick();
  bench.answer(0, delta(1));
  assert.equal(bench.replica.isReady(), true);
});
