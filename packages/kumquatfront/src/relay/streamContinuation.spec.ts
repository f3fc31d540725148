/** Streams that their callers take up, and what is refused. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as relayTestHarness from './relayTestHarness.js';
import * as streamExchange from './streamExchange.js';
import type * as types from './types.js';

const KEY = { account: '', attempt: 'first' };

function takeUp(
  harness: relayTestHarness.RelayTestHarness,
  changes: Partial<types.TrafficRequest> = { lastEvent: '7', resumes: 'first' },
): void {
  const routed = harness.createRoutedRequest('stream', { resumable: true });
  const request = { ...routed.request, ...changes };
  new streamExchange.StreamExchange(harness.context, { ...routed, request }).start();
  harness.time.advance(500);
}

void test.test('a stream that is taken up is sent to an upstream of its version', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.context.origins.record(KEY, { service: 'llm', software: 'version v1' }, 1_000);
  harness.placements.push('b');
  takeUp(harness);
  assert.equal(harness.placementRequests[0]?.software, 'version v1');
  assert.equal(harness.sentCalls[0]?.call.lastEvent, '7');
  assert.deepEqual(harness.sentCalls[0].call.origin, { service: 'llm', software: 'version v1' });
});

// Guards against a guess: a stream of unknown origin may have begun at another version.
void test.test('a stream whose origin nobody knows is refused for good', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  takeUp(harness);
  takeUp(harness, { lastEvent: '7' });
  takeUp(harness, { resumes: 'first' });
  assert.deepEqual(
    harness.refusals.map(({ reason, retryAfter }) => ({ reason, retryAfter })),
    Array.from({ length: 3 }, () => ({ reason: 'originUnknown', retryAfter: undefined })),
  );
  assert.equal(harness.sentCalls.length, 0);
});

// Guards against a final refusal by an entry that is out of touch, while another entry knows the origin.
void test.test(
  'a caller is led to another entry while processes that may know the origin do not answer',
  () => {
    const harness = new relayTestHarness.RelayTestHarness(['a']);
    harness.isControlLost = true;
    takeUp(harness);
    const [refusal] = harness.refusals;
    assert.equal(refusal?.reason, 'originUnknown');
    assert.equal(refusal.closesConnection, true);
    assert.ok((refusal.retryAfter ?? 0) > 0);
  },
);

// Guards against callers that wait for a version which no upstream runs any more.
void test.test('a stream whose version is gone is refused at once, without a time to come back', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  harness.context.origins.record(KEY, { service: 'llm', software: 'version v0' }, 1_000);
  takeUp(harness);
  assert.deepEqual(
    harness.refusals.map(({ reason, retryAfter }) => ({ reason, retryAfter })),
    [{ reason: 'softwareGone', retryAfter: undefined }],
  );
});

// Guards against a stream of a split route that is drawn to another service than the one that began it.
void test.test('a stream goes on at the service of its route that began it', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  harness.context.origins.record(KEY, { service: 'llm', software: 'version v1' }, 1_000);
  harness.placements.push('a');
  const routed = harness.createRoutedRequest('stream', { resumable: true });
  const request = { ...routed.request, lastEvent: '7', resumes: 'first' };
  const service = { ...routed.service, name: 'drawn' };
  const otherServices = [routed.service];
  const exchange = { ...routed, request, service, otherServices };
  new streamExchange.StreamExchange(harness.context, exchange).start();
  harness.time.advance(500);
  assert.deepEqual(harness.refusals, []);
  assert.equal(harness.sentCalls[0]?.call.instance.identity, 'a');
});

// Guards against versions of two services that are taken for the same because of their names.
void test.test('a stream does not go on at another service', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  harness.context.origins.record(KEY, { service: 'former', software: 'version v1' }, 1_000);
  takeUp(harness);
  assert.equal(harness.refusals[0]?.reason, 'softwareGone');
});

// Guards against a search that holds up requests which begin a stream.
void test.test('a new stream is not searched for', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  harness.isControlLost = true;
  harness.placements.push('a');
  const routed = harness.createRoutedRequest('stream', { resumable: true });
  new streamExchange.StreamExchange(harness.context, routed).start();
  assert.equal(harness.sentCalls.length, 1);
});

// Guards against a stream that is refused a place because it began longer ago than its objective allows.
void test.test('a stream with events is placed as if it had just arrived', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a', 'b');
  const routed = harness.createRoutedRequest('stream', { resumable: true, objective: 1_000 });
  new streamExchange.StreamExchange(harness.context, routed).start();
  const [first] = harness.sentCalls;
  first?.listener.head(relayTestHarness.okHead);
  first?.listener.data(relayTestHarness.streamEvent(1));
  harness.time.advance(1_200);
  first?.listener.failed('broken', 'aborted');
  const [, second] = harness.placementRequests;
  assert.equal(second?.software, 'version v1');
  assert.equal(second.objectiveLeft, 1_000);
  assert.ok(second.patience > 0);
});
