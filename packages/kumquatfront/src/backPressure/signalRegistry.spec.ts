/**
 * Which signal applies when answers overtake each other and other entries receive signals too.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as instanceTestHarness from '../instances/instanceTestHarness.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as signalRegistry from './signalRegistry.js';
import type * as types from './types.js';

const instance: instanceView.Instance = {
  ...instanceTestHarness.announcement('a'),
  firstSeenAt: 0,
  coldUntil: 0,
};

const noSignals: types.UpstreamSignals = { leaving: false, unreadable: [] };

function withRateLimit(rateLimit: number): types.UpstreamSignals {
  return { ...noSignals, rateLimit };
}

/** Creates a registry that records its log events and publications; `others` holds the limit from other entries. */
function createRegistry(): {
  registry: signalRegistry.SignalRegistry;
  time: virtualTime.VirtualTime;
  events: string[];
  publications: (number | undefined)[];
  others: { published: types.KnownRateLimit | undefined };
} {
  const time = new virtualTime.VirtualTime();
  const events: string[] = [];
  const publications: (number | undefined)[] = [];
  const others: { published: types.KnownRateLimit | undefined } = { published: undefined };
  const nothing = (): void => undefined;
  const write = (event: string): number => events.push(event);
  const log: ports.Log = { debug: nothing, info: write, warn: write, error: write };
  const registry = new signalRegistry.SignalRegistry({
    timers: timerService.create(time.clock, time),
    log,
    metrics: { count: nothing, gauge: nothing, timing: nothing },
    recordTerminationNotice: () => true,
    publishedRateLimitOf: () => others.published,
    publishRateLimit: (_identity, perSecond) => publications.push(perSecond),
  });
  return { registry, time, events, publications, others };
}

// The answer to an earlier request arrives after the answer that set the limit.
void test.test('a limit is lifted only by the answer to a request sent after it was received', () => {
  const { registry, time, events } = createRegistry();
  time.advance(1_000);
  registry.applySignals(instance, withRateLimit(2), 900);
  registry.applySignals(instance, noSignals, 950);
  assert.equal(registry.rateLimitOf('a'), 2);
  registry.applySignals(instance, noSignals, 1_001);
  assert.equal(registry.rateLimitOf('a'), undefined);
  assert.deepEqual(events, ['upstreamRateLimited', 'upstreamRateLimitLifted']);
});

void test.test('the newer of the local limit and the limit from other entries applies', () => {
  const { registry, time, others } = createRegistry();
  time.advance(1_000);
  others.published = { perSecond: 3, receivedAt: 500 };
  assert.equal(registry.rateLimitOf('a'), 3);
  registry.applySignals(instance, withRateLimit(2), 900);
  assert.equal(registry.rateLimitOf('a'), 2);
  others.published = { perSecond: undefined, receivedAt: 1_200 };
  assert.equal(registry.rateLimitOf('a'), undefined);
});

// An upstream may send a slightly different limit with every answer to each of many entries.
void test.test(
  'a limit is published if it differs from the published one, at most once in two seconds',
  () => {
    const { registry, time, publications, others } = createRegistry();
    time.advance(1_000);
    for (const perSecond of [2, 1.95, 1, 0.5]) {
      registry.applySignals(instance, withRateLimit(perSecond), time.now());
    }
    assert.deepEqual(publications, [2]);
    others.published = { perSecond: 2, receivedAt: 1_000 };
    time.advance(2_000);
    registry.applySignals(instance, withRateLimit(1.95), time.now());
    assert.deepEqual(publications, [2]);
    registry.applySignals(instance, withRateLimit(1), time.now());
    assert.deepEqual(publications, [2, 1]);
    others.published = { perSecond: 1, receivedAt: 3_000 };
    time.advance(2_000);
    registry.applySignals(instance, noSignals, time.now());
    assert.deepEqual(publications, [2, 1, undefined]);
  },
);

// A second pause follows before the expired one has been removed.
void test.test('each pause is logged, including one that immediately follows another', () => {
  const { registry, time, events } = createRegistry();
  time.advance(100);
  registry.applySignals(instance, { ...noSignals, pause: 2_000 }, 0);
  time.advance(1_000);
  registry.applySignals(instance, { ...noSignals, pause: 500 }, 1_000);
  time.advance(1_100);
  registry.applySignals(instance, { ...noSignals, pause: 2_000 }, 2_150);
  assert.deepEqual(
    events.filter((event) => event === 'upstreamPaused'),
    ['upstreamPaused', 'upstreamPaused'],
  );
  assert.equal(registry.pausedUntil('a'), 4_200);
});

void test.test('a limit that fluctuates slightly is logged once', () => {
  const { registry, events } = createRegistry();
  for (const perSecond of [2, 1.95, 2.05, 1.9]) {
    registry.applySignals(instance, withRateLimit(perSecond), 0);
  }
  assert.deepEqual(events, ['upstreamRateLimited']);
});

void test.test('nothing is published for an upstream that never set a limit', () => {
  const { registry, publications, events } = createRegistry();
  registry.applySignals(instance, noSignals, 0);
  assert.deepEqual(publications, []);
  assert.deepEqual(events, []);
});

// In a network partition control may drop a healthy upstream and list it again seconds later.
void test.test('signals of an upstream survive its temporary removal, but not its restart', () => {
  const { registry, time } = createRegistry();
  time.advance(1_000);
  registry.applySignals(instance, withRateLimit(2), 900);
  registry.onInstanceChange({ instance, event: 'gone' });
  time.advance(5_000);
  registry.onInstanceChange({ instance, event: 'found' });
  time.advance(120_000);
  assert.equal(registry.rateLimitOf('a'), 2);
  registry.onInstanceChange({ instance, event: 'replaced' });
  assert.equal(registry.rateLimitOf('a'), undefined);
  registry.applySignals(instance, withRateLimit(2), time.now());
  registry.onInstanceChange({ instance, event: 'gone' });
  time.advance(120_000);
  assert.equal(registry.rateLimitOf('a'), undefined);
});

void test.test('an unreadable signal is logged once for each upstream', () => {
  const { registry, events } = createRegistry();
  const unreadable = [{ name: 'limit', value: 'many' }];
  registry.applySignals(instance, { ...noSignals, unreadable }, 0);
  registry.applySignals(instance, { ...noSignals, unreadable }, 0);
  assert.deepEqual(events, ['upstreamSignalUnreadable']);
});
