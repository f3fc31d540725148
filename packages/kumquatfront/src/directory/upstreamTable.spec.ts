/**
 * News of upstreams that comes late, twice, out of order or with gaps.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as types from './types.js';
import * as upstreamTable from './upstreamTable.js';

const LEASE = 4_000;

function announcement(change: Partial<types.Announcement> = {}): types.Announcement {
  return {
    name: 'e1',
    incarnation: 1,
    sequence: 1,
    address: 'http://10.0.0.1:1',
    kind: 'engine',
    labels: { pool: 'llm' },
    dataCentre: 'c',
    memoryTokens: 1_000,
    slots: 4,
    lease: LEASE,
    leaving: false,
    ...change,
  };
}

function cacheEvent(
  sequence: number,
  added: readonly string[],
  removed: readonly string[] = [],
): types.CacheEvent {
  return { name: 'e1', incarnation: 1, sequence, added, removed };
}

// The engine leaves; an announcement that was under way, with a later sequence from a confused sender, and a load
// report come after. Within this life it stays leaving and is no candidate.
void test.test('leaving is never undone within a life', () => {
  const table = new upstreamTable.UpstreamTable();
  table.announce(announcement(), 0, 0);
  table.announce(announcement({ sequence: 2, leaving: true }), 0, 0);
  table.announce(announcement({ sequence: 3 }), 0, 0);
  table.report({ name: 'e1', incarnation: 1, sequence: 9, running: 0, waiting: 0, usedTokens: 0 }, 0, 0);
  assert.equal(table.candidates('pool=llm').length, 0);
  table.announce(announcement({ incarnation: 2 }), 0, 0);
  assert.equal(table.candidates('pool=llm').length, 1);
});

void test.test('news of a former life changes nothing', () => {
  const table = new upstreamTable.UpstreamTable();
  table.announce(announcement({ incarnation: 2 }), 0, 0);
  assert.equal(table.announce(announcement({ sequence: 99, leaving: true }), 0, 0), false);
  const old = { name: 'e1', incarnation: 1, sequence: 9, running: 4, waiting: 9, usedTokens: 900 };
  assert.equal(table.report(old, 0, 0), false);
  assert.equal(table.candidates('pool=llm').length, 1);
});

void test.test('news older than its own lease brings nothing back', () => {
  const table = new upstreamTable.UpstreamTable();
  assert.equal(table.announce(announcement(), LEASE, 10_000), false);
  assert.equal(table.all().length, 0);
});

// After a cut the whole announcement is too old to hold by itself, and a fresh renewal of it arrives. The upstream
// is known again at once.
void test.test('a fresh renewal brings back what it repeats', () => {
  const table = new upstreamTable.UpstreamTable();
  table.announce(announcement(), LEASE, 10_000);
  assert.equal(table.renew({ name: 'e1', incarnation: 1, sequence: 5 }, 100, 10_000), true);
  assert.equal(table.candidates('pool=llm').length, 1);
  assert.equal(table.renew({ name: 'e1', incarnation: 2, sequence: 6 }, 0, 10_000), false);
});

// A cache event is lost. What was known may be evicted by now, so it is doubted: no request is drawn to the engine
// for a prefix of before the gap.
void test.test('a gap in the cache events empties what is known of the cache', () => {
  const table = new upstreamTable.UpstreamTable();
  table.announce(announcement(), 0, 0);
  table.cacheEvent(cacheEvent(1, ['a', 'b']));
  table.cacheEvent(cacheEvent(2, ['c'], ['a']));
  assert.deepEqual(
    ['a', 'b', 'c'].map((prefix) => table.hasPrefix('e1', prefix)),
    [false, true, true],
  );
  table.cacheEvent(cacheEvent(4, ['d']));
  assert.deepEqual(
    ['b', 'c', 'd'].map((prefix) => table.hasPrefix('e1', prefix)),
    [false, false, true],
  );
  assert.equal(table.cacheEvent(cacheEvent(3, ['b'])), false);
  assert.equal(table.hasPrefix('e1', 'b'), false);
});
