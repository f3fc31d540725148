/**
 * The whole system while a data centre is evacuated: whoever sends, its upstreams get nothing new.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as crashBench from '../quarantine/crashBench.js';
import * as crashBenchTraffic from '../quarantine/crashBenchTraffic.js';

const DATA_CENTRES = ['a', 'b', 'c'];

/** The aim: an entry in contact with control obeys within this time of the acknowledgement. */
const OBEYED_WITHIN: ports.Milliseconds = 1_000;

function start(): crashBench.CrashBench {
  return new crashBench.CrashBench(4, { llm: 6, app: 3 }, () => 'served', 3, DATA_CENTRES);
}

/** Callers of both services ask all entries in turn. */
function load(bench: crashBench.CrashBench, duration: ports.Milliseconds, pause = 20): void {
  const until = bench.time.now() + duration;
  for (let count = 0; bench.time.now() < until; count += 1) {
    const entry = bench.entryNames[count % bench.entryNames.length] ?? '';
    bench.ask(entry, count % 2 === 0 ? 'llm' : 'app', `c${count}-${until}`);
    bench.time.advance(pause);
  }
}

function arrivedIn(bench: crashBench.CrashBench, dataCentre: string, since: ports.Milliseconds): number {
  return bench.arrivals.filter((arrival) => arrival.dataCentre === dataCentre && arrival.at > since).length;
}

void test.test('its upstreams get nothing new, the others serve all, and it is used again after', () => {
  const bench = start();
  load(bench, 2_000);
  assert.ok(arrivedIn(bench, 'a', 0) > 0);
  assert.equal(bench.control.order('c2', 'evacuate', 'a'), true);
  const acknowledged = bench.time.now();
  load(bench, 4_000);
  assert.equal(arrivedIn(bench, 'a', acknowledged + OBEYED_WITHIN), 0);
  assert.deepEqual([...new Set(bench.attempts.map(({ outcome }) => outcome))], ['served', undefined]);
  assert.equal(bench.control.order('c1', 'restore', 'a'), true);
  const restored = bench.time.now();
  load(bench, 4_000);
  assert.ok(arrivedIn(bench, 'a', restored) > 0);
});

// An entry restarts while the data centre is evacuated, and control loses its leader. The entry has forgotten what it
// knew, and serves as soon as it has a configuration: by then it must know of the evacuation.
void test.test('an entry that starts knows of it before it sends anything', () => {
  const bench = start();
  assert.equal(bench.control.order('c2', 'evacuate', 'a'), true);
  bench.time.advance(OBEYED_WITHIN);
  const since = bench.time.now();
  bench.control.kill(bench.control.leader());
  for (const entry of bench.entryNames) {
    bench.startEntry(entry);
    load(bench, 500);
  }
  load(bench, 2_000);
  assert.equal(arrivedIn(bench, 'a', since), 0);
  assert.ok(bench.attempts.some(({ outcome }) => outcome === 'served'));
});

// Control is gone: no coordinator answers, so that entries place generations by themselves. The last that they heard
// holds.
void test.test('entries obey without control', () => {
  const bench = start();
  assert.equal(bench.control.order('c2', 'evacuate', 'a'), true);
  bench.time.advance(OBEYED_WITHIN);
  for (const replica of crashBench.REPLICAS) {
    bench.control.kill(replica);
  }
  const since = bench.time.now();
  load(bench, 4_000);
  assert.equal(arrivedIn(bench, 'a', since), 0);
  assert.ok(bench.arrivals.some((arrival) => arrival.at > since));
});

void test.test('with every data centre evacuated callers are told so at once, and that nothing ran', () => {
  const bench = start();
  for (const dataCentre of DATA_CENTRES) {
    assert.equal(bench.control.order('c1', 'evacuate', dataCentre), true);
  }
  for (const service of ['llm', 'app'] as const) {
    const { refusal } = bench.ask('e1', service, `late-${service}`);
    assert.ok(refusal);
    assert.equal(refusal.reason, 'noUpstream');
    assert.match(refusal.message, /evacuated data centre/);
  }
});

// The data centre is restored while all upstreams are busy: its own have nothing to do, and whoever waits would be sent
// there at once. They may have become cold meanwhile, and fall over.
void test.test('restored upstreams get what cold ones tolerate, until they can have warmed up', () => {
  const bench = start();
  assert.equal(bench.control.order('c2', 'evacuate', 'a'), true);
  load(bench, 2_000, 4);
  const restored = bench.time.now();
  bench.control.trafficOf('c1').orderDataCentre({ type: 'restore', dataCentre: 'a' }, () => undefined);
  load(bench, 4_000, 4);
  const { requestsPerSecond, duration } = crashBenchTraffic.WARM_UP;
  const upstreams = new Set(bench.arrivals.map(({ upstream }) => upstream));
  let afterwards = 0;
  for (const upstream of upstreams) {
    const arrivals = bench.arrivals.filter(
      (arrival) => arrival.upstream === upstream && arrival.dataCentre === 'a' && arrival.at > restored,
    );
    const cold = arrivals.filter(({ at }) => at <= restored + duration).length;
    assert.ok(cold <= requestsPerSecond, `${cold} while cold`);
    afterwards += arrivals.length - cold;
  }
  assert.ok(afterwards > 0);
});
