/**
 * System tests of retries that an entry borrows through the coordinator.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as placementFeatures from '../placement/placementFeatures.js';
import * as crashTestHarness from '../quarantine/crashTestHarness.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';

const ENTRIES = 8;
const WINDOW: ports.Milliseconds = 10_000;

/** The budget that the harness configures for all entries together. */
const RATIO = 0.2;
const SLACK = 54;

/** Requests per second at the busy entry, all of which upstreams turn away, and at all others together. */
const BUSY_RATE = 20;
const OTHER_RATE = 4;

interface Retries {
  readonly entry: string;
  readonly at: ports.Milliseconds;
}

function retriesOf(harness: crashTestHarness.CrashTestHarness): readonly Retries[] {
  const seen = new Set<string>();
  return harness.upstreams.arrivals.filter(({ content }) => {
    const isRetry = seen.has(content);
    seen.add(content);
    return isRetry;
  });
}

function start(): crashTestHarness.CrashTestHarness {
  const harness = new crashTestHarness.CrashTestHarness(ENTRIES, { llm: 1, app: 3 }, () => 'served');
  harness.upstreams.headOf = (_upstream, entry) =>
    entry === 'e1' ? relayTestHarness.notRunHead : relayTestHarness.okHead;
  harness.time.advance(WINDOW);
  return harness;
}

/** Sends requests to the busy entry and to the others for a time. */
function load(harness: crashTestHarness.CrashTestHarness, length: ports.Milliseconds): void {
  const others = harness.entryNames.filter((name) => name !== 'e1');
  const from = harness.time.now();
  for (let at = 0; at < length; at += 1_000 / BUSY_RATE) {
    harness.time.after(at, () => {
      harness.sendRequest('e1', 'app', `busy ${from + at}`);
    });
  }
  for (let at = 0; at < length; at += 1_000 / OTHER_RATE) {
    harness.time.after(at, () => {
      harness.sendRequest(others[Math.floor(at) % others.length] ?? '', 'app', `other ${from + at}`);
    });
  }
  harness.time.advance(length);
}

function assertBudget(harness: crashTestHarness.CrashTestHarness): void {
  const retries = retriesOf(harness);
  const allowed = (RATIO * (BUSY_RATE + OTHER_RATE) * WINDOW) / 1_000 + SLACK;
  for (const { at } of retries) {
    const count = retries.filter((other) => other.at >= at && other.at < at + WINDOW).length;
    assert.ok(count <= allowed, `${count} of ${allowed} retries in a window`);
  }
}

void test.test('the only entry that needs retries borrows what the others do not keep', () => {
  const harness = start();
  load(harness, 30_000);
  const from = harness.time.now() - WINDOW;
  const count = retriesOf(harness).filter(({ at }) => at >= from).length;
  const unassisted = 0.7 * ((RATIO * BUSY_RATE * WINDOW) / 1_000 + SLACK / ENTRIES);
  assert.ok(count >= unassisted + SLACK / 6, `${count} retries, ${Math.round(unassisted)} without leases`);
  assertBudget(harness);
});

for (const process of ['entries', 'control replicas'] as const) {
  void test.test(`with the feature switched off at ${process}, every entry uses its fixed share`, () => {
    const harness = start();
    harness.control.isEnabled = placementFeatures.withDisabled(['sharedLimits']).unwrap();
    for (const name of process === 'entries' ? harness.entryNames : crashTestHarness.REPLICAS) {
      if (process === 'entries') {
        harness.startEntry(name);
      } else {
        harness.control.kill(name);
        harness.control.start(name);
        harness.time.advance(3_000);
      }
    }
    load(harness, 30_000);
    const from = harness.time.now() - WINDOW;
    const count = retriesOf(harness).filter(({ at }) => at >= from).length;
    // One more than the share, because it is rounded at random.
    const share = Math.ceil(0.7 * ((RATIO * BUSY_RATE * WINDOW) / 1_000 + SLACK / ENTRIES));
    assert.ok(count <= share && count >= share - 4, `${count} retries, ${share} without leases`);
  });
}

// The new leader does not know what the former one has lent and what entries have spent.
void test.test('the budget holds when the coordinator crashes, restarts and is cut off', () => {
  const harness = start();
  load(harness, 20_000);
  const first = harness.control.leader();
  harness.control.kill(first);
  load(harness, 15_000);
  harness.control.start(first);
  const second = harness.control.leader();
  for (const replica of crashTestHarness.REPLICAS.filter((name) => name !== second)) {
    harness.control.partition(second, replica);
  }
  load(harness, 15_000);
  harness.control.heal();
  load(harness, 15_000);
  assertBudget(harness);
});
