/**
 * Buffered exchanges with failing upstreams: a non-idempotent call runs at most once, and "not run" is never reported
 * for a call that may have run.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as plainExchange from './plainExchange.js';
import * as relayBench from './relayBench.js';
import type * as types from './types.js';

function start(harness: relayBench.RelayBench, kind: 'idempotent' | 'nonIdempotent'): void {
  new plainExchange.PlainExchange(harness.context, harness.routed(kind)).start();
}

function answer(sent: relayBench.SentCall | undefined, head: types.UpstreamHead, body = 'ok'): void {
  sent?.listener.head(head);
  sent?.listener.data(Buffer.from(body));
  sent?.listener.end();
}

void test.test('a complete response is forwarded', () => {
  const harness = new relayBench.RelayBench(['a']);
  start(harness, 'nonIdempotent');
  answer(harness.sent[0], relayBench.soundHead);
  assert.deepEqual(harness.got, ['whole 200 ok']);
});

// Failure: a truncated response is forwarded, or a payment is made twice.
void test.test('a broken non-idempotent call is sent once and its outcome is unknown', () => {
  const harness = new relayBench.RelayBench(['a', 'b']);
  start(harness, 'nonIdempotent');
  harness.sent[0]?.listener.head(relayBench.soundHead);
  harness.sent[0]?.listener.data(Buffer.from('hal'));
  harness.sent[0]?.listener.failed('broken', 'reset');
  assert.equal(harness.sent.length, 1);
  assert.deepEqual(harness.got, ['refused outcomeUnknown']);
});

// Failure: a caller retries a payment after a 503 that does not guarantee that the call did not run.
void test.test('a 503 without a not-run statement is not forwarded for a non-idempotent call', () => {
  const harness = new relayBench.RelayBench(['a', 'b']);
  start(harness, 'nonIdempotent');
  answer(harness.sent[0], { ...relayBench.soundHead, status: 503 });
  assert.deepEqual(harness.got, ['refused outcomeUnknown']);
});

void test.test('a call that certainly did not run is sent to another upstream', () => {
  const harness = new relayBench.RelayBench(['a', 'b']);
  start(harness, 'nonIdempotent');
  answer(harness.sent[0], relayBench.notRunHead);
  answer(harness.sent[1], relayBench.soundHead);
  assert.deepEqual(harness.got, ['whole 200 ok']);
});

void test.test('a call that no upstream ran is refused as not run', () => {
  const harness = new relayBench.RelayBench(['a']);
  start(harness, 'nonIdempotent');
  answer(harness.sent[0], relayBench.notRunHead);
  assert.deepEqual(harness.got, ['refused noUpstream']);
});

// Failure: a late response to an earlier request is forwarded to the wrong caller.
void test.test('a response with the identity of another request is not forwarded', () => {
  const harness = new relayBench.RelayBench(['a']);
  start(harness, 'nonIdempotent');
  answer(harness.sent[0], { ...relayBench.soundHead, belongs: false });
  assert.deepEqual(harness.got, ['refused outcomeUnknown']);
});

void test.test('a successful response without a signature is not forwarded', () => {
  const harness = new relayBench.RelayBench(['a']);
  start(harness, 'nonIdempotent');
  answer(harness.sent[0], { ...relayBench.soundHead, signed: false });
  assert.deepEqual(harness.got, ['refused outcomeUnknown']);
});

void test.test('an idempotent call is retried after a failure, up to the maximum number of attempts', () => {
  const harness = new relayBench.RelayBench(['a', 'b', 'c']);
  start(harness, 'idempotent');
  answer(harness.sent[0], { ...relayBench.soundHead, status: 500 }, 'one');
  answer(harness.sent[1], { ...relayBench.soundHead, status: 500 }, 'two');
  assert.equal(harness.sent.length, 2);
  assert.deepEqual(harness.got, ['whole 500 two']);
});

// Failure: calls with invalid data, which fail on every upstream, cause the ejection of healthy upstreams.
void test.test('a call that fails on two upstreams counts against neither', () => {
  const harness = new relayBench.RelayBench(['a', 'b', 'c', 'd']);
  const failure = { ...relayBench.soundHead, status: 500 };
  for (let call = 0; call < 3; call += 1) {
    start(harness, 'idempotent');
    answer(harness.sent.at(-1), failure);
    answer(harness.sent.at(-1), failure);
  }
  assert.equal(harness.sent.length, 6);
  const { choice: balancer, instances, timers } = harness.context;
  assert.deepEqual(balancer.ejectedOf(instances.readyOf('llm'), timers.now()), []);
});

// An upstream that fails calls which others answer must be ejected.
void test.test('a call that another upstream answers counts against the one that failed it', () => {
  const harness = new relayBench.RelayBench(['a', 'b', 'c', 'd']);
  const { choice: balancer, instances, timers } = harness.context;
  let calls = 0;
  while (balancer.ejectedOf(instances.readyOf('llm'), timers.now()).length === 0 && calls < 20) {
    start(harness, 'idempotent');
    const sent = harness.sent.at(-1);
    if (sent?.call.instance.identity === 'a') {
      answer(sent, { ...relayBench.soundHead, status: 500 });
    }
    answer(harness.sent.at(-1), relayBench.soundHead);
    calls += 1;
  }
  assert.deepEqual(balancer.ejectedOf(instances.readyOf('llm'), timers.now()), ['a']);
});

// Failure: an unresponsive upstream delays the response beyond the objective. The first response wins and the other
// attempt is cancelled.
void test.test('an idempotent call is hedged against an unresponsive upstream', () => {
  const harness = new relayBench.RelayBench(['a', 'b']);
  start(harness, 'idempotent');
  harness.time.advance(80);
  answer(harness.sent[1], relayBench.soundHead);
  assert.deepEqual(harness.got, ['whole 200 ok']);
  assert.equal(harness.sent[0]?.cancelled, true);
});

// Failure: retries double the load of overloaded upstreams, which then never recover.
void test.test('no call is retried when the retry budget is exhausted', () => {
  const harness = new relayBench.RelayBench(['a', 'b'], 0);
  start(harness, 'idempotent');
  answer(harness.sent[0], { ...relayBench.soundHead, status: 500 }, 'one');
  assert.equal(harness.sent.length, 1);
  assert.deepEqual(harness.got, ['whole 500 one']);
});

void test.test('a failed connection attempt counts as not run and takes no retry from the budget', () => {
  const harness = new relayBench.RelayBench(['a', 'b'], 0);
  start(harness, 'nonIdempotent');
  harness.sent[0]?.listener.failed('notSent', 'refused');
  answer(harness.sent[1], relayBench.soundHead);
  assert.deepEqual(harness.got, ['whole 200 ok']);
});

void test.test('a call is cancelled when its caller disconnects', () => {
  const harness = new relayBench.RelayBench(['a']);
  start(harness, 'idempotent');
  harness.disconnectCaller();
  assert.equal(harness.sent[0]?.cancelled, true);
  assert.deepEqual(harness.got, []);
});

void test.test('a call without a response ends at its deadline', () => {
  const harness = new relayBench.RelayBench(['a']);
  start(harness, 'nonIdempotent');
  harness.time.advance(10_001);
  assert.equal(harness.sent[0]?.cancelled, true);
  assert.deepEqual(harness.got, ['refused timeoutUnknown']);
});

// Failure: calls that cannot be retried elsewhere exhaust the retry budget, and later calls that could succeed on
// another upstream are not retried.
void test.test('a call without another upstream takes nothing from the retry budget', () => {
  const harness = new relayBench.RelayBench(['a'], 10);
  for (let call = 0; call < 20; call += 1) {
    start(harness, 'idempotent');
    answer(harness.sent.at(-1), { ...relayBench.soundHead, status: 500 });
  }
  assert.equal(harness.sent.length, 20);
  let left = 0;
  while (harness.context.allowance.take('llm', harness.time.now())) {
    left += 1;
  }
  assert.ok(left >= 7, `${left} retries are left`);
});
