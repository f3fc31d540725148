/**
 * Simulates entries, a coordinator and engines with serial prefill on virtual time: callers with objectives and one
 * retry, reports with delays, and streams that are sent again after the idle timeout.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as coordinator from '../placement/coordinator.js';
import * as placementFeatures from '../placement/placementFeatures.js';
import type * as placementTypes from '../placement/types.js';
import * as waitLimits from '../placement/waitLimits.js';
import * as idleTimeout from '../relay/idleTimeout.js';
import type * as trafficTypes from '../traffic/types.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import type * as prefillBacklog from './prefillBacklog.js';

/** One class of generations. */
export interface GenerationClass {
  readonly name: string;
  readonly rank: number;
  readonly objective: ports.Milliseconds;
  readonly timeout: ports.Milliseconds;
  readonly promptTokens: (random: ports.Random) => number;
  readonly events: number;
  /** Arrivals per second at a time. */
  readonly rate: (now: ports.Milliseconds) => number;
}

/** Options of a simulation. */
export interface HarnessOptions {
  readonly seed: number;
  readonly engineCount: number;
  /** Factors on the prefill time, assigned to engines in turn. */
  readonly paces: readonly number[];
  readonly classes: readonly GenerationClass[];
  readonly isEnabled?: placementFeatures.IsEnabled;
  readonly paceOf?: prefillBacklog.PrefillPace;
  /** Coordinators; entries are divided among them. */
  readonly coordinators?: number;
  /** Additional delay of each report. */
  readonly reportDelay?: (random: ports.Random) => ports.Milliseconds;
}

/** One request of a caller, over all its attempts. */
export interface Outcome {
  readonly kind: GenerationClass;
  readonly tokens: number;
  readonly arrivedAt: ports.Milliseconds;
  firstEventAt?: ports.Milliseconds;
  refusedAt?: ports.Milliseconds;
  retryAfter?: ports.Milliseconds;
  attempts: number;
  sends: number;
}

interface Stream {
  readonly facts: placementTypes.GenerationAttributes;
  readonly entry: number;
  readonly kind: GenerationClass;
  readonly outcome: Outcome;
  /** Increases with each send, so that a former engine's events are ignored. */
  send: number;
  instance: string;
  started: boolean;
  produced: number;
  ended: boolean;
}

interface SimulatedEngine {
  readonly pace: number;
  readonly prompts: { readonly stream: Stream; readonly send: number }[];
  busy: boolean;
  stalled: boolean;
}

/** Prefill time of one token on an engine of pace 1. */
export const MILLISECONDS_PER_TOKEN = 1 / 7;
const ENTRY_COUNT = 16;
const REPORT_INTERVAL = 250;
const REPORT_DELAY = 15;
const MESSAGE_DELAY = 3;
const STEP = 18;
const RETRY_WAIT_SHARE = 1 / 3;

const TRAITS: trafficTypes.EngineTraits = {
  ...{ slots: 24, memoryTokens: 26_876, bytesPerToken: 1, linkMegabitsPerSecond: 1 },
  ...{ migrations: false, backups: false, tokensPerEvent: 4 },
};

/** Test harness of prefill scheduling; see the module comment. */
export class PrefillTestHarness {
  readonly time = new virtualTime.VirtualTime();
  readonly outcomes: Outcome[] = [];
  /** Log lines of the coordinators, in order. */
  readonly logged: { readonly name: string; readonly fields: Readonly<Record<string, unknown>> }[] = [];
  /** Prompts that engines processed. */
  processed = 0;
  private readonly options: HarnessOptions;
  private readonly random: ports.Random;
  private coordinators: coordinator.Coordinator[];
  private readonly engines = new Map<string, SimulatedEngine>();
  private readonly streams = new Map<string, Stream>();
  private readonly finished = new Map<number, placementTypes.FinishedGeneration[]>();
  private readonly scheduledReports = new Set<number>();
  private sequence = 0;
  private requestCount = 0;

  constructor(options: HarnessOptions) {
    this.options = options;
    this.random = seededRandom.create(options.seed);
    for (let index = 0; index < options.engineCount; index += 1) {
      const factor = options.paces[index % options.paces.length] ?? 1;
      const pace = MILLISECONDS_PER_TOKEN * factor;
      this.engines.set(`i${index}`, { pace, prompts: [], busy: false, stalled: false });
    }
    this.coordinators = Array.from({ length: options.coordinators ?? 1 }, () => this.createCoordinator());
    for (let entry = 0; entry < ENTRY_COUNT; entry += 1) {
      this.reportPeriodically(entry);
    }
    this.time.after(1_000, () => {
      for (const kind of options.classes) {
        this.scheduleArrival(kind);
      }
    });
  }

