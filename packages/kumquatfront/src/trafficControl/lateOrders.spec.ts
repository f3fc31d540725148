/**
 * Orders on data centres that replicas read late: after their caller has sent them elsewhere and ordered something else.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as dataCentreOrders from '../operatorOrders/dataCentreOrders.js';
import type * as operatorOrders from '../operatorOrders/types.js';
import * as controlTestHarness from './controlTestHarness.js';
import * as operatorTestClient from './operatorTestClient.js';

const SEEDS = ['c1', 'c2', 'c3'];
const EVACUATE: dataCentreOrders.DataCentreOrder = { type: 'evacuate', dataCentre: 'a' };
const RESTORE: dataCentreOrders.DataCentreOrder = { type: 'restore', dataCentre: 'a' };

type Interface = controlTestHarness.ControlTestHarness['operatorInterface'];

interface Cluster {
  readonly harness: controlTestHarness.ControlTestHarness;
  readonly leader: string;
  readonly follower: string;
  readonly otherFollower: string;
}

function createCluster(operatorInterface: Interface): Cluster {
  const harness = new controlTestHarness.ControlTestHarness(SEEDS);
  harness.operatorInterface = operatorInterface;
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
  operatorInterface: Interface,
  late: dataCentreOrders.DataCentreOrder,
  options: { readonly pause: number; readonly patience: number; readonly readDelay: number },
  givingUp: operatorTestClient.GivingUp,
): controlTestHarness.ControlTestHarness {
  const { harness, leader, follower, otherFollower } = createCluster(operatorInterface);
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

/** Has a follower forward an order over a link that delivers it late; the order is given up there after a second. */
function forwardLate(
  { harness, leader, follower }: Cluster,
  late: dataCentreOrders.DataCentreOrder,
  delay: number,
): void {
  harness.delay(follower, leader, delay);
  const connection = new operatorTestClient.OperatorConnection(harness, follower);
  connection.send(late, () => undefined);
  harness.time.advance(1_000);
  connection.close();
  harness.delay(follower, leader, 0);
}

