/**
 * Weights from stated capacity, utilization, age and time since the start, including implausible figures.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as entryDirectory from '../trafficControl/entryDirectory.js';
import type * as methods from '../trafficControl/methods.js';
import * as entryCapacity from './entryCapacity.js';
import * as entryUtilization from './entryUtilization.js';
import * as entryWeights from './entryWeights.js';

const WEAK = [0.243, 186, 2_212, 5.25];
const STRONG = [0.81, 310, 10_250, 17.5];
const IDLE = [5, 5, 5, 50];
const SATURATED = [98, 5, 5, 50];

function statusOf(name: string, fields: Partial<methods.EntryStatus> = {}): methods.EntryStatus {
  const addresses = { callerAddress: `${name}:1`, peerAddress: `${name}:2` };
  return { name, dataCentre: 'a', ...addresses, state: 'ready', trafficVersion: 1, ...fields };
}

void test.test('the strength is the processor or link capacity relative to the median entry', () => {
  const strengths = entryCapacity.strengths(
    new Map([
      ['w1', WEAK],
      ['w2', WEAK],
      ['w3', WEAK],
      ['strong', STRONG],
      ['slowLink', [0.81, 310, 10_250, 5.25]],
      ['old', undefined],
      ['implausible', [-1, null, null, Number.NaN]],
    ]),
  );
  assert.ok(Math.abs((strengths.get('strong') ?? 0) - 3.333) < 0.01);
  const extremes = entryCapacity.strengths(
    new Map([
      ['w1', WEAK],
      ['w2', WEAK],
      ['w3', WEAK],
      ['huge', [1e6, 1, 1, 1e9]],
      ['tiny', [1e-6, 1, 1, 1e-6]],
    ]),
  );
  assert.deepEqual([extremes.get('huge'), extremes.get('tiny')], [10, 0.1]);
  for (const name of ['w1', 'slowLink', 'old', 'implausible']) {
    assert.equal(strengths.get(name), 1, name);
  }
});

// Otherwise the addresses of a deployment with equal entries would change for no benefit.
void test.test('equal entries with low utilization are drawn exactly as without weights', () => {
  const draws = (usesWeights: boolean, statesFigures: boolean): readonly string[] => {
    const directory = new entryDirectory.EntryDirectory(seededRandom.create(11), { usesWeights });
    for (let index = 0; index < 70; index += 1) {
      const figures = statesFigures ? { capacity: WEAK, utilization: [20 + (index % 40), 9, 2, 61] } : {};
      const starting = statesFigures && index < 5 ? { readyFor: 100 } : {};
      const dataCentre = index < 50 ? 'a' : 'b';
      directory.recordStatus(statusOf(`e${index}`, { ...figures, ...starting, dataCentre }), 0);
    }
    const draw = (): readonly string[] => directory.choose('a', 30, 100).map(({ name }) => name);
    return [...draw(), ...draw(), ...draw()];
  };
  const expected = draws(false, false);
  assert.deepEqual(draws(true, true), expected);
  assert.deepEqual(draws(true, false), expected);
  assert.deepEqual(draws(false, true), expected);
});

void test.test(
  'the weight of an entry under pressure falls by a bounded factor, never to zero, and recovers',
  () => {
    const weights = new entryWeights.EntryWeights();
    let previous = 1;
    let now = 0;
    const record = (utilization: readonly number[]): number => {
      for (let index = 0; index < 10; index += 1) {
        weights.record({ name: `e${index}`, capacity: WEAK, utilization: IDLE }, now);
      }
      weights.record({ name: 'slow', capacity: WEAK, utilization }, now);
      return weights.weightOf('slow', now);
    };
    record(IDLE);
    for (let status = 0; status < 30; status += 1) {
      now += 600;
      const weight = record(SATURATED);
      assert.ok(weight >= previous / 1.51 && weight <= previous, `from ${previous} to ${weight}`);
      previous = weight;
    }
    assert.equal(previous, 0.1);
    // Status messages in quick succession must not speed up the change.
    now += 600;
    const before = record(IDLE);
    for (let status = 0; status < 10; status += 1) {
      now += 10;
      record(IDLE);
    }
    assert.ok(weights.weightOf('slow', now) < before * 1.1);
    now += 600 * 20;
    for (let status = 0; status < 20; status += 1) {
      now += 600;
      record(IDLE);
    }
    assert.equal(weights.weightOf('slow', now), 1);
  },
);

void test.test('a starting entry has a tenth of its weight, and all of it after 3 s', () => {
  const weights = new entryWeights.EntryWeights();
  weights.record({ name: 'new', capacity: WEAK, utilization: IDLE, readyFor: 0 }, 1_000);
  assert.ok(Math.abs(weights.weightOf('new', 1_000) - 0.1) < 1e-9);
  weights.record({ name: 'new', capacity: WEAK, utilization: IDLE, readyFor: 1_500 }, 2_500);
  assert.ok(Math.abs(weights.weightOf('new', 2_500) - 0.55) < 1e-9);
  assert.equal(weights.weightOf('new', 3_400), 0.1 + 0.9 * 0.8);
  weights.record({ name: 'new', capacity: WEAK, utilization: IDLE }, 4_000);
  assert.equal(weights.weightOf('new', 4_000), 1);
});

/** Weights of five entries after the entry `slow` has been saturated for 30 s. */
function withSlowEntry(): entryWeights.EntryWeights {
  const weights = new entryWeights.EntryWeights();
  for (let now = 0; now <= 30_000; now += 600) {
    for (const name of ['a', 'b', 'c', 'd']) {
      weights.record({ name, utilization: IDLE }, now);
    }
    weights.record({ name: 'slow', utilization: SATURATED }, now);
  }
  assert.equal(weights.weightOf('slow', 30_000), 0.1);
  return weights;
}

