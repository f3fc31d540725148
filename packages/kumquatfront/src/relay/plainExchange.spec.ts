/**
 * Plain calls over upstreams that fail: one that may not be repeated runs once at most, and "not run" is true.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as plainExchange from './plainExchange.js';
import * as relayBench from './relayBench.js';
import type * as types from './types.js';

function start(bench: relayBench.RelayBench, kind: 'idempotent' | 'nonIdempotent'): void {
  new plainExchange.PlainExchange(bench.context, bench.routed(kind)).start();
}

function answer(sent: relayBench.SentCall | undefined, head: types.UpstreamHead, body = 'ok'): void {
  sent?.listener.head(head);
  sent?.listener.data(Buffer.from(body));
  sent?.listener.end();
}

void test.test('a whole answer is handed over', () => {
  const bench = new relayBench.RelayBench(['a']);
  start(bench, 'nonIdempotent');
  answer(bench.sent[0], relayBench.soundHead);
  assert.deepEqual(bench.got, ['whole 200 ok']);
});

// The answer breaks off: the caller must not get half of it, and a payment must not be made again.
void test.test('a broken call that may not be repeated is sent once, and its outcome is unknown', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  start(bench, 'nonIdempotent');
  bench.sent[0]?.listener.head(relayBench.soundHead);
  bench.sent[0]?.listener.data(Buffer.from('hal'));
  bench.sent[0]?.listener.failed('broken', 'reset');
  assert.equal(bench.sent.length, 1);
  assert.deepEqual(bench.got, ['refused outcomeUnknown']);
});

// An upstream answers 503 without stating that it did not run the call. Handed over, the caller would take it
// for a promise and pay twice.
void test.test('an unproven 503 is not handed over for a call that may not be repeated', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  start(bench, 'nonIdempotent');
  answer(bench.sent[0], { ...relayBench.soundHead, status: 503 });
  assert.deepEqual(bench.got, ['refused outcomeUnknown']);
});

void test.test('a call that was certainly not run goes to another upstream', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  start(bench, 'nonIdempotent');
  answer(bench.sent[0], relayBench.notRunHead);
  answer(bench.sent[1], relayBench.soundHead);
  assert.deepEqual(bench.got, ['whole 200 ok']);
});

void test.test('a call that none ran is refused as not run', () => {
  const bench = new relayBench.RelayBench(['a']);
  start(bench, 'nonIdempotent');
  answer(bench.sent[0], relayBench.notRunHead);
  assert.deepEqual(bench.got, ['refused noUpstream']);
});

// A late second answer to an earlier request arrives in place of the own one: it belongs to somebody else.
void test.test('an answer that echoes another request is not handed over', () => {
  const bench = new relayBench.RelayBench(['a']);
  start(bench, 'nonIdempotent');
  answer(bench.sent[0], { ...relayBench.soundHead, belongs: false });
  assert.deepEqual(bench.got, ['refused outcomeUnknown']);
});

void test.test('a success without a signature is not handed over', () => {
  const bench = new relayBench.RelayBench(['a']);
  start(bench, 'nonIdempotent');
  answer(bench.sent[0], { ...relayBench.soundHead, signed: false });
  assert.deepEqual(bench.got, ['refused outcomeUnknown']);
});

void test.test('an idempotent call is repeated after a failure, and no more often than allowed', () => {
  const bench = new relayBench.RelayBench(['a', 'b', 'c']);
  start(bench, 'idempotent');
  answer(bench.sent[0], { ...relayBench.soundHead, status: 500 }, 'one');
  answer(bench.sent[1], { ...relayBench.soundHead, status: 500 }, 'two');
  assert.equal(bench.sent.length, 2);
  assert.deepEqual(bench.got, ['whole 500 two']);
});

// Some calls fail wherever they run: their data is bad. If each of them counted against both upstreams that it was
// sent to, two such calls would put two healthy upstreams out of use, and callers would wait for the others.
void test.test('a call that fails on two upstreams says nothing of either', () => {
  const bench = new relayBench.RelayBench(['a', 'b', 'c', 'd']);
  const failure = { ...relayBench.soundHead, status: 500 };
  for (let call = 0; call < 3; call += 1) {
    start(bench, 'idempotent');
    answer(bench.sent.at(-1), failure);
    answer(bench.sent.at(-1), failure);
  }
  assert.equal(bench.sent.length, 6);
  const { choice, instances, timers } = bench.context;
  assert.deepEqual(choice.ejectedOf(instances.readyOf('llm'), timers.now()), []);
});

// One upstream fails what others answer. It must be out of use after two calls.
void test.test('a call that another upstream answers counts against the one that failed it', () => {
  const bench = new relayBench.RelayBench(['a', 'b', 'c', 'd']);
  const { choice, instances, timers } = bench.context;
  let calls = 0;
  while (choice.ejectedOf(instances.readyOf('llm'), timers.now()).length === 0 && calls < 20) {
    start(bench, 'idempotent');
    const sent = bench.sent.at(-1);
    if (sent?.call.instance.identity === 'a') {
      answer(sent, { ...relayBench.soundHead, status: 500 });
    }
    answer(bench.sent.at(-1), relayBench.soundHead);
    calls += 1;
  }
  assert.deepEqual(choice.ejectedOf(instances.readyOf('llm'), timers.now()), ['a']);
});

// An upstream hangs. The second one is asked after most of the objective, and whoever answers first counts;
// the other is cancelled.
void test.test('an idempotent call is hedged against an upstream that hangs', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  start(bench, 'idempotent');
  bench.time.advance(80);
  answer(bench.sent[1], relayBench.soundHead);
  assert.deepEqual(bench.got, ['whole 200 ok']);
  assert.equal(bench.sent[0]?.cancelled, true);
});

// Every upstream fails under overload. Without a bound each call would arrive twice, and nothing recovers.
void test.test('without budget no call is repeated', () => {
  const bench = new relayBench.RelayBench(['a', 'b'], 0);
  start(bench, 'idempotent');
  answer(bench.sent[0], { ...relayBench.soundHead, status: 500 }, 'one');
  assert.equal(bench.sent.length, 1);
  assert.deepEqual(bench.got, ['whole 500 one']);
});

void test.test('a connection that never opened has run nothing, and costs no repeat', () => {
  const bench = new relayBench.RelayBench(['a', 'b'], 0);
  start(bench, 'nonIdempotent');
  bench.sent[0]?.listener.failed('notSent', 'refused');
  answer(bench.sent[1], relayBench.soundHead);
  assert.deepEqual(bench.got, ['whole 200 ok']);
});

void test.test('a caller that leaves cancels the call', () => {
  const bench = new relayBench.RelayBench(['a']);
  start(bench, 'idempotent');
  bench.leaveByCaller();
  assert.equal(bench.sent[0]?.cancelled, true);
  assert.deepEqual(bench.got, []);
});

void test.test('a call without an answer ends when its time is over', () => {
  const bench = new relayBench.RelayBench(['a']);
  start(bench, 'nonIdempotent');
  bench.time.advance(10_001);
  assert.equal(bench.sent[0]?.cancelled, true);
  assert.deepEqual(bench.got, ['refused timeoutUnknown']);
});

// The only upstream of a service fails calls. None of them can be sent elsewhere, so none may use up a repeat: calls
// that could be mended later would find none left.
void test.test('a call that has nowhere else to go draws nothing from the budget of repeats', () => {
  const bench = new relayBench.RelayBench(['a'], 10);
  for (let call = 0; call < 20; call += 1) {
    start(bench, 'idempotent');
    answer(bench.sent.at(-1), { ...relayBench.soundHead, status: 500 });
  }
  assert.equal(bench.sent.length, 20);
  let left = 0;
  while (bench.context.allowance.take('llm', bench.time.now())) {
    left += 1;
  }
  assert.ok(left >= 7, `${left} repeats are left`);
});
