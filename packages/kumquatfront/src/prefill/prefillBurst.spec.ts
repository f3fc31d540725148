/**
 * Bursts of urgent generations on 31 engines with serial prefill, on virtual time: the target figures of
 * docs/design/hard-load.md, part 1.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as placementFeatures from '../placement/placementFeatures.js';
import * as prefillTestHarness from './prefillTestHarness.js';

const BURST = { from: 4_000, to: 14_000 };

/** Time from arrival within which a refusal counts as immediate, including the messages. */
const AT_ONCE = 100;

interface Figures {
  readonly urgent: readonly prefillTestHarness.Outcome[];
  readonly patient: readonly prefillTestHarness.Outcome[];
  readonly harness: prefillTestHarness.PrefillTestHarness;
}

function simulate(factor: number, seed: number): Figures {
  const classes = prefillTestHarness.burstClasses(factor, BURST);
  const options = { seed, engineCount: 31, paces: [1, 1, 1.3], classes };
  const harness = new prefillTestHarness.PrefillTestHarness(options);
  harness.time.advance(BURST.to + 8_000);
  const inBurst = harness.outcomes.filter(({ arrivedAt }) => arrivedAt >= BURST.from && arrivedAt < BURST.to);
  return {
    urgent: inBurst.filter(({ kind }) => kind.rank === 0),
    patient: inBurst.filter(({ kind }) => kind.rank > 0),
    harness,
  };
}

for (const factor of [2.5, 3]) {
  for (const seed of [1, 2, 3]) {
    // Guards against late urgent generations, starved patient ones, and streams that are sent twice.
    void test.test(`target figures at ${factor} times the urgent rate, seed ${seed}`, () => {
      const { urgent, patient } = simulate(factor, seed);
      const { shareOf, isInTime, isRefusedAtOnce } = prefillTestHarness;
      const handled = shareOf(urgent, (outcome) => isInTime(outcome) || isRefusedAtOnce(outcome, AT_ONCE));
      const patientInTime = shareOf(patient, isInTime);
      assert.ok(handled >= 0.9, `urgent in time or refused at once: ${handled}`);
      assert.ok(patientInTime >= 0.75, `patient in time: ${patientInTime}`);
      const urgentInTime = shareOf(urgent, isInTime);
      assert.ok(urgentInTime >= patientInTime - 0.05, `urgent ${urgentInTime}, patient ${patientInTime}`);
      const sentTwice = shareOf([...urgent, ...patient], (outcome) => outcome.sends > outcome.attempts);
      assert.ok(sentTwice <= 0.05, `sent twice: ${sentTwice}`);
    });
  }
}

// Guards against serving only what fits when twice the capacity is asked for: late starts, starved large prompts,
// early retries, and an overload that lasts longer than the burst.
void test.test('at six times the urgent rate callers are refused at once and no size starves', () => {
  const { urgent, harness } = simulate(6, 1);
  const { shareOf, isInTime, isRefusedAtOnce } = prefillTestHarness;
  const handled = shareOf(urgent, (outcome) => isInTime(outcome) || isRefusedAtOnce(outcome, AT_ONCE));
  assert.ok(handled >= 0.9, `urgent in time or refused at once: ${handled}`);
  const large = shareOf(
    urgent.filter(({ tokens }) => tokens >= 4_400),
    isInTime,
  );
  const rest = shareOf(
    urgent.filter(({ tokens }) => tokens < 4_400),
    isInTime,
  );
  assert.ok(large >= 0.5 * rest, `large ${large}, rest ${rest}`);
  const retryTimes = urgent.flatMap(({ retryAfter }) => (retryAfter === undefined ? [] : [retryAfter]));
  assert.ok(retryTimes.length > 100, `${retryTimes.length} refused`);
  assert.ok(retryTimes.every((time) => time >= 300 && time <= 4_000));
  const after = harness.outcomes.filter(
    ({ arrivedAt, kind }) => kind.rank === 0 && arrivedAt >= BURST.to + 2_000 && arrivedAt < BURST.to + 6_000,
  );
  assert.ok(shareOf(after, isInTime) >= 0.95, `after the burst: ${shareOf(after, isInTime)}`);
});

// Guards against a change of behaviour where the feature is disabled.
void test.test('with the feature disabled no forecast is answered and no reservation is made', () => {
  const classes = prefillTestHarness.burstClasses(1, BURST);
  const isEnabled = placementFeatures.withDisabled(['prefillScheduling']).unwrap();
  const options = { seed: 1, engineCount: 31, paces: [1], classes, isEnabled };
  const harness = new prefillTestHarness.PrefillTestHarness(options);
  harness.time.advance(4_000);
  const placed = harness.logged.filter(({ name }) => name === 'placed');
  assert.ok(placed.length > 50);
  assert.ok(placed.every(({ fields }) => fields.firstEventIn === undefined));
});