// A product of a hundredth would leave a starting entry without callers for seconds.
void test.test('no reduction together with another takes the weight below a tenth', () => {
  const weights = new entryWeights.EntryWeights();
  for (let now = 0; now <= 2_400; now += 600) {
    weights.record({ name: 'a', utilization: IDLE }, now);
    weights.record({ name: 'new', utilization: SATURATED, readyFor: now / 10 }, now);
    assert.ok(weights.weightOf('new', now) >= 0.1, `${weights.weightOf('new', now)}`);
  }
});

void test.test(
  'a restarted process does not inherit the factor, and one that was away keeps it for 30 s',
  () => {
    const restarted = withSlowEntry();
    restarted.record({ name: 'slow', utilization: IDLE, readyFor: 0 }, 30_600);
    assert.ok(restarted.weightOf('slow', 31_600) > 0.39);
    restarted.record({ name: 'slow', utilization: IDLE, readyFor: 2_999 }, 33_599);
    assert.ok(restarted.weightOf('slow', 33_600) > 0.99);
    restarted.record({ name: 'slow', utilization: SATURATED, readyFor: 10 }, 33_700);
    assert.ok(restarted.weightOf('slow', 34_700) > 0.3);

    for (const [away, readyFor, expected] of [
      [25_000, undefined, 0.1],
      [31_000, undefined, 1],
      [25_000, 2_999, 1],
    ] as const) {
      const weights = withSlowEntry();
      weights.remove('slow', 32_000);
      weights.record({ name: 'slow', utilization: IDLE, readyFor }, 32_000 + away);
      const weight = weights.weightOf('slow', 32_000 + away);
      assert.ok(Math.abs(weight - expected) < 0.01, `${weight} after ${away} ms`);
    }
  },
);

void test.test('the utilization of an entry that is not ready does not count', () => {
  const weights = new entryWeights.EntryWeights();
  for (let now = 0; now <= 6_000; now += 600) {
    weights.record({ name: 'a', utilization: IDLE }, now);
    weights.record({ name: 'new', utilization: SATURATED, state: 'starting' }, now);
  }
  assert.equal(weights.weightOf('new', 6_000), 1);
  assert.ok(weights.meanPressure(['a', 'new']) < 0.6);
});

void test.test('an entry loses weight with the age of its status, which a new status restores', () => {
  const weights = new entryWeights.EntryWeights();
  weights.record({ name: 'e', capacity: WEAK, utilization: IDLE }, 0);
  assert.deepEqual(
    [900, 1_500, 2_000].map((age) => weights.weightOf('e', age)),
    [1, 0.5, 0.25],
  );
  weights.record({ name: 'e', capacity: WEAK, utilization: IDLE }, 2_000);
  assert.equal(weights.weightOf('e', 2_000), 1);
});

