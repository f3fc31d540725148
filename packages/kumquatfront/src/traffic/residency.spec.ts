/**
 * Requests whose routes or client accounts have homes: where they run, and what their callers hear where they cannot.
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

void test.test('where route and account both have homes, both bind', () => {
  assert.equal(residency.regionsOf(route(), account()), undefined);
  assert.deepEqual(residency.regionsOf(route(['west']), account()), ['west']);
  assert.deepEqual(residency.regionsOf(route(), account(['east'])), ['east']);
  assert.deepEqual(residency.regionsOf(route(['west', 'east']), account(['east'])), ['east']);
  assert.deepEqual(residency.regionsOf(route(['west']), account(['east'])), []);
});

void test.test('regions stand for their data centres, and a home that is unknown for none', () => {
  assert.equal(residency.dataCentresIn(undefined, REGIONS), undefined);
  assert.deepEqual(residency.dataCentresIn(['west'], REGIONS), ['a', 'b']);
  assert.deepEqual(residency.dataCentresIn(['nowhere'], REGIONS), []);
});

/** Relays one request on a route with homes; all upstreams of the bench are in data centre a. */
function relay(homes: readonly string[], kind: types.CallKind): relayBench.RelayBench {
  const bench = new relayBench.RelayBench(['x']);
  bench.places.push('x');
  const service: types.Service = { name: 'llm', maximumConnections: 10, engine: relayBench.engineTraits };
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
  const routes = [{ ...route(homes), kind }];
  const table = new routeTable.RouteTable({ version: 1, routes, services: [service], limits });
  const front = new trafficRelay.TrafficRelay({
    context: bench.context,
    random: seededRandom.create(1),
    regions: REGIONS,
    routes: () => table,
    draining: () => false,
  });
  const { request, caller } = bench.routed(kind);
  front.handle(request, caller);
  bench.time.advance(5);
  return bench;
}

void test.test('a request runs at home', () => {
  for (const kind of ['idempotent', 'nonIdempotent', 'stream'] as const) {
    assert.equal(relay(['west'], kind).sent.length, 1);
  }
});

// The only upstreams are in the other region. The caller hears at once that nothing ran, and why.
void test.test('without an upstream at home a request is refused at once, and runs nowhere', () => {
  for (const kind of ['idempotent', 'nonIdempotent', 'stream'] as const) {
    const { sent, got } = relay(['east'], kind);
    assert.equal(sent.length, 0);
    assert.deepEqual(got, ['refused noUpstream']);
  }
});

// A repeat must stay at home too: the first upstream fails, and the only other one is abroad.
void test.test('a repeat and a resumed stream stay at home', () => {
  const bench = new relayBench.RelayBench(['x', 'y']);
  const routed: exchangeContext.RoutedRequest = { ...bench.routed('idempotent'), dataCentres: ['a'] };
  bench.context.instances.setEvacuated([]);
  new plainExchange.PlainExchange(bench.context, routed).start();
  bench.sent[0]?.listener.failed('broken', 'reset');
  assert.equal(bench.sent.length, 2);
  const abroad = new relayBench.RelayBench(['x', 'y']);
  const stream = { ...abroad.routed('stream', { resumable: true }), dataCentres: ['b'] };
  new streamExchange.StreamExchange(abroad.context, stream).start();
  abroad.time.advance(5);
  assert.equal(abroad.sent.length, 0);
});

// The coordinator places and moves by what the entry tells of a generation; it knows neither route nor account.
void test.test('what the coordinator is told of a generation says where it may run', () => {
  const routed = new relayBench.RelayBench(['x']).routed('stream');
  assert.equal(generationFacts.of(routed)?.dataCentres, undefined);
  assert.deepEqual(generationFacts.of({ ...routed, dataCentres: ['c'] })?.dataCentres, ['c']);
});
