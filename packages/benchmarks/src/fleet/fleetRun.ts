/**
 * Simulates a fleet under load in virtual time: callers with objectives, the product's placement coordinator, and stand-in
 * engines that terminate and are replaced. Scores the outcomes, so that admission, placement and migration can be compared
 * without a network.
 */
import * as kumquatfront from 'kumquatfront';

import * as fleetEngines from './fleetEngines.js';
import * as fleetScorer from './fleetScorer.js';
import * as fleetWorkload from './fleetWorkload.js';

/** Options of a simulation; times in milliseconds. */
export interface FleetRunOptions extends fleetEngines.FleetEngineOptions {
  /** Placement features in use; all of them if absent. */
  readonly isEnabled?: kumquatfront.placementFeatures.IsEnabled;
  readonly seed: number;
  readonly duration: number;
  readonly classes: readonly fleetWorkload.GenerationClass[];
}

const REPORT_INTERVAL = 250;
const REPORT_DELAY = 15;
/** From an entry to an engine and back, including a new connection. */
const ROUND_TRIP_TIME = 8;
const TOKENS_PER_EVENT = 4;
const SERVICE = 'llm';
/** Maximum share of their remaining time that callers wait before they retry. */
const MAXIMUM_RETRY_WAIT_SHARE = 1 / 3;
/** Requests this close to the end load the engines but are not scored, since they may not end within the simulation. */
const UNCOUNTED_TAIL = 15_000;

interface RunningGeneration {
  readonly request: fleetWorkload.GenerationRequest;
  readonly attributes: kumquatfront.placementTypes.GenerationAttributes;
  engine: fleetEngines.FleetEngine;
  firstEventAt: number | undefined;
  lastEventAt: number;
  longestPause: number;
  produced: number;
  ended: boolean;
}

/** State of one simulation. */
class FleetRun {
  private readonly options: FleetRunOptions;
  private readonly time = new kumquatfront.virtualTime.VirtualTime();
  /** Used only for arrivals, so that every placement policy gets the same requests. */
  private readonly random: kumquatfront.ports.Random;
  private readonly timers: kumquatfront.timerService.TimerService;
  private readonly fleet: fleetEngines.FleetEngines;
  private readonly coordinator: kumquatfront.placementCoordinator.Coordinator;
  private readonly generations = new Map<string, RunningGeneration>();
  private finished: kumquatfront.placementTypes.FinishedGeneration[] = [];
  private sequence = 0;
  private reportScheduled = false;
  private requestCount = 0;
  private readonly scorer: fleetScorer.FleetScorer;
  private readonly moves = { moved: 0, ended: 0, failed: 0 };

  constructor(options: FleetRunOptions) {
    this.options = options;
    this.scorer = new fleetScorer.FleetScorer(options.duration - UNCOUNTED_TAIL);
    const { time } = this;
    this.random = kumquatfront.seededRandom.create(options.seed);
    this.timers = kumquatfront.timerService.create(time.clock, time);
    const noOperation = (): void => undefined;
    this.fleet = new fleetEngines.FleetEngines(
      options,
      time,
      kumquatfront.seededRandom.create(options.seed + 1_000),
      () => {
        this.coordinator.handleInstancesChanged();
      },
      (engine) => {
        this.loseGenerationsOn(engine);
      },
    );
    const engineTraits: kumquatfront.trafficTypes.EngineTraits = {
      slots: 24,
      memoryTokens: options.memoryTokens,
      bytesPerToken: 262_144,
      linkMegabitsPerSecond: 38_000,
      migrations: true,
      backups: false,
      tokensPerEvent: TOKENS_PER_EVENT,
    };
    const service: kumquatfront.trafficTypes.Service = {
      name: SERVICE,
      maximumConnections: 500,
      engine: engineTraits,
    };
    this.coordinator = new kumquatfront.placementCoordinator.Coordinator({
      timers: this.timers,
      log: { debug: noOperation, info: noOperation, warn: noOperation, error: noOperation },
      metrics: { count: noOperation, gauge: noOperation, timing: noOperation },
      random: kumquatfront.seededRandom.create(options.seed + 2_000),
      instances: () => this.instances(),
      warmUpTolerance: kumquatfront.warmUpBounds.strictTolerance,
      isEvacuated: () => false,
      serviceOf: () => service,
      entryNames: () => ['e'],
      ...(options.isEnabled !== undefined && { isEnabled: options.isEnabled }),
      move: (_address, command, done) => {
        this.move(command, done);
      },
    });
  }

