/**
 * Engines of one service that differ in speed, without network.
 *
 * Pattern: one engine of three makes a token in 13 ms, the others in 10; all have room. What a long generation takes
 * longer on the slow one is time in which its entry may die. Grounds of the figures: paces that streams showed on the
 * engines of the users' third deployment, prompts of 3,000 tokens, outputs of 800.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as enginePool from './enginePool.js';
import * as mechanisms from './mechanisms.js';
import type * as types from './types.js';

const PROMPT = 3_000;
const OUTPUT = 800;
const REPORT_EVERY = 250;

function factsOf(identity: string): types.GenerationFacts {
  return {
    ...{ identity, service: 'llm', promptTokens: PROMPT, outputLimit: OUTPUT, lengthHint: OUTPUT },
    ...{ rank: 1, account: '' },
  };
}

/** A pool whose engines have made tokens at the paces given for some seconds, each with one generation. */
function poolAt(
  paces: Readonly<Record<string, number>>,
  isOn: mechanisms.IsOn = mechanisms.allOn,
): enginePool.EnginePool {
  const pool = new enginePool.EnginePool(isOn);
  const traits = {
    ...{ slots: 24, memoryTokens: 34_000, bytesPerToken: 1, linkMegabitsPerSecond: 1 },
    ...{ migrations: true, backups: false, tokensPerEvent: 4 },
  };
  const engines = Object.keys(paces).map((identity) => {
    return { identity, service: 'llm', dataCentre: 'a', leaving: false, traits };
  });
  pool.setEngines(engines);
  for (let now = 0; now <= 5_000; now += REPORT_EVERY) {
    const generations = Object.entries(paces).map(([instance, pace]) => {
      return { facts: factsOf(`on ${instance}`), instance, produced: Math.floor(now / pace), started: true };
    });
    pool.report(
      {
        ...{ entry: 'e', address: 'e:1', epoch: 'x', sequence: now + 1 },
        ...{ generations, finished: [], leaving: [], unlisted: [] },
      },
      now,
    );
  }
  return pool;
}

function grant(pool: enginePool.EnginePool, instance: string, count: number): void {
  for (let number = 0; number < count; number += 1) {
    const request = {
      facts: factsOf(`more ${number}`),
      ...{ entry: 'e', dataCentre: 'a', excluded: [], likeness: '', objective: 1_800 },
      ...{ objectiveLeft: 1_800, patience: 200 },
    };
    pool.grant(request, { instance }, 5_000);
  }
}

function bestFor(pool: enginePool.EnginePool): string | undefined {
  const search: enginePool.Search = {
    facts: factsOf('new'),
    ...{ produced: 0, purpose: 'patient' as const, dataCentre: 'b', excluded: new Set<string>() },
  };
  return pool.bestFor(search, 5_000)?.identity;
}

void test.test('a long generation goes to an engine that makes tokens fast', () => {
  assert.equal(bestFor(poolAt({ slow: 13, fast: 10 })), 'fast');
  assert.equal(bestFor(poolAt({ fast: 10, slow: 13 })), 'fast');
});

void test.test(
  'the mechanism makes up for one generation more; without it the emptier engine is taken',
  () => {
    const off = mechanisms.without(['decodingPace']).unwrap();
    const withPace = poolAt({ slow: 13, fast: 10 });
    const withoutPace = poolAt({ slow: 13, fast: 10 }, off);
    grant(withPace, 'fast', 1);
    grant(withoutPace, 'fast', 1);
    assert.deepEqual([bestFor(withPace), bestFor(withoutPace)], ['fast', 'slow']);
  },
);

// The fast engine is full: a slow place is better than none.
void test.test('a slow engine takes what does not fit on the fast one', () => {
  const pool = poolAt({ slow: 13, fast: 10 });
  grant(pool, 'fast', 7);
  assert.equal(bestFor(pool), 'slow');
});

// An engine that has just started, of which nothing is known, is neither preferred nor shunned for its pace.
void test.test('an engine of unknown pace counts like the common one', () => {
  const pool = poolAt({ slow: 13, fast: 10 });
  const unknown = pool.decoding.laterThanCommon('llm', 'unknown', OUTPUT);
  assert.equal(unknown, 0);
  assert.ok(pool.decoding.laterThanCommon('llm', 'slow', OUTPUT) > 500);
  assert.ok(pool.decoding.laterThanCommon('llm', 'fast', OUTPUT) < 0);
});

// A generation that was moved, or stood still, makes no sample: its engine was not slow.
void test.test('a standstill is no sign of the pace', () => {
  const pool = poolAt({ only: 10 });
  const known = pool.decoding.paceOf('llm', 'only');
  pool.decoding.learn('llm', 'only', 64, 10_000);
  assert.equal(pool.decoding.paceOf('llm', 'only'), known);
});
