/** Streams of a service whose upstreams run several software versions, in a complete system on virtual time. */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as originTestHarness from './originTestHarness.js';

const TWO_VERSIONS = ['v1', 'v1', 'v1', 'v1', 'v2', 'v2', 'v2', 'v2'];

/** Starts streams at all entries in turn, 20 in a second. */
function startStreams(
  system: originTestHarness.OriginTestHarness,
  count: number,
  options: originTestHarness.StreamOptions = {},
): void {
  const { entryNames } = system;
  for (let index = 0; index < count; index += 1) {
    system.startStream(entryNames[index % entryNames.length] ?? '', options);
    system.time.advance(50);
  }
}

/** Streams that hold events of several versions. */
function mixedStreams(system: originTestHarness.OriginTestHarness): readonly originTestHarness.TestStream[] {
  return system.streams.filter(({ versions }) => versions.size > 1);
}

/** Faults under which a stream may reach another upstream within one answer. */
const FAULTS: Readonly<Record<string, (system: originTestHarness.OriginTestHarness) => void>> = {
  'a new run after a crash': (system) => {
    startStreams(system, 24);
    for (const version of ['v1', 'v2']) {
      system.engines
        .serving(version)
        .slice(0, 2)
        .forEach((engine) => {
          system.engines.crash(engine);
        });
      system.time.advance(400);
    }
  },
  'a search for an upstream that is not silent, without control': (system) => {
    startStreams(system, 24);
    for (const replica of originTestHarness.REPLICAS) {
      system.control.kill(replica);
    }
    system.engines
      .serving('v1')
      .slice(0, 2)
      .forEach((engine) => {
        engine.isSilent = true;
      });
  },
  'a memory copy off an engine that leaves': (system) => {
    startStreams(system, 24, { route: 'plans' });
    for (const version of ['v1', 'v2']) {
      system.engines
        .serving(version)
        .slice(0, 3)
        .forEach((engine) => {
          system.engines.leave(engine, 2_000);
        });
    }
  },
  'a memory copy whose source crashes during the move': (system) => {
    startStreams(system, 24, { route: 'plans' });
    system.engines
      .serving('v1')
      .slice(0, 3)
      .forEach((engine) => {
        system.engines.leave(engine, 120);
      });
  },
  'a new run through another entry': (system) => {
    startStreams(system, 24);
    system.engines.cutOff.add('e1').add('e2');
    system.engines
      .serving('v1')
      .slice(0, 2)
      .forEach((engine) => {
        system.engines.crash(engine);
      });
  },
};

// Guards against an answer whose events come from two versions, since what they write does not fit together.
void test.test('the events of one answer come from one software version', () => {
  const mixed: Record<string, number> = {};
  for (const [name, inject] of Object.entries(FAULTS)) {
    const system = new originTestHarness.OriginTestHarness(4, TWO_VERSIONS);
    inject(system);
    system.time.advance(12_000);
    mixed[name] = mixedStreams(system).length;
    assert.ok(system.streams.filter(({ complete }) => complete).length > 10, name);
  }
  assert.deepEqual(mixed, Object.fromEntries(Object.keys(FAULTS).map((name) => [name, 0])));
});

// Guards against a caller that gets events of another version at the entry where it takes its stream up.
void test.test('a stream that its caller takes up elsewhere goes on at the version that began it', () => {
  const system = new originTestHarness.OriginTestHarness(7, TWO_VERSIONS);
  startStreams(system, 60, { leavesAfter: 10 });
  system.time.advance(12_000);
  const takeUps = system.streams.flatMap((stream) => stream.takeUps);
  assert.equal(takeUps.length, 60);
  assert.equal(mixedStreams(system).length, 0, `${mixedStreams(system).length} of 60 streams`);
  assert.equal(takeUps.filter(({ wentOn }) => wentOn).length, 60);
});
