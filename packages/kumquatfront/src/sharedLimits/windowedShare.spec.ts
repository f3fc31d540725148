/**
 * Shares of a limit while entries are cut off from control and restart.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as entryCountHistory from './entryCountHistory.js';
import * as windowedShare from './windowedShare.js';

const WINDOW = 10_000;

/** A share whose entry count can be set; the first window has passed. */
function establishedShare(initialCount: number): {
  readonly share: windowedShare.WindowedShare;
  readonly entries: { count: number };
} {
  const entries = { count: initialCount };
  const share = new windowedShare.WindowedShare(() => entries.count, WINDOW);
  share.at(0);
  return { share, entries };
}

void test.test('a share is an equal part once the first window has passed', () => {
  const { share } = establishedShare(50);
  assert.equal(share.at(WINDOW - 1), 0);
  assert.equal(share.at(WINDOW), 1 / 50);
});

// Guards against an entry that takes the full limit when no replica reports how many entries there are.
void test.test('an entry that lost control keeps its share at first, and has none later', () => {
  const state = establishedShare(50);
  assert.equal(state.share.at(WINDOW), 1 / 50);
  state.entries.count = 0;
  assert.equal(state.share.at(WINDOW + entryCountHistory.CONTACT_RETENTION), 1 / 50);
  assert.equal(state.share.at(WINDOW + entryCountHistory.CONTACT_RETENTION + 1), 0);
});

// Guards against entries that divide the limit by a lower count while those cut off still use their shares.
void test.test('the shares of both sides of a partition never add up to more than the limit', () => {
  const connected = establishedShare(60);
  const cutOff = establishedShare(60);
  const cutAt = 20_000;
  for (let now = WINDOW; now < cutAt + 60_000; now += 100) {
    connected.entries.count = now < cutAt ? 60 : 40;
    cutOff.entries.count = now < cutAt ? 60 : 0;
    const total = 40 * connected.share.at(now) + 20 * cutOff.share.at(now);
    assert.ok(total <= 1 + 1e-9, `${total} of the limit at ${now} ms`);
  }
  assert.equal(connected.share.at(cutAt + 60_000), 1 / 40);
});

void test.test('an entry without control loses its share before the others can take it', () => {
  assert.ok(entryCountHistory.CONTACT_RETENTION < entryCountHistory.COUNT_RETENTION);
});

// Guards against entries that use their share at once after a long partition, in a window in which the others have used it.
void test.test(
  'an entry has no share for one window after a partition that was longer than its retention heals',
  () => {
    const state = establishedShare(60);
    assert.equal(state.share.at(WINDOW), 1 / 60);
    state.entries.count = 0;
    const healedAt = WINDOW + entryCountHistory.CONTACT_RETENTION + 20_000;
    assert.equal(state.share.at(healedAt - 1), 0);
    state.entries.count = 60;
    assert.equal(state.share.at(healedAt), 0);
    assert.equal(state.share.at(healedAt + WINDOW - 1), 0);
    assert.equal(state.share.at(healedAt + WINDOW), 1 / 60);
  },
);
