/** Upstreams that crash when they have to reject more than a few requests in a second, in a complete system. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as crashTestHarness from '../quarantine/crashTestHarness.js';
import * as relayTestHarness from '../relay/relayTestHarness.js';

const SLOTS = 6;
const UPSTREAMS = 5;

/** Time of a run at an upstream, with its transit, in milliseconds. */
const RUN_TIME = 26;

/** Requests per second that all upstreams together can run. */
const CAPACITY = (UPSTREAMS * SLOTS * 1_000) / RUN_TIME;

/** Crashes that are allowed while a service is fragile: two, and a tenth of its upstreams. */
const ALLOWED_CRASHES = 2 + UPSTREAMS / 10;

/** Time from the first answer that states it to the first rejection that counts. */
const NOTICE = 3_000;

interface FragileSystem {
  readonly system: crashTestHarness.CrashTestHarness;
  /** Sends calls to random entries, at a share of the capacity. */
  readonly load: (share: number, length: number) => void;
}

/** Starts a system, and makes its plain upstreams fragile after they have stated it for a while. */
function createFragileSystem(entries: number, maximumRejections: number, seed = 3): FragileSystem {
  const system = new crashTestHarness.CrashTestHarness(
    entries,
    { llm: 1, app: UPSTREAMS },
    () => 'served',
    seed,
    ['a', 'b', 'c'],
  );
  const random = seededRandom.create(seed + 100);
  let count = 0;
  const load = (share: number, length: number): void => {
    const { entryNames } = system;
    const gap = 1_000 / (CAPACITY * share);
    for (let at = 0; at < length; at += gap) {
      const entry = entryNames[Math.floor(random.next() * entryNames.length)] ?? '';
      const route = random.next() < 0.7 ? 'orders' : 'app';
      count += 1;
      const content = `call ${count}`;
      system.time.after(at, () => {
        system.sendRequest(entry, route, content);
      });
    }
    system.time.advance(length);
  };
  system.upstreams.fragility = { maximumRejections, slots: 1_000 };
  load(0.2, NOTICE);
  system.upstreams.fragility = { maximumRejections, slots: SLOTS };
  return { system, load };
}

/** Calls that upstreams ran since a time, as a share of what they can run. */
function utilization(system: crashTestHarness.CrashTestHarness, from: number): number {
  const answered = system.upstreams.answers.filter(({ at, head }) => at >= from && !head.notRun);
  return answered.length / ((CAPACITY * (system.time.now() - from)) / 1_000);
}

// Guards against entries that do not know of each other's calls and send more than fragile upstreams have room for.
void test.test('fragile upstreams crash at most as often as is allowed, and do not stand idle', () => {
  for (const entries of [7, 75]) {
    for (const maximumRejections of [1, 2]) {
      const { system, load } = createFragileSystem(entries, maximumRejections);
      const label = `${entries} entries, ${maximumRejections} rejections a second`;
      const calmFrom = system.time.now();
      load(0.5, 4_000);
      const calm = system.attempts.filter(({ startedAt }) => startedAt >= calmFrom);
      const served = calm.filter(({ outcome }) => outcome === 'served').length;
      assert.ok(served >= 0.95 * calm.length, `${label}: ${served} of ${calm.length} at half of the load`);
      const from = system.time.now();
      load(2, 6_000);
      assert.ok(
        system.upstreams.crashes.length <= ALLOWED_CRASHES,
        `${label}: ${system.upstreams.crashes.length} crashes`,
      );
      const used = utilization(system, from);
      assert.ok(used >= 0.7, `${label}: ${used.toFixed(2)} of the capacity used at twice the load`);
      system.time.advance(2_000);
      assert.ok(system.attempts.every(({ outcome }) => outcome !== undefined));
    }
  }
});

// Guards against two coordinators, or one that does not know what its predecessor granted, overloading upstreams.
void test.test(
  'fragile upstreams do not crash more often while entries, links and the coordinator fail',
  () => {
    for (const [entries, seed] of [
      [7, 1],
      [7, 2],
      [75, 3],
    ] as const) {
      const { system, load } = createFragileSystem(entries, 2, seed);
      load(1.5, 1_500);
      for (const entry of ['e1', 'e2', 'e3']) {
        system.upstreams.cutOff(entry, 'reset');
      }
      load(1.5, 2_000);
      system.control.kill(system.control.leader());
      load(1.5, 2_500);
      system.killEntry('e4');
      system.startEntry('e1');
      load(1.5, 1_500);
      for (const entry of ['e1', 'e2', 'e3']) {
        system.upstreams.healCut(entry);
      }
      load(1.5, 2_000);
      const label = `${entries} entries, seed ${seed}`;
      assert.ok(
        system.upstreams.crashes.length <= ALLOWED_CRASHES,
        `${label}: ${system.upstreams.crashes.length} crashes`,
      );
      const from = system.time.now();
      load(2, 3_000);
      assert.ok(utilization(system, from) >= 0.7, `${label}: ${utilization(system, from).toFixed(2)} used`);
    }
  },
);

// Guards against a service that is held to the coordinator's slots after its upstreams are no longer fragile.
void test.test('calls are sent freely again once upstreams no longer state that they are fragile', () => {
  const { system, load } = createFragileSystem(7, 2);
  load(0.5, 2_000);
  system.upstreams.fragility = undefined;
  system.upstreams.headOf = () => ({
    ...relayTestHarness.okHead,
    signals: { leaving: false, unreadable: [] },
  });
  load(0.5, 4_000);
  for (const replica of crashTestHarness.REPLICAS) {
    system.control.kill(replica);
  }
  const from = system.time.now();
  load(0.5, 3_000);
  system.time.advance(2_000);
  const attempts = system.attempts.filter(({ startedAt }) => startedAt >= from);
  const served = attempts.filter(({ outcome }) => outcome === 'served').length;
  assert.ok(served >= 0.95 * attempts.length, `${served} of ${attempts.length}`);
});
