/**
 * What the caller of a stream that cannot go on is told.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as relayTestHarness from './relayTestHarness.js';
import * as streamAttempts from './streamAttempts.js';
import * as streamDelivery from './streamDelivery.js';
import * as streamOutcome from './streamOutcome.js';

/** Ends a stream that lacks an upstream; returns what its caller receives. */
function endWithoutUpstream(mayHaveRun: boolean, resumable: boolean, started = false): string {
  const harness = new relayTestHarness.RelayTestHarness(['a']);
  const routed = harness.createRoutedRequest('stream', { resumable });
  const attempts = new streamAttempts.StreamAttempts(harness.context, routed);
  const delivery = new streamDelivery.StreamDelivery(routed.caller, undefined, () => undefined);
  const outcome = new streamOutcome.StreamOutcome(harness.context, routed, {
    ...{ attempts, delivery },
    finish: () => undefined,
  });
  if (mayHaveRun) {
    attempts.recordSend(false);
  }
  delivery.started = started;
  outcome.endWithoutUpstream('noUpstream', 'none is left', 500);
  return harness.callerEvents.join();
}

// Guards against a false promise: a request that may have run, and may run once, is not sent again after "not run".
void test.test('a stream that may have run is refused as not run only if it may run again', () => {
  assert.equal(endWithoutUpstream(true, false), 'refused outcomeUnknown');
  assert.equal(endWithoutUpstream(true, true), 'refused noUpstream');
  assert.equal(endWithoutUpstream(false, false), 'refused noUpstream');
});

void test.test('a stream that has begun is aborted', () => {
  assert.equal(endWithoutUpstream(true, true, true), 'abort');
});
