/**
 * Buffered exchanges with failing upstreams: a non-idempotent call runs at most once, and "not run" is never reported
 * for a call that may have run.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as bufferedExchange from './bufferedExchange.js';
import * as relayTestHarness from './relayTestHarness.js';
import type * as types from './types.js';

function start(harness: relayTestHarness.RelayTestHarness, kind: 'idempotent' | 'nonIdempotent'): void {
  new bufferedExchange.BufferedExchange(harness.context, harness.createRoutedRequest(kind)).start();
}

function answer(sent: relayTestHarness.SentCall | undefined, head: types.ResponseHead, body = 'ok'): void {
  sent?.listener.head(head);
  sent?.listener.data(Buffer.from(body));
  sent?.listener.end();
}

void test.test('a complete response is forwarded', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  start(harness, 'nonIdempotent');
  answer(harness.sentCalls[0], relayTestHarness.okHead);
  assert.deepEqual(harness.callerEvents, ['whole 200 ok']);
});

// Failure: a truncated response is forwarded, or a payment is made twice.
void test.test('a broken non-idempotent call is sent once and its outcome is unknown', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  start(harness, 'nonIdempotent');
  harness.sentCalls[0]?.listener.head(relayTestHarness.okHead);
  harness.sentCalls[0]?.listener.data(Buffer.from('hal'));
  harness.sentCalls[0]?.listener.failed('broken', 'reset');
  assert.equal(harness.sentCalls.length, 1);
  assert.deepEqual(harness.callerEvents, ['refused outcomeUnknown']);
});

// Failure: a caller retries a payment after a 503 that does not guarantee that the call did not run.
void test.test('a 503 without a not-run statement is not forwarded for a non-idempotent call', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  start(harness, 'nonIdempotent');
  answer(harness.sentCalls[0], { ...relayTestHarness.okHead, status: 503 });
  assert.deepEqual(harness.callerEvents, ['refused outcomeUnknown']);
});

void test.test('a call that certainly did not run is sent to another upstream', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  start(harness, 'nonIdempotent');
  answer(harness.sentCalls[0], relayTestHarness.notRunHead);
  answer(harness.sentCalls[1], relayTestHarness.okHead);
  assert.deepEqual(harness.callerEvents, ['whole 200 ok']);
});

void test.test('a call that no upstream ran is refused as not run', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  start(harness, 'nonIdempotent');
  answer(harness.sentCalls[0], relayTestHarness.notRunHead);
  assert.deepEqual(harness.callerEvents, ['refused noUpstream']);
});

// Failure: a late response to an earlier request is forwarded to the wrong caller.
void test.test('a response with the identity of another request is not forwarded', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  start(harness, 'nonIdempotent');
  answer(harness.sentCalls[0], { ...relayTestHarness.okHead, matchesRequest: false });
  assert.deepEqual(harness.callerEvents, ['refused outcomeUnknown']);
});

void test.test('a successful response without a signature is not forwarded', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  start(harness, 'nonIdempotent');
  answer(harness.sentCalls[0], { ...relayTestHarness.okHead, signed: false });
  assert.deepEqual(harness.callerEvents, ['refused outcomeUnknown']);
});

void test.test('an idempotent call is retried after a failure, up to the maximum number of attempts', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b', 'c']);
  start(harness, 'idempotent');
  answer(harness.sentCalls[0], { ...relayTestHarness.okHead, status: 500 }, 'one');
  answer(harness.sentCalls[1], { ...relayTestHarness.okHead, status: 500 }, 'two');
  assert.equal(harness.sentCalls.length, 2);
  assert.deepEqual(harness.callerEvents, ['whole 500 two']);
});

// Failure: calls with invalid data, which fail on every upstream, cause the ejection of healthy upstreams.
void test.test('a call that fails on two upstreams counts against neither', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b', 'c', 'd']);
  const failure = { ...relayTestHarness.okHead, status: 500 };
  for (let call = 0; call < 3; call += 1) {
    start(harness, 'idempotent');
    answer(harness.sentCalls.at(-1), failure);
    answer(harness.sentCalls.at(-1), failure);
  }
  assert.equal(harness.sentCalls.length, 6);
  const { balancer, instances, timers } = harness.context;
  assert.deepEqual(balancer.ejectedOf(instances.readyOf('llm'), timers.now()), []);
});

// An upstream that fails calls which others answer must be ejected.
void test.test('a call that another upstream answers counts against the one that failed it', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b', 'c', 'd']);
  const { balancer, instances, timers } = harness.context;
  let calls = 0;
  while (balancer.ejectedOf(instances.readyOf('llm'), timers.now()).length === 0 && calls < 20) {
    start(harness, 'idempotent');
    const sent = harness.sentCalls.at(-1);
    if (sent?.call.instance.identity === 'a') {
      answer(sent, { ...relayTestHarness.okHead, status: 500 });
    }
    answer(harness.sentCalls.at(-1), relayTestHarness.okHead);
    calls += 1;
  }
  assert.deepEqual(balancer.ejectedOf(instances.readyOf('llm'), timers.now()), ['a']);
});

// Failure: an unresponsive upstream delays the response beyond the objective. The first response wins and the other
// attempt is cancelled.
void test.test('an idempotent call is hedged against an unresponsive upstream', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  start(harness, 'idempotent');
  harness.time.advance(80);
  answer(harness.sentCalls[1], relayTestHarness.okHead);
  assert.deepEqual(harness.callerEvents, ['whole 200 ok']);
  assert.equal(harness.sentCalls[0]?.cancelled, true);
});

// Failure: retries double the load of overloaded upstreams, which then never recover.
void test.test('no call is retried when the retry budget is exhausted', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b'], 0);
  start(harness, 'idempotent');
  answer(harness.sentCalls[0], { ...relayTestHarness.okHead, status: 500 }, 'one');
  assert.equal(harness.sentCalls.length, 1);
  assert.deepEqual(harness.callerEvents, ['whole 500 one']);
});

void test.test('a failed connection attempt counts as not run and takes no retry from the budget', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b'], 0);
  start(harness, 'nonIdempotent');
  harness.sentCalls[0]?.listener.failed('notSent', 'refused');
  answer(harness.sentCalls[1], relayTestHarness.okHead);
  assert.deepEqual(harness.callerEvents, ['whole 200 ok']);
});

void test.test('a call is cancelled when its caller disconnects', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  start(harness, 'idempotent');
  harness.disconnectCaller();
  assert.equal(harness.sentCalls[0]?.cancelled, true);
  assert.deepEqual(harness.callerEvents, []);
});

void test.test('a call without a response ends at its deadline', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  start(harness, 'nonIdempotent');
  harness.time.advance(10_001);
  assert.equal(harness.sentCalls[0]?.cancelled, true);
  assert.deepEqual(harness.callerEvents, ['refused timeoutUnknown']);
});

// Failure: calls that cannot be retried elsewhere exhaust the retry budget, and later calls that could succeed on
// another upstream are not retried.
void test.test('a call without another upstream takes nothing from the retry budget', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a'], 10);
  for (let call = 0; call < 20; call += 1) {
    start(harness, 'idempotent');
    answer(harness.sentCalls.at(-1), { ...relayTestHarness.okHead, status: 500 });
  }
  assert.equal(harness.sentCalls.length, 20);
  let left = 0;
  while (harness.context.retryBudget.take('llm', harness.time.now())) {
    left += 1;
  }
  assert.ok(left >= 7, `${left} retries are left`);
});

// Guards against an entry that leaves out sound upstreams for seconds after its own links were cut.
void test.test('an entry that reaches no upstream ejects none', () => {
  for (const isCutOff of [false, true]) {
    const harness = new relayTestHarness.RelayTestHarness(['a', 'b', 'c', 'd']);
    const context = { ...harness.context, isCutOff: () => isCutOff };
    for (let call = 0; call < 4; call += 1) {
      new bufferedExchange.BufferedExchange(context, harness.createRoutedRequest('nonIdempotent')).start();
      for (let sent = harness.sentCalls.at(-1); sent?.cancelled === false; sent = harness.sentCalls.at(-1)) {
        sent.cancelled = true;
        sent.listener.failed('notSent', 'refused');
      }
    }
    const candidates = harness.context.instances.readyOf('llm');
    const ejected = harness.context.balancer.ejectedOf(candidates, harness.time.now());
    assert.equal(ejected.length, isCutOff ? 0 : 2);
  }
});
