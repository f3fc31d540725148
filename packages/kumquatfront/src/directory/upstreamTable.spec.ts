/**
 * Updates of upstreams that arrive late, twice, out of order or with gaps.
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

// Guards against requests to a draining engine because of a later announcement or load report.
void test.test('draining is final for an incarnation', () => {
  const table = new upstreamTable.UpstreamTable();
  table.applyAnnouncement(announcement(), 0, 0);
  table.applyAnnouncement(announcement({ sequence: 2, leaving: true }), 0, 0);
  table.applyAnnouncement(announcement({ sequence: 3 }), 0, 0);
  table.applyLoadReport(
    { name: 'e1', incarnation: 1, sequence: 9, running: 0, waiting: 0, usedTokens: 0 },
    0,
    0,
  );
  assert.equal(table.candidates('pool=llm').length, 0);
  table.applyAnnouncement(announcement({ incarnation: 2 }), 0, 0);
  assert.equal(table.candidates('pool=llm').length, 1);
});

void test.test('updates of an earlier incarnation change nothing', () => {
  const table = new upstreamTable.UpstreamTable();
  table.applyAnnouncement(announcement({ incarnation: 2 }), 0, 0);
  assert.equal(table.applyAnnouncement(announcement({ sequence: 99, leaving: true }), 0, 0), false);
  const old = { name: 'e1', incarnation: 1, sequence: 9, running: 4, waiting: 9, usedTokens: 900 };
  assert.equal(table.applyLoadReport(old, 0, 0), false);
  assert.equal(table.candidates('pool=llm').length, 1);
});

void test.test('an announcement older than its own lease adds no upstream', () => {
  const table = new upstreamTable.UpstreamTable();
  assert.equal(table.applyAnnouncement(announcement(), LEASE, 10_000), false);
  assert.equal(table.all().length, 0);
});

// Guards against losing an upstream after a network partition, when the lease of its full announcement has expired.
void test.test('a recent renewal restores the announcement that it repeats', () => {
  const table = new upstreamTable.UpstreamTable();
  table.applyAnnouncement(announcement(), LEASE, 10_000);
  assert.equal(table.applyRenewal({ name: 'e1', incarnation: 1, sequence: 5 }, 100, 10_000), true);
  assert.equal(table.candidates('pool=llm').length, 1);
  assert.equal(table.applyRenewal({ name: 'e1', incarnation: 2, sequence: 6 }, 0, 10_000), false);
});

// Guards against routing requests to an engine for a prefix that it may have evicted since a lost event.
void test.test('a gap in the cache events clears the known prefixes', () => {
  const table = new upstreamTable.UpstreamTable();
  table.applyAnnouncement(announcement(), 0, 0);
  table.applyCacheEvent(cacheEvent(1, ['a', 'b']));
  table.applyCacheEvent(cacheEvent(2, ['c'], ['a']));
  assert.deepEqual(
    ['a', 'b', 'c'].map((prefix) => table.hasPrefix('e1', prefix)),
    [false, true, true],
  );
  table.applyCacheEvent(cacheEvent(4, ['d']));
  assert.deepEqual(
    ['b', 'c', 'd'].map((prefix) => table.hasPrefix('e1', prefix)),
    [false, false, true],
  );
  assert.equal(table.applyCacheEvent(cacheEvent(3, ['b'])), false);
  assert.equal(table.hasPrefix('e1', 'b'), false);
});
