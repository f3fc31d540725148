/**
 * Sends to upstreams that became excluded after they had been chosen are rejected.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as instanceView from '../instances/instanceView.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';

function send(
  harness: relayTestHarness.RelayTestHarness,
  instance: instanceView.Instance,
  dataCentres?: readonly string[],
): string[] {
  const events: string[] = [];
  const { request } = harness.createRoutedRequest('stream');
  harness.context.upstreams.send(
    { request, instance, timeLeft: 1_000, origin: undefined, dataCentres },
    {
      head: () => events.push('head'),
      data: () => events.push('data'),
      end: () => events.push('end'),
      failed: (failure) => events.push(failure),
    },
  );
  return events;
}

// An outdated decision of the coordinator, or a copy started earlier, may lead to a data centre evacuated since. The
// exchange must learn that nothing was sent, so that it can use another upstream.
void test.test('nothing is sent into an evacuated data centre, whoever chose the upstream', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  const instance = harness.context.instances.get('a');
  assert.ok(instance);
  harness.context.instances.setEvacuated([instance.dataCentre]);
  const events = send(harness, instance);
  assert.deepEqual(events, []);
  harness.time.advance(1);
  assert.deepEqual(events, ['withheld']);
  assert.equal(harness.sentCalls.length, 0);
  harness.context.instances.setEvacuated([]);
  send(harness, instance);
  assert.equal(harness.sentCalls.length, 1);
});

// The regions of a route changed while the request was being placed.
void test.test('nothing is sent to a region where the request may not run', () => {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  const instance = harness.context.instances.get('a');
  assert.ok(instance);
  const events = send(harness, instance, ['elsewhere']);
  harness.time.advance(1);
  assert.deepEqual(events, ['withheld']);
  assert.equal(harness.sentCalls.length, 0);
  send(harness, instance, [instance.dataCentre]);
  assert.equal(harness.sentCalls.length, 1);
});
