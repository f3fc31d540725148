/**
 * Selection of upstreams and sending both respect temporary exclusions.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as instanceTestHarness from '../instances/instanceTestHarness.js';
import * as instanceView from '../instances/instanceView.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as bufferedExchange from '../relay/bufferedExchange.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';
import * as streamExchange from '../relay/streamExchange.js';
import * as entryShare from '../warmUp/entryShare.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as rateLimitShare from './rateLimitShare.js';
import * as sendPolicy from './sendPolicy.js';
import * as signalRegistry from './signalRegistry.js';
import type * as types from './types.js';

const noSignals: types.UpstreamSignals = { leaving: false, unreadable: [] };

/** Delivers an answer with back-pressure signals from an upstream of the harness. */
function deliverSignals(
  harness: relayTestHarness.RelayTestHarness,
  identity: string,
  signals: types.UpstreamSignals,
): void {
  const instance = harness.context.instances.get(identity);
  assert.ok(instance);
  const { request } = harness.createRoutedRequest('stream');
  const nothing = (): void => undefined;
  const listener = { head: nothing, data: nothing, end: nothing, failed: nothing };
  harness.context.upstreams.send(
    { request, instance, timeLeft: 1_000, isStream: true, origin: undefined },
    listener,
  );
  harness.sentCalls.pop()?.listener.head({ ...relayTestHarness.okHead, signals });
}

void test.test('a placement request lists the excluded engines', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  deliverSignals(harness, 'a', { ...noSignals, rateLimit: 0 });
  new streamExchange.StreamExchange(harness.context, harness.createRoutedRequest('stream')).start();
  assert.deepEqual(harness.placementRequests[0]?.excluded, ['a']);
});

void test.test('a generation is refused immediately if every engine is excluded', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  deliverSignals(harness, 'a', { ...noSignals, rateLimit: 0 });
  new streamExchange.StreamExchange(harness.context, harness.createRoutedRequest('stream')).start();
  assert.deepEqual(harness.callerEvents, ['refused overloaded']);
  assert.equal(harness.placementRequests.length, 0);
});

// The source stops with the last copy, so a generation that could not be sent afterwards would be lost.
void test.test('a generation is not moved to an excluded engine', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  new streamExchange.StreamExchange(harness.context, harness.createRoutedRequest('stream')).start();
  harness.sentCalls[0]?.listener.head(relayTestHarness.okHead);
  harness.sentCalls[0]?.listener.data(relayTestHarness.streamEvent(1));
  deliverSignals(harness, 'b', { ...noSignals, rateLimit: 0 });
  assert.equal(harness.move('a', 'b').outcome, 'failed');
  assert.equal(harness.copyRequests.length, 0);
});

void test.test('a call is sent to another upstream, or refused with a retry time', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  deliverSignals(harness, 'a', { ...noSignals, rateLimit: 0.25 });
  new bufferedExchange.BufferedExchange(
    harness.context,
    harness.createRoutedRequest('nonIdempotent'),
  ).start();
  assert.equal(harness.sentCalls[0]?.call.instance.identity, 'b');
  deliverSignals(harness, 'b', { ...noSignals, rateLimit: 0.25 });
  new bufferedExchange.BufferedExchange(
    harness.context,
    harness.createRoutedRequest('nonIdempotent'),
  ).start();
  assert.equal(harness.sentCalls.length, 1);
  const refusal = harness.refusals[0];
  assert.equal(refusal?.message, 'every upstream that could take it is at its rate limit');
  assert.ok((refusal.retryAfter ?? 0) >= rateLimitShare.RATE_WINDOW);
});

// The coordinator does not know yet; the exchange learns that nothing was sent and uses another engine.
void test.test('nothing is sent to an engine that has announced its shutdown since it was chosen', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  new streamExchange.StreamExchange(harness.context, harness.createRoutedRequest('stream')).start();
  harness.placements.push('a', 'b');
  deliverSignals(harness, 'a', { ...noSignals, leaving: true });
  new streamExchange.StreamExchange(harness.context, harness.createRoutedRequest('stream')).start();
  harness.time.advance(10);
  assert.deepEqual(
    harness.sentCalls.map(({ call }) => call.instance.identity),
    ['b'],
  );
});

