/**
 * Distribution of load over 66 entries, of which 16 have 3.3 times the capacity of the others, on virtual time.
 * Utilization is a mean over several seconds, because the number of connections at an entry varies by chance.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fleetTestHarness from './fleetTestHarness.js';

const SEEDS = [1, 2, 3];
const SETTLING_TIME = 10_000;

/** Highest utilization over the mean, under steady demand for half a minute. */
function steadyRatio(options: fleetTestHarness.FleetOptions): number {
  const fleet = new fleetTestHarness.Fleet(options);
  fleet.time.advance(SETTLING_TIME);
  fleet.reset();
  fleet.time.advance(30_000);
  assert.ok(fleet.remoteShare() < 0.18, `${fleet.remoteShare()} of the connections cross data centres`);
  return fleet.highestRatio();
}

// Drawn uniformly, the weak entries are at 1.8 times the mean while the strong ones are idle.
void test.test('under steady demand, no entry is used much above the mean', (context) => {
  for (const seed of SEEDS) {
    const ratio = steadyRatio({ seed });
    const uniform = steadyRatio({ seed, usesWeights: false });
    context.diagnostic(
      `seed ${seed}: ${ratio.toFixed(2)} of the mean, ${uniform.toFixed(2)} drawn uniformly`,
    );
    assert.ok(ratio <= 1.25, `seed ${seed}: ${ratio} of the mean`);
    assert.ok(uniform > 1.5, `seed ${seed}: uniformly only ${uniform}`);
  }
});

// Without remote addresses by capacity, all moved callers stay at the entries of one data centre.
void test.test(
  'while most callers of a data centre connect from another, no entry is used far above the mean',
  (context) => {
    for (const seed of SEEDS) {
      const fleet = new fleetTestHarness.Fleet({ seed });
      fleet.time.advance(SETTLING_TIME);
      fleet.shift(0.8);
      fleet.reset();
      fleet.time.advance(10_000);
      const ratio = fleet.highestRatio();
      const remoteShare = fleet.remoteShare();
      fleet.shift(0);
      fleet.reset();
      fleet.time.advance(10_000);
      const after = fleet.highestRatio();
      const remote = `${remoteShare.toFixed(2)} of the connections remote`;
      context.diagnostic(
        `seed ${seed}: ${ratio.toFixed(2)}, then ${after.toFixed(2)} of the mean; ${remote}`,
      );
      assert.ok(ratio <= 1.5, `seed ${seed}: ${ratio} of the mean during the shift`);
      assert.ok(after <= 1.5, `seed ${seed}: ${after} of the mean after the shift`);
    }
  },
);

// Without a reduction of their weights, slow entries stay saturated; one that is too fast overloads the others instead.
void test.test('a tenth of the entries five times slower do not overload the others', (context) => {
  for (const seed of SEEDS) {
    const fleet = new fleetTestHarness.Fleet({ seed });
    fleet.time.advance(SETTLING_TIME);
    const slow = fleet.entries.filter((_entry, index) => index % 10 === 3);
    const others = fleet.entries.filter((entry) => !slow.includes(entry));
    for (const entry of slow) {
      entry.speed = 0.2;
    }
    const mean = (entries: readonly fleetTestHarness.SimulatedEntry[]): number =>
      entries.reduce((sum, entry) => sum + fleet.utilizationOf(entry), 0) / entries.length;
    fleet.reset();
    fleet.time.advance(5_000);
    const slowAtFirst = mean(slow);
    fleet.reset();
    fleet.time.advance(25_000);
    const reported = fleet.weightReports.flat();
    assert.ok(
      slow.every(({ name }) => reported.includes(name)),
      'a slow entry was not reported',
    );
    const highest = Math.max(...others.map((entry) => fleet.utilizationOf(entry)));
    const slowLater = mean(slow);
    for (const entry of slow) {
      entry.speed = 1;
    }
    fleet.time.advance(15_000);
    fleet.reset();
    fleet.time.advance(10_000);
    const recovered = mean(slow);
    const figures = [slowAtFirst, slowLater, recovered].map((value) => value.toFixed(2)).join(', ');
    context.diagnostic(`seed ${seed}: others at most ${highest.toFixed(2)}, slow ones ${figures}`);
    assert.ok(highest < 0.85, `seed ${seed}: another entry is at ${highest}`);
    assert.ok(slowLater < 1, `seed ${seed}: slow entries are at ${slowLater}`);
    assert.ok(recovered > 0.4, `seed ${seed}: recovered entries are at ${recovered}`);
    // One line in 5 s for each of six replicas.
    assert.ok(fleet.weightReports.length <= 6 * 14, `${fleet.weightReports.length} reports`);
    const opened = slow.map((entry) => entry.opened);
    assert.ok(Math.min(...opened) > 0, 'an entry got no callers at all');
  }
});

