/**
 * System test of paces: entries learn from each other through the coordinator that a plain upstream is slow.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as placementFeatures from '../placement/placementFeatures.js';
import * as crashTestHarness from '../quarantine/crashTestHarness.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';

const SLOW_UPSTREAM = 'app-1';

/** Sends 50 calls a second to all entries in round robin order, for some seconds. */
function sendCalls(harness: crashTestHarness.CrashTestHarness, seconds: number): void {
  for (let count = 0; count < seconds * 50; count += 1) {
    const entry = harness.entryNames[count % harness.entryNames.length] ?? '';
    harness.sendRequest(entry, 'app', `c${count}`);
    harness.time.advance(20);
  }
}

function shareSince(harness: crashTestHarness.CrashTestHarness, since: number): number {
  const arrivals = harness.upstreams.arrivals.filter(({ at }) => at >= since);
  const slow = arrivals.filter(({ upstream }) => upstream === SLOW_UPSTREAM);
  return slow.length / arrivals.length;
}

const load = { running: 1, waiting: 0, slots: 6, slowdown: 1 };

function slowDown(harness: crashTestHarness.CrashTestHarness): void {
  harness.upstreams.headOf = (upstream) => {
    const slowdown = upstream === SLOW_UPSTREAM ? 2.5 : 1;
    return { ...relayTestHarness.okHead, load: { ...load, slowdown } };
  };
}

// Guards against each of many entries finding out for itself that an upstream is slow, with calls that are late.
void test.test('an upstream that is slow is avoided by entries that have not called it', () => {
  const harness = new crashTestHarness.CrashTestHarness(50, { llm: 1, app: 3 }, () => 'served');
  harness.upstreams.headOf = () => ({ ...relayTestHarness.okHead, load });
  sendCalls(harness, 4);
  assert.ok(shareSince(harness, harness.time.now() - 2_000) > 0.2);
  slowDown(harness);
  const since = harness.time.now() + 1_000;
  sendCalls(harness, 6);
  const share = shareSince(harness, since);
  assert.ok(share > 0 && share < 0.12, `${share}`);
  assert.ok(harness.attempts.every(({ outcome }) => outcome === 'served' || outcome === undefined));
});

// Guards against a feature that cannot be switched off when it does harm.
void test.test('entries with the feature switched off choose as without paces', () => {
  const harness = new crashTestHarness.CrashTestHarness(20, { llm: 1, app: 3 }, () => 'served');
  const features = placementFeatures.withDisabled(['upstreamPace']);
  assert.ok(features.ok);
  harness.control.entryFeatures = features.val;
  for (const entry of harness.entryNames) {
    harness.startEntry(entry);
  }
  harness.time.advance(3_000);
  slowDown(harness);
  const since = harness.time.now();
  sendCalls(harness, 6);
  const share = shareSince(harness, since);
  assert.ok(share > 0.25, `${share}`);
});
