/**
 * Upstreams that refuse requests and ask their senders for a pause, or announce that they shut down.
 *
 * Guards against entries that keep choosing a refusing upstream because it has no open requests and so looks least
 * loaded.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as crashTestHarness from '../quarantine/crashTestHarness.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';
import type * as relayTypes from '../relay/types.js';

const PAUSE: ports.Milliseconds = 3_000;
/** Requests in flight at the start of a pause arrive within this time. */
const MAXIMUM_TRANSIT_TIME: ports.Milliseconds = 500;
/** Number of requests that may arrive from one entry during a pause. */
const MAXIMUM_DURING_PAUSE = 2;
/** Time after which an entry must not send to an upstream that has announced its shutdown to it. */
const DRAIN_LIMIT: ports.Milliseconds = 2_000;

const pauseRefusal: relayTypes.ResponseHead = {
  ...relayTestHarness.notRunHead,
  load: { running: 0, waiting: 0 },
  signals: { pause: PAUSE, leaving: false, unreadable: [] },
};
const leaving: relayTypes.ResponseHead = {
  ...relayTestHarness.okHead,
  signals: { leaving: true, unreadable: [] },
};

/** Maximum number of requests that arrive from one entry during a pause requested from that entry. */
function maximumDuringPause(harness: crashTestHarness.CrashTestHarness, upstream: string): number {
  const pauseAnswers = harness.upstreams.answers.filter(
    ({ head, upstream: from }) => from === upstream && head.notRun,
  );
  const counts = pauseAnswers.map(({ entry, at: askedAt }) => {
    const within = harness.upstreams.arrivals.filter(
      (arrival) =>
        arrival.upstream === upstream &&
        arrival.entry === entry &&
        arrival.at > askedAt + MAXIMUM_TRANSIT_TIME,
    );
    return within.filter(({ at }) => at < askedAt + PAUSE).length;
  });
  return Math.max(0, ...counts);
}

for (const service of ['app', 'llm'] as const) {
  void test.test(`an upstream that asks for a pause receives no requests during it (${service})`, () => {
    const harness = new crashTestHarness.CrashTestHarness(7, { llm: 4, app: 4 }, () => 'served');
    harness.generateLoad(service, 24, 4_000);
    harness.upstreams.headOf = (upstream) =>
      upstream === `${service}-1` ? pauseRefusal : relayTestHarness.okHead;
    harness.generateLoad(service, 24, 12_000);
    const maximum = maximumDuringPause(harness, `${service}-1`);
    assert.ok(maximum <= MAXIMUM_DURING_PAUSE, `${maximum} requests during a pause`);
  });
}

// Control still lists the upstream as ready, because its termination notice has not arrived.
void test.test('an upstream that announces its shutdown in an answer receives no further requests', () => {
  const harness = new crashTestHarness.CrashTestHarness(7, { llm: 1, app: 4 }, () => 'served');
  harness.upstreams.headOf = (upstream) => (upstream === 'app-1' ? leaving : relayTestHarness.okHead);
  harness.generateLoad('app', 24, 12_000);
  const announcedAt = new Map<string, ports.Milliseconds>();
  for (const { entry, upstream, at } of harness.upstreams.answers) {
    if (upstream === 'app-1' && !announcedAt.has(entry)) {
      announcedAt.set(entry, at);
    }
  }
  assert.equal(announcedAt.size, 7);
  const late = harness.upstreams.arrivals.filter(
    ({ upstream, entry, at }) => upstream === 'app-1' && at > (announcedAt.get(entry) ?? 0) + DRAIN_LIMIT,
  );
  assert.equal(late.length, 0);
});
