/**
 * Upstreams whose bytes do not end: the request gets a true error or the response of another upstream, before its deadline.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as bufferedExchange from './bufferedExchange.js';
import * as eventSplitter from './eventSplitter.js';
import * as relayTestHarness from './relayTestHarness.js';
import * as streamExchange from './streamExchange.js';
import type * as trafficTypes from '../traffic/types.js';
import type * as types from './types.js';

const MEBIBYTE = Buffer.alloc(1_048_576, 'x');

function plainRequest(kind: trafficTypes.CallKind): relayTestHarness.RelayTestHarness {
  const harness = new relayTestHarness.RelayTestHarness(['i1', 'i2']);
  new bufferedExchange.BufferedExchange(harness.context, harness.createRoutedRequest(kind)).start();
  return harness;
}

/** Sends bytes until the entry closes the connection, or has taken far too many. */
function sendWithoutEnd(sent: relayTestHarness.SentCall, bytes: Uint8Array, most = 20): number {
  let count = 0;
  while (!sent.cancelled && count < most) {
    sent.listener.data(bytes);
    count += 1;
  }
  return count;
}

function firstCall(harness: relayTestHarness.RelayTestHarness): relayTestHarness.SentCall {
  return harness.sentCalls[0] ?? assert.fail('nothing was sent');
}

function answerSecondCall(harness: relayTestHarness.RelayTestHarness): void {
  const { listener } = harness.sentCalls[1] ?? assert.fail('the request was not sent elsewhere');
  listener.head(relayTestHarness.okHead);
  listener.data(Buffer.from('ok'));
  listener.end();
}

// Guards against bodies that fill the memory of the entry.
void test.test('a repeatable request whose response does not end is answered by another upstream', () => {
  const harness = plainRequest('idempotent');
  const first = firstCall(harness);
  first.listener.head(relayTestHarness.okHead);
  assert.ok(sendWithoutEnd(first, MEBIBYTE) <= 9);
  answerSecondCall(harness);
  assert.deepEqual(harness.callerEvents, ['whole 200 ok']);
});

void test.test('any other request whose response does not end fails before its deadline', () => {
  const harness = plainRequest('nonIdempotent');
  const first = firstCall(harness);
  first.listener.head(relayTestHarness.okHead);
  assert.ok(sendWithoutEnd(first, MEBIBYTE) <= 9);
  assert.deepEqual(harness.callerEvents, ['refused outcomeUnknown']);
  assert.equal(harness.sentCalls.length, 1);
});

// Guards against an upstream that is blamed, and asked or followed by another, because this entry is short of memory.
void test.test(
  'a response that is given up for memory ends its request, and says nothing of its upstream',
  () => {
    for (const kind of ['idempotent', 'nonIdempotent'] as const) {
      const harness = plainRequest(kind);
      const failures: string[] = [];
      harness.context.balancer.recordFailure = (identity) => failures.push(identity);
      const first = firstCall(harness);
      first.listener.head(relayTestHarness.okHead);
      first.listener.data(MEBIBYTE);
      harness.context.responseMemory.largest()?.giveUp();
      assert.equal(first.cancelled, true);
      assert.deepEqual(harness.callerEvents, ['refused outcomeUnknown']);
      assert.equal(harness.sentCalls.length, 1);
      assert.deepEqual(failures, []);
      assert.deepEqual(harness.context.responseMemory.held(), { bytes: 0, pieces: 0 });
    }
  },
);

// Guards against an upstream that is blamed for a response that this entry has not read in time from the entry that relays it.
void test.test(
  'a relayed response that was not read is asked for elsewhere, and says nothing of its upstream',
  () => {
    for (const [kind, outcome] of [
      ['idempotent', 'whole 200 ok'],
      ['nonIdempotent', 'refused outcomeUnknown'],
    ] as const) {
      const harness = plainRequest(kind);
      const failures: string[] = [];
      harness.context.balancer.recordFailure = (identity) => failures.push(identity);
      firstCall(harness).listener.failed('unread', 'not read');
      if (kind === 'idempotent') {
        answerSecondCall(harness);
      }
      assert.deepEqual(harness.callerEvents, [outcome]);
      assert.deepEqual(failures, []);
    }
  },
);

