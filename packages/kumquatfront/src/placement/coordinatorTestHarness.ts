/**
 * Test harness with a coordinator, simulated engines and one entry on virtual time.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import type * as instanceTypes from '../instances/types.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import type * as trafficTypes from '../traffic/types.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as coordinator from './coordinator.js';
import * as enginePool from './enginePool.js';
import * as placementFeatures from './placementFeatures.js';
import type * as types from './types.js';
import * as waitLimits from './waitLimits.js';

/** Objective for the time to the first event, in milliseconds. */
export const OBJECTIVE = 1_800;
const PROMPT = 3_000;
const ENTRY = 'e';
const REPORT_INTERVAL = 250;

/** Warm-up limits of cold engines in the harness. */
export const WARM_UP: warmUpBounds.WarmUp = { requestsPerSecond: 10, duration: 5_000 };

/** Runs a coordinator over engines with memory for `generationsPerEngine` generations each. */
export class CoordinatorTestHarness {
  /** Entries known to the coordinator. */
  entries: readonly string[] = [ENTRY];
  readonly time = new virtualTime.VirtualTime();
  readonly answers = new Map<string, types.PlacementAnswer & { readonly at: number }>();
  private readonly coordinator: coordinator.Coordinator;
  private readonly running: types.RunningGeneration[] = [];
  private readonly instances: instanceTypes.InstanceRecord[] = [];
  /** Evacuated data centres. */
  readonly evacuated = new Set<string>();
  /** Longest wait that the entry names in its requests. */
  longestWait: number | undefined;
  private sequence = 0;

  constructor(
    engineCount: number,
    generationsPerEngine: number,
    isEnabled: placementFeatures.IsEnabled = placementFeatures.allEnabled,
  ) {
    const noop = (): void => undefined;
    const engine: trafficTypes.EngineTraits = {
      slots: 24,
      memoryTokens: Math.round((generationsPerEngine * (PROMPT + 600)) / enginePool.MEMORY_LIMITS.patient),
      bytesPerToken: 1,
      linkMegabitsPerSecond: 1,
      migrations: false,
      backups: false,
      tokensPerEvent: 4,
    };
    for (let count = 0; count < engineCount; count += 1) {
      this.addEngine();
    }
    this.coordinator = new coordinator.Coordinator({
      timers: timerService.create(this.time.clock, this.time),
      log: { debug: noop, info: noop, warn: noop, error: noop },
      metrics: { count: noop, gauge: noop, timing: noop },
      random: seededRandom.create(1),
      instances: () => this.instances,
      warmUpTolerance: warmUpBounds.strictTolerance,
      isEvacuated: (dataCentre) => this.evacuated.has(dataCentre),
      serviceOf: () => ({ name: 'llm', maximumConnections: 100, warmUp: WARM_UP, engine }),
      entryNames: () => this.entries,
      move: noop,
      isEnabled,
    });
  }

  /** Sends the first report and waits until the coordinator has recovered. */
  start(): this {
    this.report();
    this.advance(500);
    return this;
  }

  /** Adds an engine, which is cold if `warmUpLeft` is above 0. */
  addEngine(warmUpLeft = 0): void {
    const index = this.instances.length;
    this.instances.push({
      ...{ identity: `i${index}`, service: 'llm', address: `10.0.0.${index}:80`, dataCentre: 'a', slots: 24 },
      ...{ name: `i${index}`, born: 0, state: 'ready', warmUpLeft, sequence: 1, age: 0, firstAge: 0 },
    });
  }

  /** Sends the entry's report. */
  report(): void {
    this.sequence += 1;
    this.coordinator.applyReport({
      ...{ entry: ENTRY, address: 'e:1', epoch: 'x', sequence: this.sequence, leaving: [], unlisted: [] },
      ...{ generations: this.running, finished: [] },
    });
  }

  /** Advances the time while the entry reports all placed generations as started. */
  advance(duration: number): void {
    for (let left = duration; left > 0; left -= REPORT_INTERVAL) {
      this.time.advance(Math.min(left, REPORT_INTERVAL));
      this.running.splice(0, this.running.length, ...this.running.map((run) => ({ ...run, started: true })));
      this.report();
    }
  }

  /** Completes a generation. */
  finish(identity: string): void {
    this.running.splice(
      this.running.findIndex((run) => run.facts.identity === identity),
      1,
    );
    this.report();
  }

  /**
   * Requests a placement; requests with the same fingerprint are retries.
   *
   * @param software - software that began the stream; undefined for a stream without events
   */
  requestPlacement(identity: string, fingerprint = identity, rank = 1, software?: string): void {
    const attributes: types.GenerationAttributes = {
      ...{ identity, service: 'llm', promptTokens: PROMPT, outputLimit: 600, lengthHint: 600 },
      ...{ rank, account: '' },
    };
    const patience = waitLimits.maximumWait(OBJECTIVE, 39_000, rank);
    const { longestWait } = this;
    const times = {
      ...{ objective: OBJECTIVE, objectiveLeft: OBJECTIVE, patience },
      ...(longestWait !== undefined && { longestWait }),
      ...(software !== undefined && { software }),
    };
    this.coordinator.requestPlacement(
      { facts: attributes, entry: ENTRY, dataCentre: 'a', excluded: [], likeness: fingerprint, ...times },
      (answer) => {
        this.answers.set(identity, { ...answer, at: this.time.now() });
        if (answer.state === 'placed') {
          this.running.push({ facts: attributes, instance: answer.instance, produced: 0, started: false });
        }
      },
    );
  }

  /** Number of generations placed on an engine. */
  placedCount(engine: string): number {
    const answers = [...this.answers.values()];
    return answers.filter((answer) => answer.state === 'placed' && answer.instance === engine).length;
  }

  /** State of a request: `placed`, `refused` or `waiting`. */
  stateOf(identity: string): string {
    return this.answers.get(identity)?.state ?? 'waiting';
  }
}
