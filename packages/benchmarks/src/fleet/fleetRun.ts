/**
 * Plays a crowded fleet on virtual time: callers with objectives, the product's coordinator, and stand-in engines
 * that come and go. What each caller got is counted as its worth, so that ways to admit, place and move can be
 * compared in seconds and without a network.
 */
import * as kumquatfront from 'kumquatfront';

import * as fleetEngines from './fleetEngines.js';
import * as fleetLedger from './fleetLedger.js';
import * as fleetWorkload from './fleetWorkload.js';

/** What is played. */
export interface FleetRunOptions extends fleetEngines.FleetOptions {
  /** Mechanisms of placement in use; all of them where absent. */
  readonly isOn?: kumquatfront.mechanisms.IsOn;
  readonly seed: number;
  readonly duration: number;
  readonly classes: readonly fleetWorkload.GenerationClass[];
}

const REPORT_INTERVAL = 250;
const REPORT_PAUSE = 15;
/** From an entry to an engine and back, with a new connection. */
const ROUND_TRIP = 8;
const TOKENS_PER_EVENT = 4;
const SERVICE = 'llm';
/** Callers wait no more than this share of their time left before they come back. */
const HONOURED_SHARE = 1 / 3;
/** What comes so late that it may not end within the play is not counted, but fills the engines. */
const UNCOUNTED_END = 15_000;

interface Run {
  readonly wanted: fleetWorkload.WantedGeneration;
  readonly facts: kumquatfront.placementTypes.GenerationFacts;
  engine: fleetEngines.FleetEngine;
  firstEventAt: number | undefined;
  lastEventAt: number;
  longestPause: number;
  produced: number;
  ended: boolean;
}

/** One play; see the module comment. */
class FleetRun {
  private readonly options: FleetRunOptions;
  private readonly time = new kumquatfront.virtualTime.VirtualTime();
  /** One source of chance for what comes, so that every way to place it meets the same callers. */
  private readonly random: kumquatfront.ports.Random;
  private readonly timers: kumquatfront.timerService.TimerService;
  private readonly fleet: fleetEngines.FleetEngines;
  private readonly coordinator: kumquatfront.placementCoordinator.Coordinator;
  private readonly runs = new Map<string, Run>();
  private finished: kumquatfront.placementTypes.FinishedGeneration[] = [];
  private sequence = 0;
  private reportScheduled = false;
  private asked = 0;
  private readonly ledger: fleetLedger.FleetLedger;
  private readonly moves = { moved: 0, ended: 0, failed: 0 };

