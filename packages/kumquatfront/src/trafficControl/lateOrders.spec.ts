/**
 * Orders on data centres that replicas read late: after their caller has sent them elsewhere and ordered something else.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as dataCentreOrders from '../operatorOrders/dataCentreOrders.js';
import * as controlTestHarness from './controlTestHarness.js';
import * as operatorTestClient from './operatorTestClient.js';

const SEEDS = ['c1', 'c2', 'c3'];
const EVACUATE: dataCentreOrders.DataCentreOrder = { type: 'evacuate', dataCentre: 'a' };
const RESTORE: dataCentreOrders.DataCentreOrder = { type: 'restore', dataCentre: 'a' };

interface Cluster {
  readonly harness: controlTestHarness.ControlTestHarness;
  readonly leader: string;
  readonly follower: string;
  readonly otherFollower: string;
}

function createCluster(): Cluster {
  const harness = new controlTestHarness.ControlTestHarness(SEEDS);
  harness.time.advance(3_000);
  assert.equal(harness.replace('c1', 1), true);
  const leader = harness.leader();
  const [follower = '', otherFollower = ''] = SEEDS.filter((seed) => seed !== leader);
  return { harness, leader, follower, otherFollower };
}

function orderAt(
  harness: controlTestHarness.ControlTestHarness,
  address: string,
  type: 'evacuate' | 'restore',
): void {
  assert.equal(harness.evacuateOrRestore(address, type, 'a'), true);
}

function assertAllAgree(harness: controlTestHarness.ControlTestHarness, evacuated: readonly string[]): void {
  for (const seed of SEEDS) {
    assert.deepEqual(harness.evacuatedAt(seed), evacuated, seed);
  }
}

/** Sends an order to a paused replica, gives it up there, has it acknowledged elsewhere and reverted, then resumes. */
function playPausedReplica(
  late: dataCentreOrders.DataCentreOrder,
  options: { readonly pause: number; readonly patience: number; readonly readDelay: number },
  givingUp: operatorTestClient.GivingUp,
): controlTestHarness.ControlTestHarness {
  const { harness, leader, follower, otherFollower } = createCluster();
  const isRestore = late.type === 'restore';
  if (isRestore) {
    orderAt(harness, otherFollower, 'evacuate');
  }
  const pausedAt = harness.time.now();
  harness.pause(follower);
  const { patience, readDelay } = options;
  const operator = new operatorTestClient.OperatorTestClient({
    ...{ harness, addresses: [follower, leader], givingUp, patience, limit: 10_000, readDelay },
  });
  const outcomes: boolean[] = [];
  operator.order(late, 0, (isAcknowledged) => {
    outcomes.push(isAcknowledged);
    operator.order(isRestore ? EVACUATE : RESTORE, 1, (isRevertAcknowledged) => {
      outcomes.push(isRevertAcknowledged);
    });
  });
  harness.time.advance(pausedAt + options.pause - harness.time.now());
  assert.deepEqual(outcomes, [true, true]);
  harness.resume(follower);
  harness.time.advance(3_000);
  return harness;
}

// Guards against a replica that carries out, after a pause, an order whose caller has closed its connection.
void test.test('an order that waited in a paused replica undoes no newer one', () => {
  assertAllAgree(playPausedReplica(RESTORE, { pause: 3_500, patience: 1_000, readDelay: 0 }, 'closes'), [
    'a',
  ]);
  assertAllAgree(playPausedReplica(EVACUATE, { pause: 3_500, patience: 1_000, readDelay: 0 }, 'closes'), []);
});

// Guards against relying on the length of the pause: this caller waits for less time than a noticeable pause takes.
void test.test('an order that waited in a replica for a short pause undoes no newer one', () => {
  for (const readDelay of [0, 5]) {
    const options = { pause: 450, patience: 150, readDelay };
    assertAllAgree(playPausedReplica(RESTORE, options, 'closes'), ['a']);
    assertAllAgree(playPausedReplica(EVACUATE, options, 'closes'), []);
  }
});

// Guards against relying on the connection: it is open, and the replica catches up before it reads the order.
void test.test('an order of a caller that forgets its connection undoes no newer one after a pause', () => {
  for (const readDelay of [0, 5]) {
    const options = { pause: 3_500, patience: 1_000, readDelay };
    assertAllAgree(playPausedReplica(RESTORE, options, 'staysConnected'), ['a']);
    assertAllAgree(playPausedReplica(EVACUATE, options, 'staysConnected'), []);
  }
});

// Guards against refusing sound orders for longer than it takes to read what had waited.
void test.test('a replica takes orders again within a second of its pause', () => {
  const { harness, follower } = createCluster();
  harness.pause(follower);
  harness.time.advance(3_500);
  harness.resume(follower);
  const operator = new operatorTestClient.OperatorTestClient({
    ...{ harness, addresses: [follower], givingUp: 'closes', patience: 1_000, limit: 5_000, readDelay: 0 },
  });
  let acknowledgedAt = Number.POSITIVE_INFINITY;
  const resumedAt = harness.time.now();
  operator.order(EVACUATE, 0, () => {
    acknowledgedAt = harness.time.now();
  });
  harness.time.advance(3_000);
  assert.ok(acknowledgedAt - resumedAt <= 1_000, `acknowledged after ${acknowledgedAt - resumedAt} ms`);
});
