/**
 * Decisions of the coordinator while prompts wait on one engine.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as coordinatorTestHarness from '../placement/coordinatorTestHarness.js';
import * as placementFeatures from '../placement/placementFeatures.js';

function createHarness(
  isEnabled: placementFeatures.IsEnabled = placementFeatures.allEnabled,
): coordinatorTestHarness.CoordinatorTestHarness {
  return new coordinatorTestHarness.CoordinatorTestHarness(1, 20, isEnabled).start();
}

/** Requests three urgent placements, whose prompts occupy the engine for 1.5 s. */
function fillEngine(harness: coordinatorTestHarness.CoordinatorTestHarness, count = 3): void {
  for (let index = 0; index < count; index += 1) {
    harness.requestPlacement(`first${index}`, `first${index}`, 0);
  }
}

// Guards against prompts that wait on the engine until their answer is late, and against retry times of a few ms.
void test.test(
  'an urgent request that no engine answers in time is refused at once with the forecast wait',
  () => {
    const harness = createHarness();
    fillEngine(harness);
    assert.equal(harness.placedCount('i0'), 3);
    harness.requestPlacement('next', 'next', 0);
    const answer = harness.answers.get('next');
    assert.ok(answer?.state === 'refused');
    assert.ok(
      answer.retryAfter >= 1_500 && answer.retryAfter <= 4_000,
      `retry after ${answer.retryAfter} ms`,
    );
  },
);

// Guards against an idle timeout that ends before the forecast first event.
void test.test('the answer carries the forecast of the first event', () => {
  const harness = createHarness();
  fillEngine(harness);
  const forecasts = ['first0', 'first1', 'first2'].map((identity) => {
    const answer = harness.answers.get(identity);
    return answer?.state === 'placed' ? answer.firstEventIn : undefined;
  });
  assert.deepEqual(forecasts, [540, 1_040, 1_540]);
});

// Guards against refusing a caller at the time at which it was told to return.
void test.test('a caller that returns at its retry time is placed', () => {
  const harness = createHarness();
  fillEngine(harness);
  harness.requestPlacement('next/1', 'next', 0);
  const answer = harness.answers.get('next/1');
  assert.ok(answer?.state === 'refused');
  harness.advance(answer.retryAfter);
  harness.requestPlacement('next/2', 'next', 0);
  harness.advance(20);
  assert.equal(harness.stateOf('next/2'), 'placed');
});

// Guards against patient prompts that delay urgent ones, and against refusing them while their objective lets them wait.
void test.test('a patient request waits for headroom as long as its objective allows', () => {
  const waiting = createHarness();
  waiting.longestWait = coordinatorTestHarness.OBJECTIVE;
  fillEngine(waiting, 2);
  waiting.requestPlacement('patient');
  waiting.time.advance(600);
  assert.equal(waiting.stateOf('patient'), 'waiting');
  waiting.advance(300);
  assert.equal(waiting.stateOf('patient'), 'placed');
  const older = createHarness();
  fillEngine(older, 2);
  older.requestPlacement('patient');
  older.time.advance(300);
  assert.equal(older.stateOf('patient'), 'refused');
});

// Guards against a late retry that occupies the queue for the whole objective again.
void test.test('a late retry of a patient request is answered almost immediately', () => {
  const harness = createHarness();
  harness.longestWait = coordinatorTestHarness.OBJECTIVE;
  fillEngine(harness);
  harness.requestPlacement('patient/1', 'patient');
  harness.time.advance(1_400);
  assert.equal(harness.stateOf('patient/1'), 'refused');
  harness.requestPlacement('patient/2', 'patient');
  harness.time.advance(100);
  assert.equal(harness.stateOf('patient/2'), 'refused');
});

// Guards against a change of behaviour where the feature is disabled.
void test.test('with the feature disabled an urgent request waits, and answers have no forecast', () => {
  const harness = createHarness(placementFeatures.withDisabled(['prefillScheduling']).unwrap());
  fillEngine(harness);
  harness.requestPlacement('next', 'next', 0);
  assert.equal(harness.stateOf('next'), 'waiting');
  assert.deepEqual(Object.keys(harness.answers.get('first0') ?? {}).sort(), ['at', 'instance', 'state']);
});