// The source has stopped, so the generation would be lost otherwise.
void test.test('a generation resumes from its copy on an engine that has asked for a pause since', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  new streamExchange.StreamExchange(harness.context, harness.createRoutedRequest('stream')).start();
  harness.sentCalls[0]?.listener.head(relayTestHarness.okHead);
  harness.sentCalls[0]?.listener.data(relayTestHarness.streamEvent(1));
  harness.move('a', 'b');
  harness.copyRequests[0]?.done({ state: 'copied', handle: 'first' });
  harness.sentCalls[0]?.listener.failed('broken', 'stopped');
  deliverSignals(harness, 'b', { ...noSignals, pause: 3_000 });
  harness.copyRequests[1]?.done({ state: 'copied', handle: 'last' });
  assert.equal(harness.sentCalls[1]?.call.instance.identity, 'b');
});

void test.test(
  'of several pauses the one that ends last applies, and none is longer than half a minute',
  () => {
    const harness = new relayTestHarness.RelayTestHarness(['a']);
    const { sendPolicy: policy, instances, timers } = harness.context;
    const instance = instances.get('a');
    assert.ok(instance);
    deliverSignals(harness, 'a', { ...noSignals, pause: 2_000 });
    harness.time.advance(100);
    harness.context.upstreams.send(
      {
        request: harness.createRoutedRequest('stream').request,
        instance,
        timeLeft: 1_000,
        isStream: true,
        origin: undefined,
      },
      { head: () => undefined, data: () => undefined, end: () => undefined, failed: () => undefined },
    );
    assert.equal(policy.exclusionOf(instance, timers.now())?.until, 2_000);
    harness.time.advance(1_900);
    assert.equal(policy.exclusionOf(instance, timers.now()), undefined);
    deliverSignals(harness, 'a', { ...noSignals, pause: 31_536_000_000 });
    assert.equal(policy.exclusionOf(instance, timers.now())?.until, 32_000);
  },
);

/** Creates the send policy of one of many entries, where every upstream has a rate limit of 0. */
function createPolicy(
  entry: string,
  entryCount: number,
  time: virtualTime.VirtualTime,
): sendPolicy.SendPolicy {
  const nothing = (): void => undefined;
  const view = new instanceView.InstanceView(nothing);
  return new sendPolicy.SendPolicy({
    entry,
    random: seededRandom.create(1),
    instances: view,
    signals: new signalRegistry.SignalRegistry({
      timers: timerService.create(time.clock, time),
      log: { debug: nothing, info: nothing, warn: nothing, error: nothing },
      metrics: { count: nothing, gauge: nothing, timing: nothing },
      recordTerminationNotice: () => true,
      publishedRateLimitOf: () => ({ perSecond: 0, receivedAt: 0 }),
      publishRateLimit: nothing,
    }),
    rateShare: new entryShare.EntryShare(entry, () => entryCount, rateLimitShare.RATE_WINDOW),
    coldShare: new entryShare.EntryShare(entry, () => entryCount, warmUpBounds.COLD_WINDOW),
    warmUpLimitOf: () => undefined,
  });
}

// With a limit of 0 no entry has a share, so none would learn that the limit was lifted.
void test.test('entries without a share probe occasionally whether a limit was lifted', () => {
  const time = new virtualTime.VirtualTime();
  const instance = { ...instanceTestHarness.announcement('a'), firstSeenAt: 0, coldUntil: 0 };
  const ENTRIES = 75;
  const all = Array.from({ length: ENTRIES }, (_, index) => createPolicy(`edge-${index}`, ENTRIES, time));
  const probes: number[] = [];
  for (let second = 0; second < 600; second += 1) {
    for (const policy of all) {
      if (policy.exclusionOf(instance, time.now()) === undefined) {
        policy.recordSent(instance, time.now());
        probes.push(time.now());
      }
    }
    time.advance(1_000);
  }
  assert.ok(probes.length >= 20 && probes.length <= 50, `${probes.length} in ten minutes`);
  const maximum = Math.max(
    ...probes.map((at) => probes.filter((other) => other >= at && other - at < 4_000).length),
  );
  assert.ok(maximum <= 5, `${maximum} in four seconds`);
});
