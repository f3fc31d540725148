/**
 * Estimates of paces with shrinkage towards the mean of the service.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as paceEstimator from './paceEstimator.js';

function create(initialPace?: number): { estimator: paceEstimator.PaceEstimator; clock: { now: number } } {
  const clock = { now: 0 };
  return { estimator: new paceEstimator.PaceEstimator(() => clock.now, 30_000, initialPace), clock };
}

const PACES: Readonly<Record<string, number>> = { a: 30, b: 30, c: 73 };

function observeAll(estimator: paceEstimator.PaceEstimator, count: number): void {
  const random = seededRandom.create(4);
  for (let round = 0; round < count; round += 1) {
    for (const [upstream, pace] of Object.entries(PACES)) {
      estimator.observe(upstream, 'billing', pace * (0.8 + 0.4 * random.next()));
    }
  }
}

void test.test('the paces of upstreams that differ are learned', () => {
  const { estimator } = create();
  assert.equal(estimator.paceOf('a', 'billing'), undefined);
  observeAll(estimator, 20);
  for (const [upstream, pace] of Object.entries(PACES)) {
    const learned = estimator.paceOf(upstream, 'billing');
    assert.ok(Math.abs((learned?.pace ?? 0) / pace - 1) < 0.1, `${upstream}: ${learned?.pace}`);
    assert.ok((learned?.uncertainty ?? 1) < 0.1, `${upstream}: ${learned?.uncertainty}`);
  }
});

// Guards against a new or restarted upstream (a new incarnation) looking the fastest and receiving all calls.
void test.test(
  'an upstream without observations has the mean of its service, with a larger uncertainty',
  () => {
    const { estimator } = create();
    observeAll(estimator, 20);
    const restarted = estimator.paceOf('a@2', 'billing');
    assert.ok((restarted?.pace ?? 0) > 38 && (restarted?.pace ?? 0) < 50, `${restarted?.pace}`);
    assert.ok((restarted?.uncertainty ?? 0) > 2 * (estimator.paceOf('a', 'billing')?.uncertainty ?? 1));
    assert.equal(estimator.paceOf('a', 'other'), undefined);
  },
);

// Guards against chance differences between equal upstreams changing the choice.
void test.test('the estimates of equal upstreams are close to each other', () => {
  const { estimator } = create();
  const random = seededRandom.create(9);
  for (let round = 0; round < 40; round += 1) {
    for (const upstream of ['a', 'b', 'c', 'd']) {
      estimator.observe(upstream, 'billing', 30 * (0.5 + random.next()));
    }
  }
  const paces = ['a', 'b', 'c', 'd'].map((upstream) => estimator.paceOf(upstream, 'billing')?.pace ?? 0);
  assert.ok(Math.max(...paces) / Math.min(...paces) < 1.2, paces.join(' '));
});

// Guards against one stalled call, or one report of many calls, replacing what is known.
void test.test('one observation changes an estimate by a bounded amount', () => {
  const { estimator } = create();
  observeAll(estimator, 20);
  const before = estimator.paceOf('a', 'billing')?.pace ?? 0;
  estimator.observe('a', 'billing', 60_000);
  const after = estimator.paceOf('a', 'billing')?.pace ?? 0;
  assert.ok(after > before && after < before * 1.15, `${before} ${after}`);
  estimator.observe('b', 'billing', 60_000, 1_000_000);
  assert.ok((estimator.paceOf('b', 'billing')?.pace ?? 0) < 60);
});

void test.test('implausible observations are ignored', () => {
  const { estimator } = create(20);
  for (const pace of [0, -3, Number.NaN, Number.POSITIVE_INFINITY, 1e12]) {
    estimator.observe('a', 'billing', pace);
    estimator.adopt('a', 'billing', { mean: pace, weight: 5, noise: 0.1 });
  }
  estimator.observe('a', 'billing', 30, 0);
  estimator.observe('a', 'billing', 30, Number.NaN);
  assert.equal(estimator.paceOf('a', 'billing')?.pace, 20);
});

// Guards against a pace that is no longer observed being believed for ever.
void test.test('evidence is forgotten with time, also after the clock stepped back', () => {
  const { estimator, clock } = create();
  clock.now = 1_000_000;
  observeAll(estimator, 20);
  const uncertainty = (): number => estimator.paceOf('c', 'billing')?.uncertainty ?? 0;
  const fresh = uncertainty();
  clock.now = 0;
  assert.ok(uncertainty() <= fresh * 1.01);
  clock.now = 1_200_000;
  assert.ok(uncertainty() > 2 * fresh, `${uncertainty()} ${fresh}`);
});

void test.test('a removed upstream leaves nothing behind', () => {
  const { estimator } = create();
  observeAll(estimator, 5);
  estimator.retain((upstream) => upstream === 'c');
  assert.equal(estimator.evidenceOf('a', 'billing'), undefined);
  estimator.remove('c');
  assert.equal(estimator.paceOf('c', 'billing'), undefined);
});
