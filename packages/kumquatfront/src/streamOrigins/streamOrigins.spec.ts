/** Origins of the streams of one entry, and what becomes of them when processes stop. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as originTestNetwork from './originTestNetwork.js';
import type * as streamOrigins from './streamOrigins.js';
import type * as types from './types.js';

const REPLICAS = ['c1', 'c2', 'c3'];
const ENTRIES = ['e1', 'e2', 'e3', 'e4', 'e5'];
const KEY = { account: 'a', attempt: 'r1' };
const ORIGIN = { service: 'llm', software: 'version v1' };
const TIMEOUT = 10_000;

function start(entryNames: () => readonly string[] = () => ENTRIES): {
  readonly network: originTestNetwork.OriginTestNetwork;
  readonly entries: streamOrigins.StreamOrigins[];
} {
  const network = new originTestNetwork.OriginTestNetwork();
  for (const replica of REPLICAS) {
    network.startReplica(replica, entryNames);
  }
  const entries = ENTRIES.map((address) => network.startEntry(address, REPLICAS));
  network.time.advance(5_000);
  return { network, entries };
}

function find(
  network: originTestNetwork.OriginTestNetwork,
  entry: streamOrigins.StreamOrigins | undefined,
): types.FoundOrigin['state'] | undefined {
  let state: types.FoundOrigin['state'] | undefined;
  entry?.find(KEY, (found) => {
    state = found.state;
  });
  network.time.advance(1_000);
  return state;
}

void test.test('every other entry finds the origin of a stream, also without the one where it began', () => {
  const { network, entries } = start();
  entries[0]?.record(KEY, ORIGIN, TIMEOUT);
  network.time.advance(200);
  network.silent.add('e1');
  assert.deepEqual(
    entries.slice(1).map((entry) => find(network, entry)),
    ['known', 'known', 'known', 'known'],
  );
});

// Guards against origins that are lost with control, which holds most copies.
void test.test('the origin is found without control', () => {
  const { network, entries } = start();
  entries[0]?.record(KEY, ORIGIN, TIMEOUT);
  network.time.advance(200);
  for (const address of ['e1', ...REPLICAS]) {
    network.silent.add(address);
  }
  assert.equal(find(network, entries[1]), 'known');
});

// Guards against replicas that start again one after another, each without the origins that it held.
void test.test('a replica that has started again receives the origins of the entries', () => {
  const { network, entries } = start();
  entries[0]?.record(KEY, ORIGIN, TIMEOUT);
  network.time.advance(200);
  const stores = REPLICAS.map((replica) => network.startReplica(replica, () => ENTRIES));
  for (const replica of REPLICAS) {
    entries[0]?.onReplicaStarted(replica);
  }
  network.time.advance(200);
  assert.deepEqual(
    stores.map(({ size }) => size),
    [1, 1, 1],
  );
});

// Guards against a planned stop of the only process that still has an origin.
void test.test('an entry that stops hands over what it keeps', () => {
  const { network, entries } = start();
  entries[0]?.record(KEY, ORIGIN, TIMEOUT);
  network.time.advance(200);
  const stores = REPLICAS.map((replica) => network.startReplica(replica, () => ENTRIES));
  entries[0]?.handOver();
  network.time.advance(200);
  assert.ok(stores.every(({ size }) => size === 1));
});

// Guards against copies that only processes hold which have left the list.
void test.test('entries that join become holders of origins that are still valid', () => {
  let names: readonly string[] = ['e1'];
  const { network, entries } = start(() => names);
  entries[0]?.record(KEY, ORIGIN, 60_000);
  network.time.advance(200);
  names = ENTRIES;
  network.time.advance(8_000);
  for (const address of ['e1', ...REPLICAS]) {
    network.silent.add(address);
  }
  assert.equal(find(network, entries[1]), 'known');
});

// Guards against records that are kept longer than streams can be taken up.
void test.test('an origin is forgotten after the longest attempt and the time to come back', () => {
  const { network, entries } = start();
  entries[0]?.record(KEY, ORIGIN, TIMEOUT);
  network.time.advance(24_000);
  assert.equal(find(network, entries[1]), 'known');
  network.time.advance(2_000);
  assert.equal(find(network, entries[0]), 'unknown');
});

void test.test('an entry that reaches no other process does not know, and says that others may', () => {
  const { network, entries } = start();
  entries[0]?.record(KEY, ORIGIN, TIMEOUT);
  network.time.advance(200);
  network.silent.add('e5');
  assert.equal(find(network, entries[4]) === 'known', false);
});
