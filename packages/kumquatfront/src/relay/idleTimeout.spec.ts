/**
 * Idle timeout before the first event, with and without the coordinator's forecast.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as idleTimeout from './idleTimeout.js';
import * as relayTestHarness from './relayTestHarness.js';
import * as streamExchange from './streamExchange.js';

const OBJECTIVE = 1_500;

function start(firstEventIn?: number, isEnabled = true): relayTestHarness.RelayTestHarness {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a', 'b');
  harness.firstEventIn = firstEventIn;
  const context = { ...harness.context, isEnabled: () => isEnabled };
  const routed = harness.createRoutedRequest('stream', { resumable: true, objective: OBJECTIVE });
  new streamExchange.StreamExchange(context, routed).start();
  return harness;
}

// Guards against sending a stream twice whose prompt only waits on a busy engine.
void test.test('a stream is sent again only after the forecast and a margin', () => {
  const harness = start(1_400);
  harness.time.advance(1_600);
  assert.equal(harness.sentCalls.length, 1);
  harness.time.advance(400);
  assert.equal(harness.sentCalls.length, 2);
});

// Guards against sending streams earlier than before on engines that are forecast to be idle.
void test.test('a short forecast does not shorten the timeout', () => {
  const harness = start(100);
  harness.time.advance(900);
  assert.equal(harness.sentCalls.length, 1);
  harness.time.advance(50);
  assert.equal(harness.sentCalls.length, 2);
});

// Guards against a change of behaviour with a coordinator without a forecast, or with the feature disabled.
void test.test('without a forecast the timeout is a share of the objective', () => {
  for (const harness of [start(undefined), start(1_400, false)]) {
    harness.time.advance(950);
    assert.equal(harness.sentCalls.length, 2);
  }
});

// Guards against a longer interruption of a started stream.
void test.test('the timeout after the first event does not depend on the forecast', () => {
  const { route } = new relayTestHarness.RelayTestHarness(['a']).createRoutedRequest('stream');
  assert.equal(idleTimeout.forRoute(route, true, 5_000), idleTimeout.forRoute(route, true));
});

// Guards against a stream that is sent again, at the cost of its prompt, because a healthy engine is silent for a second.
void test.test('a stream waits for an engine that falls silent for a second', () => {
  const harness = start();
  const [sent] = harness.sentCalls;
  sent?.listener.head(relayTestHarness.okHead);
  sent?.listener.data(relayTestHarness.streamEvent(1));
  harness.time.advance(1_200);
  assert.equal(harness.sentCalls.length, 1);
  sent?.listener.data(relayTestHarness.streamEvent(2));
  harness.time.advance(1_200);
  assert.equal(harness.sentCalls.length, 1);
  harness.time.advance(300);
  assert.equal(harness.sentCalls.length, 2);
});

// Guards against a patient request that is refused although only headroom for urgent work is missing.
void test.test('the placement request of a patient generation names its longest wait', () => {
  const harness = start();
  assert.equal(harness.placementRequests[0]?.longestWait, OBJECTIVE);
  assert.equal(start(undefined, false).placementRequests[0]?.longestWait, undefined);
});
