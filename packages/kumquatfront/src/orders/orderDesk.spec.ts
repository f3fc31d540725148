/**
 * The order in which orders are given, and the rate of weight loads.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as agreedState from '../agreedState/agreedState.js';
import type * as agreedTypes from '../agreedState/types.js';
import type * as replica from '../consensus/replica.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as timerService from '../kernel/timerService.js';
import * as orderDesk from './orderDesk.js';

const LOADS_PER_MINUTE = 2;

/** A desk of a leader, with a clock set by hand. */
class Bench {
  now = 0;
  leads = true;
  readonly given: string[] = [];
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
    const own: Pick<replica.Replica, 'mayLead' | 'propose'> = {
      mayLead: () => this.leads,
      propose: (command, done) => {
        done(results.Ok(this.apply(command as agreedTypes.Command)));
      },
    };
    const silent = (): void => undefined;
    new orderDesk.OrderDesk({
      settings: {
        longestFlight: 2_000,
        weightLoadsPerMinute: LOADS_PER_MINUTE,
        pumpInterval: 250,
        attempts: 3,
      },
      replica: own,
      state: this.state,
      port: {
        give: (order, _address, _timeout, done) => {
          this.given.push(order.orderId);
          done(results.Ok({ fencingNumber: order.fencingNumber, target: order.order.target }));
        },
      },
      timers: timerService.create(clock, scheduler),
      log: { debug: silent, info: silent, warn: silent, error: silent },
    });
  }

  private apply(command: agreedTypes.Command): unknown {
    this.index += 1;
    return this.state.apply(command, this.index, this.now);
  }

  place(
    orderId: string,
    upstream: string,
    target: string,
    action: agreedTypes.OrderBody['action'] = 'loadModel',
  ): void {
    this.apply({ type: 'order', orderId, upstream, order: { action, target } });
  }

  /** Lets the desk look once, some time later. */
  look(later: number): void {
    this.now += later;
    this.timer();
  }
}

void test.test('a new leader gives nothing before the longest flight is over', () => {
  const bench = new Bench();
  bench.place('o1', 'e1', 'm', 'changeRole');
  bench.look(250);
  bench.look(1_900);
  assert.deepEqual(bench.given, []);
  bench.look(250);
  assert.deepEqual(bench.given, ['o1']);
});

// Four engines want weights and the store allows two loads a minute. What most of them want is loaded first; the
// rest waits for the minute to pass, and changes of role do not wait.
void test.test('weight loads go most wanted first and within the rate of the store', () => {
  const bench = new Bench();
  bench.place('rare', 'e1', 'rare-model');
  bench.place('wanted-1', 'e2', 'wanted-model');
  bench.place('wanted-2', 'e3', 'wanted-model');
  bench.place('role', 'e4', 'prefill', 'changeRole');
  bench.look(250);
  bench.look(2_500);
  assert.deepEqual(bench.given, ['wanted-1', 'wanted-2', 'role']);
  bench.look(50_000);
  assert.deepEqual(bench.given.length, 3);
  bench.look(10_001);
  assert.deepEqual(bench.given.at(-1), 'rare');
});

// Two orders for one upstream, the newer of which more upstreams want. An upstream that ignores fencing numbers
// would end up with the older one if it came last; it gets them in the order of the log.
void test.test('one upstream gets its orders oldest first, whatever is wanted', () => {
  const bench = new Bench();
  bench.place('older', 'e1', 'a', 'changeRole');
  bench.place('newer', 'e1', 'b', 'changeRole');
  bench.place('other', 'e2', 'b', 'changeRole');
  bench.look(250);
  bench.look(2_500);
  bench.look(250);
  assert.deepEqual(bench.given, ['other', 'older', 'newer']);
});

void test.test('a replica that does not lead gives nothing', () => {
  const bench = new Bench();
  bench.leads = false;
  bench.place('o1', 'e1', 'm');
  bench.look(10_000);
  bench.look(10_000);
  assert.deepEqual(bench.given, []);
});
