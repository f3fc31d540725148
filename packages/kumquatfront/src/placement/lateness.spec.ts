/**
 * Placement under overload of requests that can or cannot meet their objective, on virtual time.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as coordinatorTestHarness from './coordinatorTestHarness.js';
import * as placementQueue from './placementQueue.js';

// Guards against refusing a request only after its objective has passed.
void test.test('a request is refused early when no capacity becomes free', () => {
  const harness = new coordinatorTestHarness.CoordinatorTestHarness(1, 1).start();
  harness.requestPlacement('first');
  harness.advance(500);
  harness.requestPlacement('second');
  const requestedAt = harness.time.now();
  harness.advance(400);
  const answer = harness.answers.get('second');
  assert.ok(answer?.state === 'refused');
  assert.ok(
    answer.at - requestedAt <= coordinatorTestHarness.OBJECTIVE / 8,
    `refused after ${answer.at - requestedAt} ms`,
  );
  assert.ok(answer.retryAfter > 0);
});

// Guards against placing a late retry on the last free capacity, which would make a new request late as well.
void test.test('a late retry does not take the last free capacity from a new request', () => {
  const harness = new coordinatorTestHarness.CoordinatorTestHarness(1, 2).start();
  harness.requestPlacement('first');
  harness.requestPlacement('second');
  harness.advance(500);
  harness.requestPlacement('third/1', 'third');
  harness.advance(400);
  assert.equal(harness.stateOf('third/1'), 'refused');
  harness.advance(2_000);
  harness.finish('first');
  harness.requestPlacement('third/2', 'third');
  harness.advance(100);
  harness.requestPlacement('fresh');
  harness.advance(100);
  assert.equal(harness.stateOf('third/2'), 'refused');
  assert.equal(harness.stateOf('fresh'), 'placed');
});

// Guards against refusing late retries while engines are idle.
void test.test('a late retry is placed on spare capacity', () => {
  const harness = new coordinatorTestHarness.CoordinatorTestHarness(1, 1).start();
  harness.requestPlacement('first');
  harness.advance(500);
  harness.requestPlacement('second/1', 'second');
  harness.advance(400);
  assert.equal(harness.stateOf('second/1'), 'refused');
  harness.advance(2_000);
  harness.finish('first');
  harness.requestPlacement('second/2', 'second');
  harness.advance(100);
  assert.equal(harness.stateOf('second/2'), 'placed');
});

// Guards against sending all simultaneous prompts to the emptiest engine, where the later ones would be delayed.
void test.test('simultaneous prompts are distributed over engines', () => {
  const harness = new coordinatorTestHarness.CoordinatorTestHarness(1, 12).start();
  for (const identity of ['a', 'b', 'c', 'd', 'e', 'f']) {
    harness.requestPlacement(identity);
    harness.advance(600);
  }
  harness.addEngine();
  harness.advance(250);
  const simultaneous = ['g', 'h', 'i', 'j', 'k', 'l'];
  for (const identity of simultaneous) {
    harness.requestPlacement(identity);
  }
  harness.advance(10);
  const engines = simultaneous.map((identity) => {
    const answer = harness.answers.get(identity);
    return answer?.state === 'placed' ? answer.instance : 'none';
  });
  assert.deepEqual(engines.slice(0, 3), ['i1', 'i1', 'i0']);
  assert.equal(engines.filter((engine) => engine === 'i1').length, 3);
  assert.equal(engines.filter((engine) => engine === 'i0').length, 3);
});

// Guards against serving requests of different ranks in order of arrival.
void test.test('an urgent request precedes a patient one that has waited longer', () => {
  const harness = new coordinatorTestHarness.CoordinatorTestHarness(1, 1).start();
  harness.requestPlacement('first');
  harness.advance(500);
  harness.requestPlacement('patient');
  harness.time.advance(50);
  harness.requestPlacement('urgent', 'urgent', 0);
  harness.time.advance(50);
  assert.equal(harness.stateOf('patient'), 'waiting');
  assert.equal(harness.stateOf('urgent'), 'waiting');
  harness.finish('first');
  harness.time.advance(50);
  assert.equal(harness.stateOf('urgent'), 'placed');
  assert.equal(harness.stateOf('patient'), 'waiting');
});

// Guards against a pass over a long queue that takes longer than the interval between passes.
void test.test('a pass over the queue tries a bounded number of requests in vain', () => {
  const queue = new placementQueue.PlacementQueue({
    expectedOutput: () => 0,
    timelinessOf: () => 'inTime',
    mayWaitLonger: () => false,
  });
  for (let index = 0; index < 500; index += 1) {
    const facts = {
      ...{ identity: `g${index}`, service: 'llm', promptTokens: 3_000, outputLimit: 600 },
      ...{ lengthHint: 600, rank: 1, account: '' },
    };
    const times = { objective: 1_800, objectiveLeft: 1_800, patience: 400 };
    const request = { facts, entry: 'e', dataCentre: 'a', excluded: [], likeness: facts.identity, ...times };
    queue.add(request, 0, () => undefined);
  }
  let attempts = 0;
  queue.dispatch(100, () => {
    attempts += 1;
    return false;
  });
  assert.equal(attempts, placementQueue.MAXIMUM_FAILED_ATTEMPTS);
});
