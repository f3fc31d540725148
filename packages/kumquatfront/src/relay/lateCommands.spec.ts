/**
 * Commands and answers of a coordinator that arrive late: it was paused, or another one leads by then.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as methods from '../trafficControl/methods.js';
import * as placementClient from './placementClient.js';
import * as relayTestHarness from './relayTestHarness.js';
import * as streamExchange from './streamExchange.js';

/** Starts a stream at `a` that has sent its first event. */
function startStream(): relayTestHarness.RelayTestHarness {
  const harness = new relayTestHarness.RelayTestHarness(['a', 'b']);
  harness.placements.push('a');
  const routed = harness.createRoutedRequest('stream');
  new streamExchange.StreamExchange(harness.context, routed).start();
  const [sent] = harness.sentCalls;
  sent?.listener.head(relayTestHarness.okHead);
  sent?.listener.data(relayTestHarness.streamEvent(1));
  return harness;
}

// Guards against a late move that pulls a stream off the engine where it runs by now.
void test.test('a move of a stream that no longer runs at the source of the command does nothing', () => {
  const harness = startStream();
  assert.equal(harness.move('b', 'a').outcome, 'ended');
  assert.deepEqual(harness.copyRequests, []);
});

// Guards against a late move into a data centre that was evacuated, or to an engine that leaves, after it was ordered.
void test.test(
  'a move to an engine that takes no new work any more is refused before the source stops',
  () => {
    const evacuated = startStream();
    evacuated.context.instances.setEvacuated(['a']);
    const leaving = startStream();
    leaving.sendTerminationNotice('b');
    for (const harness of [evacuated, leaving]) {
      assert.equal(harness.move('a', 'b').outcome, 'failed');
      assert.deepEqual(harness.copyRequests, []);
    }
  },
);

// Guards against two runs of one request: the entry has placed it without the coordinator that answers late.
void test.test('a placement that arrives after the entry has given the coordinator up is not used', () => {
  const harness = startStream();
  const answers: ports.Reply[] = [];
  const peers: ports.PeerTransport = {
    request: (_address, method, _parameters, _timeout, done) => {
      if (method === methods.methods.place) {
        answers.push(done);
      }
    },
    notify: () => undefined,
    serve: () => undefined,
  };
  const { timers, log, instances } = harness.context;
  const client = new placementClient.PlacementClient({
    ...{ entry: 'entry', dataCentre: 'a', peerAddress: '10.0.1.1:1', peers, timers, log, instances },
    random: seededRandom.create(1),
    coordinator: () => 'coordinator',
  });
  const outcomes: string[] = [];
  const [request] = harness.placementRequests;
  assert.ok(request);
  client.place({ ...request, patience: 1_000 }, ({ state }) => outcomes.push(state));
  const timeout = failures.create('timeout', 'The process did not answer.', 'Ask again.');
  for (let elapsed = 0; elapsed < 3_000; elapsed += 100) {
    answers.at(-1)?.(results.Err(timeout));
    harness.time.advance(100);
  }
  assert.deepEqual(outcomes, ['alone']);
  for (const answer of answers) {
    answer(results.Ok({ state: 'placed', instance: 'b' }));
  }
  assert.deepEqual(outcomes, ['alone']);
});
