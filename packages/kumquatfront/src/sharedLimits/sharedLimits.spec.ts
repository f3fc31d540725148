/**
 * A retry budget that 75 entries share through leases: its use under skewed demand, and its bound in each failure of
 * the messages, holders and entries.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as leaseMessages from './leaseMessages.js';
import * as leaseTestHarness from './leaseTestHarness.js';

const ENTRIES = 75;
const SLACK = 168;

/** Retries wanted per second: three times what the limit allows. */
const DEMAND = (3 * SLACK * 1_000) / leaseTestHarness.WINDOW;

/** A tenth of the entries has half of the demand. */
function isBusy(entry: number): boolean {
  return entry % 10 === 0;
}

/** A fleet under skewed demand for 30 s; without a name of a holder, none lends. */
function start(
  seed: number,
  usesLeases: (entry: number) => boolean = () => true,
  holder = 'h1',
): leaseTestHarness.LeaseTestHarness {
  const harness = new leaseTestHarness.LeaseTestHarness({ entries: ENTRIES, slack: SLACK, seed, usesLeases });
  if (holder !== '') {
    harness.startHolder(holder);
    harness.lending.add(holder);
  }
  harness.time.advance(15_000);
  harness.demand(DEMAND, 30_000, isBusy);
  return harness;
}

function assertBound(harness: leaseTestHarness.LeaseTestHarness): void {
  const largest = harness.largestWindow();
  assert.ok(largest <= SLACK, `${largest} of ${SLACK} in a window`);
}

void test.test('0.79 of the limit is used under skewed demand, against 0.54 without leases', () => {
  const used = [1, 2, 3].map((seed) => {
    const harness = start(seed);
    const from = harness.time.now();
    harness.demand(DEMAND, 60_000, isBusy);
    assertBound(harness);
    return harness.averageSince(from) / SLACK;
  });
  const mean = used.reduce((sum, value) => sum + value, 0) / used.length;
  assert.ok(mean >= 0.79, `${mean} of the limit`);
});

void test.test('without a holder as much is used as by entries without leases', () => {
  const [withLeases = 0, without = 0] = [true, false].map((usesLeases) => {
    const harness = start(1, () => usesLeases, '');
    const from = harness.time.now();
    harness.demand(DEMAND, 60_000, isBusy);
    assertBound(harness);
    return harness.averageSince(from);
  });
  assert.ok(withLeases >= 0.95 * without, `${withLeases} against ${without}`);
});

void test.test('an entry sends at most two requests a second', () => {
  const harness = start(1);
  harness.requests.length = 0;
  harness.demand(DEMAND, 10_000, isBusy);
  for (let entry = 0; entry < ENTRIES; entry += 1) {
    const count = harness.requests.filter((request) => request.entry === `e${entry}`).length;
    assert.ok(count <= 21, `e${entry} sent ${count} requests in ten seconds`);
  }
});

// A new holder does not know what the former one has lent.
void test.test('the limit holds when holders crash between grant and report', () => {
  const harness = start(1);
  for (const holder of ['h2', 'h3', 'h4']) {
    harness.lending.clear();
    harness.startHolder(holder);
    harness.lending.add(holder);
    harness.holderOf = () => holder;
    harness.demand(DEMAND, 13_000, isBusy);
  }
  assertBound(harness);
});

// A restarted entry does not know what its former process has spent, borrowed and offered.
void test.test('the limit holds while entries restart with leases and unreported use', () => {
  const harness = start(2);
  for (let round = 0; round < 8; round += 1) {
    for (let entry = 0; entry < ENTRIES; entry += 1 + (round % 3)) {
      harness.startEntry(entry);
    }
    harness.demand(DEMAND, 4_000 + 2_000 * round, isBusy);
  }
  assertBound(harness);
});

void test.test('the limit holds when all entries restart at once', () => {
  const harness = start(3);
  for (let entry = 0; entry < ENTRIES; entry += 1) {
    harness.startEntry(entry);
  }
  harness.demand(DEMAND, 40_000, isBusy);
  assertBound(harness);
});

