/**
 * Which plain calls count for the pace of their upstream, and how reports carry paces.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as placementTypes from '../placement/types.js';
import type * as paceTypes from '../upstreamPace/types.js';
import * as upstreamPaces from '../upstreamPace/upstreamPaces.js';
import * as bufferedExchange from './bufferedExchange.js';
import * as localBalancer from './localBalancer.js';
import * as placementClient from './placementClient.js';
import * as relayTestHarness from './relayTestHarness.js';
import type * as types from './types.js';

const load = { running: 1, waiting: 0, slots: 6, slowdown: 1 };

interface TestSystem {
  readonly harness: relayTestHarness.RelayTestHarness;
  readonly paces: upstreamPaces.UpstreamPaces;
  readonly call: (kind: 'idempotent' | 'nonIdempotent') => void;
}

function createSystem(instances: readonly string[], isCutOff = false): TestSystem {
  const harness = new relayTestHarness.RelayTestHarness(instances);
  const { log, metrics, sendPolicy, instances: view } = harness.context;
  const random = seededRandom.create(2);
  const paces = new upstreamPaces.UpstreamPaces({
    now: () => harness.time.now(),
    ...{ random, log, metrics },
    serviceOf: (identity) => view.get(identity)?.service,
  });
  const balancer = new localBalancer.LocalBalancer({ random, dataCentre: 'a', sendPolicy, paces });
  const call = (kind: 'idempotent' | 'nonIdempotent'): void => {
    const context = { ...harness.context, balancer, isCutOff: () => isCutOff };
    new bufferedExchange.BufferedExchange(context, harness.createRoutedRequest(kind)).start();
  };
  return { harness, paces, call };
}

function answer(sent: relayTestHarness.SentCall | undefined, head: types.ResponseHead): void {
  sent?.listener.head(head);
  sent?.listener.end();
}

void test.test('the time of a successful call counts, with the load that its response reports', () => {
  const { harness, paces, call } = createSystem(['a']);
  call('idempotent');
  harness.time.advance(30);
  answer(harness.sentCalls[0], { ...relayTestHarness.okHead, load });
  assert.deepEqual(paces.takeSums(), [['a', 1, 30, 0, [0, 1, 0, 6, 100]]]);
});

// Guards against an upstream that fails or turns calls away at once being taken for a fast and idle one.
void test.test('calls that failed or were turned away count for no pace', () => {
  const failed: readonly types.ResponseHead[] = [
    { ...relayTestHarness.okHead, status: 500, load },
    { ...relayTestHarness.okHead, status: 400, load },
    { ...relayTestHarness.okHead, matchesRequest: false, load },
  ];
  for (const head of failed) {
    const { harness, paces, call } = createSystem(['a']);
    call('idempotent');
    answer(harness.sentCalls[0], head);
    assert.deepEqual(paces.takeSums(), [], JSON.stringify(head));
  }
  const { harness, paces, call } = createSystem(['a']);
  call('nonIdempotent');
  answer(harness.sentCalls[0], { ...relayTestHarness.notRunHead, load: { ...load, running: 0 } });
  assert.deepEqual(paces.takeSums(), [['a', 0, 0, 1, null]]);
});

// Guards against entries that are cut off making all upstreams look slow to every entry.
void test.test(
  'calls through another entry, and those given up while the entry is cut off, count for no pace',
  () => {
    const relayed = createSystem(['a']);
    relayed.call('idempotent');
    relayed.harness.time.advance(430);
    answer(relayed.harness.sentCalls[0], { ...relayTestHarness.okHead, load, relayed: true });
    assert.deepEqual(relayed.paces.takeSums(), []);
    for (const isCutOff of [false, true]) {
      const silent = createSystem(['a'], isCutOff);
      silent.call('idempotent');
      silent.harness.time.advance(30);
      answer(silent.harness.sentCalls[0], { ...relayTestHarness.okHead, load });
      silent.paces.takeSums();
      silent.call('nonIdempotent');
      silent.harness.time.advance(10_001);
      assert.equal(silent.paces.takeSums().length, isCutOff ? 0 : 1);
    }
  },
);

// Guards against a slow upstream keeping the pace of its fast responses, because the late ones are never received.
void test.test(
  'a call that a hedge overtook or that timed out counts, a caller who left at once does not',
  () => {
    const { harness, paces, call } = createSystem(['a', 'b']);
    for (let count = 0; count < 4; count += 1) {
      call('idempotent');
      harness.time.advance(30);
      answer(harness.sentCalls.at(-1), { ...relayTestHarness.okHead, load });
    }
    paces.takeSums();
    call('idempotent');
    harness.time.advance(75);
    answer(harness.sentCalls.at(-1), { ...relayTestHarness.okHead, load });
    const [slow, fast] = harness.sentCalls.slice(-2).map((sent) => sent.call.instance.identity);
    const sums = paces.takeSums();
    assert.deepEqual(
      [slow, fast].map((identity) => sums.find(([upstream]) => upstream === identity)?.slice(1, 3)),
      [
        [1, 75],
        [1, 5],
      ],
    );
    call('nonIdempotent');
    harness.time.advance(20);
    harness.disconnectCaller();
    assert.deepEqual(paces.takeSums(), []);
    call('nonIdempotent');
    harness.time.advance(10_001);
    assert.equal(paces.takeSums()[0]?.[1], 1);
  },
);

interface SentReport {
  readonly kind: 'request' | 'notify';
  readonly report: placementTypes.EntryReport;
  readonly done: ports.Reply;
}

function startReports({ harness, paces }: TestSystem): SentReport[] {
  const sent: SentReport[] = [];
  const peers: ports.PeerTransport = {
    request: (_address, _method, parameters, _timeout, done) => {
      sent.push({ kind: 'request', report: parameters as placementTypes.EntryReport, done });
    },
    notify: (_address, _method, parameters) => {
      const done = (): void => undefined;
      sent.push({ kind: 'notify', report: parameters as placementTypes.EntryReport, done });
    },
    serve: () => undefined,
  };
  const { timers, log, instances } = harness.context;
  new placementClient.PlacementClient({
    ...{ entry: 'entry', dataCentre: 'a', peerAddress: '10.0.1.1:1', peers, timers, log, instances, paces },
    random: seededRandom.create(1),
    coordinator: () => 'coordinator',
  });
  return sent;
}

// Guards against additional messages where no plain calls are made, and against more than the traffic budget where they
// are: four requests a second with sums, otherwise one.
void test.test('a report is a request only while there are plain calls', () => {
  const system = createSystem(['a', 'b']);
  const { harness, paces } = system;
  const sent = startReports(system);
  harness.time.advance(5_000);
  assert.ok(sent.length > 0);
  assert.ok(sent.every(({ kind, report }) => kind === 'notify' && report.paces === undefined));
  sent.length = 0;
  const instance = harness.context.instances.get('a');
  assert.ok(instance !== undefined);
  for (let count = 0; count < 200; count += 1) {
    paces.recordAnswer(instance, 30, load);
    harness.time.advance(10);
  }
  const requests = sent.filter(({ kind }) => kind === 'request');
  assert.ok(requests.length >= 7 && requests.length <= 8, `${requests.length}`);
  sent.length = 0;
  harness.time.advance(5_000);
  assert.ok(sent.filter(({ kind }) => kind === 'request').length <= 6);
});

// Guards against an entry that does not understand an older coordinator, which answers null.
void test.test('the merged paces are adopted, and an answer without them is ignored', () => {
  const system = createSystem(['a', 'b']);
  const { harness, paces } = system;
  const sent = startReports(system);
  const [a, b] = ['a', 'b'].map((identity) => harness.context.instances.get(identity));
  assert.ok(a !== undefined && b !== undefined);
  paces.recordAnswer(a, 30, load);
  harness.time.advance(300);
  const request = sent.find(({ kind }) => kind === 'request');
  assert.equal(request?.report.paces?.length, 1);
  const near = (): number => paces.nearLeast([a, b], () => 0, false).length;
  for (const value of [null, undefined, {}, { paces: 7 }]) {
    request.done(results.Ok(value));
    assert.equal(near(), 2);
  }
  const rows: readonly paceTypes.PaceRow[] = [
    ['a', 30, 16, 10, 0, null],
    ['b', 73, 16, 10, 0, null],
  ];
  request.done(results.Ok({ paces: rows }));
  assert.equal(near(), 1);
});
