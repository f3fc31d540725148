/** Choice of the processes that keep the origin of a stream. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as originHolders from './originHolders.js';

const replicas = ['c1', 'c2', 'c3', 'c4', 'c5'];
const entries = Array.from({ length: 75 }, (_, index) => `e${index}`);

function keyOf(index: number): { readonly account: string; readonly attempt: string } {
  return { account: 'a', attempt: `r${index}` };
}

void test.test('three replicas and two entries keep an origin, and all of them are asked', () => {
  for (let index = 0; index < 200; index += 1) {
    const kept = originHolders.toKeep(keyOf(index), { replicas, entries });
    const asked = originHolders.toAsk(keyOf(index), { replicas, entries });
    assert.equal(kept.filter((address) => replicas.includes(address)).length, 3);
    assert.equal(kept.filter((address) => entries.includes(address)).length, 2);
    assert.ok(kept.every((address) => asked.includes(address)));
  }
});

// Guards against a search that misses the copies because the two entries know different lists of entries.
void test.test('an entry that still lists entries that are gone asks one that has a copy', () => {
  const later = entries.slice(8);
  const missed = Array.from({ length: 500 }, (_, index) => index).filter((index) => {
    const kept = originHolders.toKeep(keyOf(index), { replicas: [], entries: later });
    const asked = originHolders.toAsk(keyOf(index), { replicas: [], entries });
    return !kept.some((address) => asked.includes(address));
  });
  assert.deepEqual(missed, []);
});

void test.test('copies are spread evenly over the entries', () => {
  const counts = new Map<string, number>();
  for (let index = 0; index < 3_000; index += 1) {
    for (const address of originHolders.toKeep(keyOf(index), { replicas: [], entries })) {
      counts.set(address, (counts.get(address) ?? 0) + 1);
    }
  }
  const mean = 6_000 / entries.length;
  assert.ok(Math.max(...counts.values()) < 1.6 * mean);
});
