/**
 * Tests the sequence in which orders are sent and the rate limit of weight loads.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as agreedState from '../agreedState/agreedState.js';
import type * as agreedTypes from '../agreedState/types.js';
import type * as replica from '../consensus/replica.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as timerService from '../kernel/timerService.js';
import * as orderDispatcher from './orderDispatcher.js';

const LOADS_PER_MINUTE = 2;

/** An order dispatcher with a manual clock and a replica that leads by default. */
class OrderDispatcherTestHarness {
  now = 0;
  isLeader = true;
  readonly sentOrderIds: string[] = [];
  private readonly state = new agreedState.AgreedState();
  private timer: () => void = () => undefined;
  private index = 0;

  constructor() {
    const clock: ports.Clock = { now: () => this.now, wall: () => this.now };
    const scheduler: ports.Scheduler = {
      after: (_delay, run) => {
        this.timer = run;
        return () => undefined;
      },
    };
    const replicaStub: Pick<replica.Replica, 'mayLead' | 'propose'> = {
      mayLead: () => this.isLeader,
      propose: (command, done) => {
        done(results.Ok(this.apply(command as agreedTypes.Command)));
      },
    };
    const ignore = (): void => undefined;
    new orderDispatcher.OrderDispatcher({
      settings: {
        longestFlight: 2_000,
        weightLoadsPerMinute: LOADS_PER_MINUTE,
        pumpInterval: 250,
        attempts: 3,
      },
      replica: replicaStub,
      state: this.state,
      port: {
        send: (order, _address, _timeout, done) => {
          this.sentOrderIds.push(order.orderId);
          done(results.Ok({ fencingNumber: order.fencingNumber, target: order.order.target }));
        },
      },
      timers: timerService.create(clock, scheduler),
      log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
    });
  }

  private apply(command: agreedTypes.Command): unknown {
    this.index += 1;
    return this.state.apply(command, this.index, this.now);
  }

  addOrder(
    orderId: string,
    upstream: string,
    target: string,
    action: agreedTypes.OrderBody['action'] = 'loadModel',
  ): void {
    this.apply({ type: 'order', orderId, upstream, order: { action, target } });
  }

  /** Advances the clock and runs one tick of the dispatcher. */
  advance(duration: number): void {
    this.now += duration;
    this.timer();
  }
}

void test.test('a new leader sends no order before the longest flight time has passed', () => {
  const harness = new OrderDispatcherTestHarness();
  harness.addOrder('o1', 'e1', 'm', 'changeRole');
  harness.advance(250);
  harness.advance(1_900);
  assert.deepEqual(harness.sentOrderIds, []);
  harness.advance(250);
  assert.deepEqual(harness.sentOrderIds, ['o1']);
});

// The store allows two loads per minute: the target with most open orders is loaded first, the rest waits for the next
// minute, and changes of role are not limited.
void test.test('weight loads are sent by demand and within the rate limit of the store', () => {
  const harness = new OrderDispatcherTestHarness();
  harness.addOrder('rare', 'e1', 'rare-model');
  harness.addOrder('wanted-1', 'e2', 'wanted-model');
  harness.addOrder('wanted-2', 'e3', 'wanted-model');
  harness.addOrder('role', 'e4', 'prefill', 'changeRole');
  harness.advance(250);
  harness.advance(2_500);
  assert.deepEqual(harness.sentOrderIds, ['wanted-1', 'wanted-2', 'role']);
  harness.advance(50_000);
  assert.deepEqual(harness.sentOrderIds.length, 3);
  harness.advance(10_001);
  assert.deepEqual(harness.sentOrderIds.at(-1), 'rare');
});

// The newer of two orders for one upstream has the higher demand. Sent last, the older one would win at an upstream that
// ignores fencing numbers.
void test.test('one upstream receives its orders oldest first, regardless of demand', () => {
  const harness = new OrderDispatcherTestHarness();
  harness.addOrder('older', 'e1', 'a', 'changeRole');
  harness.addOrder('newer', 'e1', 'b', 'changeRole');
  harness.addOrder('other', 'e2', 'b', 'changeRole');
  harness.advance(250);
  harness.advance(2_500);
  harness.advance(250);
  assert.deepEqual(harness.sentOrderIds, ['other', 'older', 'newer']);
});

void test.test('a replica that does not lead sends no orders', () => {
  const harness = new OrderDispatcherTestHarness();
  harness.isLeader = false;
  harness.addOrder('o1', 'e1', 'm');
  harness.advance(10_000);
  harness.advance(10_000);
  assert.deepEqual(harness.sentOrderIds, []);
});
