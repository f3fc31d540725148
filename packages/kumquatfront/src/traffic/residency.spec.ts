/**
 * Tests data residency: where requests of routes and client accounts with home regions run, and how they are refused.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import type * as exchangeContext from '../relay/exchangeContext.js';
import * as generationAttributes from '../relay/generationAttributes.js';
import * as bufferedExchange from '../relay/bufferedExchange.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';
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

const bareRoute = new relayTestHarness.RelayTestHarness([]).createRoutedRequest('idempotent').route;

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
function relay(homes: readonly string[], kind: types.CallKind): relayTestHarness.RelayTestHarness {
  const harness = new relayTestHarness.RelayTestHarness(['x']);
  harness.placements.push('x');
  const service: types.Service = {
    name: 'llm',
    maximumConnections: 10,
    engine: relayTestHarness.engineTraits,
  };
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
  const routes = [{ ...route(homes), kind }];
  const table = new routeTable.RouteTable({ version: 1, routes, services: [service], limits });
  const relayUnderTest = new trafficRelay.TrafficRelay({
    context: harness.context,
    random: seededRandom.create(1),
    regions: REGIONS,
    routes: () => table,
  });
  const { request, caller } = harness.createRoutedRequest(kind);
  relayUnderTest.handle(request, caller);
  harness.time.advance(5);
  return harness;
}

void test.test('a request runs in its home region', () => {
  for (const kind of ['idempotent', 'nonIdempotent', 'stream'] as const) {
    assert.equal(relay(['west'], kind).sentCalls.length, 1);
  }
});

// Guards against running a request outside its home region when all upstreams are in another one.
void test.test(
  'without an upstream in the home region a request is refused immediately and not executed',
  () => {
    for (const kind of ['idempotent', 'nonIdempotent', 'stream'] as const) {
      const { sentCalls, callerEvents } = relay(['east'], kind);
      assert.equal(sentCalls.length, 0);
      assert.deepEqual(callerEvents, ['refused noUpstream']);
    }
  },
);

// A retry uses another upstream of the home region; a stream does not run outside it.
void test.test('a retry and a resumed stream stay in the home region', () => {
  const harness = new relayTestHarness.RelayTestHarness(['x', 'y']);
  const routed: exchangeContext.RoutedRequest = {
    ...harness.createRoutedRequest('idempotent'),
    dataCentres: ['a'],
  };
  harness.context.instances.setEvacuated([]);
  new bufferedExchange.BufferedExchange(harness.context, routed).start();
  harness.sentCalls[0]?.listener.failed('broken', 'reset');
  assert.equal(harness.sentCalls.length, 2);
  const outsideHome = new relayTestHarness.RelayTestHarness(['x', 'y']);
  const stream = { ...outsideHome.createRoutedRequest('stream', { resumable: true }), dataCentres: ['b'] };
  new streamExchange.StreamExchange(outsideHome.context, stream).start();
  outsideHome.time.advance(5);
  assert.equal(outsideHome.sentCalls.length, 0);
});

// The coordinator knows neither route nor account; it relies on the attributes sent by the entry.
void test.test('the generation attributes sent to the coordinator include the allowed data centres', () => {
  const routed = new relayTestHarness.RelayTestHarness(['x']).createRoutedRequest('stream');
  assert.equal(generationAttributes.forRequest(routed)?.dataCentres, undefined);
  assert.deepEqual(generationAttributes.forRequest({ ...routed, dataCentres: ['c'] })?.dataCentres, ['c']);
});
