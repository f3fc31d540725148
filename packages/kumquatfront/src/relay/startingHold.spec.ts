/**
 * Requests to an entry that has just started.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as routeTable from '../traffic/routeTable.js';
import * as relayBench from './relayBench.js';
import * as trafficRelay from './trafficRelay.js';

/** An entry without a configuration, and what gives it one. */
class Starting {
  readonly bench = new relayBench.RelayBench(['i1']);
  private routes: routeTable.RouteTable | undefined;
  private readonly relay = new trafficRelay.TrafficRelay({
    context: this.bench.context,
    regions: new Map(),
    random: seededRandom.create(1),
    routes: () => this.routes,
    draining: () => false,
  });

  ask(patience: number): void {
    const { request, caller } = this.bench.routed('idempotent');
    this.relay.handle({ ...request, patience }, caller);
  }

  configure(): void {
    const { route, service } = this.bench.routed('idempotent', { targets: [{ service: 'llm', weight: 1 }] });
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
    this.routes = new routeTable.RouteTable({ version: 1, routes: [route], services: [service], limits });
    this.relay.configured();
  }
}

// Everything was killed and is back. The caller asks at once; the entry learns its configuration half a second
// later. Refused, the caller would come back too early and be refused again.
void test.test('a request that comes before the configuration is served once it is there', () => {
  const starting = new Starting();
  starting.ask(1_500);
  starting.bench.time.advance(500);
  assert.deepEqual(starting.bench.got, []);
  starting.configure();
  assert.equal(starting.bench.sent.length, 1);
});

// Control stays away. The caller must hear so while it has time for another entry.
void test.test('without a configuration the caller is refused well inside its time', () => {
  const starting = new Starting();
  starting.ask(1_500);
  starting.bench.time.advance(700);
  assert.deepEqual(starting.bench.got, ['refused noConfiguration']);
  starting.configure();
  assert.equal(starting.bench.sent.length, 0);
});

void test.test('what a caller that has left asked for is not run', () => {
  const starting = new Starting();
  starting.ask(39_000);
  starting.bench.leaveByCaller();
  starting.configure();
  assert.equal(starting.bench.sent.length, 0);
});

// A flood comes to an entry that cannot serve it yet; what is held takes memory.
void test.test('only so many are held; the rest is refused at once', () => {
  const starting = new Starting();
  for (let count = 0; count < 250; count += 1) {
    starting.ask(39_000);
  }
  assert.equal(starting.bench.got.length, 50);
});