for (const operatorInterface of ['traffic', 'node'] as const) {
  // Guards against a replica that carries out, after a pause, an order whose caller has closed its connection.
  void test.test(
    `an order that waited in a paused replica undoes no newer one (${operatorInterface})`,
    () => {
      assertAllAgree(
        playPausedReplica(
          operatorInterface,
          RESTORE,
          { pause: 3_500, patience: 1_000, readDelay: 0 },
          'closes',
        ),
        ['a'],
      );
      assertAllAgree(
        playPausedReplica(
          operatorInterface,
          EVACUATE,
          { pause: 3_500, patience: 1_000, readDelay: 0 },
          'closes',
        ),
        [],
      );
    },
  );

  // Guards against relying on the length of the pause: this caller waits for less time than a noticeable pause takes.
  void test.test(
    `an order that waited in a replica for a short pause undoes no newer one (${operatorInterface})`,
    () => {
      for (const readDelay of [0, 5]) {
        const options = { pause: 450, patience: 150, readDelay };
        assertAllAgree(playPausedReplica(operatorInterface, RESTORE, options, 'closes'), ['a']);
        assertAllAgree(playPausedReplica(operatorInterface, EVACUATE, options, 'closes'), []);
      }
    },
  );

  // Guards against relying on the connection: it is open, and the replica catches up before it reads the order.
  void test.test(
    `an order of a caller that forgets its connection undoes no newer one after a pause (${operatorInterface})`,
    () => {
      for (const readDelay of [0, 5]) {
        const options = { pause: 3_500, patience: 1_000, readDelay };
        assertAllAgree(playPausedReplica(operatorInterface, RESTORE, options, 'staysConnected'), ['a']);
        assertAllAgree(playPausedReplica(operatorInterface, EVACUATE, options, 'staysConnected'), []);
      }
    },
  );

  // Guards against refusing sound orders for longer than it takes to read what had waited.
  void test.test(`a replica takes orders again within a second of its pause (${operatorInterface})`, () => {
    const { harness, follower } = createCluster(operatorInterface);
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

  // Guards against a leader that commits a forwarded copy of an order after newer ones.
  void test.test(
    `an order that was forwarded and arrives late at the leader undoes no newer one (${operatorInterface})`,
    () => {
      for (const late of [EVACUATE, RESTORE]) {
        const cluster = createCluster(operatorInterface);
        const { harness, otherFollower } = cluster;
        const [first, last] =
          late.type === 'restore' ? (['evacuate', 'restore'] as const) : (['restore', 'evacuate'] as const);
        orderAt(harness, otherFollower, first);
        forwardLate(cluster, late, 4_000);
        orderAt(harness, otherFollower, last);
        orderAt(harness, otherFollower, first);
        harness.time.advance(5_000);
        assertAllAgree(harness, first === 'evacuate' ? ['a'] : []);
      }
    },
  );

  // Guards against forgetting orders that changed nothing: the late one was never acknowledged, and this one was.
  void test.test(
    `a late order does not undo a newer one that found its data centre as ordered (${operatorInterface})`,
    () => {
      const cluster = createCluster(operatorInterface);
      const { harness, otherFollower } = cluster;
      forwardLate(cluster, EVACUATE, 4_000);
      orderAt(harness, otherFollower, 'restore');
      harness.time.advance(5_000);
      assertAllAgree(harness, []);
    },
  );

  // Guards against replicas that forget with a restart, or with the loss of the leader, which orders were accepted.
  void test.test(
    `a late order is refused by a new leader and after the restart of all replicas (${operatorInterface})`,
    () => {
      const cluster = createCluster(operatorInterface);
      const { harness, leader, follower, otherFollower } = cluster;
      orderAt(harness, otherFollower, 'evacuate');
      const connection = new operatorTestClient.OperatorConnection(harness, follower);
      harness.time.advance(10);
      orderAt(harness, otherFollower, 'restore');
      orderAt(harness, otherFollower, 'evacuate');
      harness.kill(leader);
      harness.time.advance(4_000);
      for (const seed of SEEDS.filter((address) => address !== follower)) {
        harness.kill(seed);
        harness.start(seed);
      }
      harness.time.advance(4_000);
      connection.silence();
      connection.send(RESTORE, () => undefined);
      connection.close();
      connection.heal();
      harness.time.advance(3_000);
      assertAllAgree(harness, ['a']);
    },
  );

  // Guards against orders that wait in the network, on a connection that earlier calls used, until a link heals.
  void test.test(
    `an order on a reused connection whose link was silent undoes no newer one (${operatorInterface})`,
    () => {
      for (const replica of ['leader', 'follower'] as const) {
        const cluster = createCluster(operatorInterface);
        const { harness, otherFollower } = cluster;
        const connection = new operatorTestClient.OperatorConnection(harness, cluster[replica]);
        const outcomes: operatorTestClient.CopyOutcome[] = [];
        connection.send(EVACUATE, (outcome) => outcomes.push(outcome));
        harness.time.advance(100);
        connection.silence();
        connection.send(RESTORE, (outcome) => outcomes.push(outcome));
        harness.time.advance(1_000);
        connection.close();
        orderAt(harness, otherFollower, 'restore');
        orderAt(harness, otherFollower, 'evacuate');
        connection.heal();
        harness.time.advance(1_000);
        assert.deepEqual(outcomes, ['acknowledged']);
        assertAllAgree(harness, ['a']);
      }
    },
  );

  // Guards against trying again for a caller that has left over a link that is silent, so that its end cannot be seen.
  void test.test(`an order that was refused late is not tried again (${operatorInterface})`, () => {
    const { harness, leader, follower, otherFollower } = createCluster(operatorInterface);
    orderAt(harness, otherFollower, 'evacuate');
    const connection = new operatorTestClient.OperatorConnection(harness, follower);
    harness.delay(follower, leader, 800);
    connection.send(RESTORE, () => undefined);
    harness.time.advance(10);
    connection.silence();
    harness.time.advance(390);
    connection.close();
    harness.delay(follower, leader, 0);
    const operator = new operatorTestClient.OperatorTestClient({
      ...{ harness, addresses: [otherFollower], givingUp: 'closes' },
      ...{ patience: 1_000, limit: 5_000, readDelay: 0 },
    });
    operator.order(RESTORE, 0, () => {
      operator.order(EVACUATE, 0, () => undefined);
    });
    harness.time.advance(1_000);
    connection.heal();
    harness.time.advance(1_000);
    assertAllAgree(harness, ['a']);
  });

  // Guards against refusing a caller whose replica learned of a newer order meanwhile.
  void test.test(
    `an order on a reused connection is acknowledged after another operator has ordered (${operatorInterface})`,
    () => {
      const { harness, follower, otherFollower } = createCluster(operatorInterface);
      const connection = new operatorTestClient.OperatorConnection(harness, follower);
      const outcomes: operatorTestClient.CopyOutcome[] = [];
      connection.send(EVACUATE, (outcome) => outcomes.push(outcome));
      harness.time.advance(100);
      orderAt(harness, otherFollower, 'restore');
      connection.send(EVACUATE, (outcome) => outcomes.push(outcome));
      harness.time.advance(200);
      assert.deepEqual(outcomes, ['acknowledged', 'acknowledged']);
      assertAllAgree(harness, ['a']);
    },
  );

  // Guards against slow acknowledgements: a void order that is committed and then sent again waits for the disks twice.
  void test.test(
    `an order at a replica that has not heard of the order before is written to the log once (${operatorInterface})`,
    () => {
      const { harness, leader, follower } = createCluster(operatorInterface);
      orderAt(harness, leader, 'evacuate');
      const connection = new operatorTestClient.OperatorConnection(harness, follower);
      harness.time.advance(5);
      const other = new operatorTestClient.OperatorConnection(harness, leader);
      other.send(RESTORE, () => undefined);
      harness.time.advance(15);
      const lastIndex = harness.lastIndexOf(leader);
      const outcomes: operatorTestClient.CopyOutcome[] = [];
      connection.send(EVACUATE, (outcome) => outcomes.push(outcome));
      harness.time.advance(200);
      assert.deepEqual(outcomes, ['acknowledged']);
      assert.equal(harness.lastIndexOf(leader), lastIndex + 1);
    },
  );

  // Guards against two results of two operators, and against refusing one of them for good.
  void test.test(
    `two operators that order different things at once are both acknowledged, and one result holds (${operatorInterface})`,
    () => {
      for (let offset = -3; offset <= 3; offset += 1) {
        const { harness, follower, otherFollower } = createCluster(operatorInterface);
        const order: string[] = [];
        const operator = new operatorTestClient.OperatorTestClient({
          ...{ harness, addresses: [follower, otherFollower], givingUp: 'closes' },
          ...{ patience: 1_000, limit: 5_000, readDelay: 0 },
        });
        const send = (ordered: dataCentreOrders.DataCentreOrder, replica: number, delay: number): void => {
          harness.time.after(delay, () => {
            operator.order(ordered, replica, (isAcknowledged) => {
              order.push(isAcknowledged ? ordered.type : 'given up');
            });
          });
        };
        send(EVACUATE, 0, 10 + offset);
        send(RESTORE, 1, 10);
        harness.time.advance(2_000);
        assert.deepEqual([...order].sort(), ['evacuate', 'restore'], String(offset));
        const [state = []] = SEEDS.map((seed) => harness.evacuatedAt(seed));
        assertAllAgree(harness, state);
      }
    },
  );
}

// Guards against lifting a quarantine that began after the order was given: it goes to whichever replica reads it.
void test.test('a lift that waited in a paused replica is not carried out', () => {
  const { harness, follower } = createCluster('traffic');
  const lift = (isPresent: boolean): string => {
    let outcome = '';
    const caller: operatorOrders.OrderCaller = {
      ...harness.callerAt(follower),
      checkPresence: (_wait, done) => {
        done(isPresent);
      },
    };
    harness.trafficOf(follower).liftQuarantine('part:llm/bad', caller, (result) => {
      outcome = result.err ? result.val.kind : 'lifted';
    });
    return outcome;
  };
  assert.equal(lift(true), 'notFound');
  assert.equal(lift(false), 'stale');
  harness.pause(follower);
  harness.time.advance(2_000);
  harness.runAt(follower, () => {
    assert.equal(lift(true), 'stale');
  });
  harness.resume(follower);
  harness.time.advance(1_000);
  assert.equal(lift(true), 'notFound');
});