  private instances(): readonly kumquatfront.instanceTypes.InstanceRecord[] {
    return [...this.fleet.engines.values()].map(({ identity, dataCentre, state }) => ({
      ...{
        identity,
        name: identity,
        born: 0,
        dataCentre,
        softwareVersion: 'v1',
        service: SERVICE,
        address: `${identity}:80`,
        slots: 24,
      },
      ...{ state: state === 'ready' ? 'ready' : 'leaving', warmUpLeft: 0, sequence: 1, age: 0, firstAge: 0 },
    }));
  }

  simulate(): fleetScorer.FleetFigures {
    const { time, timers } = this;
    this.runPeriodicReports();
    // The coordinator needs reports from the entry before it places anything.
    time.after(1_000, () => {
      for (const kind of this.options.classes) {
        this.scheduleArrival(kind);
      }
    });
    time.advance(this.options.duration);
    timers.stop();
    const preemptions = [...this.fleet.engines.values()].reduce(
      (sum, engine) => sum + engine.model.counts.preemptions,
      0,
    );
    return this.scorer.totals(preemptions, this.moves);
  }

  private scheduleArrival(kind: fleetWorkload.GenerationClass): void {
    const { time, random } = this;
    time.after(fleetWorkload.sampleInterarrivalTime(random, kind.arrivalsPerSecond, time.now()), () => {
      this.requestCount += 1;
      const request = fleetWorkload.sampleGeneration(random, kind, `g${this.requestCount}`, time.now());
      this.scorer.recordRequest(request);
      this.sendRequest(request, 0);
      this.scheduleArrival(kind);
    });
  }

  private sendRequest(request: fleetWorkload.GenerationRequest, attempt: number): void {
    const { kind, firstRequestedAt } = request;
    const now = this.time.now();
    const timeLeft = firstRequestedAt + kind.deadline - now;
    const attributes: kumquatfront.placementTypes.GenerationAttributes = {
      identity: `${request.identity}/${attempt}`,
      service: SERVICE,
      promptTokens: request.promptTokens,
      outputLimit: kind.output.maximum,
      lengthHint: request.lengthHint,
      rank: kind.rank,
      account: '',
    };
    const maximumWait = kumquatfront.waitLimits.maximumWait(kind.objective, timeLeft, kind.rank);
    const { objective } = kind;
    const common = {
      facts: attributes,
      entry: 'e',
      dataCentre: 'dc0',
      excluded: [],
      objective,
      patience: maximumWait,
      ...(kind.rank > 0 && { longestWait: kumquatfront.waitLimits.longestWait(objective, timeLeft) }),
    };
    const placementRequest = { ...common, likeness: request.identity, objectiveLeft: objective };
    this.coordinator.requestPlacement(placementRequest, (answer) => {
      if (answer.state === 'placed') {
        this.startGeneration(request, attributes, answer.instance);
      } else {
        this.onRefused(request, attempt, now, answer.retryAfter);
      }
    });
  }

  private onRefused(
    request: fleetWorkload.GenerationRequest,
    attempt: number,
    requestedAt: number,
    retryAfter: number,
  ): void {
    const now = this.time.now();
    const { kind, firstRequestedAt } = request;
    request.queueTime += now - requestedAt;
    if (attempt > 0) {
      this.scorer.recordSecondRefusal(request);
    }
    if (attempt === 0) {
      const timeLeft = firstRequestedAt + kind.deadline - now;
      this.time.after(Math.min(retryAfter, timeLeft * MAXIMUM_RETRY_WAIT_SHARE) + ROUND_TRIP_TIME, () => {
        this.sendRequest(request, 1);
      });
    }
  }

  private startGeneration(
    request: fleetWorkload.GenerationRequest,
    attributes: kumquatfront.placementTypes.GenerationAttributes,
    instance: string,
  ): void {
    const engine = this.fleet.engines.get(instance);
    if (engine === undefined) {
      this.scorer.recordLoss(request);
      return;
    }
    const generation: RunningGeneration = {
      ...{
        request,
        attributes,
        engine,
        firstEventAt: undefined,
        lastEventAt: 0,
        longestPause: 0,
        produced: 0,
      },
      ended: false,
    };
    this.generations.set(attributes.identity, generation);
    this.scheduleReport();
    this.time.after(ROUND_TRIP_TIME, () => {
      this.startOnEngine(generation, engine, undefined);
    });
  }

