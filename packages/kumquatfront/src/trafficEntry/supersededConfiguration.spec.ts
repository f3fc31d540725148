/**
 * An entry stops acting on its configuration when a newer one was acknowledged too long ago.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as controlTestHarness from '../trafficControl/controlTestHarness.js';
import * as sharedLink from '../trafficControl/sharedLink.js';
import * as testConfigurations from '../trafficControl/testConfigurations.js';

const SEEDS = ['a/c1', 'b/c2', 'c/c3'];

const COMPETING_STREAMS = 10;

/** Time from an acknowledgement within which no entry acts on an older configuration. */
const IN_FORCE_WITHIN: ports.Milliseconds = 2_000;

/** How an entry treated a request: by the routes of its configuration, or not at all. */
type Treatment = 'byConfiguration' | 'refused';

/** An entry with version 1 in force, behind a narrow link that streams use in full. */
class SupersededTest {
  readonly harness = new controlTestHarness.ControlTestHarness(SEEDS);
  readonly entry;
  acknowledgedAt = Number.POSITIVE_INFINITY;

  constructor() {
    const { harness } = this;
    harness.time.advance(3_000);
    assert.equal(harness.replace(harness.leader(), 1), true);
    harness.limitLink('e', sharedLink.NARROWEST_LINK, COMPETING_STREAMS);
    this.entry = harness.startEntry('e', controlTestHarness.NO_UPSTREAMS, { inForceWithin: IN_FORCE_WITHIN });
    harness.time.advance(4_000);
    assert.equal(this.treatNow(), 'byConfiguration');
  }

  /** Sends version 2. */
  sendLargeConfiguration(routeCount: number): void {
    const { harness } = this;
    const text = testConfigurations.largeConfigurationText(2, routeCount);
    harness.sendConfiguration(harness.leader(), text, () => {
      this.acknowledgedAt = harness.time.now();
    });
  }

  /** Sends a request that no route matches, which shows whether the routes are used. */
  private treatNow(): Treatment {
    let treatment: Treatment = 'refused';
    const request = {
      identity: 'r',
      host: 'h',
      path: '/',
      method: 'GET',
      headers: [],
      body: new Uint8Array(),
    };
    this.entry.handle(
      { ...request, arrivedAt: this.harness.time.now() },
      {
        refuse: ({ reason }) => {
          treatment = reason === 'noRoute' ? 'byConfiguration' : 'refused';
        },
        ...{ respond: () => undefined, begin: () => undefined, write: () => true },
        ...{ onDrain: () => undefined, takenBytes: () => 0 },
        ...{ end: () => undefined, abort: () => undefined, onDisconnect: () => undefined },
      },
    );
    return treatment;
  }

  private isVersionInForce(version: number): boolean {
    return this.entry.services.find('watch').versionInForce >= version;
  }

  /** Times, since the acknowledgement, of requests that were treated by version 1; and when version 2 was in force. */
  treatRequestsFor(duration: ports.Milliseconds): {
    readonly byOldVersion: readonly ports.Milliseconds[];
    readonly inForceAfter: ports.Milliseconds;
  } {
    const { harness } = this;
    const end = harness.time.now() + duration;
    const byOldVersion: ports.Milliseconds[] = [];
    let inForceAfter = Number.POSITIVE_INFINITY;
    while (harness.time.now() < end) {
      harness.time.advance(20);
      const elapsed = harness.time.now() - this.acknowledgedAt;
      if (this.isVersionInForce(2)) {
        inForceAfter = Math.min(inForceAfter, elapsed);
      } else if (this.treatNow() === 'byConfiguration') {
        byOldVersion.push(elapsed);
      }
    }
    assert.equal(this.treatNow(), this.isVersionInForce(2) ? 'byConfiguration' : 'refused');
    return { byOldVersion, inForceAfter };
  }
}

// A change that takes longer to arrive than is allowed must not be ignored meanwhile.
void test.test(
  'no request is treated by an old configuration later than allowed, although a replica crashes',
  () => {
    const superseded = new SupersededTest();
    superseded.sendLargeConfiguration(13_500);
    superseded.harness.time.advance(400);
    superseded.harness.kill(superseded.harness.lastConfigurationFrom);
    const { byOldVersion, inForceAfter } = superseded.treatRequestsFor(20_000);
    assert.ok(inForceAfter > IN_FORCE_WITHIN && inForceAfter < 20_000, `in force after ${inForceAfter} ms`);
    assert.ok(Math.max(...byOldVersion) <= IN_FORCE_WITHIN, `used for ${Math.max(...byOldVersion)} ms`);
  },
);

void test.test('an entry that lacks a configuration is not returned to callers', () => {
  const superseded = new SupersededTest();
  const { harness } = superseded;
  const listed = (): number =>
    harness.trafficOf(harness.leader()).entriesFor({ host: 'h', dataCentre: 'a', region: '' }, 10).length;
  assert.equal(listed(), 1);
  superseded.sendLargeConfiguration(13_500);
  harness.time.advance(3_000);
  assert.equal(listed(), 0);
  harness.time.advance(20_000);
  assert.equal(listed(), 1);
});

// An entry without control cannot get a configuration; refusing everybody would make each partition an outage.
void test.test('an entry that loses control while it lacks a configuration serves on', () => {
  const superseded = new SupersededTest();
  superseded.sendLargeConfiguration(13_500);
  superseded.harness.time.advance(1_000);
  for (const seed of SEEDS) {
    superseded.harness.partition(seed, 'e');
  }
  superseded.harness.time.advance(6_000);
  assert.equal(superseded.entry.state, 'ready');
});

// An entry hears of changes that are older than allowed when a partition heals.
void test.test(
  'an entry that returns from a partition fetches what it missed without refusing callers',
  () => {
    const superseded = new SupersededTest();
    const { harness } = superseded;
    for (const seed of SEEDS) {
      harness.partition(seed, 'e');
    }
    superseded.sendLargeConfiguration(100);
    harness.time.advance(8_000);
    harness.heal();
    for (let elapsed = 0; elapsed < 4_000; elapsed += 20) {
      harness.time.advance(20);
      assert.equal(superseded.entry.state, 'ready');
    }
    assert.ok(superseded.entry.services.find('watch').versionInForce === 2);
  },
);
