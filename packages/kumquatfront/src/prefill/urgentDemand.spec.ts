/**
 * Headroom from urgent arrivals.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as urgentDemand from './urgentDemand.js';

const PACE = 0.15;
const FIXED_DELAY = 40;

function demandOf(perSecond: number): urgentDemand.UrgentDemand {
  const demand = new urgentDemand.UrgentDemand();
  for (let at = 0; at < 2_000; at += 1_000 / perSecond) {
    demand.record('llm', { at, tokens: 2_200, objective: 1_500 });
  }
  return demand;
}

// Guards against idle capacity that is kept for urgent work which has stopped arriving.
void test.test('the headroom is released within two seconds after the last urgent arrival', () => {
  const demand = demandOf(25);
  assert.ok(demand.of('llm', 2_000) !== undefined);
  assert.equal(demand.of('llm', 4_000), undefined);
  assert.equal(demand.of('other', 2_000), undefined);
});

// Guards against a patient prompt that makes the next urgent one late.
void test.test('a patient prompt leaves time for an urgent one, and for more of them in a burst', () => {
  const limits = [25, 75, 150].map((perSecond) => {
    const demand = demandOf(perSecond).of('llm', 2_000);
    assert.ok(demand !== undefined);
    return urgentDemand.patientLimit(demand, PACE, 31, FIXED_DELAY);
  });
  const [usual = 0, burst = 0, overload = 0] = limits;
  assert.ok(usual <= 1_500 - FIXED_DELAY - 2_200 * PACE && usual > 900, `usual ${usual}`);
  assert.ok(burst <= usual, `burst ${burst}`);
  assert.ok(overload < burst, `overload ${overload}`);
});

// Guards against headroom that covers only the mean rate.
void test.test('irregular arrivals need more headroom than regular ones', () => {
  const irregular = new urgentDemand.UrgentDemand();
  for (let at = 0; at < 2_000; at += 400) {
    for (let count = 0; count < 10; count += 1) {
      irregular.record('llm', { at, tokens: 2_200, objective: 1_500 });
    }
  }
  const limitOf = (demand: urgentDemand.UrgentDemand): number => {
    const summary = demand.of('llm', 1_999);
    assert.ok(summary !== undefined);
    return urgentDemand.patientLimit(summary, PACE, 31, FIXED_DELAY);
  };
  assert.ok(limitOf(irregular) < limitOf(demandOf(25)));
});