  private startOnEngine(
    generation: RunningGeneration,
    engine: fleetEngines.FleetEngine,
    copiedOutput: number | undefined,
  ): void {
    if (engine.state === 'gone') {
      this.endGeneration(generation, 'lost');
      return;
    }
    generation.engine = engine;
    const engineRequest = {
      generation: generation.attributes.identity,
      priority: generation.attributes.rank,
      promptTokens: generation.attributes.promptTokens,
      outputTokens: generation.request.outputTokens,
      prefix: '',
    };
    engine.model.start(copiedOutput === undefined ? engineRequest : { ...engineRequest, copiedOutput }, {
      token: (_generation, index) => {
        if (generation.engine === engine) {
          this.onToken(generation, index);
        }
      },
      ended: () => {
        if (generation.engine === engine) {
          this.endGeneration(generation, 'answered');
        }
      },
    });
  }

  private onToken(generation: RunningGeneration, index: number): void {
    const now = this.time.now();
    generation.produced = index + 1;
    const isCompleteEvent =
      (index + 1) % TOKENS_PER_EVENT === 0 || index + 1 === generation.request.outputTokens;
    if (!isCompleteEvent) {
      return;
    }
    if (generation.firstEventAt === undefined) {
      generation.firstEventAt = now;
      this.scheduleReport();
    } else {
      generation.longestPause = Math.max(generation.longestPause, now - generation.lastEventAt);
    }
    generation.lastEventAt = now;
  }

  private endGeneration(generation: RunningGeneration, outcome: 'answered' | 'lost'): void {
    if (generation.ended) {
      return;
    }
    generation.ended = true;
    const {
      request,
      attributes,
      produced,
      firstEventAt = Number.POSITIVE_INFINITY,
      longestPause,
    } = generation;
    this.generations.delete(attributes.identity);
    this.scheduleReport();
    if (outcome === 'lost') {
      this.scorer.recordLoss(request);
      return;
    }
    this.finished.push({ facts: attributes, produced });
    this.scorer.recordAnswer(request, { firstEvent: firstEventAt - request.firstRequestedAt, longestPause });
  }

  private loseGenerationsOn(engine: fleetEngines.FleetEngine): void {
    for (const generation of [...this.generations.values()]) {
      if (generation.engine === engine) {
        this.endGeneration(generation, 'lost');
      }
    }
  }

  private move(
    command: kumquatfront.placementTypes.MoveCommand,
    done: (outcome: kumquatfront.placementTypes.MoveOutcome) => void,
  ): void {
    const generation = this.generations.get(command.identity);
    const target = this.fleet.engines.get(command.target);
    const finish = (outcome: kumquatfront.placementTypes.MoveOutcome): void => {
      this.moves[outcome] += 1;
      this.sendReport();
      done(outcome);
    };
    if (generation?.engine.identity !== command.source) {
      finish('ended');
      return;
    }
    const source = generation.engine;
    const copiedTokens = generation.attributes.promptTokens + generation.produced;
    if (target?.state !== 'ready' || !target.model.reserveMemory(copiedTokens)) {
      finish('failed');
      return;
    }
    this.fleet.copy(source, target, copiedTokens, () => {
      if (generation.ended || source.state === 'gone') {
        target.model.releaseMemory(copiedTokens);
        finish('ended');
        return;
      }
      const producedAtStop = generation.produced;
      source.model.cancel(generation.attributes.identity, false);
      const remainingTokens = generation.attributes.promptTokens + producedAtStop - copiedTokens;
      this.fleet.copy(source, target, remainingTokens, () => {
        target.model.releaseMemory(copiedTokens);
        this.startOnEngine(generation, target, producedAtStop);
        finish('moved');
      });
    });
  }

  private runPeriodicReports(): void {
    this.sendReport();
    this.time.after(REPORT_INTERVAL, () => {
      this.runPeriodicReports();
    });
  }

  private scheduleReport(): void {
    if (!this.reportScheduled) {
      this.reportScheduled = true;
      this.time.after(REPORT_DELAY, () => {
        this.reportScheduled = false;
        this.sendReport();
      });
    }
  }

  private sendReport(): void {
    this.sequence += 1;
    const generations = [...this.generations.values()].map(
      ({ attributes, engine, produced, firstEventAt }) => ({
        ...{ facts: attributes, instance: engine.identity, produced },
        started: firstEventAt !== undefined,
      }),
    );
    const { sequence, finished } = this;
    this.finished = [];
    this.coordinator.applyReport({
      ...{ entry: 'e', address: 'e:1', epoch: 'x', sequence, leaving: [], unlisted: [] },
      generations,
      finished,
    });
  }
}

/**
 * Simulates one fleet.
 *
 * @param options - fleet, workload, duration and seed
 * @returns the scored outcomes
 * @example
 * ```ts
 * const figures = fleetRun.simulate({ ...fleetCases.grown, seed: 1 });
 * ```
 */
export function simulate(options: FleetRunOptions): fleetScorer.FleetFigures {
  return new FleetRun(options).simulate();
}