void test.test('implausible figures do not disturb the weights', () => {
  const weights = new entryWeights.EntryWeights();
  for (const utilization of [[Number.NaN, -5, null, 1e9], [], ['x' as unknown as number], [1e9, 0, 0, 0]]) {
    weights.record({ name: 'odd', capacity: [], utilization, readyFor: -7 }, 0);
    const weight = weights.weightOf('odd', 100);
    assert.ok(weight > 0 && weight <= 1, `${weight}`);
  }
  assert.equal(entryUtilization.pressure([-5, Number.NaN, null, 61]), 0);
  assert.equal(entryUtilization.pressure([1e9]), 2);
});

void test.test('a lasting reduction and its end are reported once each', () => {
  const reports: (readonly string[])[] = [];
  const weights = new entryWeights.EntryWeights();
  for (let status = 0; status < 100; status += 1) {
    const utilization = status < 40 ? SATURATED : IDLE;
    for (const name of ['a', 'b', 'c', 'd', 'e']) {
      weights.record({ name, utilization: name === 'a' ? utilization : IDLE }, status * 600);
    }
    const report = weights.takeReport(status * 600);
    if (report !== undefined) {
      reports.push(report);
    }
  }
  assert.deepEqual(reports, [['a'], []]);
});

void test.test('draining, starting and silent entries are not drawn, whatever the weights', () => {
  const directory = new entryDirectory.EntryDirectory(seededRandom.create(3));
  directory.recordStatus(statusOf('draining', { state: 'draining', capacity: STRONG }), 2_500);
  directory.recordStatus(statusOf('starting', { state: 'starting', capacity: STRONG }), 2_500);
  directory.recordStatus(statusOf('silent', { capacity: STRONG }), 0);
  directory.recordStatus(statusOf('weak', { capacity: WEAK, utilization: SATURATED }), 2_500);
  directory.recordStatus(statusOf('strong', { capacity: STRONG, utilization: IDLE }), 2_500);
  const drawn = directory.choose('a', 64, 2_500).map(({ name }) => name);
  assert.deepEqual([...drawn].sort(), ['strong', 'weak']);
});

// Its pressure already sends callers elsewhere; with the reduced weights as capacity, 0.9 of them left.
void test.test('the pressure on a data centre is not counted a second time by its capacity', (context) => {
  const directory = new entryDirectory.EntryDirectory(seededRandom.create(4));
  let local = 0;
  let total = 0;
  for (let now = 0; now <= 30_000; now += 600) {
    for (let index = 0; index < 50; index += 1) {
      const dataCentre = index < 10 ? 'a' : 'b';
      const utilization = dataCentre === 'a' ? SATURATED : IDLE;
      directory.recordStatus(statusOf(`e${index}`, { capacity: WEAK, utilization, dataCentre }), now);
    }
    for (let lookup = 0; lookup < 100; lookup += 1) {
      const chosen = directory.choose(lookup < 20 ? 'a' : 'b', 64, now);
      if (lookup < 20 && now > 15_000) {
        local += chosen.filter(({ dataCentre }) => dataCentre === 'a').length;
        total += chosen.length;
      }
    }
  }
  context.diagnostic(`${(local / total).toFixed(2)} of the addresses are local`);
  assert.ok(local / total > 0.35, `only ${local / total} of the addresses are local`);
});

// The status goes to every replica about twice a second.
void test.test('the figures in a status message take less than 100 bytes', (context) => {
  const capacity = entryCapacity.encode({
    ...{ cores: 0.2431, memoryMegabytes: 186, descriptors: 10_250, linkMegabitsPerSecond: 17.53 },
  });
  const utilization = entryUtilization.encode({
    eventLoop: 0.991,
    link: 1.234,
    descriptors: 0.456,
    memory: 0.987,
  });
  const plain = JSON.stringify(statusOf('edge-a-1'));
  const steady = JSON.stringify(statusOf('edge-a-1', { ...(capacity && { capacity }), utilization }));
  const starting = JSON.stringify(
    statusOf('edge-a-1', { ...(capacity && { capacity }), utilization, readyFor: 2_999 }),
  );
  const bytes = [steady.length - plain.length, starting.length - plain.length];
  context.diagnostic(`${bytes.join(' bytes, while starting ')} bytes`);
  assert.ok(Math.max(...bytes) < 100, bytes.join(' '));
});
