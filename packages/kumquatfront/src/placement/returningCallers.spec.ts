/**
 * Callers that come back after a refusal.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as returningCallers from './returningCallers.js';

void test.test('a caller that comes back is known by what it asks for, once', () => {
  const returning = new returningCallers.ReturningCallers();
  returning.refused('likeness', 1_000, 1_200);
  assert.equal(returning.take('other', 2_000), undefined);
  assert.equal(returning.take('likeness', 2_000), 1_000);
  assert.equal(returning.take('likeness', 2_000), undefined);
});

void test.test('a refusal of long ago says nothing of the next question', () => {
  const returning = new returningCallers.ReturningCallers();
  returning.refused('likeness', 1_000, 1_200);
  assert.equal(returning.take('likeness', 30_000), undefined);
});

// A flood of refusals must not fill the memory of control: the oldest are forgotten first, and their callers
// look fresh when they come back.
void test.test('of very many refusals the newest are remembered', () => {
  const returning = new returningCallers.ReturningCallers();
  for (let index = 0; index < 10_000; index += 1) {
    returning.refused(`likeness${index}`, index, index / 10);
  }
  assert.equal(returning.take('likeness0', 1_000), undefined);
  assert.equal(returning.take('likeness9999', 1_000), 9_999);
});
