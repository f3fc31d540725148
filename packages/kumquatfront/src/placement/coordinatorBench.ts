/**
 * A coordinator over engines in memory, on virtual time, for the specs. Prompts and objectives are those of the
 * first users' sites.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import type * as instanceTypes from '../instances/types.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import type * as trafficTypes from '../traffic/types.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as coordinator from './coordinator.js';
import * as enginePool from './enginePool.js';
import * as mechanisms from './mechanisms.js';
import type * as types from './types.js';
import * as waitingRules from './waitingRules.js';

/** Milliseconds to the first event that callers expect. */
export const OBJECTIVE = 1_800;
const PROMPT = 3_000;
const ENTRY = 'e';
const REPORT_INTERVAL = 250;

/** What cold engines of the bench tolerate. */
export const WARM_UP: warmUpBounds.WarmUp = { requestsPerSecond: 10, duration: 5_000 };

/** A coordinator over engines with memory for `fits` generations each. */
export class CoordinatorBench {
  /** Entries that the coordinator's replica hears. */
  entries: readonly string[] = [ENTRY];
  readonly time = new virtualTime.VirtualTime();
  readonly answers = new Map<string, types.PlacementAnswer & { readonly at: number }>();
  private readonly placer: coordinator.Coordinator;
  private readonly running: types.RunningGeneration[] = [];
  private readonly instances: instanceTypes.InstanceRecord[] = [];
  /** Data centres whose engines are to get nothing new. */
  readonly evacuated = new Set<string>();
  private sequence = 0;

  constructor(engineCount: number, fits: number, isOn: mechanisms.IsOn = mechanisms.allOn) {
    const silent = (): void => undefined;
    const engine: trafficTypes.EngineTraits = {
      slots: 24,
      memoryTokens: Math.round((fits * (PROMPT + 600)) / enginePool.MEMORY_SHARES.patient),
      bytesPerToken: 1,
      linkMegabitsPerSecond: 1,
      migrations: false,
      backups: false,
      tokensPerEvent: 4,
    };
    for (let count = 0; count < engineCount; count += 1) {
      this.addEngine();
    }
    this.placer = new coordinator.Coordinator({
      timers: timerService.create(this.time.clock, this.time),
      log: { debug: silent, info: silent, warn: silent, error: silent },
      metrics: { count: silent, gauge: silent, timing: silent },
      random: seededRandom.create(1),
      instances: () => this.instances,
      warmUpTolerance: warmUpBounds.strictTolerance,
      isEvacuated: (dataCentre) => this.evacuated.has(dataCentre),
      serviceOf: () => ({ name: 'llm', maximumConnections: 100, warmUp: WARM_UP, engine }),
      entries: () => this.entries,
      move: silent,
      isOn,
    });
  }

  /** The entry reports, and the coordinator has learned what runs. */
  begin(): this {
    this.report();
    this.pass(500);
    return this;
  }

  addEngine(warmUpLeft = 0): void {
    const index = this.instances.length;
    this.instances.push({
      ...{ identity: `i${index}`, service: 'llm', address: `10.0.0.${index}:80`, dataCentre: 'a', slots: 24 },
      ...{ name: `i${index}`, born: 0, state: 'ready', warmUpLeft, sequence: 1, age: 0, firstAge: 0 },
    });
  }

  report(): void {
    this.sequence += 1;
    this.placer.report({
      ...{ entry: ENTRY, address: 'e:1', epoch: 'x', sequence: this.sequence, leaving: [], unlisted: [] },
      ...{ generations: this.running, finished: [] },
    });
  }

  /** Time goes on, and the entry reports that everything placed has begun. */
  pass(duration: number): void {
    for (let left = duration; left > 0; left -= REPORT_INTERVAL) {
      this.time.advance(Math.min(left, REPORT_INTERVAL));
      this.running.splice(0, this.running.length, ...this.running.map((run) => ({ ...run, started: true })));
      this.report();
    }
  }

  end(identity: string): void {
    this.running.splice(
      this.running.findIndex((run) => run.facts.identity === identity),
      1,
    );
    this.report();
  }

  ask(identity: string, likeness = identity, rank = 1): void {
    const facts: types.GenerationFacts = {
      ...{ identity, service: 'llm', promptTokens: PROMPT, outputLimit: 600, lengthHint: 600 },
      ...{ rank, account: '' },
    };
    const patience = waitingRules.longestWait(OBJECTIVE, 39_000, rank);
    const times = { objective: OBJECTIVE, objectiveLeft: OBJECTIVE, patience };
    this.placer.place(
      { facts, entry: ENTRY, dataCentre: 'a', excluded: [], likeness, ...times },
      (answer) => {
        this.answers.set(identity, { ...answer, at: this.time.now() });
        if (answer.state === 'placed') {
          this.running.push({ facts, instance: answer.instance, produced: 0, started: false });
        }
      },
    );
  }

  /** Generations that were placed on an engine. */
  placedOn(engine: string): number {
    const answers = [...this.answers.values()];
    return answers.filter((answer) => answer.state === 'placed' && answer.instance === engine).length;
  }

  stateOf(identity: string): string {
    return this.answers.get(identity)?.state ?? 'waiting';
  }
}
