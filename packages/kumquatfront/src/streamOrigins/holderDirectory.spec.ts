/** The list of all entries at one entry. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as holderDirectory from './holderDirectory.js';
import * as messages from './messages.js';
import * as originTestNetwork from './originTestNetwork.js';

function create(network: originTestNetwork.OriginTestNetwork): {
  readonly directory: holderDirectory.HolderDirectory;
  readonly changes: (readonly string[])[];
} {
  const changes: (readonly string[])[] = [];
  const { timers, random } = network;
  const directory: holderDirectory.HolderDirectory = new holderDirectory.HolderDirectory({
    ...{ timers, random, peerAddress: 'e1' },
    peers: network.transportOf('e1'),
    replicas: () => ['c1'],
    onEntriesChanged: () => changes.push(directory.candidates.entries),
  });
  return { directory, changes };
}

void test.test('the list follows control without the entry itself, and is sent only after a change', () => {
  const network = new originTestNetwork.OriginTestNetwork();
  let names = ['e1', 'e2'];
  network.startReplica('c1', () => names);
  const { directory, changes } = create(network);
  network.time.advance(15_000);
  names = ['e3', 'e1', 'e2'];
  network.time.advance(5_000);
  assert.deepEqual(changes, [['e2'], ['e3', 'e2']]);
  assert.ok(directory.includes('e3') && directory.includes('c1') && !directory.includes('e4'));
});

// Guards against entries that know no holders when control is lost.
void test.test('the list outlives the loss of control', () => {
  const network = new originTestNetwork.OriginTestNetwork();
  network.startReplica('c1', () => ['e1', 'e2']);
  const { directory } = create(network);
  network.time.advance(1_000);
  network.silent.add('c1');
  network.time.advance(60_000);
  assert.deepEqual(directory.candidates.entries, ['e2']);
});

// Guards against an entry that has just started and waits for seconds before it knows whom to ask.
void test.test('an entry without a list asks four times a second', () => {
  const network = new originTestNetwork.OriginTestNetwork();
  create(network);
  network.time.advance(1_010);
  assert.equal(network.calls.filter((call) => call.startsWith(messages.methods.entries)).length, 4);
});
