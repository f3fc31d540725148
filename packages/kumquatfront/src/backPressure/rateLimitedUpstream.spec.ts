/**
 * Upstreams that begin to name a rate limit in their answers.
 *
 * Seen: two of four upstreams of a service named limits of 1.9 and 1.4 requests a second for all senders together. Each
 * went on getting 6 a second from seven entries, as before. Caused by: entries handed the header on to callers and read
 * nothing from it, so that the choice of an upstream did not depend on it. Proved by the arrivals at those upstreams,
 * the same before and after, and by this system, where entries are sent the same answers and nothing else is wrong.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as crashBench from '../quarantine/crashBench.js';
import * as relayBench from '../relay/relayBench.js';
import type * as relayTypes from '../relay/types.js';

/** From this time after a limit was named first it is kept. */
const KEPT_AFTER: ports.Milliseconds = 3_000;
/** An entry that was told less than this before has requests under way still. */
const TOLD_BEFORE: ports.Milliseconds = 500;
/** What may arrive in any window of this length: one and a half times the limit, and some requests. */
const WINDOW: ports.Milliseconds = 4_000;
const OVERSHOOT = 1.5;
const SPARE_REQUESTS = 5;

function naming(rateLimit: number): relayTypes.UpstreamHead {
  return { ...relayBench.soundHead, signals: { rateLimit, leaving: false, unreadable: [] } };
}

/** The most arrivals of these in any window. */
function mostInWindow(arrivals: readonly crashBench.Arrival[]): number {
  const times = arrivals.map(({ at }) => at);
  return Math.max(
    0,
    ...times.map((at) => times.filter((other) => other >= at && other - at < WINDOW).length),
  );
}

function allowedBy(limit: number): number {
  return OVERSHOOT * limit * (WINDOW / 1_000) + SPARE_REQUESTS;
}

/** The most arrivals in any window at an upstream that names a limit, from entries that it had told. */
function mostArrivals(bench: crashBench.CrashBench, upstream: string): number {
  const toldAt = new Map<string, ports.Milliseconds>();
  for (const { head, upstream: from, entry, at } of bench.answers) {
    if (from === upstream && head.signals?.rateLimit !== undefined && !toldAt.has(entry)) {
      toldAt.set(entry, at);
    }
  }
  const from = Math.min(...toldAt.values()) + KEPT_AFTER;
  const counted = bench.arrivals
    .filter((arrival) => arrival.upstream === upstream && arrival.at >= from)
    .filter(({ entry, at }) => at >= (toldAt.get(entry) ?? Number.POSITIVE_INFINITY) + TOLD_BEFORE)
    .map(({ at }) => at);
  return Math.max(
    0,
    ...counted.map((at) => counted.filter((other) => other >= at && other - at < WINDOW).length),
  );
}

for (const service of ['app', 'llm'] as const) {
  void test.test(`entries together keep to the rate limit that an upstream names (${service})`, () => {
    const bench = new crashBench.CrashBench(7, { llm: 4, app: 4 }, () => 'served');
    const limits = new Map([
      [`${service}-1`, 1.9],
      [`${service}-2`, 1.4],
    ]);
    bench.drive(service, 24, 4_000);
    bench.headOf = (upstream) => naming(limits.get(upstream) ?? 1_000);
    bench.drive(service, 24, 16_000);
    for (const [upstream, limit] of limits) {
      const most = mostArrivals(bench, upstream);
      assert.ok(
        most <= allowedBy(limit),
        `${upstream} names ${limit} a second and got ${most} in four seconds`,
      );
    }
  });
}

// Each of seventy-five entries hears of the limit with an answer of its own. Did none tell the others, the upstream would
// get one request from each of them first, twenty times what it takes.
void test.test('many entries keep to a limit that a few of them have heard', () => {
  const bench = new crashBench.CrashBench(75, { llm: 1, app: 4 }, () => 'served');
  bench.drive('app', 100, 3_000);
  bench.headOf = (upstream) => naming(upstream === 'app-1' ? 2 : 1_000);
  const namedAt = bench.time.now();
  bench.drive('app', 100, 12_000);
  const later = bench.arrivals.filter(
    ({ upstream, at }) => upstream === 'app-1' && at >= namedAt + KEPT_AFTER,
  );
  assert.ok(mostInWindow(later) <= allowedBy(2), `${mostInWindow(later)} in four seconds`);
  assert.ok(later.length > 0, 'the upstream gets nothing at all');
});

void test.test('once an upstream names no limit any more, all entries send to it again', () => {
  const bench = new crashBench.CrashBench(7, { llm: 1, app: 2 }, () => 'served');
  bench.headOf = (upstream) => naming(upstream === 'app-1' ? 1 : 1_000);
  bench.drive('app', 24, 8_000);
  bench.headOf = () => ({ ...relayBench.soundHead, signals: { leaving: false, unreadable: [] } });
  bench.drive('app', 24, 8_000);
  const liftedAt = bench.time.now();
  bench.drive('app', 24, 4_000);
  const after = bench.arrivals.filter(({ upstream, at }) => upstream === 'app-1' && at > liftedAt);
  assert.equal(new Set(after.map(({ entry }) => entry)).size, 7);
});

// Nothing else is left to send to. Callers hear at once, and when to come back.
void test.test('callers beyond the limit of every upstream are turned away at once', () => {
  const bench = new crashBench.CrashBench(7, { llm: 1, app: 1 }, () => 'served');
  bench.headOf = () => naming(2);
  bench.drive('app', 10, 10_000);
  const refused = bench.attempts.filter(({ refusal }) => refusal !== undefined);
  assert.ok(refused.length > 50);
  for (const { refusal } of refused) {
    assert.equal(refusal?.reason, 'overloaded');
    assert.ok((refusal.retryAfter ?? 0) > 0 && (refusal.retryAfter ?? 0) <= 5_000);
  }
  assert.ok(bench.attempts.every(({ outcome }) => outcome === 'served' || outcome === 'overloaded'));
});
