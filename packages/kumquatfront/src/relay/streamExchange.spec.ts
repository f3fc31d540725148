/**
 * One stream over engines that fail, leave and are moved: every event reaches the caller once and in order, or
 * the caller sees that the stream broke off.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as relayBench from './relayBench.js';
import * as streamExchange from './streamExchange.js';

function start(
  bench: relayBench.RelayBench,
  resumable = false,
): { engine: (index: number) => relayBench.SentCall } {
  const routed = bench.routed('stream', { resumable });
  new streamExchange.StreamExchange(bench.context, routed).start();
  return {
    engine: (index) => {
      const sent = bench.sent[index];
      assert.ok(sent !== undefined, `nothing was sent a time ${index + 1}`);
      return sent;
    },
  };
}

function begin(sent: relayBench.SentCall, first: number, last: number): void {
  sent.listener.head(relayBench.soundHead);
  for (let identity = first; identity <= last; identity += 1) {
    sent.listener.data(relayBench.event(identity));
  }
}

function copied(bench: relayBench.RelayBench, index: number, handle: string): void {
  bench.copies[index]?.done({ state: 'copied', handle });
}

void test.test('a stream is handed over event by event', () => {
  const bench = new relayBench.RelayBench(['a']);
  bench.places.push('a');
  const { engine } = start(bench);
  begin(engine(0), 1, 2);
  engine(0).listener.end();
  assert.deepEqual(bench.got, ['begin', '1', '2', 'end']);
});

// The engine stops in the middle of an event. Half of it must not reach the caller: it would be joined with
// whatever comes next, or be taken for whole.
void test.test('half an event is not handed over', () => {
  const bench = new relayBench.RelayBench(['a']);
  bench.places.push('a');
  const { engine } = start(bench);
  begin(engine(0), 1, 1);
  engine(0).listener.data(Buffer.from('id: 2\ndata: ha'));
  engine(0).listener.failed('broken', 'reset');
  assert.deepEqual(bench.got, ['begin', '1', 'abort']);
});

// An engine gives notice; its generation is copied while it runs, then stopped and copied to the end, and goes
// on at the target after the last event that came. The caller sees one stream without a gap.
void test.test('a moved generation goes on where it stopped', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a');
  const { engine } = start(bench);
  begin(engine(0), 1, 2);
  const move = bench.move('a', 'b');
  copied(bench, 0, 'h1');
  begin(engine(0), 3, 3);
  assert.equal(bench.copies[1]?.stop, true);
  engine(0).listener.failed('broken', 'closed without its end');
  copied(bench, 1, 'h2');
  assert.equal(move.outcome, 'moved');
  assert.deepEqual(engine(1).call.copy, { address: '10.0.0.1:80', handle: 'h2' });
  assert.equal(engine(1).call.lastEvent, '3');
  assert.equal(engine(1).call.instance.identity, 'b');
  begin(engine(1), 4, 5);
  engine(1).listener.end();
  assert.deepEqual(bench.got, ['begin', '1', '2', '3', '4', '5', 'end']);
});

// The answer to the final copy arrives before the source's last events; going on at once would ask the target
// for events that are on their way, and hand them over twice or not at all.
void test.test('the last events of the source are awaited', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a');
  const { engine } = start(bench);
  begin(engine(0), 1, 1);
  bench.move('a', 'b');
  copied(bench, 0, 'h1');
  copied(bench, 1, 'h2');
  assert.equal(bench.sent.length, 1);
  begin(engine(0), 2, 2);
  engine(0).listener.failed('broken', 'closed without its end');
  assert.equal(engine(1).call.lastEvent, '2');
});

// As above, but the source's connection has gone silent: the stream must not wait for it.
void test.test('a source whose connection is silent does not hold the stream up', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a');
  const { engine } = start(bench);
  begin(engine(0), 1, 1);
  bench.move('a', 'b');
  copied(bench, 0, 'h1');
  copied(bench, 1, 'h2');
  bench.time.advance(100);
  assert.equal(engine(1).call.lastEvent, '1');
  assert.equal(engine(0).cancelled, true);
});

// The target begins with events that the caller has already: they are dropped.
void test.test('events that the caller has are not repeated', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a');
  const { engine } = start(bench);
  begin(engine(0), 1, 3);
  bench.move('a', 'b');
  copied(bench, 0, 'h1');
  copied(bench, 1, 'h2');
  bench.time.advance(100);
  begin(engine(1), 2, 4);
  engine(1).listener.end();
  assert.deepEqual(bench.got, ['begin', '1', '2', '3', '4', 'end']);
});

// The generation ends by itself while its final copy is asked for. The source answers that there is no such
// run; the stream is whole and must end as such.
void test.test('a generation that ends during its move is whole', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a');
  const { engine } = start(bench);
  begin(engine(0), 1, 2);
  const move = bench.move('a', 'b');
  copied(bench, 0, 'h1');
  engine(0).listener.end();
  bench.copies[1]?.done({ state: 'noRun' });
  assert.equal(move.outcome, 'ended');
  assert.deepEqual(bench.got, ['begin', '1', '2', 'end']);
});

// The engine is gone between the first copy and the final one. The first copy holds all but the last moments,
// so the generation goes on from it.
void test.test('a source that dies between its copies is survived', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a');
  const { engine } = start(bench);
  begin(engine(0), 1, 2);
  bench.move('a', 'b');
  copied(bench, 0, 'h1');
  engine(0).listener.failed('broken', 'reset');
  bench.copies[1]?.done({ state: 'failed', reason: 'refused' });
  assert.deepEqual(engine(1).call.copy, { address: '10.0.0.1:80', handle: 'h1' });
  begin(engine(1), 3, 3);
  engine(1).listener.end();
  assert.deepEqual(bench.got, ['begin', '1', '2', '3', 'end']);
});

// The target has no room for the final copy; the source stopped and keeps the memory, so it takes its own run
// back.
void test.test('a move without room goes on at the source', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a');
  const { engine } = start(bench);
  begin(engine(0), 1, 2);
  const move = bench.move('a', 'b');
  copied(bench, 0, 'h1');
  bench.copies[1]?.done({ state: 'noRoom', handle: 'h2' });
  engine(0).listener.failed('broken', 'closed without its end');
  assert.equal(move.outcome, 'failed');
  assert.equal(engine(1).call.instance.identity, 'a');
  assert.equal(engine(1).call.copy?.handle, 'h2');
});

void test.test('a move whose first copy finds no room leaves the run alone', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a');
  const { engine } = start(bench);
  begin(engine(0), 1, 1);
  const move = bench.move('a', 'b');
  bench.copies[0]?.done({ state: 'noRoom' });
  assert.equal(move.outcome, 'failed');
  begin(engine(0), 2, 2);
  engine(0).listener.end();
  assert.deepEqual(bench.got, ['begin', '1', '2', 'end']);
});

// A caller leaves in the middle of a move: the run is cancelled, and the copy must not hold the target's
// memory for seconds.
void test.test('a caller that leaves during a move frees run and copy', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a');
  const { engine } = start(bench);
  begin(engine(0), 1, 1);
  bench.move('a', 'b');
  copied(bench, 0, 'h1');
  bench.leaveByCaller();
  assert.equal(engine(0).cancelled, true);
  assert.deepEqual(bench.dropped, ['h1']);
});

// An engine crashes under a stream that may not be resumed: a second run would be another generation, and two
// joined ones are worse than none.
void test.test('a stream that may not be resumed breaks off with its engine', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a', 'b');
  const { engine } = start(bench);
  begin(engine(0), 1, 2);
  engine(0).listener.failed('broken', 'reset');
  assert.deepEqual(bench.got, ['begin', '1', '2', 'abort']);
  assert.equal(bench.sent.length, 1);
});

void test.test('a resumable stream goes on elsewhere after its last event', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a', 'b');
  const { engine } = start(bench, true);
  begin(engine(0), 1, 2);
  engine(0).listener.failed('broken', 'reset');
  assert.equal(engine(1).call.lastEvent, '2');
  assert.equal(engine(1).call.copy, undefined);
  begin(engine(1), 3, 3);
  engine(1).listener.end();
  assert.deepEqual(bench.got, ['begin', '1', '2', '3', 'end']);
});

void test.test('a resumable stream does not wait for a silent engine', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a', 'b');
  const { engine } = start(bench, true);
  begin(engine(0), 1, 1);
  bench.time.advance(1_500);
  assert.equal(engine(0).cancelled, true);
  assert.equal(engine(1).call.lastEvent, '1');
});

// An engine pauses for a second and then goes on. No other one has room meanwhile: given up at once, the stream
// would break off although its engine was at work on it.
void test.test('a silent engine is kept until another has taken the stream', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a');
  const { engine } = start(bench, true);
  begin(engine(0), 1, 1);
  bench.time.advance(2_000);
  assert.equal(engine(0).cancelled, false);
  begin(engine(0), 2, 2);
  engine(0).listener.end();
  assert.deepEqual(bench.got, ['begin', '1', '2', 'end']);
});

// The engine is full and says that it did not run the request; another one may take it, and the first must not
// count as a run.
void test.test('a request that was not run goes to another engine', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a', 'b');
  const { engine } = start(bench);
  engine(0).listener.head(relayBench.notRunHead);
  begin(engine(1), 1, 1);
  engine(1).listener.end();
  assert.deepEqual(bench.got, ['begin', '1', 'end']);
});

// The engine accepted the request and the connection broke before the first event: it may have run, so the
// caller must not be told that it has not.
void test.test('a stream that broke before its first event is not called not run', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a', 'b');
  const { engine } = start(bench);
  engine(0).listener.failed('broken', 'reset');
  assert.deepEqual(bench.got, ['refused outcomeUnknown']);
});

void test.test('no place in time is refused as not run, and at once when the time is over', () => {
  const bench = new relayBench.RelayBench(['a']);
  start(bench);
  bench.time.advance(10_001);
  assert.deepEqual(bench.got, ['refused timeoutNotRun']);
});

// The engine crashes behind a cut and starts again under its name; its connection from before stays silent. The
// caller would wait for its whole time for a stream that nobody makes any more.
void test.test('a stream on an engine that has started anew breaks off at once', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a');
  const { engine } = start(bench);
  begin(engine(0), 1, 2);
  bench.context.placement.onRestart('b');
  assert.deepEqual(bench.got, ['begin', '1', '2']);
  bench.context.placement.onRestart('a');
  assert.deepEqual(bench.got, ['begin', '1', '2', 'abort']);
  assert.equal(engine(0).cancelled, true);
});

// The same with a route that lets a stream go on elsewhere: the caller notices nothing.
void test.test('a resumable stream on an engine that has started anew goes on elsewhere', () => {
  const bench = new relayBench.RelayBench(['a', 'b']);
  bench.places.push('a', 'b');
  const { engine } = start(bench, true);
  begin(engine(0), 1, 2);
  bench.context.placement.onRestart('a');
  begin(engine(1), 3, 3);
  engine(1).listener.end();
  assert.equal(engine(1).call.lastEvent, '2');
  assert.deepEqual(bench.got, ['begin', '1', '2', '3', 'end']);
});
