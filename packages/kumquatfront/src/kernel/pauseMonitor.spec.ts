/**
 * Detection of pauses, by either clock.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as pauseMonitor from './pauseMonitor.js';
import * as timerService from './timerService.js';
import * as virtualTime from './virtualTime.js';

interface Monitored {
  readonly time: virtualTime.VirtualTime;
  readonly monitor: pauseMonitor.PauseMonitor;
  /** Offsets of the clocks against virtual time. */
  readonly offsets: { monotonic: number; wall: number };
  readonly logged: string[];
}

function create(): Monitored {
  const time = new virtualTime.VirtualTime();
  const offsets = { monotonic: 0, wall: 0 };
  const clock = {
    now: () => time.clock.now() + offsets.monotonic,
    wall: () => time.clock.wall() + offsets.wall,
  };
  const logged: string[] = [];
  const noop = (): void => undefined;
  const warn = (event: string, fields = {}): void => {
    logged.push(`${event} ${JSON.stringify(fields)}`);
  };
  const monitor = new pauseMonitor.PauseMonitor({
    timers: timerService.create(clock, { after: (delay, run) => time.after(delay, run) }),
    clock,
    log: { debug: noop, info: noop, warn, error: noop },
    metrics: { count: noop, gauge: noop, timing: noop },
  });
  time.advance(1_050);
  return { time, monitor, offsets, logged };
}

// Guards against reading what has waited before the timer that notices the pause.
void test.test('a pause is known at once, for as long as what waited is read, and logged', () => {
  const { time, monitor, offsets, logged } = create();
  assert.equal(monitor.recentPause(), 0);
  offsets.monotonic += 3_000;
  offsets.wall += 3_000;
  assert.equal(monitor.recentPause(), 3_050);
  time.advance(250);
  assert.equal(monitor.recentPause(), 3_100);
  time.advance(100);
  assert.equal(monitor.recentPause(), 0);
  assert.deepEqual(logged, ['processPaused {"duration":3100}']);
});

// Guards against suspended machines, whose monotonic clock stands still.
void test.test('a pause that only the wall clock shows counts', () => {
  const { monitor, offsets } = create();
  offsets.wall += 2_000;
  assert.ok(monitor.recentPause() >= 2_000);
});

void test.test('short delays and a wall clock that is set back do not count', () => {
  const { time, monitor, offsets, logged } = create();
  offsets.monotonic += 400;
  offsets.wall -= 5_000;
  assert.equal(monitor.recentPause(), 0);
  time.advance(1_000);
  assert.equal(monitor.recentPause(), 0);
  assert.deepEqual(logged, []);
});
