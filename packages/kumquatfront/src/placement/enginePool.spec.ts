/**
 * Engine selection.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as enginePool from './enginePool.js';
import type * as types from './types.js';

const MEMORY_TOKENS = 20_000;

function attributesOf(identity: string, promptTokens: number): types.GenerationAttributes {
  return {
    ...{ identity, service: 'llm', promptTokens, outputLimit: 10, lengthHint: 10, rank: 1, account: '' },
  };
}

/** Creates a pool of two engines that hold the given numbers of tokens. */
function createPool(onFirst: number, onSecond: number): enginePool.EnginePool {
  const pool = new enginePool.EnginePool();
  const traits = {
    ...{ slots: 24, memoryTokens: MEMORY_TOKENS, bytesPerToken: 1, linkMegabitsPerSecond: 1 },
    ...{ migrations: true, backups: false, tokensPerEvent: 4 },
  };
  const software = 'version v1';
  const base = { service: 'llm', dataCentre: 'a', software, draining: false, evacuated: false, traits };
  pool.setEngines([
    { ...base, identity: 'first' },
    { ...base, identity: 'second' },
  ]);
  const running = (identity: string, tokens: number): types.RunningGeneration => ({
    ...{ facts: attributesOf(identity, tokens), instance: identity, produced: 0, started: true },
  });
  pool.applyReport(
    {
      ...{ entry: 'e', address: 'e:1', epoch: 'x', sequence: 1, finished: [], leaving: [], unlisted: [] },
      generations: [running('first', onFirst), running('second', onSecond)],
    },
    0,
  );
  return pool;
}

function selectEngine(pool: enginePool.EnginePool, promptTokens: number): string | undefined {
  const attributes = attributesOf('new', promptTokens);
  const query = {
    facts: attributes,
    produced: 0,
    purpose: 'patient',
    dataCentre: 'b',
    excluded: new Set<string>(),
  } as const;
  return pool.selectEngine(query, 0)?.identity;
}

void test.test('the engine with more free memory is selected', () => {
  assert.equal(selectEngine(createPool(6_000, 3_000), 1_000), 'second');
});
