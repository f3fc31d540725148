/**
 * Which of several engines gets a generation.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as enginePool from './enginePool.js';
import type * as types from './types.js';

const MEMORY = 20_000;

function factsOf(identity: string, promptTokens: number): types.GenerationFacts {
  return {
    ...{ identity, service: 'llm', promptTokens, outputLimit: 10, lengthHint: 10, rank: 1, account: '' },
  };
}

/** Two engines that hold as many tokens as given. */
function poolWith(onFirst: number, onSecond: number): enginePool.EnginePool {
  const pool = new enginePool.EnginePool();
  const traits = {
    ...{ slots: 24, memoryTokens: MEMORY, bytesPerToken: 1, linkMegabitsPerSecond: 1 },
    ...{ migrations: true, backups: false, tokensPerEvent: 4 },
  };
  const base = { service: 'llm', dataCentre: 'a', leaving: false, evacuated: false, traits };
  pool.setEngines([
    { ...base, identity: 'first' },
    { ...base, identity: 'second' },
  ]);
  const running = (identity: string, tokens: number): types.RunningGeneration => ({
    ...{ facts: factsOf(identity, tokens), instance: identity, produced: 0, started: true },
  });
  pool.report(
    {
      ...{ entry: 'e', address: 'e:1', epoch: 'x', sequence: 1, finished: [], leaving: [], unlisted: [] },
      generations: [running('first', onFirst), running('second', onSecond)],
    },
    0,
  );
  return pool;
}

function bestFor(pool: enginePool.EnginePool, promptTokens: number): string | undefined {
  const facts = factsOf('new', promptTokens);
  const search = {
    facts,
    produced: 0,
    purpose: 'patient',
    dataCentre: 'b',
    excluded: new Set<string>(),
  } as const;
  return pool.bestFor(search, 0)?.identity;
}

void test.test('with room to spare the emptier engine gets a generation', () => {
  assert.equal(bestFor(poolWith(6_000, 3_000), 1_000), 'second');
});
