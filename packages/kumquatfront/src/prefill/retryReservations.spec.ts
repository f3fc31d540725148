/**
 * Reservations of refused callers.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as retryReservations from './retryReservations.js';

const NEED = { work: 310, earliest: 500, engineCount: 31, jitter: 0 };

// Guards against callers that all return at once.
void test.test(
  'callers are told successive times in the order of refusal, not before the forecast wait',
  () => {
    const reservations = new retryReservations.RetryReservations();
    const times = ['a', 'b', 'c'].map((caller) => reservations.reserve(caller, 'llm', NEED, 0));
    assert.deepEqual(times, [500, 600, 700]);
  },
);

// Guards against reservations that hold more than a tenth of the prefill capacity.
void test.test('reservations hold at most a tenth of the capacity', () => {
  const reservations = new retryReservations.RetryReservations();
  for (let count = 0; count < 500; count += 1) {
    const time = reservations.reserve(`c${count}`, 'llm', { ...NEED, jitter: (count % 10) / 10 }, 0);
    assert.ok(time >= NEED.earliest && time <= retryReservations.MAXIMUM_RETRY_AFTER);
  }
  const capacity = retryReservations.MAXIMUM_RETRY_AFTER * NEED.engineCount;
  assert.ok(reservations.size * NEED.work <= 0.1 * capacity, `${reservations.size} reservations`);
});

// Guards against capacity held for a caller that does not return.
void test.test('a reservation is given up after the grace period', () => {
  const reservations = new retryReservations.RetryReservations();
  reservations.reserve('a', 'llm', NEED, 0);
  assert.equal(reservations.dueWork('llm', 499), 0);
  assert.equal(reservations.dueWork('llm', 600), NEED.work);
  assert.equal(reservations.removeExpired(1_500), 0);
  assert.equal(reservations.removeExpired(1_501), 1);
  assert.equal(reservations.dueWork('llm', 1_501), 0);
  assert.equal(reservations.take('a', 1_502), false);
});

// Guards against callers that ignore their retry time and take the capacity of others.
void test.test('a caller that returns early has no reservation yet', () => {
  const reservations = new retryReservations.RetryReservations();
  reservations.reserve('a', 'llm', NEED, 0);
  assert.equal(reservations.take('a', 100), false);
  assert.equal(reservations.take('a', 500), true);
  assert.equal(reservations.take('a', 501), false);
});
