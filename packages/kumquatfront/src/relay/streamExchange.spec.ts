/**
 * Streams whose engines fail or drain, and streams that are moved: the caller receives every event once and in order,
 * or an aborted stream.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as relayTestHarness from './relayTestHarness.js';
import * as streamExchange from './streamExchange.js';

function start(
  harness: relayTestHarness.RelayTestHarness,
  resumable = false,
): { engine: (index: number) => relayTestHarness.SentCall } {
  const routed = harness.createRoutedRequest('stream', { resumable });
  new streamExchange.StreamExchange(harness.context, routed).start();
  return {
    engine: (index) => {
      const sent = harness.sentCalls[index];
      assert.ok(sent !== undefined, `call ${index + 1} was not sent`);
      return sent;
    },
  };
}

function sendEvents(sent: relayTestHarness.SentCall, first: number, last: number): void {
  sent.listener.head(relayTestHarness.okHead);
  for (let identity = first; identity <= last; identity += 1) {
    sent.listener.data(relayTestHarness.streamEvent(identity));
  }
}

function completeCopy(harness: relayTestHarness.RelayTestHarness, index: number, handle: string): void {
  harness.copyRequests[index]?.done({ state: 'copied', handle });
}

void test.test('a stream is forwarded event by event', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  harness.placements.push('a');
  const { engine } = start(harness);
  sendEvents(engine(0), 1, 2);
  engine(0).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', 'end']);
});

// Failure: a partial event is forwarded and read as complete, or joined with the next event.
void test.test('a partial event is not forwarded', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  harness.placements.push('a');
  const { engine } = start(harness);
  sendEvents(engine(0), 1, 1);
  engine(0).listener.data(Buffer.from('id: 2\ndata: ha'));
  engine(0).listener.failed('broken', 'reset');
  assert.deepEqual(harness.callerEvents, ['begin', '1', 'abort']);
});

// A live migration: first copy, stop, final copy, and resumption at the target without a gap.
void test.test('a moved generation resumes after its last event', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  const { engine } = start(harness);
  sendEvents(engine(0), 1, 2);
  const move = harness.move('a', 'b');
  completeCopy(harness, 0, 'h1');
  sendEvents(engine(0), 3, 3);
  assert.equal(harness.copyRequests[1]?.stop, true);
  engine(0).listener.failed('broken', 'closed without its end');
  completeCopy(harness, 1, 'h2');
  assert.equal(move.outcome, 'moved');
  assert.deepEqual(engine(1).call.copy, { address: '10.0.0.1:80', handle: 'h2' });
  assert.equal(engine(1).call.lastEvent, '3');
  assert.equal(engine(1).call.instance.identity, 'b');
  sendEvents(engine(1), 4, 5);
  engine(1).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', '3', '4', '5', 'end']);
});

// Failure: the result of the final copy arrives before the source's last events, which are then lost or duplicated.
void test.test('a move waits for the last events of the source', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  const { engine } = start(harness);
  sendEvents(engine(0), 1, 1);
  harness.move('a', 'b');
  completeCopy(harness, 0, 'h1');
  completeCopy(harness, 1, 'h2');
  assert.equal(harness.sentCalls.length, 1);
  sendEvents(engine(0), 2, 2);
  engine(0).listener.failed('broken', 'closed without its end');
  assert.equal(engine(1).call.lastEvent, '2');
});

// Failure: the source's connection stays open without data after the final copy and blocks the stream.
void test.test('an idle connection to the source does not block the move', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  const { engine } = start(harness);
  sendEvents(engine(0), 1, 1);
  harness.move('a', 'b');
  completeCopy(harness, 0, 'h1');
  completeCopy(harness, 1, 'h2');
  harness.time.advance(100);
  assert.equal(engine(1).call.lastEvent, '1');
  assert.equal(engine(0).cancelled, true);
});

// The target repeats events that the caller already has.
void test.test('events that the caller already has are dropped', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  const { engine } = start(harness);
  sendEvents(engine(0), 1, 3);
  harness.move('a', 'b');
  completeCopy(harness, 0, 'h1');
  completeCopy(harness, 1, 'h2');
  harness.time.advance(100);
  sendEvents(engine(1), 2, 4);
  engine(1).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', '3', '4', 'end']);
});

// Failure: a generation that ends while its final copy is requested is treated as interrupted.
void test.test('a generation that ends during its move is complete', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  const { engine } = start(harness);
  sendEvents(engine(0), 1, 2);
  const move = harness.move('a', 'b');
  completeCopy(harness, 0, 'h1');
  engine(0).listener.end();
  harness.copyRequests[1]?.done({ state: 'noRun' });
  assert.equal(move.outcome, 'ended');
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', 'end']);
});

// The source crashes between the copies; the generation resumes from the first copy.
void test.test('a generation survives a crash of its source between the copies', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  const { engine } = start(harness);
  sendEvents(engine(0), 1, 2);
  harness.move('a', 'b');
  completeCopy(harness, 0, 'h1');
  engine(0).listener.failed('broken', 'reset');
  harness.copyRequests[1]?.done({ state: 'failed', reason: 'refused' });
  assert.deepEqual(engine(1).call.copy, { address: '10.0.0.1:80', handle: 'h1' });
  sendEvents(engine(1), 3, 3);
  engine(1).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', '3', 'end']);
});

// The target lacks memory for the final copy; the stopped source still holds the memory and resumes its own run.
void test.test('a move without free memory at the target resumes at the source', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  const { engine } = start(harness);
  sendEvents(engine(0), 1, 2);
  const move = harness.move('a', 'b');
  completeCopy(harness, 0, 'h1');
  harness.copyRequests[1]?.done({ state: 'noRoom', handle: 'h2' });
  engine(0).listener.failed('broken', 'closed without its end');
  assert.equal(move.outcome, 'failed');
  assert.equal(engine(1).call.instance.identity, 'a');
  assert.equal(engine(1).call.copy?.handle, 'h2');
});

void test.test('a move without free memory for the first copy does not affect the run', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  const { engine } = start(harness);
  sendEvents(engine(0), 1, 1);
  const move = harness.move('a', 'b');
  harness.copyRequests[0]?.done({ state: 'noRoom' });
  assert.equal(move.outcome, 'failed');
  sendEvents(engine(0), 2, 2);
  engine(0).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', 'end']);
});

// Failure: the copy occupies the target's memory after the caller disconnected.
void test.test('a caller that disconnects during a move cancels the run and releases the copy', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  const { engine } = start(harness);
  sendEvents(engine(0), 1, 1);
  harness.move('a', 'b');
  completeCopy(harness, 0, 'h1');
  harness.disconnectCaller();
  assert.equal(engine(0).cancelled, true);
  assert.deepEqual(harness.releasedCopies, ['h1']);
});

// Failure: the events of two different generations are joined into one stream.
void test.test('a non-resumable stream is aborted when its engine crashes', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a', 'b');
  const { engine } = start(harness);
  sendEvents(engine(0), 1, 2);
  engine(0).listener.failed('broken', 'reset');
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', 'abort']);
  assert.equal(harness.sentCalls.length, 1);
});

void test.test('a resumable stream resumes on another engine after its last event', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a', 'b');
  const { engine } = start(harness, true);
  sendEvents(engine(0), 1, 2);
  engine(0).listener.failed('broken', 'reset');
  assert.equal(engine(1).call.lastEvent, '2');
  assert.equal(engine(1).call.copy, undefined);
  sendEvents(engine(1), 3, 3);
  engine(1).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', '3', 'end']);
});

void test.test('a resumable stream does not wait for an unresponsive engine', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a', 'b');
  const { engine } = start(harness, true);
  sendEvents(engine(0), 1, 1);
  harness.time.advance(1_500);
  assert.equal(engine(0).cancelled, true);
  assert.equal(engine(1).call.lastEvent, '1');
});

// Failure: a stream is aborted although its engine only paused and no other engine has free capacity.
void test.test('an idle engine is kept until another engine has accepted the stream', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  const { engine } = start(harness, true);
  sendEvents(engine(0), 1, 1);
  harness.time.advance(2_000);
  assert.equal(engine(0).cancelled, false);
  sendEvents(engine(0), 2, 2);
  engine(0).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', 'end']);
});

// An engine at capacity states that it did not run the request; this must not count as an attempt.
void test.test('a request that did not run is sent to another engine', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a', 'b');
  const { engine } = start(harness);
  engine(0).listener.head(relayTestHarness.notRunHead);
  sendEvents(engine(1), 1, 1);
  engine(1).listener.end();
  assert.deepEqual(harness.callerEvents, ['begin', '1', 'end']);
});

// Failure: a request that may have run is reported as not run.
void test.test('a stream that broke before its first event is not reported as not run', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a', 'b');
  const { engine } = start(harness);
  engine(0).listener.failed('broken', 'reset');
  assert.deepEqual(harness.callerEvents, ['refused outcomeUnknown']);
});

void test.test('a request without an upstream is refused as not run at its deadline', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  start(harness);
  harness.time.advance(10_001);
  assert.deepEqual(harness.callerEvents, ['refused timeoutNotRun']);
});

// Failure: an engine restarts in a network partition, its old connection stays open without data, and the caller waits
// until its timeout.
void test.test('a stream is aborted at once when its engine has restarted', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  const { engine } = start(harness);
  sendEvents(engine(0), 1, 2);
  harness.context.placement.onRestart('b');
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2']);
  harness.context.placement.onRestart('a');
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', 'abort']);
  assert.equal(engine(0).cancelled, true);
});

// As above with a resumable route: the interruption is invisible to the caller.
void test.test('a resumable stream resumes on another engine when its engine has restarted', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a', 'b');
  const { engine } = start(harness, true);
  sendEvents(engine(0), 1, 2);
  harness.context.placement.onRestart('a');
  sendEvents(engine(1), 3, 3);
  engine(1).listener.end();
  assert.equal(engine(1).call.lastEvent, '2');
  assert.deepEqual(harness.callerEvents, ['begin', '1', '2', '3', 'end']);
});
