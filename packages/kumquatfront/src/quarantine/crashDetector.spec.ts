/**
 * Which broken runs are reported as crashes of their instance, and which are not.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceTestHarness from '../instances/instanceTestHarness.js';
import type * as instanceView from '../instances/instanceView.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import type * as relayTypes from '../relay/types.js';
import * as crashDetector from './crashDetector.js';

/** A detector whose connection checks return a configurable result. */
class Harness {
  readonly time = new virtualTime.VirtualTime();
  readonly crashes: string[] = [];
  readonly instancesDown: string[] = [];
  checkResult: relayTypes.ConnectionCheckResult = 'refused';
  isTerminating = false;
  checks = 0;
  readonly detector = new crashDetector.CrashDetector({
    timers: timerService.create(this.time.clock, this.time),
    check: (_address, done) => {
      this.checks += 1;
      const { checkResult } = this;
      this.time.after(2, () => {
        done(checkResult);
      });
    },
    isTerminating: () => this.isTerminating,
    onCrash: ({ content, instance, sign }) => {
      this.crashes.push(`${content} ${instance} ${sign}`);
    },
    onInstanceDown: (instance) => this.instancesDown.push(instance),
  });

  instance(identity = 'a'): instanceView.Instance {
    return { ...instanceTestHarness.announcement(identity), firstSeenAt: 0, coldUntil: 0 };
  }

  /** Starts and breaks a run of a content on instance `a`. */
  breakRun(content: string): void {
    const run = this.detector.runStarted('a', { content: content, parts: [] }, 'r');
    this.detector.runBroken(this.instance(), run, () => undefined);
  }

  /** Reports a change of instance `a`. */
  changeInstance(event: instanceView.InstanceEvent, state: 'ready' | 'leaving' = 'ready'): void {
    this.detector.onInstanceChange({ instance: { ...this.instance(), state }, event });
  }
}

void test.test('a broken run is a crash if its instance refuses connections', () => {
  const harness = new Harness();
  harness.breakRun('x');
  harness.time.advance(100);
  assert.deepEqual(harness.crashes, ['x a refusesConnections']);
});

// The answer was lost or connections were reset, but the instance still runs.
void test.test('a broken run is no crash if its instance accepts connections', () => {
  const harness = new Harness();
  harness.checkResult = 'accepted';
  harness.breakRun('x');
  harness.time.advance(100);
  harness.changeInstance('gone');
  assert.deepEqual(harness.crashes, []);
});

// The instance sent a termination notice and exited with runs still on it.
void test.test('the exit of an instance after its termination notice is no crash', () => {
  const harness = new Harness();
  harness.isTerminating = true;
  harness.breakRun('x');
  harness.detector.runStarted('a', { content: 'y', parts: [] }, 'r');
  harness.time.advance(100);
  harness.changeInstance('gone', 'leaving');
  assert.deepEqual(harness.crashes, []);
  assert.equal(harness.checks, 0);
});

// Its VM became unreachable: connections hang, a run is aborted as idle, and control drops the instance seconds later.
void test.test('an unresponsive instance has crashed once control drops it, with all of its runs', () => {
  const harness = new Harness();
  harness.checkResult = 'unknown';
  harness.breakRun('x');
  harness.detector.runStarted('a', { content: 'y', parts: [] }, 'r');
  harness.time.advance(5_000);
  assert.deepEqual(harness.crashes, []);
  harness.changeInstance('gone');
  assert.deepEqual(harness.crashes, ['x a fellSilent', 'y a fellSilent']);
});

void test.test('an instance that restarted has crashed', () => {
  const harness = new Harness();
  harness.checkResult = 'unknown';
  harness.breakRun('x');
  harness.time.advance(500);
  harness.changeInstance('replaced');
  assert.deepEqual(harness.crashes, ['x a startedAnew']);
});

// A short network partition broke the run; the instance crashed a minute later for another reason.
void test.test('a run that broke long before a crash is not reported', () => {
  const harness = new Harness();
  harness.checkResult = 'unknown';
  harness.breakRun('x');
  harness.time.advance(60_000);
  harness.changeInstance('gone');
  assert.deepEqual(harness.crashes, []);
  harness.detector.expire(harness.time.now());
});

// The run was answered or cancelled by its caller before the crash.
void test.test('a run that finished before a crash is not reported', () => {
  const harness = new Harness();
  const run = harness.detector.runStarted('a', { content: 'x', parts: [] }, 'r');
  harness.detector.runFinished('a', run);
  harness.changeInstance('gone');
  assert.deepEqual(harness.crashes, []);
});

// Eight runs break with their instance: one check, and one callback for each run.
void test.test('an instance is checked once for all of its broken runs', () => {
  const harness = new Harness();
  let calls = 0;
  for (let index = 0; index < 8; index += 1) {
    const run = harness.detector.runStarted('a', { content: `x${index}`, parts: [] }, 'r');
    harness.detector.runBroken(harness.instance(), run, () => {
      calls += 1;
    });
  }
  harness.time.advance(1_000);
  assert.deepEqual([harness.checks, harness.crashes.length, calls], [1, 8, 8]);
});

// A request found the port closed, and no run was on the instance.
void test.test('an unreachable instance is checked and reported as down', () => {
  const harness = new Harness();
  harness.detector.instanceUnreachable(harness.instance());
  harness.time.advance(100);
  assert.deepEqual([harness.instancesDown, harness.crashes], [['a'], []]);
});

// In a network partition a check may hang; an exchange must not wait for it.
void test.test('the wait for a connection check is bounded', () => {
  const harness = new Harness();
  let calledAt: number | undefined;
  const slow = new crashDetector.CrashDetector({
    timers: timerService.create(harness.time.clock, harness.time),
    check: () => undefined,
    isTerminating: () => false,
    onCrash: () => undefined,
    onInstanceDown: () => undefined,
  });
  slow.runBroken(harness.instance(), slow.runStarted('a', { content: 'x', parts: [] }, 'r'), () => {
    calledAt = harness.time.now();
  });
  harness.time.advance(1_000);
  assert.ok(calledAt !== undefined && calledAt <= 100);
});
