/** What a process answers about origins. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as messages from './messages.js';
import * as originKeeper from './originKeeper.js';
import * as originStore from './originStore.js';
import * as originTestNetwork from './originTestNetwork.js';

const KEY = { account: 'a', attempt: 'r1' };

void test.test('a process answers with origins that it keeps and with those of its own streams', () => {
  const network = new originTestNetwork.OriginTestNetwork();
  const { timers, metrics } = network;
  const own = new originStore.OriginStore(10);
  originKeeper.serve({ timers, metrics, peers: network.transportOf('e1'), capacity: 10, own });
  const answers: unknown[] = [];
  const ask = (): void => {
    network.transportOf('e2').request('e1', messages.methods.find, { key: KEY }, 100, (result) => {
      answers.push(result.ok ? result.val : 'failed');
    });
    network.time.advance(10);
  };
  ask();
  own.add({ ...KEY, service: 'llm', software: 'version v1', expiresIn: 5_000 }, 0);
  ask();
  assert.deepEqual(answers, [{}, { origin: { service: 'llm', software: 'version v1' } }]);
});

void test.test('expired records free their memory', () => {
  const network = new originTestNetwork.OriginTestNetwork();
  const store = network.startReplica('c1');
  store.add({ ...KEY, service: 'llm', software: 'version v1', expiresIn: 1_000 }, 0);
  network.time.advance(4_100);
  assert.equal(store.size, 0);
});
