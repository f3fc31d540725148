/**
 * Large configurations reach entries in time over narrow links that streams use in full.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as controlTestHarness from './controlTestHarness.js';
import * as sharedLink from './sharedLink.js';
import * as testConfigurations from './testConfigurations.js';

const SEEDS = ['a/c1', 'b/c2', 'c/c3'];

/** Numbers of streams that use as much of the link as they get. */
const COMPETING_STREAMS: readonly number[] = [0, 10];

/** Maximum time from the acknowledgement of a version until an entry stops acting on an older one. */
const IN_FORCE_WITHIN: ports.Milliseconds = 2_000;

/** A cluster with an entry behind a narrow link, and the times of what both do. */
class DeliveryTest {
  readonly harness: controlTestHarness.ControlTestHarness;
  private readonly acknowledgedAt = new Map<number, ports.Milliseconds>();
  private readonly entry: ReturnType<controlTestHarness.ControlTestHarness['watch']>;
  private readonly inForceAt: { readonly version: number; readonly at: ports.Milliseconds }[] = [];

  constructor(competingStreams: number, seeds = SEEDS, toleratedLosses = 1) {
    this.harness = new controlTestHarness.ControlTestHarness(seeds, toleratedLosses);
    const { harness } = this;
    harness.time.advance(6_000);
    harness.limitLink('e', sharedLink.NARROWEST_LINK, competingStreams);
    this.entry = harness.watch('e');
    harness.time.advance(2_000);
  }

  send(version: number, routeCount: number): void {
    const { harness } = this;
    const text = testConfigurations.largeConfigurationText(version, routeCount);
    harness.sendConfiguration(harness.leader(), text, () => {
      this.acknowledgedAt.set(version, harness.time.now());
    });
  }

  advance(duration: ports.Milliseconds): void {
    const { time } = this.harness;
    const end = time.now() + duration;
    while (time.now() < end) {
      time.advance(5);
      const version = this.entry.configurations.at(-1)?.version ?? 0;
      if (version !== (this.inForceAt.at(-1)?.version ?? 0)) {
        this.inForceAt.push({ version, at: time.now() });
      }
    }
  }

  /** Longest time from an acknowledgement until the version or a newer one is in force at the entry. */
  longestDelay(): ports.Milliseconds {
    const delays = [...this.acknowledgedAt].map(([version, acknowledgedAt]) => {
      const inForce = this.inForceAt.find((applied) => applied.version >= version);
      return (inForce?.at ?? Number.POSITIVE_INFINITY) - acknowledgedAt;
    });
    assert.ok(delays.length > 0);
    return Math.max(...delays);
  }

  assertInForceInTime(): void {
    const delay = this.longestDelay();
    assert.ok(delay <= IN_FORCE_WITHIN, `in force after ${delay} ms`);
  }
}

function testOverNarrowLink(name: string, run: (delivery: DeliveryTest) => void): void {
  void test.test(name, () => {
    for (const competingStreams of COMPETING_STREAMS) {
      const delivery = new DeliveryTest(competingStreams);
      run(delivery);
      delivery.assertInForceInTime();
    }
  });
}

// Whole copies of a configuration that had outgrown the link were fetched again and again, filled it, and none arrived.
testOverNarrowLink(
  'a configuration that grows under load is in force in time over a narrow link',
  (delivery) => {
    let version = 1;
    for (const routeCount of [1_400, 2_800, 4_200]) {
      delivery.send(version, routeCount);
      delivery.advance(500);
      delivery.send(version + 1, routeCount);
      delivery.advance(6_000);
      version += 2;
    }
  },
);

// Each change started another fetch of the whole configuration while the previous one was on its way.
testOverNarrowLink(
  'changes in quick succession to a large configuration are in force in time',
  (delivery) => {
    delivery.send(1, 1_400);
    delivery.advance(8_000);
    for (let version = 2; version <= 16; version += 1) {
      delivery.send(version, 1_400);
      delivery.advance(300);
    }
    delivery.advance(8_000);
  },
);

// What had arrived from a replica was discarded when the replica crashed, and the fetch began anew.
testOverNarrowLink(
  'a large configuration is in force in time if the replica that sends it crashes',
  (delivery) => {
    const { harness } = delivery;
    delivery.send(1, 1_400);
    delivery.advance(250);
    harness.kill(harness.lastConfigurationFrom);
    delivery.advance(8_000);
  },
);

// The two replicas that announce a configuration at once may be the ones that are lost; the others announce it later.
void test.test(
  'a configuration is in force in time whichever two replicas crash with its acknowledgement',
  () => {
    const seeds = ['a/c1', 'b/c2', 'c/c3', 'a/c4', 'b/c5'];
    for (const [index, first] of seeds.entries()) {
      for (const second of seeds.slice(index + 1)) {
        const delivery = new DeliveryTest(10, seeds, 2);
        const { harness } = delivery;
        delivery.send(1, 200);
        delivery.advance(10);
        harness.kill(first);
        harness.kill(second);
        delivery.advance(6_000);
        delivery.assertInForceInTime();
      }
    }
  },
);

// Pieces that took longer than their timeout were requested again and again, and none arrived.
void test.test('a large configuration arrives over a link that carries a few kilobytes per second', () => {
  const delivery = new DeliveryTest(200);
  delivery.send(1, 1_400);
  delivery.advance(60_000);
  assert.ok(delivery.longestDelay() <= 60_000, `in force after ${delivery.longestDelay()} ms`);
});
