/**
 * Upstreams that start to signal a rate limit in their answers.
 *
 * Guards against entries that ignore the signal and keep sending at the same rate.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as crashTestHarness from '../quarantine/crashTestHarness.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';
import type * as relayTypes from '../relay/types.js';

/** Time after the first signal from which the limit must be kept. */
const ENFORCED_AFTER: ports.Milliseconds = 3_000;
/** Requests of an entry in flight when it receives the signal arrive within this time. */
const MAXIMUM_TRANSIT_TIME: ports.Milliseconds = 500;
/** Window in which an upstream measures its rate, and what it tolerates there. */
const WINDOW: ports.Milliseconds = 4_000;
const OVERSHOOT = 1.5;
const BURST_ALLOWANCE = 5;

function withRateLimit(rateLimit: number): relayTypes.ResponseHead {
  return { ...relayTestHarness.okHead, signals: { rateLimit, leaving: false, unreadable: [] } };
}

/** Maximum number of arrivals in any window. */
function maximumInWindow(arrivals: readonly crashTestHarness.Arrival[]): number {
  const times = arrivals.map(({ at }) => at);
  return Math.max(
    0,
    ...times.map((at) => times.filter((other) => other >= at && other - at < WINDOW).length),
  );
}

function allowedBy(limit: number): number {
  return OVERSHOOT * limit * (WINDOW / 1_000) + BURST_ALLOWANCE;
}

/** Maximum number of arrivals in any window from entries that have received the limit. */
function maximumArrivals(harness: crashTestHarness.CrashTestHarness, upstream: string): number {
  const receivedAt = new Map<string, ports.Milliseconds>();
  for (const { head, upstream: from, entry, at } of harness.upstreams.answers) {
    if (from === upstream && head.signals?.rateLimit !== undefined && !receivedAt.has(entry)) {
      receivedAt.set(entry, at);
    }
  }
  const from = Math.min(...receivedAt.values()) + ENFORCED_AFTER;
  const counted = harness.upstreams.arrivals
    .filter((arrival) => arrival.upstream === upstream && arrival.at >= from)
    .filter(
      ({ entry, at }) => at >= (receivedAt.get(entry) ?? Number.POSITIVE_INFINITY) + MAXIMUM_TRANSIT_TIME,
    )
    .map(({ at }) => at);
  return Math.max(
    0,
    ...counted.map((at) => counted.filter((other) => other >= at && other - at < WINDOW).length),
  );
}

for (const service of ['app', 'llm'] as const) {
  void test.test(`all entries together keep the rate limit of an upstream (${service})`, () => {
    const harness = new crashTestHarness.CrashTestHarness(7, { llm: 4, app: 4 }, () => 'served');
    const limits = new Map([
      [`${service}-1`, 1.9],
      [`${service}-2`, 1.4],
    ]);
    harness.generateLoad(service, 24, 4_000);
    harness.upstreams.headOf = (upstream) => withRateLimit(limits.get(upstream) ?? 1_000);
    harness.generateLoad(service, 24, 16_000);
    for (const [upstream, limit] of limits) {
      const maximum = maximumArrivals(harness, upstream);
      assert.ok(
        maximum <= allowedBy(limit),
        `${upstream} allows ${limit} a second and received ${maximum} in four seconds`,
      );
    }
  });
}

// If entries did not share the limit, each of the 75 entries would send one request before it learned of it.
void test.test('many entries keep a limit that only a few of them have received', () => {
  const harness = new crashTestHarness.CrashTestHarness(75, { llm: 1, app: 4 }, () => 'served');
  harness.generateLoad('app', 100, 3_000);
  harness.upstreams.headOf = (upstream) => withRateLimit(upstream === 'app-1' ? 2 : 1_000);
  const limitedAt = harness.time.now();
  harness.generateLoad('app', 100, 12_000);
  const later = harness.upstreams.arrivals.filter(
    ({ upstream, at }) => upstream === 'app-1' && at >= limitedAt + ENFORCED_AFTER,
  );
  assert.ok(maximumInWindow(later) <= allowedBy(2), `${maximumInWindow(later)} in four seconds`);
  assert.ok(later.length > 0, 'the upstream received no requests at all');
});

// An entry that had heard of the limit but not of its end published it again, and all entries obeyed it once more.
void test.test('all entries send to an upstream again after it has lifted its limit', () => {
  for (let seed = 1; seed <= 12; seed += 1) {
    assertLiftedLimit(seed);
  }
});

function assertLiftedLimit(seed: number): void {
  const harness = new crashTestHarness.CrashTestHarness(7, { llm: 1, app: 2 }, () => 'served', seed);
  harness.upstreams.headOf = (upstream) => withRateLimit(upstream === 'app-1' ? 1 : 1_000);
  harness.generateLoad('app', 24, 8_000);
  harness.upstreams.headOf = () => ({
    ...relayTestHarness.okHead,
    signals: { leaving: false, unreadable: [] },
  });
  harness.generateLoad('app', 24, 8_000);
  const liftedAt = harness.time.now();
  harness.generateLoad('app', 24, 4_000);
  const after = harness.upstreams.arrivals.filter(
    ({ upstream, at }) => upstream === 'app-1' && at > liftedAt,
  );
  assert.equal(new Set(after.map(({ entry }) => entry)).size, 7, `seed ${seed}`);
}

// No other upstream is left; callers receive a refusal with a retry time immediately.
void test.test('callers beyond the limit of every upstream are refused immediately', () => {
  const harness = new crashTestHarness.CrashTestHarness(7, { llm: 1, app: 1 }, () => 'served');
  harness.upstreams.headOf = () => withRateLimit(2);
  harness.generateLoad('app', 10, 10_000);
  const refused = harness.attempts.filter(({ refusal }) => refusal !== undefined);
  assert.ok(refused.length > 50);
  for (const { refusal } of refused) {
    assert.equal(refusal?.reason, 'overloaded');
    assert.ok((refusal.retryAfter ?? 0) > 0 && (refusal.retryAfter ?? 0) <= 5_000);
  }
  assert.ok(harness.attempts.every(({ outcome }) => outcome === 'served' || outcome === 'overloaded'));
});
