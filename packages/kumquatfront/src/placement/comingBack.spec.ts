/**
 * When callers that found no place are told to come back, on virtual time.
 *
 * Pattern: one engine, full; places come free every second, and each is taken by whoever asks first. A patient caller
 * that comes back at once has used its last try before anything has changed. Grounds: prompts of 3,000 tokens and
 * outputs of 600, which take some six seconds on the engines of the users.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as comingBack from './comingBack.js';
import * as coordinatorBench from './coordinatorBench.js';
import * as mechanisms from './mechanisms.js';

function retryAfter(rank: number, isOn?: mechanisms.IsOn): number {
  const bench = new coordinatorBench.CoordinatorBench(1, 1, isOn).begin();
  bench.ask('first');
  bench.pass(500);
  bench.ask('second', 'second', rank);
  bench.pass(1_000);
  const answer = bench.answers.get('second');
  assert.ok(answer?.state === 'refused');
  return answer.retryAfter;
}

void test.test('a patient caller comes back after the time of one generation', () => {
  const told = retryAfter(1);
  assert.ok(told >= 3_000 && told <= 12_000, `told ${told}`);
});

void test.test('without the mechanism it is told by the rate at which places come free', () => {
  const off = mechanisms.without(['returnWithSlack']).unwrap();
  assert.ok(retryAfter(1, off) < 1_000);
});

void test.test('callers do not come back all at once, and never later than they honour', () => {
  assert.deepEqual(
    [0, 0.5, 1].map((chance) => comingBack.afterResidence(5_000, chance)),
    [3_000, 5_500, 8_000],
  );
  assert.equal(comingBack.afterResidence(60_000, 0), 12_000);
  assert.equal(comingBack.afterResidence(100, 0), 1_000);
});

void test.test('a name that is no mechanism is refused with those that are', () => {
  const refused = mechanisms.without(['evacuation', 'magic']);
  assert.ok(!refused.ok);
  assert.match(refused.val.message, /magic/);
  assert.match(refused.val.remedy, /decodingPace/);
});
