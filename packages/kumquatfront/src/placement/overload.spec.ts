/**
 * Simulation of the coordinator with and without overload, on virtual time. Half of the generations are urgent and
 * short; the others have long prompts and log-normal output lengths.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as seededRandom from '../adapters/seededRandom.js';
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import type * as trafficTypes from '../traffic/types.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as coordinator from './coordinator.js';
import type * as types from './types.js';
import * as waitLimits from './waitLimits.js';

const MEMORY = 22_000;
const MILLISECONDS_PER_TOKEN = 8;
const REPORT_INTERVAL = 250;
const OBJECTIVE = 1_800;

interface Run {
  readonly attributes: types.GenerationAttributes;
  readonly length: number;
  readonly instance: string;
  readonly startedAt: number;
}

interface Outcome {
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Number of reports of an engine that held more tokens than its memory. */
  readonly overfilled: number;
  readonly urgentRefused: number;
}

/** Simulates half a minute of one entry's generations on a set of engines. */
function simulate(seed: number, engineCount: number, perSecond: number): Outcome {
  const time = new virtualTime.VirtualTime();
  const random = seededRandom.create(seed);
  const timers = timerService.create(time.clock, time);
  const noop = (): void => undefined;
  const log: ports.Log = { debug: noop, info: noop, warn: noop, error: noop };
  const metrics: ports.Metrics = { count: noop, gauge: noop, timing: noop };
  const engine: trafficTypes.EngineTraits = {
    slots: 24,
    memoryTokens: MEMORY,
    bytesPerToken: 1,
    linkMegabitsPerSecond: 1,
    migrations: false,
    backups: false,
    tokensPerEvent: 4,
  };
  const instances: instanceTypes.InstanceRecord[] = Array.from({ length: engineCount }, (_none, index) => ({
    identity: `i${index}`,
    name: `i${index}`,
    born: 0,
    service: 'llm',
    address: `10.0.0.${index}:80`,
    dataCentre: 'a',
    slots: 24,
    state: 'ready',
    warmUpLeft: 0,
    sequence: 1,
    age: 0,
    firstAge: 0,
  }));
  const service: trafficTypes.Service = { name: 'llm', maximumConnections: 100, engine };
  const placementCoordinator = new coordinator.Coordinator({
    timers,
    log,
    metrics,
    random,
    instances: () => instances,
    warmUpTolerance: warmUpBounds.strictTolerance,
    isEvacuated: () => false,
    serviceOf: () => service,
    entryNames: () => ['e'],
    move: noop,
  });
  const runs = new Map<string, Run>();
  const counts = { inTime: 0, late: 0, refused: 0, overfilled: 0, urgentRefused: 0 };
  let finished: types.FinishedGeneration[] = [];
  let sequence = 0;

  const producedBy = (run: Run): number =>
    Math.min(run.length, Math.floor((time.now() - run.startedAt) / MILLISECONDS_PER_TOKEN));
  const report = (): void => {
    const held = new Map<string, number>();
    const generations = [...runs.values()].map((run) => {
      const produced = producedBy(run);
      held.set(run.instance, (held.get(run.instance) ?? 0) + run.attributes.promptTokens + produced);
      return { facts: run.attributes, instance: run.instance, produced, started: true };
    });
    counts.overfilled += [...held.values()].filter((tokens) => tokens > MEMORY).length;
    sequence += 1;
    placementCoordinator.applyReport({
      ...{ entry: 'e', address: 'e:1', epoch: 'x', sequence, leaving: [], unlisted: [] },
      generations,
      finished,
    });
    finished = [];
    time.after(REPORT_INTERVAL, report);
  };
  report();

  const arrive = (index: number): void => {
    const urgent = random.next() < 0.5;
    const normal = Math.sqrt(-2 * Math.log(random.next() + 1e-9)) * Math.cos(2 * Math.PI * random.next());
    const length = urgent ? 12 : Math.max(8, Math.min(2_200, Math.round(700 * Math.exp(0.84 * normal))));
    const attributes: types.GenerationAttributes = {
      identity: `g${index}`,
      service: 'llm',
      promptTokens: urgent ? 2_200 : 3_000,
      outputLimit: urgent ? 44 : 2_200,
      lengthHint: Math.max(1, Math.round(length * Math.exp((random.next() - 0.5) * 2))),
      rank: urgent ? 0 : 1,
      account: '',
    };
    const requestedAt = time.now();
    const patience = waitLimits.maximumWait(OBJECTIVE, 39_000, attributes.rank);
    placementCoordinator.requestPlacement(
      {
        ...{
          facts: attributes,
          entry: 'e',
          dataCentre: 'a',
          excluded: [],
          likeness: attributes.identity,
          patience,
        },
        ...{ objective: OBJECTIVE, objectiveLeft: OBJECTIVE },
      },
      (answer) => {
        if (answer.state === 'refused') {
          counts.refused += 1;
          counts.urgentRefused += urgent ? 1 : 0;
          return;
        }
        counts[time.now() - requestedAt <= OBJECTIVE ? 'inTime' : 'late'] += 1;
        runs.set(attributes.identity, {
          attributes,
          length,
          instance: answer.instance,
          startedAt: time.now(),
        });
        time.after(length * MILLISECONDS_PER_TOKEN, () => {
          runs.delete(attributes.identity);
          finished.push({ facts: attributes, produced: length });
        });
      },
    );
    time.after(1_000 / perSecond, () => {
      arrive(index + 1);
    });
  };
  time.after(1_000, () => {
    arrive(0);
  });
  time.advance(30_000);
  timers.stop();
  return counts;
}

for (const seed of [1, 2, 3]) {
  void test.test(`without overload every request is placed in time, seed ${seed}`, () => {
    const outcome = simulate(seed, 12, 8);
    assert.equal(outcome.refused, 0);
    assert.equal(outcome.late, 0);
    assert.equal(outcome.overfilled, 0);
  });

  // Guards against late answers, engines out of memory and refused urgent requests under overload.
  void test.test(`under twice the sustainable load most placed requests are in time, seed ${seed}`, () => {
    const outcome = simulate(seed, 4, 10);
    const served = outcome.inTime + outcome.late;
    assert.ok(outcome.inTime > 0.8 * served, `in time ${outcome.inTime} of ${served}`);
    assert.ok(outcome.refused > 20, `refused ${outcome.refused}`);
    assert.ok(outcome.overfilled <= 4, `overfilled ${outcome.overfilled}`);
    assert.ok(outcome.urgentRefused <= 0.1 * outcome.refused, `urgent refused ${outcome.urgentRefused}`);
  });
}
