/**
 * 64 entries that choose among three plain upstreams of six slots, on virtual time.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as paceTestHarness from './paceTestHarness.js';

const UNEVEN = [0.7, 0.7, 1.7];
const EVEN = [1, 1, 1];
const SEEDS = [1, 2, 3, 4, 5];
const WARM_UP = 10_000;

/** Usual rate of plain calls on the second deployment, and three times of it. */
const RATES = [84, 250];

/** The 95th percentile over runs with several seeds. */
function percentile95(traits: paceTestHarness.FleetTraits): number {
  const durations = SEEDS.flatMap((seed) => {
    const fleet = new paceTestHarness.PaceTestHarness({ ...traits, seed });
    fleet.time.advance(30_000);
    return fleet.answeredSince(WARM_UP).map(({ duration }) => duration);
  }).sort((left, right) => left - right);
  return durations[Math.floor(durations.length * 0.95)] ?? Number.NaN;
}

for (const callsPerSecond of RATES) {
  const noise = { callsPerSecond, slowShare: 0.15 };

  // Guards against slow upstreams getting as many calls as fast ones.
  void test.test(
    `with uneven paces and ${callsPerSecond} calls a second, times are near those with true paces`,
    () => {
      const learned = percentile95({ ...noise, chooser: 'paces', paces: UNEVEN });
      const told = percentile95({ ...noise, chooser: 'truePaces', paces: UNEVEN });
      const today = percentile95({ ...noise, chooser: 'today', paces: UNEVEN });
      assert.ok(learned <= 1.15 * told, `${learned} ${told}`);
      assert.ok(learned < 0.8 * today, `${learned} ${today}`);
    },
  );

  void test.test(
    `with equal paces, slowdowns and ${callsPerSecond} calls a second, times do not grow`,
    () => {
      const learned = percentile95({ ...noise, chooser: 'paces', paces: EVEN });
      const today = percentile95({ ...noise, chooser: 'today', paces: EVEN });
      assert.ok(learned <= today, `${learned} ${today}`);
    },
  );

  // Guards against chance differences: without them every call goes to the upstream that it goes to today.
  void test.test(
    `with equal upstreams and ${callsPerSecond} calls a second, every choice is as today`,
    () => {
      const [learned, today] = (['paces', 'today'] as const).map((chooser) => {
        const fleet = new paceTestHarness.PaceTestHarness({ chooser, paces: EVEN, callsPerSecond });
        fleet.time.advance(20_000);
        return fleet.completed;
      });
      assert.deepEqual(learned, today);
    },
  );
}

/** Starts a fleet that has learned its paces. */
function startFleet(traits: Partial<paceTestHarness.FleetTraits> = {}): paceTestHarness.PaceTestHarness {
  const usual = { chooser: 'paces', paces: [0.7, 0.7, 0.7], callsPerSecond: 84, seed: 3 } as const;
  const fleet = new paceTestHarness.PaceTestHarness({ ...usual, ...traits });
  fleet.time.advance(WARM_UP);
  return fleet;
}

/** Lets the fleet run and returns the share of calls that the first upstream gets, without the first `settling` ms. */
function shareAfter(fleet: paceTestHarness.PaceTestHarness, settling: number, duration: number): number {
  const since = fleet.time.now();
  fleet.time.advance(settling + duration);
  return fleet.shareOf(0, since + settling, since + settling + duration);
}

const CHANGES = {
  'takes three times as long': (upstream: { pace: number }) => {
    upstream.pace *= 3;
  },
  'reports that its VM is slow': (upstream: { slowdown: number }) => {
    upstream.slowdown = 2.5;
  },
  'turns calls away at once': (upstream: { turnsAway: boolean }) => {
    upstream.turnsAway = true;
  },
} as const;

