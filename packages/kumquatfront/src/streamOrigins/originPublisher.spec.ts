/** Copies of origins: batches, repetition, and what is never sent. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as originPublisher from './originPublisher.js';
import * as originTestNetwork from './originTestNetwork.js';
import type * as types from './types.js';

function record(attempt: string, expiresIn = 10_000): types.OriginRecord {
  return { account: 'a', attempt, service: 'llm', software: 'version v1', expiresIn };
}

function create(isCandidate = true): {
  readonly network: originTestNetwork.OriginTestNetwork;
  readonly publisher: originPublisher.OriginPublisher;
} {
  const network = new originTestNetwork.OriginTestNetwork();
  const { timers, log } = network;
  const peers = network.transportOf('e1');
  const publisher = new originPublisher.OriginPublisher({
    timers,
    peers,
    log,
    isCandidate: () => isCandidate,
  });
  return { network, publisher };
}

void test.test('records of one moment are copied in one message', () => {
  const { network, publisher } = create();
  const store = network.startReplica('c1');
  for (let index = 0; index < 20; index += 1) {
    publisher.add('c1', record(`r${index}`));
  }
  network.time.advance(100);
  assert.equal(store.size, 20);
  assert.equal(network.calls.length, 1);
});

// Guards against messages for the many streams that are complete before their callers could need them.
void test.test('a stream that is complete at once is not copied', () => {
  const { network, publisher } = create();
  network.startReplica('c1');
  publisher.add('c1', record('r1'));
  publisher.withdraw(record('r1'));
  network.time.advance(1_000);
  assert.deepEqual(network.calls, []);
});

// Guards against copies that are lost with a message, or while their holder is out of reach.
void test.test('a copy is repeated until it is received, with the time that is left', () => {
  const { network, publisher } = create();
  const store = network.startReplica('c1');
  network.silent.add('c1');
  publisher.add('c1', record('r1'));
  network.time.advance(4_000);
  assert.equal(store.size, 0);
  network.silent.clear();
  network.time.advance(4_000);
  assert.ok(store.find(record('r1'), network.time.now()));
  assert.equal(store.find(record('r1'), 10_100), undefined);
});

// Guards against messages without end to a process that is gone, and against copies that outlive their streams.
void test.test(
  'nothing is repeated for a process that is not listed any more, nor after the record has expired',
  () => {
    const gone = create(false);
    gone.publisher.add('c1', record('r1'));
    gone.network.time.advance(20_000);
    assert.equal(gone.network.calls.length, 1);
    const expired = create();
    expired.publisher.add('c1', record('r1', 1_000));
    expired.network.time.advance(5_000);
    const store = expired.network.startReplica('c1');
    expired.network.time.advance(5_000);
    assert.equal(store.size, 0);
  },
);
