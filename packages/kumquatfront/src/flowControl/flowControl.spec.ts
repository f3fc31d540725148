/**
 * Sources that wait for their receiver, and receivers that take nothing.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as flowControl from './flowControl.js';
import * as stallWatch from './stallWatch.js';

interface Played {
  readonly time: virtualTime.VirtualTime;
  readonly flow: flowControl.FlowControl;
  readonly calls: string[];
  readonly source: (name: string) => flowControl.Source;
}

function start(): Played {
  const time = new virtualTime.VirtualTime();
  const calls: string[] = [];
  const record = (call: string) => (): void => {
    calls.push(call);
  };
  const flow = new flowControl.FlowControl({
    now: () => time.now(),
    onBlocked: record('blocked'),
    onDrained: record('drained'),
  });
  const source = (name: string): flowControl.Source => ({
    pause: record(`${name} paused`),
    resume: record(`${name} resumed`),
    readToEnd: record(`${name} read to its end`),
  });
  return { time, flow, calls, source };
}

// Guards against a source that goes on sending, and one that is never read again.
void test.test('a source waits from the first write that is too much until its receiver has drained', () => {
  const { flow, calls, source } = start();
  flow.attach(source('a'));
  flow.recordWrite(true);
  flow.recordWrite(false);
  flow.recordWrite(false);
  assert.equal(flow.isPaused, true);
  flow.recordDrain();
  flow.recordDrain();
  assert.equal(flow.isPaused, false);
  assert.deepEqual(calls, ['a paused', 'blocked', 'drained', 'a resumed']);
});

// Guards against silence that a source is blamed for.
void test.test('the clock of reading stands still during pauses', () => {
  const { time, flow, source } = start();
  flow.attach(source('a'));
  time.advance(100);
  flow.recordWrite(false);
  time.advance(7_000);
  assert.equal(flow.readingTime(), 100);
  assert.equal(flow.pausedTime, 7_000);
  flow.recordDrain();
  time.advance(50);
  assert.equal(flow.readingTime(), 150);
  assert.equal(flow.pausedTime, 7_000);
});

// Guards against a new source that is taken for silent, or that sends to a receiver which still takes nothing.
void test.test('a source that follows during a pause is read until its first write', () => {
  const { time, flow, calls, source } = start();
  flow.attach(source('a'));
  flow.recordWrite(false);
  time.advance(1_000);
  flow.attach(source('b'));
  assert.equal(flow.isPaused, false);
  time.advance(500);
  flow.recordWrite(false);
  assert.equal(flow.isPaused, true);
  time.advance(2_000);
  flow.recordDrain();
  assert.deepEqual(calls, ['a paused', 'blocked', 'b paused', 'drained', 'b resumed']);
  assert.equal(flow.pausedTime, 3_000);
});

// Guards against a pause that goes on without a source.
void test.test('the end of a source ends its pause', () => {
  const { time, flow, calls, source } = start();
  flow.attach(source('a'));
  flow.recordWrite(false);
  flow.detach();
  time.advance(1_000);
  flow.recordWrite(false);
  flow.recordDrain();
  assert.equal(flow.pausedTime, 0);
  assert.deepEqual(calls, ['a paused', 'blocked', 'drained']);
});

// Guards against a source that has stopped and whose end is never read.
void test.test('a source that is read to its end is not paused again, and its successor is', () => {
  const { flow, calls, source } = start();
  flow.attach(source('a'));
  flow.recordWrite(false);
  flow.readToEnd();
  flow.recordWrite(false);
  assert.equal(flow.isPaused, false);
  flow.attach(source('b'));
  flow.recordWrite(false);
  assert.deepEqual(calls, ['a paused', 'blocked', 'a resumed', 'a read to its end', 'b paused']);
});

function watch(takes: (now: number) => number, duration: number): number | undefined {
  const time = new virtualTime.VirtualTime();
  let stalledAt: number | undefined;
  stallWatch.start({
    timers: timerService.create(time.clock, time),
    takenBytes: () => takes(time.now()),
    limit: 5_000,
    onStalled: () => {
      stalledAt = time.now();
    },
  });
  time.advance(duration);
  return stalledAt;
}

// Guards against callers that hold their upstream without reading.
void test.test('a receiver that takes nothing within the limit is let go', () => {
  assert.equal(
    watch(() => 0, 60_000),
    5_000,
  );
  assert.equal(
    watch((now) => Math.min(now, 3_000), 60_000),
    8_000,
  );
});

// Guards against a bound on the pace of a receiver.
void test.test('a receiver that takes a byte within each limit is kept', () => {
  assert.equal(
    watch((now) => Math.floor(now / 4_000), 60_000),
    undefined,
  );
});

void test.test('a watch that was ended reports nothing', () => {
  const time = new virtualTime.VirtualTime();
  const stop = stallWatch.start({
    timers: timerService.create(time.clock, time),
    takenBytes: () => 0,
    limit: 5_000,
    onStalled: () => assert.fail('the watch had ended'),
  });
  time.advance(4_900);
  stop();
  time.advance(60_000);
});

// Guards against silence that a source is blamed for while the process does not read it, and a second pause that ends the first.
void test.test(
  'the clock of reading stands still while the process holds the source, or its receiver takes nothing',
  () => {
    const { time, flow, calls, source } = start();
    flow.attach(source('a'));
    flow.recordHold(true);
    time.advance(1_000);
    flow.recordWrite(false);
    time.advance(1_000);
    flow.recordHold(false);
    time.advance(1_000);
    flow.recordDrain();
    assert.equal(flow.pausedTime, 3_000);
    time.advance(50);
    assert.equal(flow.readingTime(), 50);
    assert.deepEqual(calls, ['a paused', 'blocked', 'drained', 'a resumed']);
  },
);

// Guards against a source that is not timed at all, since its predecessor was held when it ended.
void test.test('a hold ends with its source', () => {
  const { time, flow, source } = start();
  flow.attach(source('a'));
  flow.recordHold(true);
  time.advance(1_000);
  flow.attach(source('b'));
  time.advance(1_000);
  assert.equal(flow.pausedTime, 1_000);
});
