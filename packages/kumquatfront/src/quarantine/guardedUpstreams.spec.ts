/**
 * The gate before all upstreams: what was decided before something became known passes it too late.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as instanceView from '../instances/instanceView.js';
import * as relayBench from '../relay/relayBench.js';

function send(
  bench: relayBench.RelayBench,
  instance: instanceView.Instance,
  dataCentres?: readonly string[],
): string[] {
  const told: string[] = [];
  const { request } = bench.routed('stream');
  bench.context.upstreams.send(
    { request, instance, timeLeft: 1_000, dataCentres },
    {
      head: () => told.push('head'),
      data: () => told.push('data'),
      end: () => told.push('end'),
      failed: (failure) => told.push(failure),
    },
  );
  return told;
}

// A coordinator that is behind, or a copy that was begun earlier, leads to an upstream whose data centre has been
// evacuated meanwhile. The exchange learns that nothing was sent, and may go elsewhere; the upstream is not at fault.
void test.test('nothing is sent into an evacuated data centre, whoever has chosen the upstream', () => {
  const bench = new relayBench.RelayBench(['a']);
  const instance = bench.context.instances.get('a');
  assert.ok(instance);
  bench.context.instances.setEvacuated([instance.dataCentre]);
  const told = send(bench, instance);
  assert.deepEqual(told, []);
  bench.time.advance(1);
  assert.deepEqual(told, ['withheld']);
  assert.equal(bench.sent.length, 0);
  bench.context.instances.setEvacuated([]);
  send(bench, instance);
  assert.equal(bench.sent.length, 1);
});

// The homes of a route changed while a place was sought: the engine that was found is not at home any more.
void test.test('nothing is sent to a region where the request may not run', () => {
  const bench = new relayBench.RelayBench(['a']);
  const instance = bench.context.instances.get('a');
  assert.ok(instance);
  const told = send(bench, instance, ['elsewhere']);
  bench.time.advance(1);
  assert.deepEqual(told, ['withheld']);
  assert.equal(bench.sent.length, 0);
  send(bench, instance, [instance.dataCentre]);
  assert.equal(bench.sent.length, 1);
});