// Reductions that follow chance fluctuations would make the load of equal entries less even than without weights.
void test.test('equal entries at a high mean utilization stay as even as they are by chance', (context) => {
  const weighted = steadyRatio({ seed: 4, isUniform: true, meanUtilization: 0.75 });
  const uniform = steadyRatio({ seed: 4, isUniform: true, meanUtilization: 0.75, usesWeights: false });
  context.diagnostic(`${weighted.toFixed(2)} by weight, ${uniform.toFixed(2)} uniformly`);
  assert.ok(weighted <= Math.max(1.25, uniform * 1.1), `${weighted} by weight, ${uniform} uniformly`);
});

// A machine that is ready but gets no callers for seconds counts as failed.
void test.test(
  'an entry that has just started soon gets callers, and its full share after 3 s',
  (context) => {
    const fleet = new fleetTestHarness.Fleet({ seed: 5 });
    const started = fleet.entries.slice(0, 3);
    for (const entry of started) {
      entry.state = 'starting';
      fleet.announce(entry);
    }
    fleet.time.advance(SETTLING_TIME);
    fleet.reset();
    for (const entry of started) {
      entry.state = 'ready';
      fleet.restart(entry);
    }
    const perSecond: number[] = [];
    for (let second = 0; second < 8; second += 1) {
      const previous = started.reduce((sum, entry) => sum + entry.opened, 0);
      fleet.time.advance(1_000);
      perSecond.push(started.reduce((sum, entry) => sum + entry.opened, 0) - previous);
    }
    context.diagnostic(`connections of three entries in each second: ${perSecond.join(' ')}`);
    assert.ok((perSecond[0] ?? 0) + (perSecond[1] ?? 0) > 0, perSecond.join(' '));
    const full = started.map((entry) => entry.opened);
    assert.ok(Math.min(...full) > 20, full.join(' '));
    assert.ok((perSecond[0] ?? 0) < (perSecond[6] ?? 0), 'the weight does not rise');
  },
);

void test.test('after a restart of all entries, callers are distributed as before', (context) => {
  const fleet = new fleetTestHarness.Fleet({ seed: 6 });
  fleet.time.advance(SETTLING_TIME);
  for (const entry of fleet.entries) {
    entry.state = 'starting';
    fleet.announce(entry);
  }
  assert.deepEqual(fleet.lookUp('a'), []);
  fleet.time.advance(1_000);
  for (const entry of fleet.entries) {
    entry.state = 'ready';
    fleet.restart(entry);
  }
  assert.ok(fleet.lookUp('a').length >= 8);
  fleet.reset();
  fleet.emptyLookups = 0;
  fleet.time.advance(10_000);
  const ratio = fleet.highestRatio();
  context.diagnostic(`${ratio.toFixed(2)} of the mean in the first 10 s`);
  assert.equal(fleet.emptyLookups, 0);
  assert.ok(ratio <= 1.5, `${ratio} of the mean`);
});

void test.test('an entry without a new status gets fewer callers, and none after its lease', () => {
  const fleet = new fleetTestHarness.Fleet({ seed: 7 });
  fleet.time.advance(SETTLING_TIME);
  const silent = fleet.entries[60];
  assert.ok(silent !== undefined);
  const countListed = (): number => {
    let count = 0;
    for (let lookup = 0; lookup < 200; lookup += 1) {
      count += fleet.lookUp(silent.dataCentre).includes(silent.name) ? 1 : 0;
    }
    return count;
  };
  const fresh = countListed();
  silent.sendsStatus = false;
  // The last status is up to 0.7 s older than that, which is still within the lease of 2 s.
  fleet.time.advance(1_290);
  const stale = countListed();
  fleet.time.advance(1_000);
  assert.ok(fresh > 100 && stale < 0.75 * fresh && stale > 0, `${fresh} listed while fresh, ${stale} stale`);
  assert.equal(countListed(), 0);
});

// During an upgrade, entries that state nothing must be neither overloaded nor left out.
void test.test(
  'weak entries of an older version that state nothing get the share of the others',
  (context) => {
    const fleet = new fleetTestHarness.Fleet({ seed: 8 });
    const older = fleet.entries.slice(0, 20);
    for (const entry of older) {
      entry.statesFigures = false;
      fleet.announce(entry);
    }
    fleet.time.advance(SETTLING_TIME);
    fleet.reset();
    fleet.time.advance(30_000);
    context.diagnostic(`${fleet.highestRatio().toFixed(2)} of the mean`);
    assert.ok(fleet.highestRatio() <= 1.25, `${fleet.highestRatio()} of the mean`);
  },
);
