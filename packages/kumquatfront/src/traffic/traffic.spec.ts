/**
 * Tests route lookup and the rejection of inconsistent configurations.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as routeTable from './routeTable.js';
import * as trafficValidation from './trafficValidation.js';
import type * as types from './types.js';

const limits: types.CallerLimits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };

function route(name: string, pathPrefix: string, changes: Partial<types.Route> = {}): types.Route {
  return {
    name,
    host: 'shop.example',
    pathPrefix,
    kind: 'idempotent',
    timeout: 1_000,
    objective: 100,
    priority: 1,
    targets: [{ service: 'app', weight: 1 }],
    maximumAttempts: 2,
    anonymous: false,
    resumable: false,
    longestPause: 0,
    ...changes,
  };
}

function configuration(
  routes: readonly types.Route[],
  accounts?: readonly types.Account[],
): types.TrafficConfiguration {
  return { version: 3, routes, services: [{ name: 'app', maximumConnections: 10 }], limits, accounts };
}

void test.test('the longest matching path prefix wins', () => {
  const table = new routeTable.RouteTable(
    configuration([route('short', '/a/'), route('long', '/a/b/'), route('other', '/c/')]),
  );
  assert.equal(table.routeOf('shop.example', '/a/x')?.name, 'short');
  assert.equal(table.routeOf('SHOP.example:8080', '/a/b/c/d')?.name, 'long');
  assert.equal(table.routeOf('shop.example', '/a/b')?.name, 'short');
  assert.equal(table.routeOf('shop.example', '/ab/'), undefined);
  assert.equal(table.routeOf('else.example', '/a/'), undefined);
});

void test.test('the route with the prefix "/" matches paths that match no other route', () => {
  const table = new routeTable.RouteTable(configuration([route('all', '/'), route('a', '/a/')]));
  assert.equal(table.routeOf('shop.example', '/b/c')?.name, 'all');
  assert.equal(table.routeOf('shop.example', '/a/c')?.name, 'a');
});

void test.test('services are selected by weight, and one of weight 0 never is', () => {
  const targets = [
    { service: 'none', weight: 0 },
    { service: 'few', weight: 10 },
    { service: 'most', weight: 90 },
  ];
  const table = new routeTable.RouteTable(configuration([]));
  const weighted = route('w', '/', { targets });
  assert.equal(table.pickService(weighted, 0), 'few');
  assert.equal(table.pickService(weighted, 0.09), 'few');
  assert.equal(table.pickService(weighted, 0.11), 'most');
  assert.equal(table.pickService(weighted, 0.999), 'most');
});

void test.test('accounts are found by their keys', () => {
  const accounts = [
    { name: 'one', keys: ['k1', 'k2'] },
    { name: 'two', keys: ['k3'] },
  ];
  const table = new routeTable.RouteTable(configuration([], accounts));
  assert.equal(table.requiresKeys, true);
  assert.equal(table.accountOf('k2')?.name, 'one');
  assert.equal(table.accountOf('k4'), undefined);
});

const inconsistentConfigurations: readonly (readonly [string, types.TrafficConfiguration])[] = [
  ['an unknown service', configuration([route('r', '/', { targets: [{ service: 'x', weight: 1 }] })])],
  [
    'weights that add up to 0',
    configuration([route('r', '/', { targets: [{ service: 'app', weight: 0 }] })]),
  ],
  ['a timeout of 0', configuration([route('r', '/', { timeout: 0 })])],
  [
    'two routes with the same host and prefix',
    configuration([route('r', '/a/'), route('s', '/a/', { host: 'Shop.Example' })]),
  ],
  ['a prefix without a trailing slash', configuration([route('r', '/a')])],
  [
    'a key shared by two accounts',
    configuration(
      [],
      [
        { name: 'one', keys: ['k'] },
        { name: 'two', keys: ['k'] },
      ],
    ),
  ],
  ['an account of weight 0', configuration([], [{ name: 'one', keys: ['k'], weight: 0 }])],
  ['an account of negative weight', configuration([], [{ name: 'one', keys: ['k'], weight: -1 }])],
  ['an account whose weight is no number', configuration([], [{ name: 'one', keys: ['k'], weight: NaN }])],
  ['an account of infinite weight', configuration([], [{ name: 'one', keys: ['k'], weight: Infinity }])],
];

void test.test('an account without a weight has the weight 1', () => {
  const accounts = [
    { name: 'one', keys: ['k1'], weight: 2.5 },
    { name: 'two', keys: ['k2'] },
  ];
  const table = new routeTable.RouteTable(configuration([], accounts));
  assert.deepEqual(
    ['one', 'two', 'unknown'].map((name) => table.weightOf(name)),
    [2.5, 1, 1],
  );
});

for (const [name, inconsistent] of inconsistentConfigurations) {
  void test.test(`${name} is rejected with a remedy`, () => {
    const checked = trafficValidation.check(inconsistent);
    assert.equal(checked.err && checked.val.kind, 'badInput');
    assert.notEqual(checked.err && checked.val.remedy, '');
  });
}

void test.test('a valid configuration is accepted', () => {
  assert.equal(trafficValidation.check(configuration([route('r', '/a/'), route('s', '/b/')])).ok, true);
});