  private createCoordinator(): coordinator.Coordinator {
    const noop = (): void => undefined;
    const record = (name: string, fields: Readonly<Record<string, unknown>> = {}): void => {
      this.logged.push({ name, fields });
    };
    const service: trafficTypes.Service = { name: 'llm', maximumConnections: 500, engine: TRAITS };
    const { isEnabled, paceOf } = this.options;
    return new coordinator.Coordinator({
      timers: timerService.create(this.time.clock, this.time),
      log: { debug: noop, info: record, warn: record, error: record },
      metrics: { count: noop, gauge: noop, timing: noop },
      random: seededRandom.create(this.options.seed + 1),
      instances: () => this.instances(),
      serviceOf: () => service,
      isEvacuated: () => false,
      warmUpTolerance: warmUpBounds.strictTolerance,
      entryNames: () => [],
      move: noop,
      ...(isEnabled !== undefined && { isEnabled }),
      ...(paceOf !== undefined && { paceOf }),
    });
  }

  private instances(): readonly instanceTypes.InstanceRecord[] {
    return [...this.engines.keys()].map((identity) => ({
      ...{ identity, name: identity, born: 0, service: 'llm', address: `${identity}:80`, dataCentre: 'a' },
      ...{ slots: 24, state: 'ready', warmUpLeft: 0, sequence: 1, age: 0, firstAge: 0 },
    }));
  }

  /** Replaces all coordinators by new ones without state. */
  restartCoordinators(): void {
    this.coordinators = this.coordinators.map(() => this.createCoordinator());
  }

  /** Stops or resumes prefill on an engine. */
  setStalled(engine: string, stalled: boolean): void {
    const simulated = this.engines.get(engine);
    if (simulated !== undefined) {
      simulated.stalled = stalled;
      this.processNext(simulated);
    }
  }

  /** Number of streams sent to an engine and not ended. */
  openCountOf(engine: string): number {
    return [...this.streams.values()].filter((stream) => stream.instance === engine).length;
  }

  private coordinatorOf(entry: number): coordinator.Coordinator | undefined {
    return this.coordinators[entry % this.coordinators.length];
  }

  private reportPeriodically(entry: number): void {
    this.report(entry);
    this.time.after(REPORT_INTERVAL, () => {
      this.reportPeriodically(entry);
    });
  }

  private scheduleReport(entry: number): void {
    if (!this.scheduledReports.has(entry)) {
      this.scheduledReports.add(entry);
      this.time.after(REPORT_DELAY, () => {
        this.scheduledReports.delete(entry);
        this.report(entry);
      });
    }
  }

  private report(entry: number): void {
    this.sequence += 1;
    const streams = [...this.streams.values()].filter(
      (stream) => stream.entry === entry && stream.instance !== '',
    );
    const report: placementTypes.EntryReport = {
      ...{ entry: `e${entry}`, address: 'e:1', epoch: 'x', sequence: this.sequence },
      ...{ leaving: [], unlisted: [], finished: this.finished.get(entry) ?? [] },
      generations: streams.map(({ facts, instance, produced, started }) => ({
        ...{ facts, instance, produced, started },
      })),
    };
    this.finished.set(entry, []);
    const delay = MESSAGE_DELAY + (this.options.reportDelay?.(this.random) ?? 0);
    this.time.after(delay, () => this.coordinatorOf(entry)?.applyReport(report));
  }

  private scheduleArrival(kind: GenerationClass): void {
    const rate = kind.rate(this.time.now());
    const gap = rate > 0 ? (-Math.log(1 - this.random.next()) * 1_000) / rate : 100;
    this.time.after(gap, () => {
      if (rate > 0) {
        this.arrive(kind);
      }
      this.scheduleArrival(kind);
    });
  }

  private arrive(kind: GenerationClass): void {
    this.requestCount += 1;
    const tokens = kind.promptTokens(this.random);
    const outcome = { kind, tokens, arrivedAt: this.time.now(), attempts: 0, sends: 0 };
    this.outcomes.push(outcome);
    this.attempt(`g${this.requestCount}`, outcome);
  }

  private attempt(likeness: string, outcome: Outcome): void {
    const { kind, tokens } = outcome;
    outcome.attempts += 1;
    const identity = `${likeness}/${outcome.attempts}`;
    const output = kind.events * TRAITS.tokensPerEvent;
    const facts: placementTypes.GenerationAttributes = {
      ...{ identity, service: 'llm', promptTokens: tokens, outputLimit: output, lengthHint: output },
      ...{ rank: kind.rank, account: '' },
    };
    const entry = Math.floor(this.random.next() * ENTRY_COUNT);
    const stream: Stream = {
      ...{ facts, entry, kind, outcome, send: 0, instance: '', started: false, produced: 0, ended: false },
    };
    this.streams.set(identity, stream);
    this.place(stream, likeness, this.time.now(), []);
  }

  private place(stream: Stream, likeness: string, attemptedAt: number, excluded: readonly string[]): void {
    const { kind, facts, outcome } = stream;
    const { objective, timeout, rank } = kind;
    const elapsed = this.time.now() - attemptedAt;
    const request: placementTypes.PlacementRequest = {
      ...{ facts, entry: `e${stream.entry}`, dataCentre: 'a', excluded, likeness, objective },
      objectiveLeft: objective - elapsed,
      patience: Math.max(0, waitLimits.maximumWait(objective, timeout, rank) - elapsed),
      ...(rank > 0 && { longestWait: waitLimits.longestWait(objective, timeout) - elapsed }),
    };
    this.time.after(MESSAGE_DELAY, () => {
      this.coordinatorOf(stream.entry)?.requestPlacement(request, (answer) => {
        this.time.after(MESSAGE_DELAY, () => {
          if (stream.ended || (excluded.length > 0 && stream.started)) {
            return;
          }
          if (answer.state === 'placed') {
            this.sendTo(answer, stream, likeness, attemptedAt);
          } else if (stream.instance === '') {
            this.onRefused(stream, likeness, answer.retryAfter);
          }
        });
      });
    });
    outcome.sends += 1;
  }

