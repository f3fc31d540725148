/** Search for the origin of a stream at its holders. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as originLookup from './originLookup.js';
import * as originTestNetwork from './originTestNetwork.js';
import type * as types from './types.js';

const KEY = { account: 'a', attempt: 'r1' };
const RECORD = { ...KEY, service: 'llm', software: 'version v1', expiresIn: 10_000 };

function search(
  network: originTestNetwork.OriginTestNetwork,
  addresses: readonly string[],
): types.FoundOrigin[] {
  const found: types.FoundOrigin[] = [];
  const { timers } = network;
  originLookup.find({ timers, peers: network.transportOf('e1'), addresses: () => addresses }, KEY, (result) =>
    found.push(result),
  );
  return found;
}

void test.test('the first process that knows the origin decides, whoever does not answer', () => {
  const network = new originTestNetwork.OriginTestNetwork();
  network.startReplica('c1');
  network.startReplica('c2').add(RECORD, 0);
  const found = search(network, ['c1', 'c2', 'gone']);
  network.time.advance(10);
  assert.deepEqual(found, [{ state: 'known', origin: { service: 'llm', software: 'version v1' } }]);
  network.time.advance(2_000);
  assert.equal(found.length, 1);
});

// Guards against a caller that is refused because it was faster than the copy.
void test.test('a copy that arrives just after the question is found', () => {
  const network = new originTestNetwork.OriginTestNetwork();
  const store = network.startReplica('c1');
  const found = search(network, ['c1']);
  network.time.after(50, () => {
    store.add(RECORD, 50);
  });
  network.time.advance(200);
  assert.equal(found[0]?.state, 'known');
});

// Guards against a final refusal while a process that may know the origin is out of reach, and against a guess.
void test.test('the origin is unknown only if every process has answered', () => {
  const network = new originTestNetwork.OriginTestNetwork();
  network.startReplica('c1');
  network.startReplica('c2');
  const answered = search(network, ['c1', 'c2']);
  const partly = search(network, ['c1', 'gone']);
  const nobody = search(network, []);
  network.time.advance(1_000);
  assert.deepEqual(
    [answered, partly, nobody].map(([result]) => result?.state),
    ['unknown', 'unreachable', 'unreachable'],
  );
});

void test.test('a cancelled search reports nothing', () => {
  const network = new originTestNetwork.OriginTestNetwork();
  const { timers } = network;
  const peers = network.transportOf('e1');
  const cancel = originLookup.find({ timers, peers, addresses: () => ['gone'] }, KEY, () => {
    assert.fail('a cancelled search was reported');
  });
  cancel();
  network.time.advance(2_000);
});