  constructor(options: FleetRunOptions) {
    this.options = options;
    this.ledger = new fleetLedger.FleetLedger(options.duration - UNCOUNTED_END);
    const { time } = this;
    this.random = kumquatfront.seededRandom.create(options.seed);
    this.timers = kumquatfront.timerService.create(time.clock, time);
    const silent = (): void => undefined;
    this.fleet = new fleetEngines.FleetEngines(
      options,
      time,
      kumquatfront.seededRandom.create(options.seed + 1_000),
      () => {
        this.coordinator.instancesChanged();
      },
      (engine) => {
        this.loseRunsOf(engine);
      },
    );
    const engine: kumquatfront.trafficTypes.EngineTraits = {
      slots: 24,
      memoryTokens: options.memoryTokens,
      bytesPerToken: 262_144,
      linkMegabitsPerSecond: 38_000,
      migrations: true,
      backups: false,
      tokensPerEvent: TOKENS_PER_EVENT,
    };
    const service: kumquatfront.trafficTypes.Service = { name: SERVICE, maximumConnections: 500, engine };
    this.coordinator = new kumquatfront.placementCoordinator.Coordinator({
      timers: this.timers,
      log: { debug: silent, info: silent, warn: silent, error: silent },
      metrics: { count: silent, gauge: silent, timing: silent },
      random: kumquatfront.seededRandom.create(options.seed + 2_000),
      instances: () => this.instances(),
      warmUpTolerance: kumquatfront.warmUpBounds.strictTolerance,
      isEvacuated: () => false,
      serviceOf: () => service,
      entries: () => ['e'],
      ...(options.isOn !== undefined && { isOn: options.isOn }),
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
        service: SERVICE,
        address: `${identity}:80`,
        slots: 24,
      },
      ...{ state: state === 'ready' ? 'ready' : 'leaving', warmUpLeft: 0, sequence: 1, age: 0, firstAge: 0 },
    }));
  }

  play(): fleetLedger.FleetFigures {
    const { time, timers } = this;
    this.reportRegularly();
    // The coordinator learns who runs what before it places anything.
    time.after(1_000, () => {
      for (const kind of this.options.classes) {
        this.arriveNext(kind);
      }
    });
    time.advance(this.options.duration);
    timers.stop();
    const preemptions = [...this.fleet.engines.values()].reduce(
      (sum, engine) => sum + engine.model.counts.preemptions,
      0,
    );
    return this.ledger.figures(preemptions, this.moves);
  }

  private arriveNext(kind: fleetWorkload.GenerationClass): void {
    const { time, random } = this;
    time.after(fleetWorkload.nextArrival(random, kind.perSecond, time.now()), () => {
      this.asked += 1;
      const wanted = fleetWorkload.drawGeneration(random, kind, `g${this.asked}`, time.now());
      this.ledger.asked(wanted);
      this.ask(wanted, 0);
      this.arriveNext(kind);
    });
  }

  private ask(wanted: fleetWorkload.WantedGeneration, returned: number): void {
    const { kind, firstAskedAt } = wanted;
    const now = this.time.now();
    const timeLeft = firstAskedAt + kind.deadline - now;
    const facts: kumquatfront.placementTypes.GenerationFacts = {
      identity: `${wanted.identity}/${returned}`,
      service: SERVICE,
      promptTokens: wanted.promptTokens,
      outputLimit: kind.output.most,
      lengthHint: wanted.lengthHint,
      rank: kind.rank,
      account: '',
    };
    const patience = kumquatfront.waitingRules.longestWait(kind.objective, timeLeft, kind.rank);
    const { objective } = kind;
    const request = { facts, entry: 'e', dataCentre: 'dc0', excluded: [], objective, patience };
    const question = { ...request, likeness: wanted.identity, objectiveLeft: objective };
    this.coordinator.place(question, (answer) => {
      if (answer.state === 'placed') {
        this.begin(wanted, facts, answer.instance);
      } else {
        this.onRefused(wanted, returned, now, answer.retryAfter);
      }
    });
  }

  private onRefused(
    wanted: fleetWorkload.WantedGeneration,
    returned: number,
    askedAt: number,
    retryAfter: number,
  ): void {
    const now = this.time.now();
    const { kind, firstAskedAt } = wanted;
    wanted.held += now - askedAt;
    if (returned > 0) {
      this.ledger.refusedAgain(wanted);
    }
    if (returned === 0) {
      const timeLeft = firstAskedAt + kind.deadline - now;
      this.time.after(Math.min(retryAfter, timeLeft * HONOURED_SHARE) + ROUND_TRIP, () => {
        this.ask(wanted, 1);
      });
    }
  }

  private begin(
    wanted: fleetWorkload.WantedGeneration,
    facts: kumquatfront.placementTypes.GenerationFacts,
    instance: string,
  ): void {
    const engine = this.fleet.engines.get(instance);
    if (engine === undefined) {
      this.ledger.lost(wanted);
      return;
    }
    const run: Run = {
      ...{ wanted, facts, engine, firstEventAt: undefined, lastEventAt: 0, longestPause: 0, produced: 0 },
      ended: false,
    };
    this.runs.set(facts.identity, run);
    this.reportSoon();
    this.time.after(ROUND_TRIP, () => {
      this.startAt(run, engine, undefined);
    });
  }

  private startAt(run: Run, engine: fleetEngines.FleetEngine, copiedOutput: number | undefined): void {
    if (engine.state === 'gone') {
      this.end(run, 'lost');
      return;
    }
    run.engine = engine;
    const order = {
      generation: run.facts.identity,
      priority: run.facts.rank,
      promptTokens: run.facts.promptTokens,
      outputTokens: run.wanted.outputTokens,
      prefix: '',
    };
    engine.model.start(copiedOutput === undefined ? order : { ...order, copiedOutput }, {
      token: (_generation, index) => {
        if (run.engine === engine) {
          this.onToken(run, index);
        }
      },
      ended: () => {
        if (run.engine === engine) {
          this.end(run, 'answered');
        }
      },
    });
  }

  private onToken(run: Run, index: number): void {
    const now = this.time.now();
    run.produced = index + 1;
    const whole = (index + 1) % TOKENS_PER_EVENT === 0 || index + 1 === run.wanted.outputTokens;
    if (!whole) {
      return;
    }
    if (run.firstEventAt === undefined) {
      run.firstEventAt = now;
      this.reportSoon();
    } else {
      run.longestPause = Math.max(run.longestPause, now - run.lastEventAt);
    }
    run.lastEventAt = now;
  }

  private end(run: Run, outcome: 'answered' | 'lost'): void {
    if (run.ended) {
      return;
    }
    run.ended = true;
    const { wanted, facts, produced, firstEventAt = Number.POSITIVE_INFINITY, longestPause } = run;
    this.runs.delete(facts.identity);
    this.reportSoon();
    if (outcome === 'lost') {
      this.ledger.lost(wanted);
      return;
    }
    this.finished.push({ facts, produced });
    this.ledger.answered(wanted, { firstEvent: firstEventAt - wanted.firstAskedAt, longestPause });
  }

  private loseRunsOf(engine: fleetEngines.FleetEngine): void {
    for (const run of [...this.runs.values()]) {
      if (run.engine === engine) {
        this.end(run, 'lost');
      }
    }
  }

  private move(
    command: kumquatfront.placementTypes.MoveCommand,
    done: (outcome: kumquatfront.placementTypes.MoveOutcome) => void,
  ): void {
    const run = this.runs.get(command.identity);
    const target = this.fleet.engines.get(command.target);
    const finish = (outcome: kumquatfront.placementTypes.MoveOutcome): void => {
      this.moves[outcome] += 1;
      this.reportNow();
      done(outcome);
    };
    if (run?.engine.identity !== command.source) {
      finish('ended');
      return;
    }
    const source = run.engine;
    const held = run.facts.promptTokens + run.produced;
    if (target?.state !== 'ready' || !target.model.hold(held)) {
      finish('failed');
      return;
    }
    this.fleet.copy(source, target, held, () => {
      if (run.ended || source.state === 'gone') {
        target.model.release(held);
        finish('ended');
        return;
      }
      const atStop = run.produced;
      source.model.cancel(run.facts.identity, false);
      const added = run.facts.promptTokens + atStop - held;
      this.fleet.copy(source, target, added, () => {
        target.model.release(held);
        this.startAt(run, target, atStop);
        finish('moved');
      });
    });
  }

  private reportRegularly(): void {
    this.reportNow();
    this.time.after(REPORT_INTERVAL, () => {
      this.reportRegularly();
    });
  }

  private reportSoon(): void {
    if (!this.reportScheduled) {
      this.reportScheduled = true;
      this.time.after(REPORT_PAUSE, () => {
        this.reportScheduled = false;
        this.reportNow();
      });
    }
  }

  private reportNow(): void {
    this.sequence += 1;
    const generations = [...this.runs.values()].map(({ facts, engine, produced, firstEventAt }) => ({
      ...{ facts, instance: engine.identity, produced },
      started: firstEventAt !== undefined,
    }));
    const { sequence, finished } = this;
    this.finished = [];
    this.coordinator.report({
      ...{ entry: 'e', address: 'e:1', epoch: 'x', sequence, leaving: [], unlisted: [] },
      generations,
      finished,
    });
  }
}

/**
 * Plays one fleet.
 *
 * @param options - what is played
 * @returns what its callers got
 * @example
 * ```ts
 * const figures = fleetRun.play({ ...fleetCases.grown, seed: 1 });
 * ```
 */
export function play(options: FleetRunOptions): fleetLedger.FleetFigures {
  return new FleetRun(options).play();
}
