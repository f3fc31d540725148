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
import * as entryUtilization from './entryUtilization.js';
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

// A swing around the limit is no growth; it must not refuse generations again and again.
void test.test('memory that swings around the limit refuses generations once', () => {
  const { time, load, measured } = create();
  let refused = 0;
  for (let swing = 0; swing < 20; swing += 1) {
    measured.residentBytes = 170.5 * MEGABYTE;
    time.advance(200);
    refused += load.generationRefusal() === undefined ? 0 : 1;
    measured.residentBytes = 165 * MEGABYTE;
    time.advance(2_000);
  }
  assert.equal(refused, 1);
});

// Node.js keeps memory after a burst; its entry is idle and must neither lose callers nor weight.
void test.test('memory that is high but does not grow closes connections for some seconds only', () => {
  const { time, load, measured } = create();
  measured.residentBytes = 176 * MEGABYTE;
  time.advance(400);
  assert.ok(closedOf(load) > 300);
  time.advance(5_000);
  assert.equal(closedOf(load), 0);
  assert.equal(entryUtilization.pressure(load.status().utilization), 0);
});

void test.test('near several limits, at most half of the responses close their connection', () => {
  const { time, load, measured } = create();
  measured.residentBytes = 178 * MEGABYTE;
  Array.from({ length: 100 }, () => load.openConnection());
  measured.lag = 250;
  time.advance(2_000);
  const closed = closedOf(load, 10_000);
  assert.ok(closed > 4_700 && closed < 5_300, `${closed} of 10,000 closed`);
});

void test.test('one pause of a second does not reduce the weight', () => {
  const { time, load, measured } = create();
  time.advance(2_000);
  measured.lag = 1_000;
  time.advance(200);
  measured.lag = 0;
  const [eventLoop] = load.status().utilization;
  assert.ok((eventLoop ?? 0) > 0 && (eventLoop ?? 100) < 84, `${eventLoop}`);
  const utilization = new entryUtilization.EntryUtilization({}, 0);
  utilization.add({ lag: 900, bytes: 0, openConnections: 0, openStreams: 0, residentBytes: 1 }, 1_000);
  assert.ok(utilization.current.eventLoop < 0.84, `${utilization.current.eventLoop}`);
});

function trackReader(
  load: entryLoad.EntryLoad,
  request: string,
  unread: { bytes: number; queued?: number },
  disconnected: string[],
): ReturnType<slowReaders.SlowReaders['track']> {
  return load.readers.track({
    request,
    unreadBytes: () => unread.bytes,
    queuedBytes: () => unread.queued ?? 0,
    disconnect: () => {
      disconnected.push(request);
    },
  });
}

const noWrite = (): void => undefined;

void test.test(
  'a stream of which more than 1 MB stays unread for 5 s is disconnected, with a log line',
  () => {
    const { time, load, lines } = create();
    const disconnected: string[] = [];
    const unread = { bytes: 0 };
    const { write } = trackReader(load, 'r1', unread, disconnected);
    write(() => {
      unread.bytes = slowReaders.CALLER_BOUND;
    });
    time.advance(20_000);
    assert.deepEqual(disconnected, []);
    write(() => {
      unread.bytes += 1;
    });
    time.advance(400);
    assert.deepEqual(disconnected, ['r1']);
    time.advance(10_000);
    assert.deepEqual(disconnected, ['r1']);
    assert.match(
      lines.at(-1) ?? '',
      /slowReaderDisconnected.*"request":"r1","unread":1048577,"bound":"caller"/,
    );
  },
);

// A caller on a slow link is behind for as long as its stream is written, and must still be served.
void test.test('a caller that reads is never disconnected, however slowly and whatever is unread', () => {
  const { time, load } = create();
  const disconnected: string[] = [];
  const behind = { bytes: 0 };
  const batch = { bytes: 0, queued: 0 };
  const paused = { bytes: 0 };
  const readers = [behind, batch, paused].map((unread, index) =>
    trackReader(load, `r${index}`, unread, disconnected),
  );
  for (let step = 0; step < 600; step += 1) {
    // Reads less than is written, so that its unread bytes grow at every sample.
    behind.bytes -= Math.min(behind.bytes, 100);
    readers[0]?.write(() => {
      behind.bytes += 100_000;
    });
    // One write of 40 MB that the operating system takes in small parts.
    if (step === 0) {
      readers[1]?.write(() => {
        batch.bytes = 40 * MEGABYTE;
        batch.queued = 40 * MEGABYTE;
      });
    }
    batch.queued -= 1;
    // Reads once in 4.8 s.
    if (step % 24 === 0) {
      paused.bytes -= Math.min(paused.bytes, 1);
    }
    readers[2]?.write(() => {
      paused.bytes += 50_000;
    });
    time.advance(200);
  }
  assert.deepEqual(disconnected, []);
  time.advance(5_200);
  assert.deepEqual([...disconnected].sort(), ['r0', 'r1', 'r2']);
});

// Its unread bytes fall only when the whole write is complete, which takes long on a slow link.
void test.test('a complete response is never cut, however long it stays unread', () => {
  const { time, load, lines } = create();
  const disconnected: string[] = [];
  trackReader(load, 'complete', { bytes: 100 * MEGABYTE, queued: 100 * MEGABYTE }, disconnected);
  time.advance(120_000);
  assert.deepEqual([disconnected, lines], [[], []]);
});

void test.test('unread bytes of all callers are bounded; only stalled streams are disconnected', () => {
  const { time, load } = create();
  const disconnected: string[] = [];
  // 35.6 MB are a fifth of the memory.
  const reading = { bytes: 40 * MEGABYTE };
  const small = { bytes: MEGABYTE / 2 };
  trackReader(load, 'stalled', small, disconnected).write(noWrite);
  time.advance(10_000);
  assert.deepEqual(disconnected, []);
  trackReader(load, 'reading', reading, disconnected).write(noWrite);
  const gone = trackReader(load, 'gone', { bytes: 50 * MEGABYTE }, disconnected);
  gone.write(noWrite);
  gone.remove();
  for (let step = 0; step < 100; step += 1) {
    reading.bytes -= 1;
    time.advance(200);
  }
  assert.deepEqual(disconnected, ['stalled']);
});

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
