/**
 * Forecast of the serial prefill queue of an engine.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as prefillBacklog from './prefillBacklog.js';

const PACE = 0.1;

function createBacklog(): prefillBacklog.PrefillBacklog {
  return new prefillBacklog.PrefillBacklog(() => PACE);
}

function promptOf(identity: string, tokens: number, engine = 'e1'): prefillBacklog.Prompt {
  return { identity, engine, service: 'llm', tokens };
}

// Guards against counting a prompt in full until its first event is reported.
void test.test('the forecast covers the prompts ahead and decreases with time', () => {
  const backlog = createBacklog();
  backlog.add(promptOf('a', 2_000), 0, true);
  backlog.add(promptOf('b', 3_000), 0, true);
  assert.equal(backlog.waitOf('e1', 0), 500);
  assert.equal(backlog.waitOf('e1', 150), 350);
  assert.equal(backlog.waitOf('e2', 0), 0);
});

// Guards against learning nothing under load, where every prompt has others ahead.
void test.test('the time of a prompt with others ahead is measured from the first event before it', () => {
  const backlog = createBacklog();
  backlog.add(promptOf('a', 2_000), 0, true);
  backlog.add(promptOf('b', 3_000), 0, true);
  assert.equal(backlog.complete('a', 240)?.elapsed, 200);
  assert.equal(backlog.complete('b', 640)?.elapsed, 400);
});

// Guards against a forecast that stays wrong when an engine is faster or slower than its pace.
void test.test('a first event replaces the forecast of what was ahead', () => {
  const early = createBacklog();
  early.add(promptOf('a', 5_000), 0, true);
  early.add(promptOf('b', 1_000), 0, true);
  early.complete('a', 140);
  assert.equal(early.waitOf('e1', 140), 60);
  const late = createBacklog();
  late.add(promptOf('a', 1_000), 0, true);
  late.add(promptOf('b', 5_000), 0, true);
  late.complete('a', 1_040);
  assert.equal(late.waitOf('e1', 1_040), 460);
});

// Guards against placing more prompts on an engine that has stalled.
void test.test('the forecast of an overdue engine grows', () => {
  const backlog = createBacklog();
  backlog.add(promptOf('a', 1_000), 0, true);
  backlog.add(promptOf('b', 2_000), 0, true);
  assert.ok(backlog.waitOf('e1', 1_000) > backlog.waitOf('e1', 400));
});

// Guards against dropping a prompt that another one has overtaken, and against learning a pace from such a pair.
void test.test('reports out of order keep the other prompts and teach no pace', () => {
  const backlog = createBacklog();
  backlog.add(promptOf('a', 2_000), 0, true);
  backlog.add(promptOf('b', 2_000), 0, true);
  assert.equal(backlog.complete('b', 240), undefined);
  assert.equal(backlog.waitOf('e1', 240), 160);
  assert.equal(backlog.complete('a', 440), undefined);
  assert.equal(backlog.waitOf('e1', 440), 0);
});

// Guards against an engine that counts as busy for ever because an entry failed before its report.
void test.test('a prompt without a first event expires, and the next one begins', () => {
  const backlog = createBacklog();
  backlog.add(promptOf('a', 1_000), 0, true);
  backlog.add(promptOf('b', 1_000), 0, true);
  const isKnown = (): boolean => true;
  assert.deepEqual(backlog.removeExpired(isKnown, 3_000), []);
  assert.deepEqual(
    backlog.removeExpired(isKnown, 3_200).map((prompt) => prompt.identity),
    ['a'],
  );
  assert.equal(backlog.waitOf('e1', 3_200), 100);
  assert.equal(backlog.complete('b', 3_340), undefined);
});

// Guards against prompts of a former run that delay a restarted engine.
void test.test('the queue of an engine that no longer exists is cleared', () => {
  const backlog = createBacklog();
  backlog.add(promptOf('a', 1_000), 0, true);
  backlog.removeExpired(() => false, 10);
  assert.equal(backlog.waitOf('e1', 10), 0);
  assert.equal(backlog.complete('a', 20), undefined);
});

// Guards against counting a stream that was sent again on both engines.
void test.test('a prompt placed again is counted on its new engine only', () => {
  const backlog = createBacklog();
  backlog.add(promptOf('a', 1_000), 0, true);
  backlog.add(promptOf('a', 1_000, 'e2'), 10, true);
  assert.equal(backlog.waitOf('e1', 10), 0);
  assert.equal(backlog.waitOf('e2', 10), 100);
});
