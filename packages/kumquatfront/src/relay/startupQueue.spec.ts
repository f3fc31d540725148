/**
 * Requests to a starting entry without a configuration.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as routeTable from '../traffic/routeTable.js';
import * as relayTestHarness from './relayTestHarness.js';
import * as trafficRelay from './trafficRelay.js';

/** An entry that starts without a configuration. */
class StartingEntry {
  readonly harness = new relayTestHarness.RelayTestHarness(['i1']);
  private routes: routeTable.RouteTable | undefined;
  private readonly relay = new trafficRelay.TrafficRelay({
    context: this.harness.context,
    regions: new Map(),
    random: seededRandom.create(1),
    routes: () => this.routes,
  });

  sendRequest(callerTimeout: number): void {
    const { request, caller } = this.harness.createRoutedRequest('idempotent');
    this.relay.handle({ ...request, callerTimeout }, caller);
  }

  configure(): void {
    const { route, service } = this.harness.createRoutedRequest('idempotent', {
      targets: [{ service: 'llm', weight: 1 }],
    });
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
    this.routes = new routeTable.RouteTable({ version: 1, routes: [route], services: [service], limits });
    this.relay.onConfigured();
  }
}

// Failure: after a full restart a caller is refused, retries before the configuration is available, and is refused again.
void test.test('a request that arrives before the configuration is served once it is available', () => {
  const starting = new StartingEntry();
  starting.sendRequest(1_500);
  starting.harness.time.advance(500);
  assert.deepEqual(starting.harness.callerEvents, []);
  starting.configure();
  assert.equal(starting.harness.sentCalls.length, 1);
});

// Control stays unreachable; the caller must be refused early enough to try another entry.
void test.test('without a configuration the caller is refused well before its timeout', () => {
  const starting = new StartingEntry();
  starting.sendRequest(1_500);
  starting.harness.time.advance(700);
  assert.deepEqual(starting.harness.callerEvents, ['refused noConfiguration']);
  starting.configure();
  assert.equal(starting.harness.sentCalls.length, 0);
});

void test.test('the request of a disconnected caller is not run', () => {
  const starting = new StartingEntry();
  starting.sendRequest(39_000);
  starting.harness.disconnectCaller();
  starting.configure();
  assert.equal(starting.harness.sentCalls.length, 0);
});

// Failure: a burst of requests to a starting entry exhausts its memory.
void test.test('the queue is bounded and further requests are refused at once', () => {
  const starting = new StartingEntry();
  for (let count = 0; count < 250; count += 1) {
    starting.sendRequest(39_000);
  }
  assert.equal(starting.harness.callerEvents.length, 50);
});
