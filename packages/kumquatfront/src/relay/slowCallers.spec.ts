/**
 * Streams whose callers take less than their upstreams send: the upstream waits, and is not blamed for it.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as relayTestHarness from './relayTestHarness.js';
import * as streamExchange from './streamExchange.js';
import type * as trafficTypes from '../traffic/types.js';

const STALL_LIMIT = 20_000;

/** More than the waits of these tests. */
const LONG_TIMEOUT = 60_000;

interface Started {
  readonly harness: relayTestHarness.RelayTestHarness;
  readonly exchange: streamExchange.StreamExchange;
  readonly sent: (index: number) => relayTestHarness.SentCall;
}

function start(route: Partial<trafficTypes.Route> = {}): Started {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a', 'b');
  const routed = harness.createRoutedRequest('stream', { timeout: LONG_TIMEOUT, ...route });
  const exchange = new streamExchange.StreamExchange(harness.context, {
    ...routed,
    deadline: harness.time.now() + routed.route.timeout,
  });
  exchange.start();
  harness.time.advance(1);
  const sent = (index: number): relayTestHarness.SentCall =>
    harness.sentCalls[index] ?? assert.fail(`call ${index + 1} was not sent`);
  return { harness, exchange, sent };
}

function sendEvents(sent: relayTestHarness.SentCall, ...identities: readonly number[]): void {
  sent.listener.data(Buffer.concat(identities.map((identity) => relayTestHarness.streamEvent(identity))));
}

/** Starts a stream that is paused after its first two events. */
function startPaused(route: Partial<trafficTypes.Route> = {}): Started {
  const started = start(route);
  started.harness.callerTakesMore = false;
  started.sent(0).listener.head(relayTestHarness.okHead);
  sendEvents(started.sent(0), 1, 2);
  return started;
}

/** Lets a caller take a byte now and then. */
function advanceWithProgress(harness: relayTestHarness.RelayTestHarness, duration: number): void {
  for (let passed = 0; passed < duration; passed += 1_000) {
    harness.takenBytes += 1;
    harness.time.advance(Math.min(1_000, duration - passed));
  }
}

// Guards against events that wait in the memory of the entry, and against a stream that never goes on.
void test.test(
  'the upstream waits until its caller has drained, and every event arrives once, in order',
  () => {
    const { harness, sent } = startPaused();
    assert.equal(sent(0).paused, true);
    harness.drainCaller();
    assert.equal(sent(0).paused, false);
    sendEvents(sent(0), 3, 4);
    sent(0).listener.end();
    assert.deepEqual(harness.callerEvents, ['begin', '1', '2', '3', '4', 'end']);
  },
);

// Guards against a write, and several objects, for each small event.
void test.test('the events of one read are one write, without those that are repeated', () => {
  const { harness, sent } = start({ resumable: true });
  sent(0).listener.head(relayTestHarness.okHead);
  sendEvents(sent(0), 1, 2, 3, 4, 5, 6, 7, 8);
  assert.equal(harness.callerWrites, 1);
  sent(0).listener.failed('broken', 'reset');
  harness.time.advance(1);
  sent(1).listener.head(relayTestHarness.okHead);
  sendEvents(sent(1), 7, 8, 9, 10);
  assert.equal(harness.callerWrites, 2);
  sent(1).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', '3', '4', '5', '6', '7', '8', '9', '10', 'end']);
});

// Guards against events that are counted as delivered and never written, before the stream is broken off.
void test.test('the events before a fault of the same read are written', () => {
  const { harness, sent } = start();
  sent(0).listener.head(relayTestHarness.okHead);
  const comments = Buffer.from(': waiting\n\n'.repeat(1_100));
  sent(0).listener.data(Buffer.concat([relayTestHarness.streamEvent(1), comments]));
  assert.deepEqual(harness.callerEvents, ['begin', '1', 'abort']);
});

// Guards against a second run, and a mark against an upstream, for a silence that is the caller's doing.
void test.test('no other upstream is searched while the stream waits, and one is after it', () => {
  const { harness, sent } = startPaused({ resumable: true });
  advanceWithProgress(harness, 5_000);
  assert.equal(harness.sentCalls.length, 1);
  harness.drainCaller();
  harness.time.advance(4_000);
  assert.equal(sent(0).cancelled, true);
  assert.equal(harness.sentCalls.length, 2);
});

// Guards against a pause of the caller that is reported as one of the engine, which loses its prompts by it.
void test.test('the pause of an upstream does not include the time in which it was not read', () => {
  const { harness, exchange, sent } = startPaused();
  advanceWithProgress(harness, 4_000);
  harness.drainCaller();
  harness.time.advance(30);
  sendEvents(sent(0), 3);
  assert.equal(exchange.describe()?.longestPause, 30);
});

// Guards against an upstream that is blamed for the rest of an event that nobody has read.
void test.test('an event is not timed out while the stream waits', () => {
  const { harness, sent } = start();
  harness.callerTakesMore = false;
  sent(0).listener.head(relayTestHarness.okHead);
  sent(0).listener.data(Buffer.concat([relayTestHarness.streamEvent(1), Buffer.from('id: 2\nda')]));
  advanceWithProgress(harness, 6_000);
  harness.drainCaller();
  sent(0).listener.data(Buffer.from('ta:'));
  sent(0).listener.data(Buffer.from(' x\n\n'));
  sent(0).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', 'end']);
});

// Guards against a new upstream that sends all it has to a caller that still waits.
void test.test('a stream that waits goes on elsewhere after its upstream has failed, and waits there', () => {
  const { harness, sent } = startPaused({ resumable: true });
  sent(0).listener.failed('broken', 'reset');
  harness.time.advance(1);
  assert.equal(sent(1).paused, false);
  sent(1).listener.head(relayTestHarness.okHead);
  sendEvents(sent(1), 2, 3);
  assert.equal(sent(1).paused, true);
  harness.drainCaller();
  assert.equal(sent(1).paused, false);
  sendEvents(sent(1), 4);
  sent(1).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', '3', '4', 'end']);
});

