/**
 * Inclusion probabilities of drawn addresses, and the composition of a list.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as addressSampling from './addressSampling.js';

type WeightedName = addressSampling.Weighted<string>;

function items(prefix: string, weights: readonly number[]): readonly WeightedName[] {
  return weights.map((weight, index) => ({ item: `${prefix}${index}`, weight }));
}

const LIMITS = { limit: 64, minimum: 8, usualRemote: 4, localShare: 1 };

// A draw in sequence with probabilities by weight, the obvious method, includes heavy items too rarely.
void test.test('items are included in proportion to their weight, each at most once', () => {
  const random = seededRandom.create(1);
  const weighted = items('e', [...Array.from({ length: 17 }, () => 1), 3.3, 3.3, 3.3, 3.3, 3.3, 0.1]);
  const counts = new Map<string, number>();
  const draws = 20_000;
  for (let draw = 0; draw < draws; draw += 1) {
    const drawn = addressSampling.draw(weighted, 10, random);
    assert.equal(drawn.length, 10);
    assert.equal(new Set(drawn).size, 10);
    for (const name of drawn) {
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
  }
  const total = weighted.reduce((sum, { weight }) => sum + weight, 0);
  for (const { item, weight } of weighted) {
    const expected = (10 * weight) / total;
    const share = (counts.get(item) ?? 0) / draws;
    assert.ok(Math.abs(share - expected) < 0.012, `${item}: ${share} instead of ${expected}`);
  }
});

void test.test('an item whose weight exceeds its share is certain, and the others are proportional', () => {
  const random = seededRandom.create(2);
  let light = 0;
  for (let draw = 0; draw < 2_000; draw += 1) {
    const drawn = addressSampling.draw(items('e', [100, 2, 1, 1]), 2, random);
    assert.ok(drawn.includes('e0'));
    light += drawn.includes('e1') ? 1 : 0;
  }
  assert.ok(Math.abs(light / 2_000 - 0.5) < 0.05, `${light}`);
});

void test.test('a list has 8 addresses if that many exist, and never more than the limit', () => {
  const random = seededRandom.create(3);
  const weights = Array.from({ length: 100 }, (_none, index) => (index < 90 ? 1 : 10));
  for (const [local, remote] of [
    [2, 40],
    [0, 40],
    [40, 0],
    [5, 2],
    [100, 100],
  ] as const) {
    for (const localShare of [0.1, 0.5, 1]) {
      for (const limit of [1, 10, 64]) {
        const request = {
          ...{ ...LIMITS, limit, localShare },
          local: items('l', weights.slice(100 - local)),
          remote: items('r', weights.slice(100 - remote)),
        };
        const selected = addressSampling.select(request, random);
        const least = Math.min(8, limit, local + remote);
        const context = `${local} local, ${remote} remote, limit ${limit}: ${selected.length}`;
        assert.ok(selected.length >= least && selected.length <= limit, context);
        assert.equal(new Set(selected).size, selected.length);
      }
    }
  }
});

// More remote addresses in a short list would attract more calls across data centres, which cost more.
void test.test(
  'a short list has the same share of remote addresses as a full one, unless capacity is short',
  () => {
    const random = seededRandom.create(4);
    const local = items('l', [...Array.from({ length: 17 }, () => 1), 3.3, 3.3, 3.3, 3.3, 3.3]);
    const remote = items(
      'r',
      Array.from({ length: 44 }, () => 1),
    );
    const remoteShare = (localShare: number): number => {
      let count = 0;
      let total = 0;
      for (let lookup = 0; lookup < 5_000; lookup += 1) {
        const selected = addressSampling.select({ ...LIMITS, local, remote, localShare }, random);
        count += selected.filter((name) => name.startsWith('r')).length;
        total += selected.length;
      }
      return count / total;
    };
    assert.ok(Math.abs(remoteShare(1) - 4 / 26) < 0.02, `${remoteShare(1)}`);
    assert.ok(Math.abs(remoteShare(0.6) - 0.4) < 0.02, `${remoteShare(0.6)}`);
  },
);
