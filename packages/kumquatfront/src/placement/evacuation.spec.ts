/**
 * Moves of generations off draining engines.
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

function engine(identity: string, dataCentre: string, draining = false): enginePool.Engine {
  return { identity, service: 'llm', dataCentre, software: 'version v1', draining, evacuated: false, traits };
}

interface SentMove {
  readonly command: types.MoveCommand;
  readonly done: (outcome: types.MoveOutcome) => void;
}

function running(identity: string, changes: Partial<types.RunningGeneration> = {}): types.RunningGeneration {
  const attributes: types.GenerationAttributes = {
    identity,
    service: 'llm',
    promptTokens: 3_000,
    outputLimit: 2_000,
    lengthHint: 1_000,
    rank: 1,
    account: '',
  };
  return { facts: attributes, instance: 'a', produced: 100, started: true, ...changes };
}

/** Starts moving `generations` off the draining ones of `engines`, and records the move commands. */
function evacuate(
  engines: readonly enginePool.Engine[],
  generations: readonly types.RunningGeneration[],
): { sentMoves: SentMove[]; startMoves: () => void } {
  const noop = (): void => undefined;
  const log: ports.Log = { debug: noop, info: noop, warn: noop, error: noop };
  const metrics: ports.Metrics = { count: noop, gauge: noop, timing: noop };
  const pool = new enginePool.EnginePool();
  const sentMoves: SentMove[] = [];
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
  pool.applyReport({ ...report, generations }, 0);
  const scheduler = new evacuation.EvacuationScheduler({
    pool,
    move: (_address, command, done) => {
      sentMoves.push({ command, done });
    },
    now: () => 0,
    log,
    metrics,
  });
  scheduler.startMoves();
  return {
    sentMoves,
    startMoves: () => {
      scheduler.startMoves();
    },
  };
}

// Guards against concurrent copies that share the source's network link and all complete too late.
void test.test('generations are moved off an engine one at a time', () => {
  const { sentMoves, startMoves } = evacuate(
    [engine('a', 'x', true), engine('b', 'x')],
    [running('1'), running('2')],
  );
  startMoves();
  assert.equal(sentMoves.length, 1);
  sentMoves[0]?.done('moved');
  assert.equal(sentMoves.length, 2);
  assert.notEqual(sentMoves[1]?.command.identity, sentMoves[0]?.command.identity);
});

void test.test('targets in the data centre of the source are preferred', () => {
  const engines = [engine('a', 'x', true), engine('far', 'y'), engine('near', 'x')];
  const { sentMoves } = evacuate(engines, [running('1')]);
  assert.equal(sentMoves[0]?.command.target, 'near');
});

// Guards against wasting the time before termination on a target that already rejected the move.
void test.test('a target to which a move failed is not tried again for the same generation', () => {
  const engines = [engine('a', 'x', true), engine('b', 'x'), engine('c', 'y')];
  const { sentMoves } = evacuate(engines, [running('1')]);
  sentMoves[0]?.done('failed');
  assert.deepEqual(
    sentMoves.map((move) => move.command.target),
    ['b', 'c'],
  );
  sentMoves[1]?.done('failed');
  assert.equal(sentMoves.length, 2);
});

// Guards against moving a generation that would complete before its engine terminates.
void test.test('a nearly complete generation is not moved first', () => {
  const engines = [engine('a', 'x', true), engine('b', 'x')];
  const nearlyDone = running('done', { produced: 940 });
  const { sentMoves } = evacuate(engines, [nearlyDone, running('long', { produced: 300 })]);
  assert.equal(sentMoves[0]?.command.identity, 'long');
});

void test.test('a generation that has not started is not moved', () => {
  const { sentMoves } = evacuate(
    [engine('a', 'x', true), engine('b', 'x')],
    [running('1', { started: false })],
  );
  assert.equal(sentMoves.length, 0);
});

void test.test('a draining engine is not a target', () => {
  const { sentMoves } = evacuate([engine('a', 'x', true), engine('b', 'x', true)], [running('1')]);
  assert.equal(sentMoves.length, 0);
});

// Guards against moving generations into an evacuated data centre, whose engines still run.
void test.test('an engine in an evacuated data centre is not a target', () => {
  const evacuated = { ...engine('b', 'x'), evacuated: true };
  const { sentMoves } = evacuate([engine('a', 'x', true), evacuated, engine('c', 'y')], [running('1')]);
  assert.deepEqual(
    sentMoves.map((move) => move.command.target),
    ['c'],
  );
});

// Guards against using free capacity of other data centres for generations that can complete where they run.
void test.test('generations in an evacuated data centre are not moved', () => {
  const { sentMoves } = evacuate(
    [{ ...engine('a', 'x'), evacuated: true }, engine('b', 'y')],
    [running('1')],
  );
  assert.equal(sentMoves.length, 0);
});

// Guards against moving a generation out of the data centres in which it may run.
void test.test('a generation with restricted data centres is moved only within them', () => {
  const engines = [engine('a', 'x', true), engine('b', 'x'), engine('c', 'y')];
  const { facts } = running('1');
  const { sentMoves } = evacuate(engines, [running('1', { facts: { ...facts, dataCentres: ['y'] } })]);
  assert.deepEqual(
    sentMoves.map((move) => move.command.target),
    ['c'],
  );
});

// Guards against moving a generation to an engine of another software version, whose events do not fit.
void test.test('a generation is moved only to an engine of the same software', () => {
  const other = (identity: string): enginePool.Engine => ({
    ...engine(identity, 'x'),
    software: 'version v2',
  });
  const { sentMoves } = evacuate(
    [engine('a', 'x', true), other('b'), engine('c', 'y'), other('d')],
    [running('1')],
  );
  assert.deepEqual(
    sentMoves.map((move) => move.command.target),
    ['c'],
  );
  const alone = evacuate([engine('a', 'x', true), other('b')], [running('1')]);
  assert.equal(alone.sentMoves.length, 0);
});
