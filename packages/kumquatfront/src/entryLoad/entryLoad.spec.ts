/**
 * Utilization, closing of connections, refusals for lack of memory, and slow readers of one entry, on virtual time.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as processLoad from '../adapters/processLoad.js';
import * as seededRandom from '../adapters/seededRandom.js';
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as entryLoad from './entryLoad.js';
import * as slowReaders from './slowReaders.js';

const MEGABYTE = 1_048_576;

interface Harness {
  readonly time: virtualTime.VirtualTime;
  readonly load: entryLoad.EntryLoad;
  readonly measured: { lag: number; residentBytes: number };
  readonly lines: string[];
}

function create(): Harness {
  const time = new virtualTime.VirtualTime();
  const lines: string[] = [];
  const write = (event: string, fields?: ports.LogFields): void => {
    lines.push(`${event} ${JSON.stringify(fields ?? {})}`);
  };
  const noop = (): void => undefined;
  const measured = { lag: 0, residentBytes: 100 * MEGABYTE };
  const load = new entryLoad.EntryLoad({
    timers: timerService.create(time.clock, time),
    log: { debug: write, info: write, warn: write, error: write },
    metrics: { count: noop, gauge: noop, timing: noop },
    random: seededRandom.create(3),
    capacity: { cores: 0.324, memoryMegabytes: 178, descriptors: 100, linkMegabitsPerSecond: 8 },
    probe: { takeLag: () => measured.lag, residentBytes: () => measured.residentBytes },
  });
  return { time, load, measured, lines };
}

function closedOf(load: entryLoad.EntryLoad, responses = 1_000): number {
  return Array.from({ length: responses }, () => load.shouldClose()).filter(Boolean).length;
}

void test.test('utilization is reported in hundredths of the stated capacity', () => {
  const { time, load, measured } = create();
  measured.lag = 15;
  const closeConnection = load.openConnection();
  load.openConnection();
  const endRequest = load.openRequest();
  for (let step = 0; step < 50; step += 1) {
    load.addBytes(100_000);
    time.advance(200);
  }
  assert.deepEqual(load.status(), { capacity: [0.324, 178, 100, 8], utilization: [50, 50, 3, 56] });
  closeConnection();
  endRequest();
  measured.lag = 0;
  time.advance(10_000);
  assert.deepEqual(load.status().utilization, [0, 0, 1, 56]);
});

// All callers of a slow entry at once would overload the others, and reconnecting costs the entry processor time.
void test.test('an entry near a limit closes some of the connections, and no others do', () => {
  const { time, load, measured, lines } = create();
  time.advance(1_000);
  assert.equal(closedOf(load), 0);
  measured.lag = 150;
  time.advance(6_000);
  const closed = closedOf(load);
  assert.ok(closed > 200 && closed < 500, `${closed} of 1,000 closed`);
  measured.lag = 0;
  time.advance(6_000);
  assert.equal(closedOf(load), 0);
  const closers = Array.from({ length: 90 }, () => load.openConnection());
  time.advance(200);
  assert.ok(closedOf(load) > 100);
  for (const close of closers) {
    close();
  }
  time.advance(200);
  assert.equal(closedOf(load), 0);
  assert.equal(lines.filter((line) => line.startsWith('entryNearLimits')).length, 4, lines.join('\n'));
});

// Node.js keeps memory after a burst: an entry that refused for as long as it does would be lost for good.
void test.test('new generations are refused while memory grows close to its limit, and no longer', () => {
  const { time, load, measured } = create();
  measured.residentBytes = 165 * MEGABYTE;
  time.advance(1_000);
  assert.equal(load.generationRefusal(), undefined);
  measured.residentBytes = 171 * MEGABYTE;
  time.advance(200);
  const refusal = load.generationRefusal();
  assert.deepEqual([refusal?.reason, refusal?.closesConnection], ['overloaded', true]);
  time.advance(1_200);
  assert.equal(load.generationRefusal(), undefined);
  measured.residentBytes = 174 * MEGABYTE;
  time.advance(200);
  assert.ok(load.generationRefusal() !== undefined);
  measured.residentBytes = 120 * MEGABYTE;
  time.advance(200);
  assert.equal(load.generationRefusal(), undefined);
});

function trackReader(
  load: entryLoad.EntryLoad,
  request: string,
  unread: { bytes: number },
  disconnected: string[],
): ReturnType<slowReaders.SlowReaders['track']> {
  return load.readers.track({
    request,
    unreadBytes: () => unread.bytes,
    disconnect: () => {
      disconnected.push(request);
    },
  });
}

void test.test('a stream whose caller leaves more than 1 MB unread is disconnected, with a log line', () => {
  const { load, lines } = create();
  const disconnected: string[] = [];
  const unread = { bytes: slowReaders.CALLER_BOUND };
  const { onWrite } = trackReader(load, 'r1', unread, disconnected);
  onWrite();
  assert.deepEqual(disconnected, []);
  unread.bytes += 1;
  onWrite();
  onWrite();
  assert.deepEqual(disconnected, ['r1']);
  assert.match(
    lines.at(-1) ?? '',
    /slowReaderDisconnected.*"request":"r1","unread":1048577,"bound":"caller"/,
  );
});

void test.test(
  'unread bytes of all callers are bounded; stalled callers are disconnected before others',
  () => {
    const { time, load } = create();
    const disconnected: string[] = [];
    // 35.6 MB are a fifth of the memory.
    const stalled = { bytes: 3 * MEGABYTE };
    const reading = { bytes: 40 * MEGABYTE };
    trackReader(load, 'stalled', stalled, disconnected);
    time.advance(1_500);
    assert.deepEqual(disconnected, []);
    trackReader(load, 'reading', reading, disconnected);
    for (let step = 0; step < 3; step += 1) {
      reading.bytes -= MEGABYTE;
      time.advance(200);
    }
    assert.deepEqual(disconnected.slice(0, 1), ['stalled']);
    const gone = trackReader(load, 'gone', { bytes: 50 * MEGABYTE }, disconnected);
    gone.remove();
    time.advance(1_000);
    assert.ok(!disconnected.some((request) => request === 'gone'));
  },
);

void test.test('the lag is the time by which timers are late, weighted by its duration', () => {
  const time = new virtualTime.VirtualTime();
  let stall = 0;
  const scheduler: ports.Scheduler = { after: (delay, run) => time.after(delay + stall, run) };
  const probe = processLoad.create(time.clock, scheduler, () => 1);
  time.advance(1_000);
  assert.equal(probe.takeLag(), 0);
  stall = 75;
  time.advance(1_000);
  const lag = probe.takeLag();
  assert.ok(lag > 65 && lag <= 75, `${lag}`);
  stall = 0;
  time.advance(100);
  probe.takeLag();
  time.advance(1_000);
  assert.equal(probe.takeLag(), 0);
  assert.equal(probe.takeLag(), 0);
});
