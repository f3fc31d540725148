/**
 * Requests to an entry that drains until its process is killed.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import type * as ports from '../kernel/ports.js';
import * as routeTable from '../traffic/routeTable.js';
import type * as trafficTypes from '../traffic/types.js';
import * as relayTestHarness from './relayTestHarness.js';
import * as trafficRelay from './trafficRelay.js';

const REQUEST_TIMEOUT: ports.Milliseconds = 800;

/** Time before the kill by which a draining entry has answered everything. */
const ANSWER_TIME: ports.Milliseconds = 200;

/** Kinds of requests that go to services without engines. */
const PLAIN_KINDS = ['idempotent', 'nonIdempotent', 'stream'] as const;

/** An entry with one route to a service without engines. */
class DrainingEntry {
  readonly harness = new relayTestHarness.RelayTestHarness(['i1']);
  private readonly relay: trafficRelay.TrafficRelay;

  constructor(private readonly kind: trafficTypes.CallKind) {
    const { harness } = this;
    const { route, service } = harness.createRoutedRequest(kind, {
      targets: [{ service: 'llm', weight: 1 }],
      timeout: 60_000,
    });
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
    const services = [{ ...service, engine: undefined }];
    const routes = new routeTable.RouteTable({ version: 1, routes: [route], services, limits });
    this.relay = new trafficRelay.TrafficRelay({
      context: harness.context,
      regions: new Map(),
      random: seededRandom.create(1),
      routes: () => routes,
    });
  }

  /** Sends a request; returns what becomes of it at once. */
  send(callerTimeout: ports.Milliseconds): string {
    const { harness } = this;
    const { request, caller } = harness.createRoutedRequest(this.kind);
    const sentBefore = harness.sentCalls.length;
    this.relay.handle({ ...request, callerTimeout }, caller);
    harness.time.advance(1);
    return harness.sentCalls.length > sentBefore ? 'sent' : (harness.callerEvents.at(-1) ?? 'nothing');
  }

  /** Sends requests that upstreams work on for the given time. */
  serve(count: number, duration: ports.Milliseconds): void {
    const { harness } = this;
    for (let index = 0; index < count; index += 1) {
      assert.equal(this.send(60_000), 'sent');
      harness.time.advance(duration - 1);
      this.answerLast();
    }
  }

  answerLast(): void {
    const { listener } = this.harness.sentCalls.at(-1) ?? assert.fail('nothing was sent');
    listener.head(relayTestHarness.okHead);
    listener.data(relayTestHarness.streamEvent(1));
    listener.end();
  }

  drain(grace: ports.Milliseconds): void {
    this.harness.context.plannedStop.begin(grace);
  }
}

/** What becomes of a request to an entry that drains, without knowing how long such requests take. */
function outcomeOf(
  kind: trafficTypes.CallKind,
  grace: ports.Milliseconds,
  callerTimeout = REQUEST_TIMEOUT,
): string {
  const entry = new DrainingEntry(kind);
  entry.drain(grace);
  return entry.send(callerTimeout);
}

for (const kind of PLAIN_KINDS) {
  // Guards against requests of callers with old address lists that are cut off when the process is killed.
  void test.test(
    `${kind}: a request that may outlast a draining entry is refused, so that it runs elsewhere`,
    () => {
      assert.equal(outcomeOf(kind, 60), 'refused draining');
      assert.equal(outcomeOf(kind, ANSWER_TIME + REQUEST_TIMEOUT - 1), 'refused draining');
      assert.equal(outcomeOf(kind, 8_000, 30_000), 'refused draining');
    },
  );

  // Guards against turning callers away while there is time for their requests.
  void test.test(`${kind}: a draining entry serves requests that end in time`, () => {
    assert.equal(outcomeOf(kind, ANSWER_TIME + REQUEST_TIMEOUT), 'sent');
    assert.equal(outcomeOf(kind, ANSWER_TIME + 60, 50), 'sent');
    assert.equal(outcomeOf(kind, Number.POSITIVE_INFINITY, 30_000), 'sent');
  });

  // Guards against turning away short requests only because their callers would wait for long.
  void test.test(
    `${kind}: requests of a route that is known to be quick are served until close to the end`,
    () => {
      const entry = new DrainingEntry(kind);
      entry.serve(10, 100);
      entry.drain(8_000);
      assert.equal(entry.send(30_000), 'sent');
      entry.harness.time.advance(7_400);
      assert.equal(entry.send(30_000), 'sent');
      entry.harness.time.advance(300);
      assert.equal(entry.send(30_000), 'refused draining');
    },
  );

  // Guards against requests of a slow route that are cut off because other requests are quick.
  void test.test(`${kind}: requests of a route that takes seconds are refused seconds before the end`, () => {
    const entry = new DrainingEntry(kind);
    entry.serve(10, 2_600);
    entry.drain(8_000);
    assert.equal(entry.send(30_000), 'sent');
    entry.harness.time.advance(5_500);
    assert.equal(entry.send(30_000), 'refused draining');
  });

  // Guards against connections that a kill closes without an answer, also for requests from before the drain.
  void test.test(`${kind}: a request that is still open is answered before the process is killed`, () => {
    const entry = new DrainingEntry(kind);
    assert.equal(entry.send(30_000), 'sent');
    entry.drain(8_000);
    entry.harness.time.advance(8_000 - ANSWER_TIME - 1);
    assert.deepEqual(entry.harness.callerEvents, []);
    entry.harness.time.advance(1);
    assert.deepEqual(entry.harness.callerEvents, ['refused outcomeUnknown']);
    assert.equal(entry.harness.sentCalls[0]?.cancelled, true);
  });
}

// Guards against streams that are cut off although they might still end.
void test.test('a stream that has begun goes on until the process is killed', () => {
  const entry = new DrainingEntry('stream');
  entry.send(30_000);
  const { listener } = entry.harness.sentCalls[0] ?? assert.fail('nothing was sent');
  listener.head(relayTestHarness.okHead);
  listener.data(relayTestHarness.streamEvent(1));
  entry.drain(8_000);
  entry.harness.time.advance(7_900);
  listener.data(relayTestHarness.streamEvent(2));
  listener.end();
  assert.deepEqual(entry.harness.callerEvents, ['begin', '1', '2', 'end']);
});

// Guards against a wrong promise: what was not sent to any upstream has not run.
void test.test('a request that was not sent is refused as not run before the process is killed', () => {
  const entry = new DrainingEntry('idempotent');
  entry.send(30_000);
  entry.drain(8_000);
  const { listener } = entry.harness.sentCalls[0] ?? assert.fail('nothing was sent');
  listener.failed('notSent', 'connection refused');
  entry.harness.time.advance(8_000);
  assert.match(entry.harness.callerEvents.join(), /^refused (noUpstream|draining)$/);
});
