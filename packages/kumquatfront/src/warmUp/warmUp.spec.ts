/**
 * Cold upstreams with many uncoordinated senders: the limit holds in every second, and no upstream is starved.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as seededRandom from '../adapters/seededRandom.js';
import * as entryShare from './entryShare.js';
import * as slidingWindowCounter from './slidingWindowCounter.js';
import * as warmUpBounds from './warmUpBounds.js';

const WINDOW = 1_000;

const bounds = fastCheck.record({
  requestsPerSecond: fastCheck.integer({ min: 1, max: 100 }),
  overshoot: fastCheck.double({ min: 1, max: 2, noNaN: true }),
  tolerance: fastCheck.integer({ min: 3, max: 10 }),
});

/** Maximum number of sorted times within any one second. */
function maximumInWindow(times: readonly number[]): number {
  let maximum = 0;
  let first = 0;
  for (const [index, time] of times.entries()) {
    while (time - (times[first] ?? time) > WINDOW) {
      first += 1;
    }
    maximum = Math.max(maximum, index - first + 1);
  }
  return maximum;
}

/** Sends from every entry to one cold upstream whenever its share permits; returns all times, sorted. */
function sendAll(
  entryCount: number,
  identity: string,
  totalPerWindow: number,
  seed: number,
): readonly number[] {
  const random = seededRandom.create(seed);
  const times: number[] = [];
  for (let index = 0; index < entryCount; index += 1) {
    const share = new entryShare.EntryShare(`edge-${index}`, () => entryCount, WINDOW);
    for (let now = random.next() * 300; now < 4_000; now += random.next() * 200) {
      if (share.maySend(identity, totalPerWindow, now)) {
        share.recordSent(identity, now);
        times.push(now);
      }
    }
  }
  return times.sort((left, right) => left - right);
}

void test.test('two coordinators and all entries together stay within the bound', () => {
  fastCheck.assert(
    fastCheck.property(bounds, ({ requestsPerSecond, overshoot, tolerance }) => {
      const warmUp = { requestsPerSecond, duration: 1_000 };
      const maximum = requestsPerSecond * overshoot + tolerance;
      const coordinator = warmUpBounds.forCoordinator(warmUp, { overshoot, tolerance });
      const fallback = warmUpBounds.forEntries(warmUp, { overshoot, tolerance }, 'coordinator');
      const entries = warmUpBounds.forEntries(warmUp, { overshoot, tolerance }, 'entries');
      assert.ok(2 * coordinator + fallback + 5 * Math.sqrt(fallback) <= maximum + 1e-9);
      assert.ok(entries + 5 * Math.sqrt(entries) <= maximum + 1e-9);
      assert.ok(coordinator >= 1 && fallback > 0 && entries > 0);
    }),
  );
});

// 75 entries share an upstream that tolerates 31 requests per second, so each share is less than one request.
void test.test('entries with shares below one request neither overload an upstream nor starve it', () => {
  const warmUp = { requestsPerSecond: 31, duration: 1_000 };
  const tolerance = { overshoot: 1.5, tolerance: 5 };
  const totalPerWindow = warmUpBounds.forEntries(warmUp, tolerance, 'entries');
  let sum = 0;
  const UPSTREAMS = 200;
  for (let index = 0; index < UPSTREAMS; index += 1) {
    const maximum = maximumInWindow(sendAll(75, `i-${index}`, totalPerWindow, index));
    assert.ok(maximum <= 51.5, `${maximum} in a second`);
    sum += maximum;
  }
  assert.ok(sum / UPSTREAMS > 0.8 * totalPerWindow, `${sum / UPSTREAMS} on average`);
});

void test.test('the bound holds for any number of entries and any upstream', () => {
  const entryCounts = fastCheck.integer({ min: 1, max: 200 });
  fastCheck.assert(
    fastCheck.property(
      bounds,
      entryCounts,
      fastCheck.integer(),
      ({ requestsPerSecond, overshoot, tolerance }, count, seed) => {
        const warmUp = { requestsPerSecond, duration: 1_000 };
        const totalPerWindow = warmUpBounds.forEntries(warmUp, { overshoot, tolerance }, 'entries');
        const times = sendAll(count, `i-${seed}`, totalPerWindow, seed);
        assert.ok(maximumInWindow(times) <= requestsPerSecond * overshoot + tolerance);
      },
    ),
    { seed: 7, numRuns: 60 },
  );
});

// A network partition hides half of the entries. The others must not double their shares, because the hidden entries
// still send.
void test.test(
  'an entry keeps its share for some time when fewer entries are known, and indefinitely when none are',
  () => {
    let entries = 40;
    const share = new entryShare.EntryShare('edge-1', () => entries, WINDOW);
    const permits = (now: number): number => {
      const probe = 400;
      let count = 0;
      while (count < probe && share.maySend('i', 20 * 40, now)) {
        share.recordSent('i', now);
        count += 1;
      }
      return count;
    };
    assert.equal(permits(0), 20);
    entries = 20;
    assert.equal(permits(5_000), 20);
    entries = 0;
    assert.equal(permits(60_000), 20);
    entries = 20;
    assert.equal(permits(62_000), 40);
  },
);

void test.test('an entry sends nothing to a cold upstream while the number of entries is unknown', () => {
  const share = new entryShare.EntryShare('edge-1', () => 0, WINDOW);
  assert.equal(share.maySend('i', 1_000, 0), false);
});

void test.test('a counter covers one second and removes unused keys', () => {
  const count = new slidingWindowCounter.SlidingWindowCounter(WINDOW);
  count.add('a', 0);
  count.add('a', 600);
  assert.equal(count.countOf('a', 1_000), 2);
  assert.equal(count.countOf('a', 1_001), 1);
  count.prune(2_000);
  assert.equal(count.countOf('a', 2_000), 0);
});
