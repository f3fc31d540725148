/**
 * Ends of streams that only their connections tell, beside moves, crashes and crash records, on virtual time.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as exchangeContext from './exchangeContext.js';
import * as relayTestHarness from './relayTestHarness.js';
import * as streamExchange from './streamExchange.js';
import type * as types from './types.js';

const UNFRAMED_HEAD: types.ResponseHead = { ...relayTestHarness.okHead, framing: 'connection' };

/** Longer than a check of an upstream's address. */
const CHECK_TIME = 10;

interface Started {
  readonly harness: relayTestHarness.RelayTestHarness;
  readonly engine: (index: number) => relayTestHarness.SentCall;
  readonly content: string;
}

function start(resumable = false, upstreams = ['a', 'b']): Started {
  const harness = new relayTestHarness.RelayTestHarness(upstreams);
  harness.placements.push(...upstreams);
  const routed = harness.createRoutedRequest('stream', { resumable });
  new streamExchange.StreamExchange(harness.context, routed).start();
  const engine = (index: number): relayTestHarness.SentCall => {
    const sent = harness.sentCalls[index];
    assert.ok(sent !== undefined, `call ${index + 1} was not sent`);
    return sent;
  };
  return { harness, engine, content: exchangeContext.contentDigestOf(routed) };
}

function sendEvents(sent: relayTestHarness.SentCall, first: number, last: number): void {
  sent.listener.head(UNFRAMED_HEAD);
  for (let identity = first; identity <= last; identity += 1) {
    sent.listener.data(relayTestHarness.streamEvent(identity));
  }
}

function endConnection({ harness, engine }: Started, index: number): void {
  engine(index).listener.end();
  harness.time.advance(CHECK_TIME);
}

void test.test('a stream that ends with its connection is complete while its upstream runs', () => {
  const started = start();
  sendEvents(started.engine(0), 1, 2);
  endConnection(started, 0);
  assert.deepEqual(started.harness.callerEvents, ['begin', '1', '2', 'end']);
});

// Guards against the crash of an upstream, between two events, that passes for the end of its stream.
void test.test('a stream goes on elsewhere when its upstream is gone as its connection ends', () => {
  const started = start(true);
  const { harness, engine } = started;
  sendEvents(engine(0), 1, 2);
  harness.checkResult = 'refused';
  endConnection(started, 0);
  assert.equal(engine(1).call.lastEvent, '2');
  sendEvents(engine(1), 3, 3);
  harness.checkResult = 'accepted';
  endConnection(started, 1);
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', '3', 'end']);
});

// An upstream that leaves is gone after its last answer; that answer must not count as cut off.
void test.test(
  'a stream of an upstream that leaves is complete although the upstream is gone at its end',
  () => {
    const started = start();
    const { harness, engine } = started;
    sendEvents(engine(0), 1, 2);
    harness.sendTerminationNotice('a');
    harness.checkResult = 'refused';
    endConnection(started, 0);
    assert.deepEqual(harness.callerEvents, ['begin', '1', '2', 'end']);
  },
);

// Guards against records of crashes that are voided by an answer that a further crash has cut off.
void test.test('a stream that its upstream cut off voids no crashes', () => {
  for (const [cut, expected] of [
    [true, 'suspected'],
    [false, 'free'],
  ] as const) {
    const started = start();
    const { harness, engine, content } = started;
    harness.context.quarantine.mergeRecords([{ content, crashes: [{ instance: 'x', age: 100 }], lapses: 0 }]);
    sendEvents(engine(0), 1, 2);
    if (cut) {
      engine(0).listener.data(Buffer.from('id: 3\nda'));
    }
    endConnection(started, 0);
    assert.equal(harness.context.quarantine.verdictOf({ content, parts: [] }), expected);
  }
});

// Guards against a source that was told to stop, whose result is lost, and whose closed stream passes for a whole one.
void test.test('a stream goes on from the first copy when its source has stopped without a result', () => {
  const started = start();
  const { harness, engine } = started;
  sendEvents(engine(0), 1, 2);
  harness.move('a', 'b');
  harness.copyRequests[0]?.done({ state: 'copied', handle: 'h1' });
  assert.equal(harness.copyRequests[1]?.stop, true);
  endConnection(started, 0);
  harness.copyRequests[1].done({ state: 'failed', reason: 'no response' });
  assert.deepEqual(engine(1).call.copy, { address: '10.0.0.1:80', handle: 'h1' });
  assert.equal(engine(1).call.lastEvent, '2');
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2']);
});

// As above, with the close of the stream after the result of the move.
void test.test('a stream that closes after a failed stop is not taken for complete', () => {
  const started = start();
  const { harness, engine } = started;
  sendEvents(engine(0), 1, 2);
  harness.move('a', 'b');
  harness.copyRequests[0]?.done({ state: 'copied', handle: 'h1' });
  harness.copyRequests[1]?.done({ state: 'failed', reason: 'no response' });
  sendEvents(engine(0), 3, 3);
  endConnection(started, 0);
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', '3', 'abort']);
});

// The source finished just as it was told to stop: the whole stream must not be voided.
void test.test('a stream that finished before its source could stop is complete', () => {
  const started = start();
  const { harness, engine } = started;
  sendEvents(engine(0), 1, 2);
  harness.move('a', 'b');
  harness.copyRequests[0]?.done({ state: 'copied', handle: 'h1' });
  endConnection(started, 0);
  harness.copyRequests[1]?.done({ state: 'noRun' });
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', 'end']);
});
