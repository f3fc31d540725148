/**
 * Estimates of the time to the first event.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as prefillEstimator from './prefillEstimator.js';

void test.test('the time to the first event grows with the prompt tokens to process', () => {
  const estimator = new prefillEstimator.PrefillEstimator();
  const alone = estimator.timeToFirstEvent('llm', 3_000);
  const behindAnother = estimator.timeToFirstEvent('llm', 6_000);
  assert.ok(alone > 300 && alone < 700, `${alone}`);
  assert.ok(behindAnother > alone + 300, `${behindAnother}`);
});

void test.test('the estimate converges to the observed prefill rate, separately for each service', () => {
  const estimator = new prefillEstimator.PrefillEstimator();
  for (let count = 0; count < 100; count += 1) {
    estimator.observe('fast', 3_000, 40 + 3_000 / 14);
  }
  assert.ok(Math.abs(estimator.timeToFirstEvent('fast', 3_000) - 254) < 20);
  assert.equal(
    estimator.timeToFirstEvent('other', 3_000),
    new prefillEstimator.PrefillEstimator().timeToFirstEvent('other', 3_000),
  );
});

// Guards against one unresponsive engine raising the estimate so far that requests are refused while engines are idle.
void test.test('a single outlier barely changes the estimate', () => {
  const estimator = new prefillEstimator.PrefillEstimator();
  const before = estimator.timeToFirstEvent('llm', 3_000);
  estimator.observe('llm', 3_000, 60_000);
  assert.ok(estimator.timeToFirstEvent('llm', 3_000) < before * 1.05);
});
