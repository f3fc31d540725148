/**
 * Which of several signals of an upstream counts: answers overtake each other, and other entries hear, too.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceBench from '../instances/instanceBench.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as signalBook from './signalBook.js';
import type * as types from './types.js';

const instance: instanceView.Instance = { ...instanceBench.announcement('a'), firstAt: 0, coldUntil: 0 };

const quiet: types.UpstreamSignals = { leaving: false, unreadable: [] };

function naming(rateLimit: number): types.UpstreamSignals {
  return { ...quiet, rateLimit };
}

/** A book with what it logs and tells; `told` is what others have heard. */
function createBook(): {
  book: signalBook.SignalBook;
  time: virtualTime.VirtualTime;
  events: string[];
  tellings: (number | undefined)[];
  others: { told: types.KnownRateLimit | undefined };
} {
  const time = new virtualTime.VirtualTime();
  const events: string[] = [];
  const tellings: (number | undefined)[] = [];
  const others: { told: types.KnownRateLimit | undefined } = { told: undefined };
  const nothing = (): void => undefined;
  const write = (event: string): number => events.push(event);
  const log: ports.Log = { debug: nothing, info: write, warn: write, error: write };
  const book = new signalBook.SignalBook({
    timers: timerService.create(time.clock, time),
    log,
    metrics: { count: nothing, gauge: nothing, timing: nothing },
    noteNotice: () => true,
    toldOf: () => others.told,
    tell: (_identity, perSecond) => tellings.push(perSecond),
  });
  return { book, time, events, tellings, others };
}

// A slow answer, begun before the limit was named, arrives after one that names it.
void test.test('only the answer to a request sent after a limit was named lifts it', () => {
  const { book, time, events } = createBook();
  time.advance(1_000);
  book.take(instance, naming(2), 900);
  book.take(instance, quiet, 950);
  assert.equal(book.rateLimitOf('a'), 2);
  book.take(instance, quiet, 1_001);
  assert.equal(book.rateLimitOf('a'), undefined);
  assert.deepEqual(events, ['upstreamRateLimited', 'upstreamRateLimitLifted']);
});

void test.test('of what was heard here and elsewhere the newer signal counts', () => {
  const { book, time, others } = createBook();
  time.advance(1_000);
  others.told = { perSecond: 3, heardAt: 500 };
  assert.equal(book.rateLimitOf('a'), 3);
  book.take(instance, naming(2), 900);
  assert.equal(book.rateLimitOf('a'), 2);
  others.told = { perSecond: undefined, heardAt: 1_200 };
  assert.equal(book.rateLimitOf('a'), undefined);
});

// An upstream may name another limit with every answer, to each of hundreds of entries.
void test.test('others are told of what differs from what they know, once in two seconds at most', () => {
  const { book, time, tellings, others } = createBook();
  time.advance(1_000);
  for (const perSecond of [2, 1.95, 1, 0.5]) {
    book.take(instance, naming(perSecond), time.now());
  }
  assert.deepEqual(tellings, [2]);
  others.told = { perSecond: 2, heardAt: 1_000 };
  time.advance(2_000);
  book.take(instance, naming(1.95), time.now());
  assert.deepEqual(tellings, [2]);
  book.take(instance, naming(1), time.now());
  assert.deepEqual(tellings, [2, 1]);
  others.told = { perSecond: 1, heardAt: 3_000 };
  time.advance(2_000);
  book.take(instance, quiet, time.now());
  assert.deepEqual(tellings, [2, 1, undefined]);
});

// The first request after a pause is turned away again, within the second in which the former pause is let go.
void test.test('each pause is logged, also one that follows another at once', () => {
  const { book, time, events } = createBook();
  time.advance(100);
  book.take(instance, { ...quiet, pause: 2_000 }, 0);
  time.advance(1_000);
  book.take(instance, { ...quiet, pause: 500 }, 1_000);
  time.advance(1_100);
  book.take(instance, { ...quiet, pause: 2_000 }, 2_150);
  assert.deepEqual(
    events.filter((event) => event === 'upstreamPaused'),
    ['upstreamPaused', 'upstreamPaused'],
  );
  assert.equal(book.pausedUntil('a'), 4_200);
});

void test.test('a limit that wavers is logged once', () => {
  const { book, events } = createBook();
  for (const perSecond of [2, 1.95, 2.05, 1.9]) {
    book.take(instance, naming(perSecond), 0);
  }
  assert.deepEqual(events, ['upstreamRateLimited']);
});

void test.test('nobody is told of an upstream that never named a limit', () => {
  const { book, tellings, events } = createBook();
  book.take(instance, quiet, 0);
  assert.deepEqual(tellings, []);
  assert.deepEqual(events, []);
});

// Behind a cut control drops an upstream that is well, and lists it again seconds later.
void test.test('what an upstream said outlives its absence from the list, and not its next start', () => {
  const { book, time } = createBook();
  time.advance(1_000);
  book.take(instance, naming(2), 900);
  book.onInstance({ instance, event: 'gone' });
  time.advance(5_000);
  book.onInstance({ instance, event: 'found' });
  time.advance(120_000);
  assert.equal(book.rateLimitOf('a'), 2);
  book.onInstance({ instance, event: 'replaced' });
  assert.equal(book.rateLimitOf('a'), undefined);
  book.take(instance, naming(2), time.now());
  book.onInstance({ instance, event: 'gone' });
  time.advance(120_000);
  assert.equal(book.rateLimitOf('a'), undefined);
});

void test.test('a signal that cannot be read is logged once for each upstream', () => {
  const { book, events } = createBook();
  const unreadable = [{ name: 'limit', value: 'many' }];
  book.take(instance, { ...quiet, unreadable }, 0);
  book.take(instance, { ...quiet, unreadable }, 0);
  assert.deepEqual(events, ['upstreamSignalUnreadable']);
});