// Guards against the same of a stream, which goes on elsewhere where its route permits.
void test.test(
  'a relayed stream that was not read goes on elsewhere, and says nothing of its upstream',
  () => {
    for (const resumable of [true, false]) {
      const harness = streamRequest(resumable);
      const failures: string[] = [];
      harness.context.balancer.recordFailure = (identity) => failures.push(identity);
      const first = firstCall(harness);
      first.listener.head(relayTestHarness.okHead);
      first.listener.data(relayTestHarness.streamEvent(1));
      first.listener.failed('unread', 'not read');
      harness.time.advance(1);
      assert.equal(harness.sentCalls.length, resumable ? 2 : 1);
      assert.deepEqual(harness.callerEvents, resumable ? ['begin', '1'] : ['begin', '1', 'abort']);
      assert.deepEqual(failures, []);
    }
  },
);

const useless: readonly (readonly [string, types.ResponseHead])[] = [
  ['states that the request did not run', relayTestHarness.notRunHead],
  ['is not of this request', { ...relayTestHarness.okHead, matchesRequest: false }],
  ['has no signature', { ...relayTestHarness.okHead, signed: false }],
];

// Guards against waiting for a body that is not needed.
for (const [description, head] of useless) {
  void test.test(`a response that ${description} is closed after its head`, () => {
    const harness = plainRequest('idempotent');
    const first = firstCall(harness);
    first.listener.head(head);
    assert.equal(first.cancelled, true);
    answerSecondCall(harness);
    assert.deepEqual(harness.callerEvents, ['whole 200 ok']);
  });
}

// Guards against an error that holds up the attempt at another upstream.
void test.test('a server error whose body does not end is given up after a second', () => {
  const harness = plainRequest('idempotent');
  const first = firstCall(harness);
  first.listener.head({ ...relayTestHarness.okHead, status: 500 });
  first.listener.data(Buffer.from('x'));
  harness.time.advance(1_000);
  assert.equal(first.cancelled, true);
  answerSecondCall(harness);
  assert.deepEqual(harness.callerEvents, ['whole 200 ok']);
});

function streamRequest(resumable: boolean): relayTestHarness.RelayTestHarness {
  const harness = new relayTestHarness.RelayTestHarness(['i1', 'i2']);
  harness.placements.push('i1', 'i2');
  const routed = harness.createRoutedRequest('stream', { resumable });
  new streamExchange.StreamExchange(harness.context, routed).start();
  harness.time.advance(1);
  return harness;
}

// Guards against an event that fills the memory of the entry.
void test.test('a stream whose event does not end goes on at another upstream', () => {
  const harness = streamRequest(true);
  const first = firstCall(harness);
  first.listener.head(relayTestHarness.okHead);
  first.listener.data(relayTestHarness.streamEvent(1));
  assert.ok(sendWithoutEnd(first, MEBIBYTE) <= 2);
  harness.time.advance(1);
  const second = harness.sentCalls[1] ?? assert.fail('the stream did not go on');
  second.listener.head(relayTestHarness.okHead);
  second.listener.data(relayTestHarness.streamEvent(2));
  second.listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', 'end']);
});

// Guards against an event that arrives byte by byte until the deadline.
void test.test('an event that does not end in time breaks its stream off', () => {
  const harness = streamRequest(false);
  const first = firstCall(harness);
  first.listener.head(relayTestHarness.okHead);
  first.listener.data(relayTestHarness.streamEvent(1));
  for (let count = 0; count < 30 && !first.cancelled; count += 1) {
    first.listener.data(Buffer.from('x'));
    harness.time.advance(100);
  }
  assert.equal(first.cancelled, true);
  assert.deepEqual(harness.callerEvents, ['begin', '1', 'abort']);
});

// Guards against comments that fill the links of the entry and its callers.
void test.test('a stream of comments without an event is broken off', () => {
  const harness = streamRequest(false);
  const first = firstCall(harness);
  first.listener.head(relayTestHarness.okHead);
  assert.ok(sendWithoutEnd(first, Buffer.from(': x\n\n'.repeat(200))) <= 6);
  const long = streamRequest(false);
  firstCall(long).listener.head(relayTestHarness.okHead);
  assert.ok(sendWithoutEnd(firstCall(long), Buffer.from(`: ${'x'.repeat(100_000)}\n\n`)) <= 11);
});

