/**
 * Detection of retries after a refusal.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as retryTracker from './retryTracker.js';

void test.test('a retry is detected by its fingerprint, once', () => {
  const tracker = new retryTracker.RetryTracker();
  tracker.recordRefusal('fingerprint', 1_000, 1_200);
  assert.equal(tracker.takeFirstRequestTime('other', 2_000), undefined);
  assert.equal(tracker.takeFirstRequestTime('fingerprint', 2_000), 1_000);
  assert.equal(tracker.takeFirstRequestTime('fingerprint', 2_000), undefined);
});

void test.test('a refusal expires after the retention period', () => {
  const tracker = new retryTracker.RetryTracker();
  tracker.recordRefusal('fingerprint', 1_000, 1_200);
  assert.equal(tracker.takeFirstRequestTime('fingerprint', 30_000), undefined);
});

// Guards against unbounded memory use under a large number of refusals.
void test.test('the oldest refusals are evicted first', () => {
  const tracker = new retryTracker.RetryTracker();
  for (let index = 0; index < 10_000; index += 1) {
    tracker.recordRefusal(`fingerprint${index}`, index, index / 10);
  }
  assert.equal(tracker.takeFirstRequestTime('fingerprint0', 1_000), undefined);
  assert.equal(tracker.takeFirstRequestTime('fingerprint9999', 1_000), 9_999);
});
