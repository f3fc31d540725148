/**
 * Generations are moved off engines that leave: one at a time, to where there is room, what has no copy first.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import type * as ports from '../kernel/ports.js';
import * as enginePool from './enginePool.js';
import * as evacuation from './evacuation.js';
import type * as types from './types.js';

const traits: enginePool.Engine['traits'] = {
  slots: 24,
  memoryTokens: 30_000,
  bytesPerToken: 1,
  linkMegabitsPerSecond: 1,
  migrations: true,
  backups: true,
  tokensPerEvent: 4,
};

function engine(identity: string, dataCentre: string, leaving = false): enginePool.Engine {
  return { identity, service: 'llm', dataCentre, leaving, evacuated: false, traits };
}

interface Asked {
  readonly command: types.MoveCommand;
  readonly done: (outcome: types.MoveOutcome) => void;
}

function running(identity: string, changes: Partial<types.RunningGeneration> = {}): types.RunningGeneration {
  const facts: types.GenerationFacts = {
    identity,
    service: 'llm',
    promptTokens: 3_000,
    outputLimit: 2_000,
    lengthHint: 1_000,
    rank: 1,
    account: '',
  };
  return { facts, instance: 'a', produced: 100, started: true, ...changes };
}

/** An evacuation of engine `a` with what runs there. */
function evacuate(
  engines: readonly enginePool.Engine[],
  generations: readonly types.RunningGeneration[],
): { asked: Asked[]; pump: () => void } {
  const silent = (): void => undefined;
  const log: ports.Log = { debug: silent, info: silent, warn: silent, error: silent };
  const metrics: ports.Metrics = { count: silent, gauge: silent, timing: silent };
  const pool = new enginePool.EnginePool();
  const asked: Asked[] = [];
  pool.setEngines(engines);
  const report = {
    entry: 'e',
    address: 'e:1',
    epoch: 'x',
    sequence: 1,
    finished: [],
    leaving: [],
    unlisted: [],
  };
  pool.report({ ...report, generations }, 0);
  const service = new evacuation.Evacuation({
    pool,
    move: (_address, command, done) => {
      asked.push({ command, done });
    },
    now: () => 0,
    log,
    metrics,
  });
  service.pump();
  return {
    asked,
    pump: () => {
      service.pump();
    },
  };
}

// Copies share the link of their source. Ten begun at once end together, after the engine is gone; one after
// another, those that are done are safe.
void test.test('one generation at a time leaves an engine', () => {
  const { asked, pump } = evacuate([engine('a', 'x', true), engine('b', 'x')], [running('1'), running('2')]);
  pump();
  assert.equal(asked.length, 1);
  asked[0]?.done('moved');
  assert.equal(asked.length, 2);
  assert.notEqual(asked[1]?.command.identity, asked[0]?.command.identity);
});

void test.test('the data centre of the source goes first, where a copy takes half as long', () => {
  const engines = [engine('a', 'x', true), engine('far', 'y'), engine('near', 'x')];
  const { asked } = evacuate(engines, [running('1')]);
  assert.equal(asked[0]?.command.target, 'near');
});

// The target's caches and copies are in no report; told that it has no room, asking again wastes the notice.
void test.test('a target without room is not asked again for the same generation', () => {
  const engines = [engine('a', 'x', true), engine('b', 'x'), engine('c', 'y')];
  const { asked } = evacuate(engines, [running('1')]);
  asked[0]?.done('failed');
  assert.deepEqual(
    asked.map((move) => move.command.target),
    ['b', 'c'],
  );
  asked[1]?.done('failed');
  assert.equal(asked.length, 2);
});

// One is nearly done and ends before its engine does; the notice is for the other.
void test.test('what ends by itself is not moved first', () => {
  const engines = [engine('a', 'x', true), engine('b', 'x')];
  const nearlyDone = running('done', { produced: 940 });
  const { asked } = evacuate(engines, [nearlyDone, running('long', { produced: 300 })]);
  assert.equal(asked[0]?.command.identity, 'long');
});

void test.test('what has not begun has no memory to move', () => {
  const { asked } = evacuate([engine('a', 'x', true), engine('b', 'x')], [running('1', { started: false })]);
  assert.equal(asked.length, 0);
});

void test.test('an engine that leaves is no target', () => {
  const { asked } = evacuate([engine('a', 'x', true), engine('b', 'x', true)], [running('1')]);
  assert.equal(asked.length, 0);
});

// A data centre is evacuated: its engines go on, but are no place for what must leave another one.
void test.test('an engine of an evacuated data centre is no target', () => {
  const closed = { ...engine('b', 'x'), evacuated: true };
  const { asked } = evacuate([engine('a', 'x', true), closed, engine('c', 'y')], [running('1')]);
  assert.deepEqual(
    asked.map((move) => move.command.target),
    ['c'],
  );
});

// The room elsewhere is needed for all that the evacuated data centre does not take any more: what runs there ends there.
void test.test('nothing is moved off the engines of an evacuated data centre', () => {
  const { asked } = evacuate([{ ...engine('a', 'x'), evacuated: true }, engine('b', 'y')], [running('1')]);
  assert.equal(asked.length, 0);
});

// The nearest engine with room is abroad: the generation stays at home, also when it must move.
void test.test('a generation with a home is moved within it', () => {
  const engines = [engine('a', 'x', true), engine('b', 'x'), engine('c', 'y')];
  const { facts } = running('1');
  const { asked } = evacuate(engines, [running('1', { facts: { ...facts, dataCentres: ['y'] } })]);
  assert.deepEqual(
    asked.map((move) => move.command.target),
    ['c'],
  );
});
