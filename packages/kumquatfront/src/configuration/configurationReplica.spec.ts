/**
 * Configuration pulls: answers that arrive out of order, are outdated, or come from another cluster.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as controlClient from '../controlClient/controlClient.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as timerService from '../kernel/timerService.js';
import * as configurationReplica from './configurationReplica.js';
import type * as types from './types.js';

/** Runs a replica whose pulls are answered by the test. */
class ReplicaTestHarness {
  readonly pendingPulls: ports.Reply[] = [];
  readonly replica: configurationReplica.ConfigurationReplica;
  private readonly timers: (() => void)[] = [];

  constructor() {
    const clock: ports.Clock = { now: () => 0, wall: () => 0 };
    const scheduler: ports.Scheduler = {
      after: (_delay, run) => {
        this.timers.push(run);
        return () => undefined;
      },
    };
    const timers = timerService.create(clock, scheduler);
    const peers: ports.PeerTransport = {
      request: (_address, _method, _parameters, _timeout, done) => this.pendingPulls.push(done),
      notify: () => undefined,
      serve: () => undefined,
    };
    const discardLog = (): void => undefined;
    this.replica = new configurationReplica.ConfigurationReplica({
      settings: { pullInterval: 1_000, pullTimeout: 1_000, staleAfter: 5_000 },
      control: new controlClient.ControlClient({ addresses: ['c1'], peers, timers, attemptTimeout: 500 }),
      peers,
      timers,
      random: { next: () => 0, identity: () => 'x' },
      log: { debug: discardLog, info: discardLog, warn: discardLog, error: discardLog },
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

  /** Fires all pending timers. */
  tick(): void {
    for (const run of this.timers.splice(0)) {
      run();
    }
  }

  /** Answers the pull at a position in `pendingPulls`. */
  answer(position: number, delta: types.ConfigurationDelta): void {
    this.pendingPulls[position]?.(results.Ok({ fresh: true, age: 0, delta }));
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

// Two pulls are in flight and the answer with the older version arrives last.
void test.test('an older version that arrives late does not replace a newer one', () => {
  const harness = new ReplicaTestHarness();
  harness.tick();
  harness.tick();
  assert.ok(harness.pendingPulls.length >= 2);
  harness.answer(1, delta(9));
  harness.answer(0, delta(5));
  assert.equal(harness.replica.versionInForce, 9);
  assert.equal(harness.replica.find('market', 'm')?.labels.region, 'v9');
});

// A control cluster that was bootstrapped again restarts its version numbers; applying its configuration would
// revert acknowledged changes.
void test.test('the configuration of another cluster is rejected', () => {
  const harness = new ReplicaTestHarness();
  harness.tick();
  harness.answer(0, delta(9));
  harness.tick();
  harness.answer(harness.pendingPulls.length - 1, delta(99, 'another cluster', 'foreign'));
  assert.equal(harness.replica.versionInForce, 9);
  assert.equal(harness.replica.find('market', 'm')?.labels.region, 'v9');
});

void test.test('the replica is not ready before a leader has answered', () => {
  const harness = new ReplicaTestHarness();
  assert.equal(harness.replica.isReady(), false);
  harness.tick();
  harness.answer(0, delta(1));
  assert.equal(harness.replica.isReady(), true);
});
