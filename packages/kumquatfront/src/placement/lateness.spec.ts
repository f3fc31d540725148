/**
 * The coordinator and generations that can or cannot be in time any more, on virtual time.
 *
 * Pattern: more generations come than the engines' memory holds. Each place that a late one takes makes one late
 * that could have been in time. Grounds of the figures: the objectives and prompts of the first users' sites.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as coordinatorBench from './coordinatorBench.js';

// All places are taken, and no engine will have one soon. The caller hears so within an eighth of its objective,
// with a time to come back, and not when its time is over.
void test.test('where no place comes free a caller is told at once', () => {
  const bench = new coordinatorBench.CoordinatorBench(1, 1).begin();
  bench.ask('first');
  bench.pass(500);
  bench.ask('second');
  const askedAt = bench.time.now();
  bench.pass(400);
  const answer = bench.answers.get('second');
  assert.ok(answer?.state === 'refused');
  assert.ok(answer.at - askedAt <= coordinatorBench.OBJECTIVE / 8, `told after ${answer.at - askedAt}`);
  assert.ok(answer.retryAfter > 0);
});

// A refused caller comes back when its objective is over. A fresh one asks a moment later, and only one place is
// there. If the returned one got it, both would be late; so it finds no place, and the fresh one is in time.
void test.test('a caller that is late already does not take the last place from one in time', () => {
  const bench = new coordinatorBench.CoordinatorBench(1, 2).begin();
  bench.ask('first');
  bench.ask('second');
  bench.pass(500);
  bench.ask('third/1', 'third');
  bench.pass(400);
  assert.equal(bench.stateOf('third/1'), 'refused');
  bench.pass(2_000);
  bench.end('first');
  bench.ask('third/2', 'third');
  bench.pass(100);
  bench.ask('fresh');
  bench.pass(100);
  assert.equal(bench.stateOf('third/2'), 'refused');
  assert.equal(bench.stateOf('fresh'), 'placed');
});

// The same with an idle fleet: late is better than never.
void test.test('a caller that is late gets a place where there is slack', () => {
  const bench = new coordinatorBench.CoordinatorBench(1, 1).begin();
  bench.ask('first');
  bench.pass(500);
  bench.ask('second/1', 'second');
  bench.pass(400);
  assert.equal(bench.stateOf('second/1'), 'refused');
  bench.pass(2_000);
  bench.end('first');
  bench.ask('second/2', 'second');
  bench.pass(100);
  assert.equal(bench.stateOf('second/2'), 'placed');
});

// One engine has just started, its memory empty; the other holds half of what it can and reads nothing. Prompts come
// together. The third would be read behind two others on the new engine, a second later than on the other one; and
// what is read behind three others is late.
void test.test('prompts that come together are read side by side', () => {
  const bench = new coordinatorBench.CoordinatorBench(1, 12).begin();
  for (const identity of ['a', 'b', 'c', 'd', 'e', 'f']) {
    bench.ask(identity);
    bench.pass(600);
  }
  bench.addEngine();
  bench.pass(250);
  const together = ['g', 'h', 'i', 'j', 'k', 'l'];
  for (const identity of together) {
    bench.ask(identity);
  }
  bench.pass(10);
  const engines = together.map((identity) => {
    const answer = bench.answers.get(identity);
    return answer?.state === 'placed' ? answer.instance : 'none';
  });
  assert.deepEqual(engines.slice(0, 3), ['i1', 'i1', 'i0']);
  assert.equal(engines.filter((engine) => engine === 'i1').length, 3);
  assert.equal(engines.filter((engine) => engine === 'i0').length, 3);
});

// A patient generation waits for the only place when an urgent one comes. The place that comes free is the urgent
// one's: a caller at a counter does not stand behind a report.
void test.test('an urgent generation goes before a patient one that has waited longer', () => {
  const bench = new coordinatorBench.CoordinatorBench(1, 1).begin();
  bench.ask('first');
  bench.pass(500);
  bench.ask('patient');
  bench.time.advance(50);
  bench.ask('urgent', 'urgent', 0);
  bench.time.advance(50);
  assert.equal(bench.stateOf('patient'), 'waiting');
  assert.equal(bench.stateOf('urgent'), 'waiting');
  bench.end('first');
  bench.time.advance(50);
  assert.equal(bench.stateOf('urgent'), 'placed');
  assert.equal(bench.stateOf('patient'), 'waiting');
});
