/**
 * Failures during a burst: restart of the coordinator, reports that are late and out of order, an engine without
 * first events, and two coordinators at once.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as prefillTestHarness from './prefillTestHarness.js';

const BURST = { from: 4_000, to: 14_000 };
const { shareOf, isInTime, isRefusedAtOnce } = prefillTestHarness;

function create(
  options: Partial<prefillTestHarness.HarnessOptions> = {},
): prefillTestHarness.PrefillTestHarness {
  return new prefillTestHarness.PrefillTestHarness({
    ...{ seed: 4, engineCount: 31, paces: [1, 1, 1.3], ...options },
    classes: prefillTestHarness.burstClasses(2.5, BURST),
  });
}

function urgentBetween(
  harness: prefillTestHarness.PrefillTestHarness,
  from: number,
  to: number,
): readonly prefillTestHarness.Outcome[] {
  return harness.outcomes.filter(
    ({ arrivedAt, kind }) => kind.rank === 0 && arrivedAt >= from && arrivedAt < to,
  );
}

function handledShare(outcomes: readonly prefillTestHarness.Outcome[]): number {
  return shareOf(outcomes, (outcome) => isInTime(outcome) || isRefusedAtOnce(outcome, 100));
}

// Guards against a new coordinator that takes busy engines for idle ones.
void test.test('after a restart of the coordinator the forecast is rebuilt within three seconds', () => {
  const harness = create();
  harness.time.advance(8_000);
  harness.restartCoordinators();
  harness.time.advance(14_000);
  const share = handledShare(urgentBetween(harness, 11_000, BURST.to));
  assert.ok(share >= 0.9, `urgent in time or refused at once: ${share}`);
});

// Guards against a forecast that follows late reports away from the truth.
void test.test('reports that are late and out of order do no lasting harm', () => {
  const harness = create({ reportDelay: (random) => 200 * random.next() });
  harness.time.advance(22_000);
  const share = handledShare(urgentBetween(harness, BURST.from, BURST.to));
  assert.ok(share >= 0.9, `urgent in time or refused at once: ${share}`);
});

// Guards against an engine that attracts prompts because it seems to have processed all others.
void test.test('an engine without first events receives few prompts and is used again afterwards', () => {
  const harness = create();
  harness.time.advance(6_000);
  harness.setStalled('i0', true);
  harness.time.advance(6_000);
  const sentWhileStalled = harness.logged.filter(
    ({ name, fields }) => name === 'placed' && fields.engine === 'i0',
  ).length;
  const share = handledShare(urgentBetween(harness, 6_000, 11_000));
  assert.ok(share >= 0.9, `urgent in time or refused at once: ${share}`);
  harness.setStalled('i0', false);
  harness.time.advance(8_000);
  const sentAfterwards = harness.logged.filter(
    ({ name, fields }) => name === 'placed' && fields.engine === 'i0',
  ).length;
  assert.ok(sentAfterwards > sentWhileStalled, `${sentWhileStalled}, then ${sentAfterwards}`);
});

// Guards against harm by a network partition: each coordinator sees the prompts of half of the entries only.
void test.test('two coordinators leave most urgent generations in time', () => {
  const harness = create({ coordinators: 2 });
  harness.time.advance(22_000);
  const urgent = urgentBetween(harness, BURST.from, BURST.to);
  const share = handledShare(urgent);
  assert.ok(share >= 0.75, `urgent in time or refused at once: ${share}`);
  const sentTwice = shareOf(urgent, (outcome) => outcome.sends > outcome.attempts);
  // Not more than with one coordinator without a forecast, where a quarter of the prompts were sent twice.
  assert.ok(sentTwice <= 0.25, `sent twice: ${sentTwice}`);
});
