/**
 * Shares of a rate limit among uncoordinated entries: the limit is kept, and most of it is used.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as seededRandom from '../adapters/seededRandom.js';
import * as entryShare from '../warmUp/entryShare.js';
import * as rateLimitShare from './rateLimitShare.js';

/** Window in which an upstream measures its rate. */
const MEASURED_WINDOW = 4_000;

function allowedBy(perSecond: number): number {
  return 1.5 * perSecond * (MEASURED_WINDOW / 1_000) + 5;
}

/** Sends from every entry whenever its share permits; returns the sorted arrival times. */
function sendAll(entryCount: number, perSecond: number, seed: number): readonly number[] {
  const random = seededRandom.create(seed);
  const totalPerWindow = rateLimitShare.requestsPerWindow(perSecond, entryCount);
  const times: number[] = [];
  for (let index = 0; index < entryCount; index += 1) {
    const share = new entryShare.EntryShare(`edge-${index}`, () => entryCount, rateLimitShare.RATE_WINDOW);
    for (let now = random.next() * 300; now < 12_000; now += random.next() * 200) {
      if (share.maySend(`i-${seed}`, totalPerWindow, now)) {
        share.recordSent(`i-${seed}`, now);
        // Transit time of up to half a second.
        times.push(now + random.next() * 500);
      }
    }
  }
  return times.sort((left, right) => left - right);
}

function maximumInWindow(times: readonly number[]): number {
  let maximum = 0;
  let first = 0;
  for (const [index, time] of times.entries()) {
    while (time - (times[first] ?? time) >= MEASURED_WINDOW) {
      first += 1;
    }
    maximum = Math.max(maximum, index - first + 1);
  }
  return maximum;
}

void test.test('any number of entries keeps within any limit', () => {
  const limits = fastCheck.double({ min: 0, max: 40, noNaN: true });
  const entryCounts = fastCheck.integer({ min: 1, max: 200 });
  fastCheck.assert(
    fastCheck.property(limits, entryCounts, fastCheck.integer(), (perSecond, count, seed) => {
      assert.ok(maximumInWindow(sendAll(count, perSecond, seed)) <= allowedBy(perSecond));
    }),
    { seed: 7, numRuns: 80 },
  );
});

void test.test('few entries use most of a limit, many entries a substantial part', () => {
  for (const [entryCount, perSecond, minimumShare] of [
    [1, 2, 0.8],
    [7, 1.9, 0.8],
    [7, 10, 0.8],
    [75, 2, 0.35],
    [191, 30, 0.7],
  ] as const) {
    const totalPerWindow = rateLimitShare.requestsPerWindow(perSecond, entryCount);
    const used = totalPerWindow / (perSecond * (rateLimitShare.RATE_WINDOW / 1_000));
    assert.ok(
      used >= minimumShare && used <= 1,
      `${entryCount} entries use ${used} of ${perSecond} a second`,
    );
  }
});
