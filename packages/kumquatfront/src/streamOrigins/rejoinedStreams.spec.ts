/**
 * Streams that are taken up after all entries were killed at once, while software versions change: a complete system on
 * virtual time.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as originTestHarness from './originTestHarness.js';

const STREAMS = 260;
const STREAM_INTERVAL = 80;
const SEEDS = [1, 2, 3];

/** Interval between kills of all entries, and their time until they are back. */
const KILL_INTERVAL = 6_000;
const RESTART_DELAY = 600;

interface Scenario {
  readonly name: string;
  readonly entries: number;
  readonly versions: readonly string[];
  /** Replaces engines while streams run. */
  readonly changeVersions: (system: originTestHarness.OriginTestHarness, round: number) => void;
  readonly isControlKilled?: boolean;
}

function replaceOne(system: originTestHarness.OriginTestHarness, from: string, to: string): void {
  const [engine] = system.engines.serving(from);
  if (engine !== undefined) {
    system.engines.crash(engine);
    system.time.after(400, () => {
      system.engines.start(to, engine.announcement.address);
    });
  }
}

const BOTH = ['v1', 'v1', 'v1', 'v2', 'v2', 'v2'];

const SCENARIOS: readonly Scenario[] = [
  { name: 'both versions serve', entries: 7, versions: BOTH, changeVersions: () => undefined },
  {
    name: 'the old version is replaced at its addresses',
    entries: 7,
    versions: ['v1', 'v1', 'v1', 'v1', 'v1', 'v2'],
    changeVersions: (system) => {
      replaceOne(system, 'v1', 'v2');
    },
  },
  {
    name: 'the old version is gone at once',
    entries: 7,
    versions: BOTH,
    changeVersions: (system, round) => {
      if (round === 1) {
        for (const engine of system.engines.serving('v1')) {
          system.engines.crash(engine);
        }
        system.engines.start('v2');
      }
    },
  },
  {
    name: 'versions follow each other, and control is killed too',
    entries: 7,
    versions: BOTH,
    changeVersions: (system, round) => {
      replaceOne(system, `v${1 + (round % 3)}`, `v${2 + (round % 3)}`);
    },
    isControlKilled: true,
  },
  {
    name: 'forty entries',
    entries: 40,
    versions: BOTH,
    changeVersions: (system) => {
      replaceOne(system, 'v1', 'v2');
    },
  },
];

function play(scenario: Scenario, seed: number): originTestHarness.OriginTestHarness {
  const system = new originTestHarness.OriginTestHarness(scenario.entries, scenario.versions, seed);
  const names = system.entryNames;
  for (let round = 0; round < 3; round += 1) {
    system.time.after((round + 1) * KILL_INTERVAL, () => {
      const control = scenario.isControlKilled === true ? originTestHarness.REPLICAS : [];
      for (const name of names) {
        system.killEntry(name);
      }
      for (const replica of control) {
        system.control.kill(replica);
      }
      system.time.after(RESTART_DELAY, () => {
        for (const replica of control) {
          system.control.start(replica);
        }
        for (const name of names) {
          system.startEntry(name);
        }
      });
    });
    // Shortly before and after the kills, so that lists of upstreams are old in some processes.
    system.time.after((round + 1) * KILL_INTERVAL + (round % 2 === 0 ? -200 : 300), () => {
      scenario.changeVersions(system, round);
    });
  }
  for (let index = 0; index < STREAMS; index += 1) {
    const entry = names[index % names.length] ?? '';
    system.startStream(entry, index % 3 === 0 ? { leavesAfter: 4 + (index % 9) } : {});
    system.time.advance(STREAM_INTERVAL);
  }
  system.time.advance(12_000);
  return system;
}

// Guards against streams joined from two versions by entries that came back without their state.
for (const scenario of SCENARIOS) {
  void test.test(`no stream holds events of two versions: ${scenario.name}`, () => {
    for (const seed of SEEDS) {
      const { streams } = play(scenario, seed);
      const takenUp = streams.filter(({ takeUps }) => takeUps.length > 0);
      const mixed = streams.filter(({ versions }) => versions.size > 1);
      assert.ok(takenUp.length > 20, `${takenUp.length} taken up with seed ${seed}`);
      assert.equal(mixed.length, 0, `seed ${seed}`);
    }
  });
}
