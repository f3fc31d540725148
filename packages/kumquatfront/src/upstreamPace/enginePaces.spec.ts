/**
 * Prefill paces of engines.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as enginePaces from './enginePaces.js';

/** True prefill paces of 31 engines: two of three are fast. */
function truePaceOf(index: number): number {
  return (index % 3 === 2 ? 1.7 : 0.7) / 7;
}

function createFleet(prompts: number): enginePaces.EnginePaces {
  const random = seededRandom.create(3);
  const paces = new enginePaces.EnginePaces(() => 0);
  for (let prompt = 0; prompt < prompts; prompt += 1) {
    for (let index = 0; index < 31; index += 1) {
      const elapsed = 3_000 * truePaceOf(index) * (0.85 + 0.3 * random.next());
      paces.observePrefill(`e${index}`, 'llm', 3_000, elapsed);
    }
  }
  return paces;
}

// Guards against slow engines getting the prompts of fast ones: a burst reaches its peak within a few prompts.
void test.test('prefill paces are within 20 in 100 after six prompts of each engine', () => {
  const paces = createFleet(6);
  for (let index = 0; index < 31; index += 1) {
    const ratio = paces.prefillPaceOf(`e${index}`, 'llm') / truePaceOf(index);
    assert.ok(Math.abs(ratio - 1) < 0.2, `e${index}: ${ratio}`);
  }
});

void test.test(
  'an engine without observations has the pace of its service, and a service the initial one',
  () => {
    const paces = createFleet(6);
    const mean = paces.prefillPaceOf('new', 'llm') * 7;
    assert.ok(mean > 0.9 && mean < 1.2, `${mean}`);
    assert.equal(paces.prefillPaceOf('new', 'other'), 1 / 6);
    assert.ok(paces.prefillUncertaintyOf('new', 'llm') > paces.prefillUncertaintyOf('e1', 'llm'));
  },
);

// Guards against the pace of an earlier incarnation being used for a restarted engine.
void test.test('a removed engine returns to the pace of its service', () => {
  const paces = createFleet(6);
  paces.remove('e2');
  assert.ok(paces.prefillPaceOf('e2', 'llm') * 7 < 1.3);
});

// Guards against reports without prompt tokens or time, as after a resumed stream.
void test.test('observations without tokens or time are ignored', () => {
  const paces = createFleet(6);
  const before = paces.prefillPaceOf('e0', 'llm');
  paces.observePrefill('e0', 'llm', 0, 100);
  paces.observePrefill('e0', 'llm', 100, 0);
  paces.observePrefill('e0', 'llm', 100, -5);
  assert.equal(paces.prefillPaceOf('e0', 'llm'), before);
});
