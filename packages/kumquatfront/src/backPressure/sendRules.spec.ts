/**
 * Whoever chooses an upstream, and whoever sends, asks the same rules.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as instanceBench from '../instances/instanceBench.js';
import * as instanceView from '../instances/instanceView.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as plainExchange from '../relay/plainExchange.js';
import * as relayBench from '../relay/relayBench.js';
import * as streamExchange from '../relay/streamExchange.js';
import * as entryShare from '../warmUp/entryShare.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as rateLimitShare from './rateLimitShare.js';
import * as sendRules from './sendRules.js';
import * as signalBook from './signalBook.js';
import type * as types from './types.js';

const quiet: types.UpstreamSignals = { leaving: false, unreadable: [] };

/** An upstream of the bench says something of itself. */
function say(bench: relayBench.RelayBench, identity: string, signals: types.UpstreamSignals): void {
  const instance = bench.context.instances.get(identity);
  assert.ok(instance);
  const { request } = bench.routed('stream');
  const nothing = (): void => undefined;
  const listener = { head: nothing, data: nothing, end: nothing, failed: nothing };
  bench.context.upstreams.send({ request, instance, timeLeft: 1_000 }, listener);
  bench.sent.pop()?.listener.head({ ...relayBench.soundHead, signals });
}

void test.test('a question for a place names the engines that may be sent nothing', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  say(bench, 'a', { ...quiet, rateLimit: 0 });
  new streamExchange.StreamExchange(bench.context, bench.routed('stream')).start();
  assert.deepEqual(bench.asked[0]?.excluded, ['a']);
});

void test.test('a generation is refused at once where no engine may be sent anything', () => {
  const bench = new relayBench.RelayBench(['a']);
  say(bench, 'a', { ...quiet, rateLimit: 0 });
  new streamExchange.StreamExchange(bench.context, bench.routed('stream')).start();
  assert.deepEqual(bench.got, ['refused overloaded']);
  assert.equal(bench.asked.length, 0);
});

// The source stops with the last copy: a generation that is not sent on then is lost.
void test.test('a generation is not moved to an engine that may be sent nothing', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a');
  new streamExchange.StreamExchange(bench.context, bench.routed('stream')).start();
  bench.sent[0]?.listener.head(relayBench.soundHead);
  bench.sent[0]?.listener.data(relayBench.event(1));
  say(bench, 'b', { ...quiet, rateLimit: 0 });
  assert.equal(bench.move('a', 'b').outcome, 'failed');
  assert.equal(bench.copies.length, 0);
});

void test.test('a call goes elsewhere, or hears when to come back', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  say(bench, 'a', { ...quiet, rateLimit: 0.25 });
  new plainExchange.PlainExchange(bench.context, bench.routed('nonIdempotent')).start();
  assert.equal(bench.sent[0]?.call.instance.identity, 'b');
  say(bench, 'b', { ...quiet, rateLimit: 0.25 });
  new plainExchange.PlainExchange(bench.context, bench.routed('nonIdempotent')).start();
  assert.equal(bench.sent.length, 1);
  const refusal = bench.refusals[0];
  assert.equal(refusal?.message, 'every upstream that could take it is at its rate limit');
  assert.ok((refusal.retryAfter ?? 0) >= rateLimitShare.RATE_WINDOW);
});

// The coordinator does not know yet; the exchange learns that nothing was sent, and goes elsewhere.
void test.test('nothing is sent to an engine that has given notice meanwhile', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  new streamExchange.StreamExchange(bench.context, bench.routed('stream')).start();
  bench.places.push('a', 'b');
  say(bench, 'a', { ...quiet, leaving: true });
  new streamExchange.StreamExchange(bench.context, bench.routed('stream')).start();
  bench.time.advance(10);
  assert.deepEqual(
    bench.sent.map(({ call }) => call.instance.identity),
    ['b'],
  );
});

// Its source has stopped: not sent on, the generation would be lost.
void test.test('a generation goes on from its copy at an engine that has asked for a pause meanwhile', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a');
  new streamExchange.StreamExchange(bench.context, bench.routed('stream')).start();
  bench.sent[0]?.listener.head(relayBench.soundHead);
  bench.sent[0]?.listener.data(relayBench.event(1));
  bench.move('a', 'b');
  bench.copies[0]?.done({ state: 'copied', handle: 'first' });
  bench.sent[0]?.listener.failed('broken', 'stopped');
  say(bench, 'b', { ...quiet, pause: 3_000 });
  bench.copies[1]?.done({ state: 'copied', handle: 'last' });
  assert.equal(bench.sent[1]?.call.instance.identity, 'b');
});

void test.test(
  'of several pauses the one that ends last counts, and none is longer than half a minute',
  () => {
    const bench = new relayBench.RelayBench(['a']);
    const { rules, instances, timers } = bench.context;
    const instance = instances.get('a');
    assert.ok(instance);
    say(bench, 'a', { ...quiet, pause: 2_000 });
    bench.time.advance(100);
    bench.context.upstreams.send(
      { request: bench.routed('stream').request, instance, timeLeft: 1_000 },
      { head: () => undefined, data: () => undefined, end: () => undefined, failed: () => undefined },
    );
    assert.equal(rules.holdOf(instance, timers.now())?.until, 2_000);
    bench.time.advance(1_900);
    assert.equal(rules.holdOf(instance, timers.now()), undefined);
    say(bench, 'a', { ...quiet, pause: 31_536_000_000 });
    assert.equal(rules.holdOf(instance, timers.now())?.until, 32_000);
  },
);

/** The rules of one of many entries, before an upstream that names a limit. */
function rulesOf(entry: string, entryCount: number, time: virtualTime.VirtualTime): sendRules.SendRules {
  const nothing = (): void => undefined;
  const view = new instanceView.InstanceView(nothing);
  return new sendRules.SendRules({
    entry,
    random: seededRandom.create(1),
    instances: view,
    signals: new signalBook.SignalBook({
      timers: timerService.create(time.clock, time),
      log: { debug: nothing, info: nothing, warn: nothing, error: nothing },
      metrics: { count: nothing, gauge: nothing, timing: nothing },
      noteNotice: () => true,
      toldOf: () => ({ perSecond: 0, heardAt: 0 }),
      tell: nothing,
    }),
    rateShare: new entryShare.EntryShare(entry, () => entryCount, rateLimitShare.RATE_WINDOW),
    coldShare: new entryShare.EntryShare(entry, () => entryCount, warmUpBounds.COLD_WINDOW),
    toleratedBy: () => undefined,
  });
}

// A limit of nothing leaves no entry a share: none would hear that it is over.
void test.test('entries without a share find out now and then whether a limit is over', () => {
  const time = new virtualTime.VirtualTime();
  const instance = { ...instanceBench.announcement('a'), firstAt: 0, coldUntil: 0 };
  const ENTRIES = 75;
  const all = Array.from({ length: ENTRIES }, (_, index) => rulesOf(`edge-${index}`, ENTRIES, time));
  const probes: number[] = [];
  for (let second = 0; second < 600; second += 1) {
    for (const rules of all) {
      if (rules.holdOf(instance, time.now()) === undefined) {
        rules.sentTo(instance, time.now());
        probes.push(time.now());
      }
    }
    time.advance(1_000);
  }
  assert.ok(probes.length >= 20 && probes.length <= 50, `${probes.length} in ten minutes`);
  const most = Math.max(
    ...probes.map((at) => probes.filter((other) => other >= at && other - at < 4_000).length),
  );
  assert.ok(most <= 5, `${most} in four seconds`);
});
