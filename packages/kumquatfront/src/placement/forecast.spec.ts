/**
 * Forecasts of output length and peak memory.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as lengthForecast from './lengthForecast.js';
import * as memoryPeak from './memoryPeak.js';
import type * as types from './types.js';

const attributes: types.GenerationAttributes = {
  identity: 'r',
  service: 'llm',
  promptTokens: 3_000,
  outputLimit: 2_224,
  lengthHint: 900,
  rank: 1,
  account: '',
};

void test.test('without observations the hint is used, up to the output limit', () => {
  const forecast = new lengthForecast.LengthForecast();
  assert.equal(forecast.totalOutput(attributes, 0), 900);
  assert.equal(forecast.totalOutput({ ...attributes, lengthHint: 9_000 }, 0), 2_224);
  assert.equal(forecast.totalOutput({ ...attributes, lengthHint: 0 }, 0), 1_112);
});

void test.test('the forecast of a running generation is the mean of longer observations', () => {
  const forecast = new lengthForecast.LengthForecast();
  for (let length = 100; length <= 2_000; length += 100) {
    forecast.observe(attributes, length);
  }
  const initial = forecast.totalOutput({ ...attributes, lengthHint: 0 }, 0);
  const later = forecast.totalOutput({ ...attributes, lengthHint: 0 }, 1_500);
  assert.equal(initial, 1_050);
  assert.equal(later, 1_800);
});

void test.test('a hint shifts the forecast only partially', () => {
  const forecast = new lengthForecast.LengthForecast();
  for (let count = 0; count < 20; count += 1) {
    forecast.observe(attributes, 800);
  }
  const high = forecast.totalOutput({ ...attributes, lengthHint: 2_200 }, 0);
  assert.ok(high > 800 && high < 1_500, `forecast ${high}`);
});

void test.test('a running generation is never forecast as complete', () => {
  const forecast = new lengthForecast.LengthForecast();
  assert.ok(forecast.remainingOutput({ ...attributes, lengthHint: 10 }, 500) > 0);
});

/** Computes the peak by evaluating every step. */
function peakByBruteForce(generations: readonly memoryPeak.GenerationMemory[]): number {
  const end = Math.max(0, ...generations.map((generation) => generation.remaining));
  let peak = 0;
  for (let step = 0; step <= end; step += 1) {
    const active = generations.filter((generation) => generation.remaining >= step);
    peak = Math.max(
      peak,
      active.reduce((sum, generation) => sum + generation.held + step, 0),
    );
  }
  return peak;
}

void test.test('the peak equals the maximum over all steps', () => {
  const growth = fastCheck.record({ held: fastCheck.nat(500), remaining: fastCheck.nat(60) });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(growth, { maxLength: 12 }), (generations) => {
      assert.equal(memoryPeak.peakOf(generations), peakByBruteForce(generations));
    }),
    { seed: 11 },
  );
});

void test.test('generations that end at different times need less than the sum of their peaks', () => {
  const generations = [
    { held: 3_000, remaining: 500 },
    { held: 3_200, remaining: 20 },
  ];
  assert.equal(memoryPeak.peakOf(generations), 6_240);
});
