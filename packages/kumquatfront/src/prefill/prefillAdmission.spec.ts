/**
 * Decisions on one queued generation, and fairness between prompt sizes.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as prefillAdmission from './prefillAdmission.js';
import * as sizeFairness from './sizeFairness.js';

const LIMITS = { timeLeft: 1_000, patientLimit: 600, sizeFactor: 1 };

function accepts(
  requestClass: prefillAdmission.RequestClass,
  wait: number,
  work: number,
  limits: Omit<prefillAdmission.AdmissionLimits, 'requestClass'> = LIMITS,
): boolean {
  return prefillAdmission.conditionOf({ ...limits, requestClass })({ wait, work });
}

// Guards against starting prompts whose answer comes late, and against refusing those that can be in time.
void test.test('an urgent prompt is accepted exactly if its first event is in time', () => {
  assert.equal(accepts('urgent', 670, 330), true);
  assert.equal(accepts('urgent', 671, 330), false);
  assert.equal(prefillAdmission.withoutEngine('urgent', true), 'refuse');
  assert.equal(prefillAdmission.withoutEngine('urgent', false), 'wait');
});

// Guards against patient prompts between urgent ones, and against large ones that never fit into the limit.
void test.test('a patient prompt leaves the headroom, unless the engine is idle', () => {
  assert.equal(accepts('patient', 200, 400), true);
  assert.equal(accepts('patient', 300, 400), false);
  assert.equal(accepts('patient', 0, 900), true);
  assert.equal(prefillAdmission.withoutEngine('patient', true), 'wait');
});

// Guards against refusing late requests while capacity is idle, and against placing them before others.
void test.test('a late prompt is accepted only by an idle engine', () => {
  assert.equal(accepts('late', 0, 330, { ...LIMITS, timeLeft: -500 }), true);
  assert.equal(accepts('late', 100, 330, { ...LIMITS, timeLeft: -500 }), false);
  assert.equal(accepts('reserved', 100, 330, { ...LIMITS, timeLeft: -500 }), true);
});

function recordOutcomes(fairness: sizeFairness.SizeFairness, largeServed: boolean): void {
  for (let index = 0; index < 100; index += 1) {
    const isLarge = index % 10 === 0;
    fairness.record('llm urgent', isLarge ? 4_400 : 2_000, isLarge ? largeServed : true, index);
  }
}

// Guards against queues that hover where only small prompts fit.
void test.test('small prompts leave time for a large one only while large ones are served too rarely', () => {
  const starved = new sizeFairness.SizeFairness();
  recordOutcomes(starved, false);
  assert.equal(starved.requiredTokens('llm urgent', 2_000, 100), 4_400);
  assert.equal(starved.requiredTokens('llm urgent', 2_000, 6_000), 2_000);
  const served = new sizeFairness.SizeFairness();
  recordOutcomes(served, true);
  assert.equal(served.requiredTokens('llm urgent', 2_000, 100), 2_000);
});
