/**
 * A full queue of the coordinator.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as placementQueue from '../placement/placementQueue.js';
import type * as types from '../placement/types.js';

const QUEUE_SIZE = 2_000;

function request(identity: string, account: string): types.PlacementRequest {
  const facts: types.GenerationAttributes = {
    ...{ identity, service: 'llm', promptTokens: 3_000, outputLimit: 600, lengthHint: 600, rank: 1 },
    account,
  };
  return {
    ...{ facts, entry: 'e0', dataCentre: 'a', excluded: [], likeness: identity },
    ...{ objective: 4_000, objectiveLeft: 4_000, patience: 4_000 },
  };
}

const ORDER: placementQueue.AccountOrder = {
  keyOf: () => 0,
  recordOvertaken: () => undefined,
  reservedForOthers: () => [],
  reserveEngine: () => undefined,
  extraWaitOf: () => 0,
};

function fullQueue(order: placementQueue.AccountOrder | undefined): placementQueue.PlacementQueue {
  const forecasts: placementQueue.RequestForecasts = {
    expectedOutput: () => 0,
    timelinessOf: () => 'inTime',
    mayWaitLonger: () => false,
  };
  const queue = new placementQueue.PlacementQueue(forecasts, () => order);
  for (let index = 0; index < QUEUE_SIZE; index += 1) {
    queue.add(request(`large-${index}`, 'large'), index, () => undefined);
  }
  return queue;
}

// Guards against an account whose backlog fills the queue and keeps the requests of all others out.
void test.test('a full queue gives up a request of the account furthest above its share', () => {
  const queue = fullQueue(ORDER);
  const newcomer = request('small-0', 'small');
  assert.equal(
    queue.add(newcomer, QUEUE_SIZE, () => undefined),
    false,
  );
  const refused = queue.takeForRoom(newcomer, QUEUE_SIZE);
  assert.equal(refused?.request.facts.identity, `large-${QUEUE_SIZE - 1}`);
  assert.ok(queue.add(newcomer, QUEUE_SIZE, () => undefined));
  assert.equal(queue.takeForRoom(request('large-new', 'large'), QUEUE_SIZE), undefined);
});

void test.test('without shares a full queue refuses the newcomer', () => {
  assert.equal(fullQueue(undefined).takeForRoom(request('small-0', 'small'), QUEUE_SIZE), undefined);
});
