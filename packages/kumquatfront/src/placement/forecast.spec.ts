/**
 * Forecasts of length and memory.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as lengthForecast from './lengthForecast.js';
import * as memoryPeak from './memoryPeak.js';
import type * as types from './types.js';

const facts: types.GenerationFacts = {
  identity: 'r',
  service: 'llm',
  promptTokens: 3_000,
  outputLimit: 2_224,
  lengthHint: 900,
  rank: 1,
  account: '',
};

void test.test('without experience the hint counts, up to the limit', () => {
  const forecast = new lengthForecast.LengthForecast();
  assert.equal(forecast.expectedOutput(facts, 0), 900);
  assert.equal(forecast.expectedOutput({ ...facts, lengthHint: 9_000 }, 0), 2_224);
  assert.equal(forecast.expectedOutput({ ...facts, lengthHint: 0 }, 0), 1_112);
});

void test.test('a generation that outlived most others is forecast as a long one', () => {
  const forecast = new lengthForecast.LengthForecast();
  for (let length = 100; length <= 2_000; length += 100) {
    forecast.learn(facts, length);
  }
  const young = forecast.expectedOutput({ ...facts, lengthHint: 0 }, 0);
  const old = forecast.expectedOutput({ ...facts, lengthHint: 0 }, 1_500);
  assert.equal(young, 1_050);
  assert.equal(old, 1_800);
});

void test.test('a hint moves the forecast, by less than its own error', () => {
  const forecast = new lengthForecast.LengthForecast();
  for (let count = 0; count < 20; count += 1) {
    forecast.learn(facts, 800);
  }
  const high = forecast.expectedOutput({ ...facts, lengthHint: 2_200 }, 0);
  assert.ok(high > 800 && high < 1_500, `forecast ${high}`);
});

void test.test('a running generation is never forecast as done', () => {
  const forecast = new lengthForecast.LengthForecast();
  assert.ok(forecast.remaining({ ...facts, lengthHint: 10 }, 500) > 0);
});

/** The peak by trying every step. */
function peakByTrial(generations: readonly memoryPeak.Growth[]): number {
  const end = Math.max(0, ...generations.map((generation) => generation.remaining));
  let peak = 0;
  for (let step = 0; step <= end; step += 1) {
    const alive = generations.filter((generation) => generation.remaining >= step);
    peak = Math.max(
      peak,
      alive.reduce((sum, generation) => sum + generation.held + step, 0),
    );
  }
  return peak;
}

void test.test('the peak is what trying every step finds', () => {
  const growth = fastCheck.record({ held: fastCheck.nat(500), remaining: fastCheck.nat(60) });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(growth, { maxLength: 12 }), (generations) => {
      assert.equal(memoryPeak.peakOf(generations), peakByTrial(generations));
    }),
    { seed: 11 },
  );
});

void test.test('generations that end one after another need less than their peaks together', () => {
  const generations = [
    { held: 3_000, remaining: 500 },
    { held: 3_200, remaining: 20 },
  ];
  assert.equal(memoryPeak.peakOf(generations), 6_240);
});
