/**
 * System tests of the evacuation of a data centre: no sender sends new requests to its upstreams.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as crashTestHarness from '../quarantine/crashTestHarness.js';
import * as crashTestTraffic from '../quarantine/crashTestTraffic.js';

const DATA_CENTRES = ['a', 'b', 'c'];

/** Maximum time after the acknowledgement until an entry connected to control applies an evacuation. */
const PROPAGATION_DEADLINE: ports.Milliseconds = 1_000;

function createHarness(): crashTestHarness.CrashTestHarness {
  return new crashTestHarness.CrashTestHarness(4, { llm: 6, app: 3 }, () => 'served', 3, DATA_CENTRES);
}

/** Sends requests for both services to all entries in round robin order. */
function sendRequests(
  harness: crashTestHarness.CrashTestHarness,
  duration: ports.Milliseconds,
  pause = 20,
): void {
  const until = harness.time.now() + duration;
  for (let count = 0; harness.time.now() < until; count += 1) {
    const entry = harness.entryNames[count % harness.entryNames.length] ?? '';
    harness.sendRequest(entry, count % 2 === 0 ? 'llm' : 'app', `c${count}-${until}`);
    harness.time.advance(pause);
  }
}

function countArrivals(
  harness: crashTestHarness.CrashTestHarness,
  dataCentre: string,
  since: ports.Milliseconds,
): number {
  return harness.upstreams.arrivals.filter(
    (arrival) => arrival.dataCentre === dataCentre && arrival.at > since,
  ).length;
}

void test.test(
  'an evacuated data centre gets no new requests, the others serve all, and it is used again once restored',
  () => {
    const harness = createHarness();
    sendRequests(harness, 2_000);
    assert.ok(countArrivals(harness, 'a', 0) > 0);
    assert.equal(harness.control.evacuateOrRestore('c2', 'evacuate', 'a'), true);
    const acknowledged = harness.time.now();
    sendRequests(harness, 4_000);
    assert.equal(countArrivals(harness, 'a', acknowledged + PROPAGATION_DEADLINE), 0);
    assert.deepEqual([...new Set(harness.attempts.map(({ outcome }) => outcome))], ['served', undefined]);
    assert.equal(harness.control.evacuateOrRestore('c1', 'restore', 'a'), true);
    const restored = harness.time.now();
    sendRequests(harness, 4_000);
    assert.ok(countArrivals(harness, 'a', restored) > 0);
  },
);

// Guards against a restarted entry serving with a configuration but without the evacuation, while control has lost its
// leader.
void test.test('a starting entry applies the evacuation before it sends any request', () => {
  const harness = createHarness();
  assert.equal(harness.control.evacuateOrRestore('c2', 'evacuate', 'a'), true);
  harness.time.advance(PROPAGATION_DEADLINE);
  const since = harness.time.now();
  harness.control.kill(harness.control.leader());
  for (const entry of harness.entryNames) {
    harness.startEntry(entry);
    sendRequests(harness, 500);
  }
  sendRequests(harness, 2_000);
  assert.equal(countArrivals(harness, 'a', since), 0);
  assert.ok(harness.attempts.some(({ outcome }) => outcome === 'served'));
});

// Guards against entries dropping the last known evacuation when no control replica answers and they place locally.
void test.test('entries apply the evacuation without control', () => {
  const harness = createHarness();
  assert.equal(harness.control.evacuateOrRestore('c2', 'evacuate', 'a'), true);
  harness.time.advance(PROPAGATION_DEADLINE);
  for (const replica of crashTestHarness.REPLICAS) {
    harness.control.kill(replica);
  }
  const since = harness.time.now();
  sendRequests(harness, 4_000);
  assert.equal(countArrivals(harness, 'a', since), 0);
  assert.ok(harness.upstreams.arrivals.some((arrival) => arrival.at > since));
});

void test.test(
  'with all data centres evacuated requests are refused immediately, stating the reason and that nothing ran',
  () => {
    const harness = createHarness();
    for (const dataCentre of DATA_CENTRES) {
      assert.equal(harness.control.evacuateOrRestore('c1', 'evacuate', dataCentre), true);
    }
    for (const service of ['llm', 'app'] as const) {
      const { refusal } = harness.sendRequest('e1', service, `late-${service}`);
      assert.ok(refusal);
      assert.equal(refusal.reason, 'noUpstream');
      assert.match(refusal.message, /evacuated data centre/);
    }
  },
);

// Guards against overloading the idle and possibly cold upstreams of a restored data centre with all waiting requests.
void test.test(
  'restored upstreams get no more than cold ones tolerate until they have had time to warm up',
  () => {
    const harness = createHarness();
    assert.equal(harness.control.evacuateOrRestore('c2', 'evacuate', 'a'), true);
    sendRequests(harness, 2_000, 4);
    const restored = harness.time.now();
    harness.control
      .trafficOf('c1')
      .evacuateOrRestore(
        { type: 'restore', dataCentre: 'a' },
        harness.control.callerAt('c1'),
        () => undefined,
      );
    sendRequests(harness, 4_000, 4);
    const { requestsPerSecond, duration } = crashTestTraffic.WARM_UP;
    const upstreams = new Set(harness.upstreams.arrivals.map(({ upstream }) => upstream));
    let afterwards = 0;
    for (const upstream of upstreams) {
      const arrivals = harness.upstreams.arrivals.filter(
        (arrival) => arrival.upstream === upstream && arrival.dataCentre === 'a' && arrival.at > restored,
      );
      const cold = arrivals.filter(({ at }) => at <= restored + duration).length;
      assert.ok(cold <= requestsPerSecond, `${cold} while cold`);
      afterwards += arrivals.length - cold;
    }
    assert.ok(afterwards > 0);
  },
);