// Both holders lend at once to different entries, and later to all of them.
void test.test('the limit holds with two holders after a partition that heals', () => {
  const harness = start(1);
  harness.startHolder('h2');
  harness.lending.add('h2');
  harness.holderOf = (entry) => (entry % 2 === 0 ? 'h1' : 'h2');
  harness.demand(DEMAND, 40_000, isBusy);
  harness.holderOf = () => 'h2';
  harness.demand(DEMAND, 20_000, isBusy);
  harness.lending.delete('h1');
  harness.demand(DEMAND, 20_000, isBusy);
  assertBound(harness);
});

void test.test('the limit holds while requests and answers are lost, late and reordered', () => {
  const harness = start(2);
  harness.transit = () => {
    const draw = harness.random.next();
    return draw < 0.2 ? undefined : draw * draw * 3_000;
  };
  harness.demand(DEMAND, 60_000, isBusy);
  assertBound(harness);
});

// A clock that goes back prolongs a lease, and one that goes forward ends an offer or a memory of leases too early.
void test.test('the limit holds when clocks of entries and of the holder step', () => {
  const harness = start(3);
  for (const step of [-5_000, 20_000, -900, 8_000]) {
    harness.stepClock('h1', step);
    harness.demand(DEMAND, 9_000, isBusy);
  }
  for (const step of [-700, -20_000]) {
    for (let entry = 0; entry < ENTRIES; entry += 3) {
      harness.stepClock(entry, step);
    }
    harness.demand(DEMAND, 9_000, isBusy);
  }
  assertBound(harness);
});

// The part that requests allow is rounded at random also by entries with offers, and its windows are not aligned.
void test.test('the budget with a ratio part holds under bursts of requests', () => {
  const ratio = 0.2;
  const harness = new leaseTestHarness.LeaseTestHarness({ entries: ENTRIES, slack: SLACK, ratio, seed: 5 });
  harness.startHolder('h1');
  harness.lending.add('h1');
  harness.time.advance(15_000);
  const from = harness.time.now();
  const rates = [91, 250, 40, 150, 91, 20, 91].map((perSecond) => {
    harness.demand(perSecond, 10_000, isBusy);
    return perSecond;
  });
  for (const { at } of harness.spent) {
    const { length } = harness.spent.filter(
      (other) => other.at >= at && other.at < at + leaseTestHarness.WINDOW,
    );
    const step = Math.floor((at - from) / leaseTestHarness.WINDOW);
    // Requests of the window, and of the one before, for which retries may come later.
    const requests = 10 * Math.max(...rates.slice(Math.max(0, step - 1), step + 2));
    assert.ok(length <= ratio * requests + SLACK, `${length} of ${ratio * requests + SLACK} in a window`);
  }
});

void test.test('the limit holds while older entries without leases run in the same fleet', () => {
  const harness = start(1, (entry) => entry % 3 !== 0);
  harness.demand(DEMAND, 60_000, isBusy);
  assertBound(harness);
});

// An entry whose share is below one, and that has drawn a high rounding offset, would never use its share again.
void test.test('shares below one are used on average', () => {
  const harness = new leaseTestHarness.LeaseTestHarness({ entries: 360, slack: SLACK });
  harness.time.advance(15_000);
  harness.demand(DEMAND, 60_000, isBusy);
  const from = harness.time.now();
  harness.demand(DEMAND, 60_000, isBusy);
  assertBound(harness);
  assert.ok(harness.averageSince(from) >= 0.3 * SLACK, `${harness.averageSince(from)} of ${SLACK}`);
});

void test.test('an offer lasts until what was lent of it counts no more', () => {
  const { LEASE_TTL, OFFER_LENDABLE } = leaseMessages;
  const window = leaseTestHarness.WINDOW;
  const counted = OFFER_LENDABLE + leaseMessages.withDrift(LEASE_TTL + window);
  assert.ok(leaseMessages.offerDuration(window) >= counted);
});
