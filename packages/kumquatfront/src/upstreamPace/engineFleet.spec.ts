/**
 * Prompts placed on 31 engines by their predicted first event, with paces that are learned and with the true ones.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as enginePaces from './enginePaces.js';

/** Prompt tokens per millisecond of an engine of pace 1. */
const TOKENS_PER_MILLISECOND = 7;
const ENGINES = 31;
const WARM_UP = 3_000;

type Chooser = 'learned' | 'told' | 'service';

interface Engine {
  readonly name: string;
  readonly pace: number;
  /** Placed prompts without a first event, first come, first served. */
  readonly queue: { readonly tokens: number; readonly placedAt: number }[];
  startedAt: number;
}

/** Returns the 95th percentile of the time to the first event. */
function run(chooser: Chooser, paces: readonly number[], urgentPerSecond: number, seed: number): number {
  const time = new virtualTime.VirtualTime();
  const random = seededRandom.create(seed);
  const learned = new enginePaces.EnginePaces(() => time.now());
  const engines = Array.from({ length: ENGINES }, (_unused, index): Engine => {
    const pace = (paces[index % paces.length] ?? 1) / TOKENS_PER_MILLISECOND;
    return { name: `e${index}`, pace, queue: [], startedAt: 0 };
  });
  const durations: number[] = [];
  const paceOf = (engine: Engine): number => {
    switch (chooser) {
      case 'learned':
        return learned.prefillPaceOf(engine.name, 'llm');
      case 'told':
        return engine.pace;
      case 'service':
        return 1 / TOKENS_PER_MILLISECOND;
    }
  };
  const forecast = (engine: Engine, tokens: number): number => {
    const queued = engine.queue.reduce((sum, prompt) => sum + prompt.tokens, 0);
    const [head] = engine.queue;
    const pace = paceOf(engine);
    const progress = head === undefined ? 0 : Math.min(head.tokens * pace, time.now() - engine.startedAt);
    return (queued + tokens) * pace - progress;
  };
  const startHead = (engine: Engine): void => {
    const [head] = engine.queue;
    if (head === undefined) {
      return;
    }
    engine.startedAt = time.now();
    time.after(head.tokens * engine.pace * (0.9 + 0.2 * random.next()), () => {
      // The entry reports the first event 15 ms later; the next prompt starts at once.
      const elapsed = time.now() - engine.startedAt;
      engine.queue.shift();
      if (head.placedAt > WARM_UP) {
        durations.push(time.now() - head.placedAt);
      }
      time.after(15, () => {
        learned.observePrefill(engine.name, 'llm', head.tokens, elapsed);
      });
      startHead(engine);
    });
  };
  const schedule = (perSecond: number, tokens: number): void => {
    time.after((-1_000 / perSecond) * Math.log(1 - random.next()), () => {
      const engine = engines.reduce((best, other) =>
        forecast(other, tokens) < forecast(best, tokens) ? other : best,
      );
      engine.queue.push({ tokens, placedAt: time.now() });
      if (engine.queue.length === 1) {
        startHead(engine);
      }
      schedule(perSecond, tokens);
    });
  };
  schedule(15, 3_000);
  schedule(urgentPerSecond, 2_200);
  time.advance(20_000);
  durations.sort((left, right) => left - right);
  return durations[Math.floor(durations.length * 0.95)] ?? Number.NaN;
}

function mean(chooser: Chooser, paces: readonly number[], urgentPerSecond: number): number {
  const seeds = [1, 2, 3];
  return seeds.reduce((sum, seed) => sum + run(chooser, paces, urgentPerSecond, seed), 0) / seeds.length;
}

// The usual rate, at which prompts rarely wait, and one that uses 0.92 of the prefill capacity, at which they queue.
for (const urgentPerSecond of [17, 85]) {
  // Guards against slow engines getting the prompts of fast ones.
  void test.test(
    `with ${urgentPerSecond} urgent prompts a second, learned prefill paces are as good as true ones`,
    () => {
      const uneven = [0.7, 0.7, 1.7];
      const learned = mean('learned', uneven, urgentPerSecond);
      const told = mean('told', uneven, urgentPerSecond);
      const service = mean('service', uneven, urgentPerSecond);
      assert.ok(learned <= 1.15 * told, `${learned} ${told}`);
      assert.ok(learned < 0.9 * service, `${learned} ${service}`);
    },
  );

  void test.test(
    `with ${urgentPerSecond} urgent prompts a second on equal engines, nothing gets worse`,
    () => {
      const learned = mean('learned', [1, 1, 1], urgentPerSecond);
      const service = mean('service', [1, 1, 1], urgentPerSecond);
      assert.ok(learned <= 1.03 * service, `${learned} ${service}`);
    },
  );
}
