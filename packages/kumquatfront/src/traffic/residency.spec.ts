/**
 * Tests data residency: where requests of routes and client accounts with home regions run, and how they are refused.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import type * as exchangeContext from '../relay/exchangeContext.js';
import * as generationFacts from '../relay/generationFacts.js';
import * as plainExchange from '../relay/plainExchange.js';
import * as relayBench from '../relay/relayBench.js';
import * as streamExchange from '../relay/streamExchange.js';
import * as trafficRelay from '../relay/trafficRelay.js';
import * as residency from './residency.js';
import * as routeTable from './routeTable.js';
import type * as types from './types.js';

const REGIONS: residency.Regions = new Map([
  ['a', 'west'],
  ['b', 'west'],
  ['c', 'east'],
]);

const bareRoute = new relayBench.RelayBench([]).routed('idempotent').route;

function route(homes?: readonly string[]): types.Route {
  return { ...bareRoute, targets: [{ service: 'llm', weight: 1 }], ...(homes !== undefined && { homes }) };
}

function account(homes?: readonly string[]): types.Account {
  return { name: 'school', keys: ['k'], ...(homes !== undefined && { homes }) };
}

void test.test('a region must be allowed by both the route and the account', () => {
  assert.equal(residency.regionsOf(route(), account()), undefined);
  assert.deepEqual(residency.regionsOf(route(['west']), account()), ['west']);
  assert.deepEqual(residency.regionsOf(route(), account(['east'])), ['east']);
  assert.deepEqual(residency.regionsOf(route(['west', 'east']), account(['east'])), ['east']);
  assert.deepEqual(residency.regionsOf(route(['west']), account(['east'])), []);
});

void test.test('regions map to their data centres, and an unknown region to none', () => {
  assert.equal(residency.dataCentresIn(undefined, REGIONS), undefined);
  assert.deepEqual(residency.dataCentresIn(['west'], REGIONS), ['a', 'b']);
  assert.deepEqual(residency.dataCentresIn(['nowhere'], REGIONS), []);
});

/** Relays one request on a route with home regions; all upstreams of the harness are in data centre a. */
function relay(homes: readonly string[], kind: types.CallKind): relayBench.RelayBench {
  const harness = new relayBench.RelayBench(['x']);
  harness.places.push('x');
  const service: types.Service = { name: 'llm', maximumConnections: 10, engine: relayBench.engineTraits };
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
  const routes = [{ ...route(homes), kind }];
  const table = new routeTable.RouteTable({ version: 1, routes, services: [service], limits });
  const trafficRelayUnderTest = new trafficRelay.TrafficRelay({
    context: harness.context,
    random: seededRandom.create(1),
    regions: REGIONS,
    routes: () => table,
    draining: () => false,
  });
  const { request, caller } = harness.routed(kind);
  trafficRelayUnderTest.handle(request, caller);
  harness.time.advance(5);
  return harness;
}

void test.test('a request runs in its home region', () => {
  for (const kind of ['idempotent', 'nonIdempotent', 'stream'] as const) {
    assert.equal(relay(['west'], kind).sent.length, 1);
  }
});

// Guards against running a request outside its home region when all upstreams are in another one.
void test.test(
  'without an upstream in the home region a request is refused immediately and not executed',
  () => {
    for (const kind of ['idempotent', 'nonIdempotent', 'stream'] as const) {
      const { sent, got } = relay(['east'], kind);
      assert.equal(sent.length, 0);
      assert.deepEqual(got, ['refused noUpstream']);
    }
  },
);

// A retry uses another upstream of the home region; a stream does not run outside it.
void test.test('a retry and a resumed stream stay in the home region', () => {
  const harness = new relayBench.RelayBench(['x', 'y']);
  const routed: exchangeContext.RoutedRequest = { ...harness.routed('idempotent'), dataCentres: ['a'] };
  harness.context.instances.setEvacuated([]);
  new plainExchange.PlainExchange(harness.context, routed).start();
  harness.sent[0]?.listener.failed('broken', 'reset');
  assert.equal(harness.sent.length, 2);
  const outsideHome = new relayBench.RelayBench(['x', 'y']);
  const stream = { ...outsideHome.routed('stream', { resumable: true }), dataCentres: ['b'] };
  new streamExchange.StreamExchange(outsideHome.context, stream).start();
  outsideHome.time.advance(5);
  assert.equal(outsideHome.sent.length, 0);
});

// The coordinator knows neither route nor account; it relies on the attributes sent by the entry.
void test.test('the generation attributes sent to the coordinator include the allowed data centres', () => {
  const routed = new relayBench.RelayBench(['x']).routed('stream');
  assert.equal(generationFacts.of(routed)?.dataCentres, undefined);
  assert.deepEqual(generationFacts.of({ ...routed, dataCentres: ['c'] })?.dataCentres, ['c']);
});