  private onRefused(stream: Stream, likeness: string, retryAfter: number): void {
    const { outcome, kind } = stream;
    const now = this.time.now();
    stream.ended = true;
    this.streams.delete(stream.facts.identity);
    outcome.refusedAt ??= now;
    outcome.retryAfter ??= retryAfter;
    const timeLeft = outcome.arrivedAt + kind.timeout - now;
    if (outcome.attempts < 2 && retryAfter <= timeLeft * RETRY_WAIT_SHARE) {
      this.time.after(retryAfter, () => {
        this.attempt(likeness, outcome);
      });
    }
  }

  private sendTo(
    placement: placementTypes.Placement,
    stream: Stream,
    likeness: string,
    attemptedAt: number,
  ): void {
    stream.send += 1;
    stream.instance = placement.instance;
    this.scheduleReport(stream.entry);
    const engine = this.engines.get(placement.instance);
    const { send } = stream;
    this.time.after(MESSAGE_DELAY, () => {
      engine?.prompts.push({ stream, send });
      if (engine !== undefined) {
        this.processNext(engine);
      }
    });
    const route = { objective: stream.kind.objective, longestPause: 180 } as trafficTypes.Route;
    const timeout = idleTimeout.forRoute(route, false, placement.firstEventIn);
    this.time.after(timeout, () => {
      if (!stream.started && !stream.ended && stream.send === send) {
        this.place(stream, likeness, attemptedAt, [placement.instance]);
      }
    });
  }

  private processNext(engine: SimulatedEngine): void {
    if (engine.busy || engine.stalled) {
      return;
    }
    const prompt = engine.prompts.shift();
    if (prompt === undefined) {
      return;
    }
    const { stream, send } = prompt;
    if (stream.send !== send || stream.ended) {
      this.processNext(engine);
      return;
    }
    engine.busy = true;
    this.time.after(stream.facts.promptTokens * engine.pace, () => {
      engine.busy = false;
      this.processed += 1;
      this.time.after(STEP, () => {
        this.onEvent(stream, send);
      });
      this.processNext(engine);
    });
  }

  private onEvent(stream: Stream, send: number): void {
    if (stream.send !== send || stream.ended) {
      return;
    }
    if (!stream.started) {
      stream.started = true;
      stream.outcome.firstEventAt ??= this.time.now();
      this.scheduleReport(stream.entry);
    }
    stream.produced += TRAITS.tokensPerEvent;
    if (stream.produced >= stream.kind.events * TRAITS.tokensPerEvent) {
      stream.ended = true;
      this.streams.delete(stream.facts.identity);
      const finished = this.finished.get(stream.entry) ?? [];
      finished.push({ facts: stream.facts, produced: stream.produced });
      this.finished.set(stream.entry, finished);
      this.scheduleReport(stream.entry);
      return;
    }
    this.time.after(STEP, () => {
      this.onEvent(stream, send);
    });
  }
}

/** True if the first event came within the objective, counted from the first attempt. */
export function isInTime(outcome: Outcome): boolean {
  return (outcome.firstEventAt ?? Number.POSITIVE_INFINITY) - outcome.arrivedAt <= outcome.kind.objective;
}

/** True if the first attempt was refused within `limit`. */
export function isRefusedAtOnce(outcome: Outcome, limit: ports.Milliseconds): boolean {
  return (outcome.refusedAt ?? Number.POSITIVE_INFINITY) - outcome.arrivedAt <= limit;
}

/** Share of outcomes that meet a condition; 1 if there are none. */
export function shareOf(outcomes: readonly Outcome[], condition: (outcome: Outcome) => boolean): number {
  return outcomes.length === 0 ? 1 : outcomes.filter(condition).length / outcomes.length;
}

/** Urgent and patient generations of the first deployment, with `factor` times the urgent rate in a burst. */
export function burstClasses(
  factor: number,
  burst: { readonly from: ports.Milliseconds; readonly to: ports.Milliseconds },
): readonly GenerationClass[] {
  return [
    {
      ...{ name: 'urgent', rank: 0, objective: 1_500, timeout: 6_000, events: 2 },
      promptTokens: (random) => (random.next() < 0.1 ? 4_400 : Math.round(1_500 + 910 * random.next())),
      rate: (now) => 25 * (now >= burst.from && now < burst.to ? factor : 1),
    },
    {
      ...{ name: 'patient', rank: 2, objective: 4_000, timeout: 39_000, events: 187 },
      promptTokens: (random) => Math.round(2_500 + 1_000 * random.next()),
      rate: () => 13,
    },
  ];
}