// Guards against a move that waits for the end of a stream that is not read, and against the loss of its last events.
void test.test('a stream that waits is moved: what its source still has is read first', () => {
  const { harness, sent } = startPaused();
  const move = harness.move('a', 'b');
  harness.copyRequests[0]?.done({ state: 'copied', handle: 'h1' });
  assert.equal(harness.copyRequests[1]?.stop, true);
  harness.copyRequests[1].done({ state: 'copied', handle: 'h2' });
  assert.equal(move.outcome, 'moved');
  assert.equal(sent(0).paused, false);
  assert.equal(sent(0).isReadToEnd, true);
  sendEvents(sent(0), 3);
  assert.equal(sent(0).paused, false);
  sent(0).listener.failed('broken', 'closed without its end');
  assert.equal(sent(1).call.lastEvent, '3');
  assert.deepEqual(sent(1).call.copy, { address: '10.0.0.1:80', handle: 'h2' });
  sent(1).listener.head(relayTestHarness.okHead);
  sendEvents(sent(1), 4);
  assert.equal(sent(1).paused, true);
  harness.drainCaller();
  sendEvents(sent(1), 5);
  sent(1).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', '3', '4', '5', 'end']);
});

// Guards against callers that hold a place at an upstream without reading.
void test.test('a caller that takes nothing is let go, and its upstream is free', () => {
  const { harness, sent } = startPaused();
  harness.time.advance(STALL_LIMIT - 100);
  assert.equal(sent(0).cancelled, false);
  harness.time.advance(2_100);
  assert.equal(sent(0).cancelled, true);
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', 'abort']);
});

// Guards against a caller that is let go although its route lets it wait longer.
void test.test('the gap of the route after which callers leave counts where it is longer', () => {
  const { harness, sent } = startPaused({ objective: 6_000 });
  harness.time.advance(23_900);
  assert.equal(sent(0).cancelled, false);
  harness.time.advance(2_500);
  assert.equal(sent(0).cancelled, true);
});

// Guards against a bound on the pace of a caller.
void test.test('a caller that reads slowly is kept, also after it has once drained', () => {
  const { harness, sent } = startPaused();
  advanceWithProgress(harness, 30_000);
  harness.drainCaller();
  harness.time.advance(STALL_LIMIT + 5_000);
  assert.equal(sent(0).cancelled, false);
  sendEvents(sent(0), 3);
  sent(0).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', '3', 'end']);
});

// Guards against a stream that outlives its request.
void test.test('the deadline of a request ends its stream while it waits', () => {
  const { harness, sent } = startPaused({ timeout: 10_000 });
  advanceWithProgress(harness, 10_000);
  assert.equal(sent(0).cancelled, true);
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', 'abort']);
});

/** Starts a stream whose caller leaves within the first write, and tells then whether it takes more. */
function startForLeavingCaller(takesMore: boolean): Started {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  harness.placements.push('a');
  harness.callerTakesMore = takesMore;
  const routed = harness.createRoutedRequest('stream', { timeout: LONG_TIMEOUT });
  const write = (bytes: Uint8Array): boolean => {
    const canTakeMore = routed.caller.write(bytes);
    harness.disconnectCaller();
    return canTakeMore;
  };
  const exchange = new streamExchange.StreamExchange(harness.context, {
    ...routed,
    caller: { ...routed.caller, write },
  });
  exchange.start();
  harness.time.advance(1);
  return { harness, exchange, sent: (index) => harness.sentCalls[index] ?? assert.fail('nothing was sent') };
}

// Guards against events that are written after the end of the stream, and against a watch of a caller that has gone.
void test.test('a stream that ends within a write passes on nothing more', () => {
  for (const takesMore of [true, false]) {
    const { harness, sent } = startForLeavingCaller(takesMore);
    sent(0).listener.head(relayTestHarness.okHead);
    // The repeated event lies between the others, so that they are two writes.
    sendEvents(sent(0), 1, 1, 2);
    assert.equal(sent(0).cancelled, true);
    harness.time.advance(2 * STALL_LIMIT);
    assert.deepEqual(harness.callerEvents, ['begin', '1']);
  }
});

// Guards against a second run, and a mark against an upstream, for a time in which this entry has not read it.
void test.test(
  'no other upstream is searched while the entry does not read the stream, and one is after it',
  () => {
    const { harness, sent } = start({ resumable: true });
    sent(0).listener.head(relayTestHarness.okHead);
    sent(0).listener.held?.(true);
    sendEvents(sent(0), 1, 2);
    harness.time.advance(5_000);
    assert.equal(harness.sentCalls.length, 1);
    sent(0).listener.held?.(false);
    harness.time.advance(4_000);
    assert.equal(sent(0).cancelled, true);
    assert.equal(harness.sentCalls.length, 2);
  },
);

// Guards against an upstream that is blamed for the rest of an event that this entry has not read.
void test.test('an event is not timed out while the entry does not read the stream', () => {
  const { harness, exchange, sent } = start();
  sent(0).listener.head(relayTestHarness.okHead);
  sent(0).listener.data(Buffer.concat([relayTestHarness.streamEvent(1), Buffer.from('id: 2\nda')]));
  sent(0).listener.held?.(true);
  harness.time.advance(6_000);
  sent(0).listener.held?.(false);
  sent(0).listener.data(Buffer.from('ta:'));
  sent(0).listener.data(Buffer.from(' x\n\n'));
  assert.equal(exchange.describe()?.longestPause, 0);
  sent(0).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', 'end']);
});
