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

/** Sends a request to an entry that drains and is killed after a while; returns what becomes of it. */
function outcomeOf(
  kind: trafficTypes.CallKind,
  grace: ports.Milliseconds,
  callerTimeout = REQUEST_TIMEOUT,
): string {
  const harness = new relayTestHarness.RelayTestHarness(['i1']);
  const { request, caller, route, service } = harness.createRoutedRequest(kind, {
    targets: [{ service: 'llm', weight: 1 }],
  });
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
  const routes = new routeTable.RouteTable({ version: 1, routes: [route], services: [service], limits });
  const stopsAt = harness.time.now() + grace;
  const relay = new trafficRelay.TrafficRelay({
    context: harness.context,
    regions: new Map(),
    random: seededRandom.create(1),
    routes: () => routes,
    stopsAt: () => stopsAt,
  });
  relay.handle({ ...request, callerTimeout }, caller);
  return harness.sentCalls.length === 1 ? 'sent' : harness.callerEvents.join();
}

// Guards against requests of callers with old address lists that are cut off when the process is killed.
void test.test('a request that may outlast a draining entry is refused, so that it runs elsewhere', () => {
  for (const kind of ['idempotent', 'nonIdempotent'] as const) {
    assert.equal(outcomeOf(kind, 60), 'refused draining', kind);
    assert.equal(outcomeOf(kind, REQUEST_TIMEOUT - 1), 'refused draining', kind);
  }
});

// Guards against turning callers away while there is time for their requests.
void test.test('a draining entry serves requests that end in time', () => {
  assert.equal(outcomeOf('idempotent', REQUEST_TIMEOUT), 'sent');
  assert.equal(outcomeOf('idempotent', 60, 50), 'sent');
  assert.equal(outcomeOf('nonIdempotent', 8_000, 30_000), 'sent');
  assert.equal(outcomeOf('nonIdempotent', Number.POSITIVE_INFINITY, 30_000), 'sent');
});
