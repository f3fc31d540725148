/**
 * Placement on engines of unequal pace that run long streams and receive prompts at the same time.
 *
 * Guards against prompts on slow engines that make the long streams there late.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as enginePool from './enginePool.js';
import * as placementFeatures from './placementFeatures.js';
import type * as types from './types.js';

const PAUSE_LIMIT = 180;
const ENGINES = 12;
const DURATION = 40_000;
const STEP = 50;
/** Milliseconds for each prompt token on a fast engine. */
const PREFILL_PACE = 0.1;
/** Pause of running streams on a fast engine while it processes a prompt. */
const PAUSE_WITH_PROMPT = 107;

interface Stream {
  readonly attributes: types.GenerationAttributes;
  readonly instance: string;
  readonly firstEventAt: number;
  readonly endsAt: number;
  longestPause: number;
}

interface Outcome {
  readonly long: number;
  /** Long streams with a pause over the limit. */
  readonly late: number;
  readonly unplaced: number;
}

/** Places long and short generations on engines of which every third is slower by `slowFactor`. */
function simulate(slowFactor: number, isEnabled: placementFeatures.IsEnabled): Outcome {
  const pool = new enginePool.EnginePool(isEnabled);
  const traits = {
    ...{ slots: 24, memoryTokens: 26_000, bytesPerToken: 1, linkMegabitsPerSecond: 1 },
    ...{ migrations: true, backups: false, tokensPerEvent: 4 },
  };
  const factorOf = (instance: string): number => (Number(instance.slice(1)) % 3 === 0 ? slowFactor : 1);
  pool.setEngines(
    Array.from({ length: ENGINES }, (_, index) => ({
      ...{
        identity: `e${index}`,
        service: 'llm',
        dataCentre: 'a',
        software: 'version v1',
        draining: false,
        evacuated: false,
        traits,
      },
    })),
  );
  const streams: Stream[] = [];
  const outcome = { long: 0, late: 0, unplaced: 0 };
  const busyUntil = new Map<string, number>();
  let sequence = 0;

  const place = (identity: string, isLong: boolean, now: number): void => {
    const attributes: types.GenerationAttributes = {
      ...{ identity, service: 'llm', promptTokens: isLong ? 3_000 : 2_200, lengthHint: isLong ? 700 : 8 },
      ...{ outputLimit: isLong ? 1_700 : 40, rank: isLong ? 1 : 0, account: '', pauseLimit: PAUSE_LIMIT },
    };
    const request: types.PlacementRequest = {
      ...{ facts: attributes, entry: 'e', dataCentre: 'a', excluded: [], likeness: identity },
      ...{ objective: 1_500, objectiveLeft: 1_500, patience: 200 },
    };
    const query = {
      facts: attributes,
      produced: 0,
      purpose: isLong ? 'patient' : 'urgent',
      dataCentre: 'a',
    } as const;
    const engine = pool.selectEngine({ ...query, excluded: new Set<string>() }, now);
    if (engine === undefined) {
      outcome.unplaced += 1;
      return;
    }
    const instance = engine.identity;
    pool.recordGrant(request, { instance }, now);
    const startsAt = Math.max(now, busyUntil.get(instance) ?? 0);
    const firstEventAt = startsAt + 40 + attributes.promptTokens * PREFILL_PACE * factorOf(instance);
    busyUntil.set(instance, firstEventAt);
    const pause = PAUSE_WITH_PROMPT * factorOf(instance);
    for (const stream of streams.filter((other) => other.instance === instance && other.endsAt > startsAt)) {
      stream.longestPause = Math.max(stream.longestPause, pause);
    }
    const endsAt = firstEventAt + (isLong ? 700 : 8) * 7 * factorOf(instance);
    streams.push({ attributes, instance, firstEventAt, endsAt, longestPause: 30 * factorOf(instance) });
  };
  for (let now = 0; now < DURATION; now += STEP) {
    if (now % 150 === 0) {
      place(`short-${now}`, false, now);
    }
    if (now % 250 === 0) {
      place(`long-${now}`, true, now);
    }
    const open = streams.filter((stream) => stream.endsAt > now);
    sequence += 1;
    pool.applyReport(
      {
        ...{ entry: 'e', address: 'e:1', epoch: 'x', sequence, finished: [], leaving: [], unlisted: [] },
        generations: open.map(({ attributes, instance, firstEventAt, longestPause }) => ({
          ...{ facts: attributes, instance, started: now >= firstEventAt },
          produced: Math.max(0, Math.floor((now - firstEventAt) / 7)),
          ...(now > firstEventAt + 60 && { longestPause }),
        })),
      },
      now,
    );
  }
  for (const { longestPause } of streams.filter((stream) => stream.attributes.rank === 1)) {
    outcome.long += 1;
    outcome.late += longestPause > PAUSE_LIMIT ? 1 : 0;
  }
  return outcome;
}

void test.test('few long streams become late where every third engine is 2.4 times slower', () => {
  const unprotected = simulate(2.4, (feature) => feature !== 'pauseProtection');
  const { late, long, unplaced } = simulate(2.4, placementFeatures.allEnabled);
  assert.ok(unprotected.late > 0.1 * unprotected.long, `${unprotected.late} late without protection`);
  assert.ok(late <= 0.05 * long, `${late} of ${long} late`);
  assert.equal(unplaced, 0);
});

void test.test('engines of equal pace are used as without the protection', () => {
  const unprotected = simulate(1, (feature) => feature !== 'pauseProtection');
  assert.deepEqual(simulate(1, placementFeatures.allEnabled), unprotected);
});