// Guards against breaking off upstreams that only keep their connections open.
void test.test('comments between events do not count together', () => {
  const harness = streamRequest(false);
  const first = firstCall(harness);
  first.listener.head(relayTestHarness.okHead);
  for (let identity = 1; identity <= 20; identity += 1) {
    first.listener.data(Buffer.from(`: ${'x'.repeat(900)}\n\n`.repeat(900)));
    first.listener.data(relayTestHarness.streamEvent(identity));
  }
  assert.equal(first.cancelled, false);
});

// Guards against an error of a stream's upstream whose body fills the memory of the entry.
void test.test('an error response of a stream that does not end is given up', () => {
  const harness = streamRequest(false);
  const first = firstCall(harness);
  first.listener.head({ ...relayTestHarness.okHead, status: 400 });
  assert.ok(sendWithoutEnd(first, MEBIBYTE) <= 9);
  assert.match(harness.callerEvents.join(), /^refused outcomeUnknown$/);
});

// Guards against processor time and memory that grow with the square of the length of an event.
void test.test('an event in single bytes is split as one in a single piece', () => {
  const splitter = new eventSplitter.EventSplitter();
  const event = Buffer.from(`id: 1\ndata: ${'x'.repeat(200_000)}\n\n`);
  const found: eventSplitter.CompleteEvent[] = [];
  for (const byte of event) {
    found.push(...splitter.push(Uint8Array.of(byte)));
  }
  assert.equal(found.length, 1);
  assert.deepEqual(found[0]?.bytes, event);
  assert.equal(splitter.incompleteBytes, 0);
});

// Guards against many events without end at once: each is below its bound, together they fill the memory of the entry.
void test.test('events that do not end are bounded together, with all responses that are held', () => {
  const harness = new relayTestHarness.RelayTestHarness(['i1']);
  const { context, sentCalls, placements, time } = harness;
  for (let count = 0; count < 40; count += 1) {
    placements.push('i1');
    const routed = harness.createRoutedRequest('stream', { resumable: false });
    new streamExchange.StreamExchange(context, routed).start();
    time.advance(1);
  }
  assert.equal(sentCalls.length, 40);
  for (const { listener } of sentCalls) {
    listener.head(relayTestHarness.okHead);
    listener.data(relayTestHarness.streamEvent(1));
    listener.data(Buffer.alloc(900_000, 'x'));
  }
  const { bytes } = context.responseMemory.held();
  assert.ok(bytes > 20 * MEBIBYTE.length && bytes <= 24 * MEBIBYTE.length, `${bytes} bytes`);
  const open = sentCalls.filter(({ cancelled }) => !cancelled);
  assert.ok(open.length >= 22 && open.length <= 27, `${open.length} streams`);
  const [ended, failed, ...others] = open;
  ended?.listener.end();
  failed?.listener.failed('broken', 'the connection closed');
  for (const { listener } of others) {
    listener.data(Buffer.from('\n\n'));
  }
  assert.equal(context.responseMemory.held().bytes, 0);
  assert.ok(others.every(({ cancelled }) => !cancelled));
});

// Guards against an event that is passed on behind the end of its stream, in the read whose rest is given up.
void test.test('a stream whose event is given up passes on nothing more', () => {
  const harness = streamRequest(false);
  const first = firstCall(harness);
  first.listener.head(relayTestHarness.okHead);
  for (let count = 0; count < 245; count += 1) {
    harness.context.responseMemory
      .openResponse(() => assert.fail('the event is larger'))
      .add(Buffer.alloc(100_000));
  }
  first.listener.data(relayTestHarness.streamEvent(1));
  first.listener.data(Buffer.concat([relayTestHarness.streamEvent(2), Buffer.alloc(1_000_000, 'x')]));
  assert.equal(first.cancelled, true);
  assert.deepEqual(harness.callerEvents, ['begin', '1', 'abort']);
});
