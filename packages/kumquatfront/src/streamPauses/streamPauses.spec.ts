/**
 * Streams whose engine processes the prompts of other generations.
 *
 * Guards against prompts on slow engines that pause the long streams there beyond what their routes accept.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as interference from './interference.js';
import * as pauseForecast from './pauseForecast.js';

const SERVICE = 'llm';
const LIMIT = 180;
const longStream: interference.RunningStream = { pauseLimit: LIMIT, longestPause: 70, remaining: 400 };
const prompt: interference.NewStream = { pauseLimit: LIMIT, remaining: 8, hasPrompt: true };

void test.test('a prompt costs each stream that it would make late', () => {
  assert.equal(interference.costOf(260, prompt, [longStream, longStream]), 2);
  assert.equal(interference.costOf(126, prompt, [longStream, longStream]), 0);
});

void test.test('streams that are late, about to end or without a limit cost nothing', () => {
  const streams = [
    { ...longStream, longestPause: 260 },
    { ...longStream, remaining: 4 },
    { longestPause: 70, remaining: 400 },
  ];
  assert.equal(interference.costOf(260, prompt, streams), 0);
});

void test.test('a moved generation has no prompt, but may become late itself', () => {
  const moved: interference.NewStream = { pauseLimit: LIMIT, remaining: 8, hasPrompt: false };
  assert.equal(interference.costOf(260, moved, [longStream]), 0);
  assert.ok(interference.costOf(260, { ...moved, remaining: 400 }, [longStream]) > 0);
});

void test.test('the forecast follows the longest pauses, since few prompts cause them', () => {
  const forecast = new pauseForecast.PauseForecast();
  for (const pause of [105, 126, 260, 105, 126, 105]) {
    forecast.observePause('e1', SERVICE, pause, 0);
  }
  const expected = forecast.expectedPause('e1', 1_000) ?? 0;
  assert.ok(expected > LIMIT && expected <= 260, `${expected} ms`);
});

// Without a forecast from its pace each new slow engine would make one more stream late.
void test.test('a new engine is forecast from its prefill pace', () => {
  const forecast = new pauseForecast.PauseForecast();
  forecast.observePrefill('slow', SERVICE, 0.24);
  forecast.observePause('slow', SERVICE, 260, 0);
  assert.equal(forecast.expectedPause('new', 1_000), undefined);
  forecast.observePrefill('new', SERVICE, 0.23);
  assert.ok((forecast.expectedPause('new', 1_000) ?? 0) > LIMIT);
  forecast.observePrefill('fast', SERVICE, 0.1);
  assert.ok((forecast.expectedPause('fast', 1_000) ?? 0) < LIMIT);
});

// A frozen VM or a broken link pauses a stream for seconds, which says nothing about its engine.
void test.test('a single stall raises the forecast by a bounded factor and is forgotten', () => {
  const forecast = new pauseForecast.PauseForecast();
  forecast.observePause('e1', SERVICE, 60, 0);
  forecast.observePause('e1', SERVICE, 5_000, 0);
  assert.ok((forecast.expectedPause('e1', 1_000) ?? 0) <= LIMIT);
  assert.equal(forecast.expectedPause('e1', 60_000), undefined);
});

void test.test('a restarted engine has a new identity and starts without observations', () => {
  const forecast = new pauseForecast.PauseForecast();
  forecast.observePause('e1@1', SERVICE, 260, 0);
  forecast.retain((engine) => engine === 'e1@2');
  assert.equal(forecast.expectedPause('e1@1', 0), undefined);
});
