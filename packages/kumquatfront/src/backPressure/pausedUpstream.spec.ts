/**
 * An upstream that turns requests away and asks each of its senders for a pause.
 *
 * Seen: one of four upstreams of a service answered everything with 503, within a millisecond, and asked each entry to
 * come back in three seconds. Each entry sent it up to ten requests within such a pause, and all of them together twice
 * as many as before. Caused by: an entry took the answer in for the one request that was turned away, which went
 * elsewhere; for the next one the upstream was the least loaded of all, since nothing was open there. Proved by the
 * arrivals at that upstream, and by this system, where nothing else is wrong.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as crashBench from '../quarantine/crashBench.js';
import * as relayBench from '../relay/relayBench.js';
import type * as relayTypes from '../relay/types.js';

const PAUSE: ports.Milliseconds = 3_000;
/** Requests that are under way when a pause is asked for reach the upstream this much later at most. */
const UNDER_WAY: ports.Milliseconds = 500;
/** What may reach an upstream from one entry within a pause. */
const MOST_WITHIN_PAUSE = 2;
/** An upstream that is about to stop gets nothing from an entry that it has told this long ago. */
const DRAINS_WITHIN: ports.Milliseconds = 2_000;

const turnedAway: relayTypes.UpstreamHead = {
  ...relayBench.notRunHead,
  load: { running: 0, waiting: 0 },
  signals: { pause: PAUSE, leaving: false, unreadable: [] },
};
const leaving: relayTypes.UpstreamHead = {
  ...relayBench.soundHead,
  signals: { leaving: true, unreadable: [] },
};

/** The most requests that reach an upstream from one entry within a pause that it has asked that entry for. */
function mostWithinPause(bench: crashBench.CrashBench, upstream: string): number {
  const asked = bench.answers.filter(({ head, upstream: from }) => from === upstream && head.notRun);
  const counts = asked.map(({ entry, at: askedAt }) => {
    const within = bench.arrivals.filter(
      (arrival) =>
        arrival.upstream === upstream && arrival.entry === entry && arrival.at > askedAt + UNDER_WAY,
    );
    return within.filter(({ at }) => at < askedAt + PAUSE).length;
  });
  return Math.max(0, ...counts);
}

for (const service of ['app', 'llm'] as const) {
  void test.test(`an upstream that asks for a pause is left alone for so long (${service})`, () => {
    const bench = new crashBench.CrashBench(7, { llm: 4, app: 4 }, () => 'served');
    bench.drive(service, 24, 4_000);
    bench.headOf = (upstream) => (upstream === `${service}-1` ? turnedAway : relayBench.soundHead);
    bench.drive(service, 24, 12_000);
    const most = mostWithinPause(bench, `${service}-1`);
    assert.ok(most <= MOST_WITHIN_PAUSE, `${most} requests within a pause`);
  });
}

// Control still lists it as ready: it cannot reach control, or its notice is on the way.
void test.test('an upstream that says in an answer that it leaves gets nothing more', () => {
  const bench = new crashBench.CrashBench(7, { llm: 1, app: 4 }, () => 'served');
  bench.headOf = (upstream) => (upstream === 'app-1' ? leaving : relayBench.soundHead);
  bench.drive('app', 24, 12_000);
  const toldAt = new Map<string, ports.Milliseconds>();
  for (const { entry, upstream, at } of bench.answers) {
    if (upstream === 'app-1' && !toldAt.has(entry)) {
      toldAt.set(entry, at);
    }
  }
  assert.equal(toldAt.size, 7);
  const late = bench.arrivals.filter(
    ({ upstream, entry, at }) => upstream === 'app-1' && at > (toldAt.get(entry) ?? 0) + DRAINS_WITHIN,
  );
  assert.equal(late.length, 0);
});