for (const [name, change] of Object.entries(CHANGES)) {
  // Guards against an upstream being avoided too late, for ever, or probed with as many calls as before.
  void test.test(`an upstream that ${name} is avoided within a second, probed, and used again`, () => {
    const slowShare = name.includes('VM') ? 1e-9 : 0;
    const fleet = startFleet({ slowShare });
    const [upstream] = fleet.upstreams;
    assert.ok(upstream !== undefined);
    assert.ok(shareAfter(fleet, 0, 2_000) > 0.2);
    change(upstream);
    assert.ok(shareAfter(fleet, 1_000, 1_000) < 0.1);
    const probes = shareAfter(fleet, 0, 6_000);
    assert.ok(probes > 0 && probes < 0.08, `${probes}`);
    ({
      pace: upstream.pace,
      slowdown: upstream.slowdown,
      turnsAway: upstream.turnsAway,
    } = {
      ...{ pace: 0.7, slowdown: 1, turnsAway: false },
    });
    const back = shareAfter(fleet, 8_000, 4_000);
    assert.ok(back > 0.2, `${back}`);
  });
}

// Guards against calls being attracted by a report that is false.
void test.test('an upstream with false reports gets no more calls than its fair share', () => {
  const falseReports = [
    { running: 0, waiting: 0, slots: 1_000 },
    { running: -100, waiting: -100, slots: 6 },
    { running: 0, waiting: 0, slots: 6, slowdown: 0.01 },
    { running: 0, waiting: 0, slots: 6, slowdown: -1 },
    { running: 0, waiting: 0, slots: 6, slowdown: 1e10 },
    { running: 1e9, waiting: 1e9, slots: 0 },
  ];
  for (const report of falseReports) {
    const fleet = startFleet({
      paces: [2.1, 0.7, 0.7],
      reportOf: (upstream, load) => (upstream === 0 ? report : load),
    });
    const share = shareAfter(fleet, 0, 5_000);
    assert.ok(share < 0.1, `${JSON.stringify(report)}: ${share}`);
  }
});

// Guards against entries that no coordinator answers stopping to choose, and against their old table misleading them.
void test.test('without a coordinator, entries use what they know and what they observe', () => {
  const fleet = startFleet({ entries: 4, paces: [2.1, 0.7, 0.7] });
  fleet.hasCoordinator = false;
  assert.ok(shareAfter(fleet, 0, 10_000) < 0.1);
  const [first, second] = fleet.upstreams;
  assert.ok(first !== undefined && second !== undefined);
  first.pace = 0.7;
  second.pace = 2.1;
  const share = shareAfter(fleet, 20_000, 5_000);
  assert.ok(share > 0.3, `${share}`);
  assert.ok(fleet.shareOf(1, fleet.time.now() - 5_000) < 0.2);
});

void test.test('a new coordinator, which knows nothing, does not make entries forget', () => {
  const fleet = startFleet({ paces: [2.1, 0.7, 0.7] });
  fleet.replaceCoordinator();
  const share = shareAfter(fleet, 0, 8_000);
  assert.ok(share < 0.1, `${share}`);
});

// Guards against a restarted upstream being avoided because of its former VM, or receiving all calls at once.
void test.test('a new incarnation starts from the mean of the service', () => {
  const fleet = startFleet({ paces: [2.1, 0.7, 0.7] });
  assert.ok(shareAfter(fleet, 0, 2_000) < 0.1);
  fleet.restartUpstream(0, 0.7);
  const share = shareAfter(fleet, 3_000, 4_000);
  assert.ok(share > 0.2 && share < 0.5, `${share}`);
});

// Guards against messages that carry the time of one process into another.
void test.test('clocks that differ change nothing', () => {
  const fleet = startFleet({ paces: [2.1, 0.7, 0.7], clockOffsetOf: (entry) => entry * 1_000_000 });
  const share = shareAfter(fleet, 0, 5_000);
  assert.ok(share < 0.1, `${share}`);
});

void test.test('a clock that steps back or forward does not stop the choice by pace', () => {
  let step = 0;
  const fleet = startFleet({ paces: [2.1, 0.7, 0.7], clockOffsetOf: () => step });
  for (const offset of [-8_000, 100_000]) {
    step = offset;
    const share = shareAfter(fleet, 3_000, 3_000);
    assert.ok(share < 0.1, `${offset}: ${share}`);
  }
});

void test.test('the merged table of five upstreams takes less than 300 bytes', () => {
  const fleet = startFleet({ paces: [0.7, 0.7, 1.7, 1, 1], slowShare: 0.15, callsPerSecond: 250 });
  const bytes = fleet.largestAnswer;
  assert.ok(bytes > 0 && bytes < 300, `${bytes}`);
});
