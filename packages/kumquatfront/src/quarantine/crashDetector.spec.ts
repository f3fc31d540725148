/**
 * Which broken runs count as the end of their instance, and which do not.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceBench from '../instances/instanceBench.js';
import type * as instanceView from '../instances/instanceView.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import type * as relayTypes from '../relay/types.js';
import * as crashDetector from './crashDetector.js';

/** A detector over instances that answer a check as told. */
class Bench {
  readonly time = new virtualTime.VirtualTime();
  readonly crashes: string[] = [];
  readonly ended: string[] = [];
  sign: relayTypes.ConnectionSign = 'refused';
  hasGivenNotice = false;
  checks = 0;
  readonly detector = new crashDetector.CrashDetector({
    timers: timerService.create(this.time.clock, this.time),
    check: (_address, done) => {
      this.checks += 1;
      const { sign } = this;
      this.time.after(2, () => {
        done(sign);
      });
    },
    hasGivenNotice: () => this.hasGivenNotice,
    onCrash: ({ content, instance, sign }) => {
      this.crashes.push(`${content} ${instance} ${sign}`);
    },
    onEnded: (instance) => this.ended.push(instance),
  });

  instance(identity = 'a'): instanceView.Instance {
    return { ...instanceBench.announcement(identity), firstAt: 0, coldUntil: 0 };
  }

  /** A run of a content on instance `a` that breaks off. */
  breakOff(content: string): void {
    const run = this.detector.begun('a', content, 'r');
    this.detector.broke(this.instance(), run, () => undefined);
  }

  /** News of instance `a`. */
  hear(event: instanceView.InstanceEvent, state: 'ready' | 'leaving' = 'ready'): void {
    this.detector.onInstance({ instance: { ...this.instance(), state }, event });
  }
}

void test.test('a broken run counts where nothing listens at its instance any more', () => {
  const bench = new Bench();
  bench.breakOff('x');
  bench.time.advance(100);
  assert.deepEqual(bench.crashes, ['x a refusesConnections']);
});

// An answer was lost, or connections were reset; the instance lives.
void test.test('a broken run does not count where its instance accepts connections', () => {
  const bench = new Bench();
  bench.sign = 'accepted';
  bench.breakOff('x');
  bench.time.advance(100);
  bench.hear('gone');
  assert.deepEqual(bench.crashes, []);
});

// The instance gave notice, and ended with what was left on it.
void test.test('the end of an instance that gave notice counts against nobody', () => {
  const bench = new Bench();
  bench.hasGivenNotice = true;
  bench.breakOff('x');
  bench.detector.begun('a', 'y', 'r');
  bench.time.advance(100);
  bench.hear('gone', 'leaving');
  assert.deepEqual(bench.crashes, []);
  assert.equal(bench.checks, 0);
});

// Its VM went dark: connections hang, a run is given up for its silence, and control drops it seconds later.
void test.test('a silent instance counts once control has dropped it, with what still runs there', () => {
  const bench = new Bench();
  bench.sign = 'unknown';
  bench.breakOff('x');
  bench.detector.begun('a', 'y', 'r');
  bench.time.advance(5_000);
  assert.deepEqual(bench.crashes, []);
  bench.hear('gone');
  assert.deepEqual(bench.crashes, ['x a fellSilent', 'y a fellSilent']);
});

void test.test('an instance that started anew has ended', () => {
  const bench = new Bench();
  bench.sign = 'unknown';
  bench.breakOff('x');
  bench.time.advance(500);
  bench.hear('replaced');
  assert.deepEqual(bench.crashes, ['x a startedAnew']);
});

// A link was cut for a moment; nothing is known of the instance, which ends a minute later for reasons of its own.
void test.test('a run that broke long before is no cause', () => {
  const bench = new Bench();
  bench.sign = 'unknown';
  bench.breakOff('x');
  bench.time.advance(60_000);
  bench.hear('gone');
  assert.deepEqual(bench.crashes, []);
  bench.detector.expire(bench.time.now());
});

// A run that was answered, or cancelled by its caller, has nothing to do with what comes later.
void test.test('a run that ended well does not count', () => {
  const bench = new Bench();
  const run = bench.detector.begun('a', 'x', 'r');
  bench.detector.ended('a', run);
  bench.hear('gone');
  assert.deepEqual(bench.crashes, []);
});

// Eight runs break with their instance; it is asked once, and whoever waits is told once.
void test.test('an instance is checked once for all that broke there', () => {
  const bench = new Bench();
  let told = 0;
  for (let index = 0; index < 8; index += 1) {
    const run = bench.detector.begun('a', `x${index}`, 'r');
    bench.detector.broke(bench.instance(), run, () => {
      told += 1;
    });
  }
  bench.time.advance(1_000);
  assert.deepEqual([bench.checks, bench.crashes.length, told], [1, 8, 8]);
});

// Requests find its port closed, with nothing of theirs running there.
void test.test('an instance that cannot be reached is checked, and told as ended', () => {
  const bench = new Bench();
  bench.detector.unreachable(bench.instance());
  bench.time.advance(100);
  assert.deepEqual([bench.ended, bench.crashes], [['a'], []]);
});

// Behind a cut the check has no answer for a long time; an exchange does not wait for it.
void test.test('nobody waits long for a check', () => {
  const bench = new Bench();
  let toldAt: number | undefined;
  const slow = new crashDetector.CrashDetector({
    timers: timerService.create(bench.time.clock, bench.time),
    check: () => undefined,
    hasGivenNotice: () => false,
    onCrash: () => undefined,
    onEnded: () => undefined,
  });
  slow.broke(bench.instance(), slow.begun('a', 'x', 'r'), () => {
    toldAt = bench.time.now();
  });
  bench.time.advance(1_000);
  assert.ok(toldAt !== undefined && toldAt <= 100);
});
