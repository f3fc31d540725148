/**
 * Test harness with client accounts whose generations compete for engines, on virtual time: one or more coordinators,
 * entries that report to them, and engines that process prompts one after another.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as coordinator from '../placement/coordinator.js';
import * as placementFeatures from '../placement/placementFeatures.js';
import type * as types from '../placement/types.js';
import * as waitLimits from '../placement/waitLimits.js';
import type * as trafficTypes from '../traffic/types.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';

const DEFAULT_ENGINES = 12;
const MEMORY = 26_876;
/** Share of the memory that patient generations fill in practice. */
const USABLE_SHARE = 0.8;
const MILLISECONDS_PER_TOKEN = 8;
const PREFILL_PACE = 0.142;
const ENTRIES: readonly string[] = ['e0', 'e1', 'e2', 'e3'];
const REPORT_INTERVAL = 250;
const CHANGE_REPORT_DELAY = 15;
const SAMPLE_INTERVAL = 100;
const OBJECTIVE = 4_000;
const TIMEOUT = 39_000;
/** Callers wait for at most this share of their remaining time before they retry, and retry once. */
const RETRY_WAIT_SHARE = 1 / 3;
/** Time after which an entry sends a placement request again to a new coordinator. */
const RESEND_DELAY = 300;

/** Load of one account. */
export interface AccountLoad {
  readonly account: string;
  /** Demand as share of the capacity of the engines. */
  readonly demand: number;
  readonly weight?: number;
  /** Seconds of the run between which the account sends requests; by default always. */
  readonly from?: number;
  readonly until?: number;
}

/** Options of a run. */
export interface RunOptions {
  readonly loads: readonly AccountLoad[];
  readonly seed: number;
  /** Number of engines; by default 12, where the number does not matter. */
  readonly engineCount?: number;
  /** Maximum wait of a request at the coordinator; by default that of today's entries. */
  readonly patience?: ports.Milliseconds;
  readonly isEnabled?: placementFeatures.IsEnabled;
  /** Whether the configuration in force states weights; by default it does. */
  readonly sharesEnabled?: () => boolean;
}

/** What became of one request. */
export interface RequestOutcome {
  readonly account: string;
  readonly promptTokens: number;
  readonly requestedAt: ports.Milliseconds;
  /** Undefined until it is placed. */
  placedAt?: ports.Milliseconds;
  inTime: boolean;
  refused: boolean;
}

interface Generation {
  readonly facts: types.GenerationAttributes;
  readonly entry: string;
  readonly instance: string;
  readonly length: number;
  readonly startsAt: number;
}

interface Pending {
  readonly request: types.PlacementRequest;
  readonly outcome: RequestOutcome;
  readonly length: number;
  readonly isRetry: boolean;
}

/** A log line of a coordinator. */
export interface LoggedLine {
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
  readonly at: ports.Milliseconds;
}

interface RunningCoordinator {
  readonly coordinator: coordinator.Coordinator;
  readonly timers: timerService.TimerService;
}

/** Competing accounts; see the module comment. */
export class SharesTestHarness {
  readonly time = new virtualTime.VirtualTime();
  readonly outcomes: RequestOutcome[] = [];
  readonly lines: LoggedLine[] = [];
  /** Tokens held by each account at every sample, 100 ms apart. */
  readonly samples: ReadonlyMap<string, number>[] = [];
  private readonly options: RunOptions;
  private readonly random: ports.Random;
  private readonly engineCount: number;
  private readonly coordinators = new Map<string, RunningCoordinator>();
  private readonly running = new Map<string, Generation>();
  private readonly pending = new Map<string, Pending>();
  private readonly finished = new Map<string, types.FinishedGeneration[]>();
  private readonly prefillEnds = new Map<string, number>();
  private readonly sequences = new Map<string, number>();
  private readonly reportsDue = new Set<string>();
  private readonly instances: instanceTypes.InstanceRecord[];
  /** Coordinator that each entry uses. */
  private readonly coordinatorOf = new Map<string, string>(ENTRIES.map((entry) => [entry, 'first']));
  /** If set, reports are delivered through it, for example late or in another order. */
  deliver: (send: () => void) => void = (send) => {
    send();
  };

  constructor(options: RunOptions) {
    this.options = options;
    this.random = seededRandom.create(options.seed);
    this.engineCount = options.engineCount ?? DEFAULT_ENGINES;
    this.instances = Array.from({ length: this.engineCount }, (_none, index) => ({
      ...{ identity: `i${index}`, name: `i${index}`, born: 0, service: 'llm' },
      ...{ address: `10.0.0.${index}:80`, dataCentre: 'a', slots: 24, state: 'ready' as const },
      ...{ warmUpLeft: 0, sequence: 1, age: 0, firstAge: 0 },
    }));
    this.startCoordinator('first');
    for (const entry of ENTRIES) {
      this.reportPeriodically(entry);
    }
    this.sample();
    for (const load of options.loads) {
      this.time.after((load.from ?? 0) * 1_000 + 1_000 + this.random.next() * 500, () => {
        this.arrive(load);
      });
    }
  }

  /** Advances the time by seconds. */
  run(seconds: number): this {
    this.time.advance(seconds * 1_000);
    return this;
  }

  /** Starts a coordinator without state; entries use it once they are directed to it. */
  startCoordinator(name: string): void {
    const noop = (): void => undefined;
    const { isEnabled = placementFeatures.allEnabled, sharesEnabled = () => true, loads } = this.options;
    const timers = timerService.create(this.time.clock, this.time);
    const engine: trafficTypes.EngineTraits = {
      ...{ slots: 24, memoryTokens: MEMORY, bytesPerToken: 1, linkMegabitsPerSecond: 1 },
      ...{ migrations: false, backups: false, tokensPerEvent: 4 },
    };
    const info = (event: string, fields: Readonly<Record<string, unknown>> = {}): void => {
      this.lines.push({ event, fields, at: this.time.now() });
    };
    const started = new coordinator.Coordinator({
      timers,
      log: { debug: noop, info, warn: noop, error: noop },
      metrics: { count: noop, gauge: noop, timing: noop },
      random: seededRandom.create(this.options.seed),
      instances: () => this.instances,
      warmUpTolerance: warmUpBounds.strictTolerance,
      isEvacuated: () => false,
      serviceOf: () => ({ name: 'llm', maximumConnections: 100, engine }),
      entryNames: () => ENTRIES.filter((entry) => this.coordinatorOf.get(entry) === name),
      move: noop,
      weightOf: (account) => loads.find((load) => load.account === account)?.weight ?? 1,
      isEnabled,
      sharesEnabled,
    });
    this.coordinators.set(name, { coordinator: started, timers });
  }

  /** Stops a coordinator with its state. */
  crashCoordinator(name: string): void {
    this.coordinators.get(name)?.timers.stop();
    this.coordinators.delete(name);
  }

  /** Directs entries to a coordinator; they report to it and send it their pending requests again. */
  direct(entries: readonly string[], name: string): void {
    for (const entry of entries) {
      this.coordinatorOf.set(entry, name);
      this.report(entry);
    }
    this.time.after(RESEND_DELAY, () => {
      for (const pending of [...this.pending.values()]) {
        if (entries.includes(pending.request.entry)) {
          const waited = this.time.now() - pending.outcome.requestedAt;
          const request = { ...pending.request, objectiveLeft: OBJECTIVE - waited };
          this.send({ ...pending, request });
        }
      }
    });
  }

  /** The coordinator of that name. */
  coordinatorNamed(name: string): coordinator.Coordinator | undefined {
    return this.coordinators.get(name)?.coordinator;
  }

  private sample(): void {
    const held = new Map<string, number>();
    for (const { facts, length, startsAt } of this.running.values()) {
      const produced = this.producedSince(startsAt, length);
      held.set(facts.account, (held.get(facts.account) ?? 0) + facts.promptTokens + produced);
    }
    this.samples.push(held);
    this.time.after(SAMPLE_INTERVAL, () => {
      this.sample();
    });
  }

  private producedSince(startsAt: number, length: number): number {
    return Math.max(0, Math.min(length, Math.floor((this.time.now() - startsAt) / MILLISECONDS_PER_TOKEN)));
  }

  private reportPeriodically(entry: string): void {
    this.report(entry);
    this.time.after(REPORT_INTERVAL, () => {
      this.reportPeriodically(entry);
    });
  }

  private reportSoon(entry: string): void {
    if (!this.reportsDue.has(entry)) {
      this.reportsDue.add(entry);
      this.time.after(CHANGE_REPORT_DELAY, () => {
        this.report(entry);
      });
    }
  }

  private report(entry: string): void {
    this.reportsDue.delete(entry);
    const sequence = (this.sequences.get(entry) ?? 0) + 1;
    this.sequences.set(entry, sequence);
    const generations = [...this.running.values()]
      .filter((generation) => generation.entry === entry)
      .map(({ facts, instance, startsAt, length }) => {
        const started = this.time.now() >= startsAt;
        return { facts, instance, produced: this.producedSince(startsAt, length), started };
      });
    const message: types.EntryReport = {
      ...{ entry, address: `${entry}:1`, epoch: 'x', sequence, leaving: [], unlisted: [] },
      ...{ generations, finished: this.finished.get(entry) ?? [] },
    };
    this.finished.delete(entry);
    const name = this.coordinatorOf.get(entry) ?? '';
    this.deliver(() => {
      this.coordinators.get(name)?.coordinator.applyReport(message);
    });
  }

  private normal(): number {
    return Math.sqrt(-2 * Math.log(this.random.next() + 1e-9)) * Math.cos(2 * Math.PI * this.random.next());
  }

  private drawPrompt(): number {
    return Math.round(Math.max(600, Math.min(9_000, 2_500 * Math.exp(0.4 * this.normal()))));
  }

  private drawLength(): number {
    return Math.round(Math.max(40, Math.min(2_200, 600 * Math.exp(0.5 * this.normal()))));
  }

  private arrive(load: AccountLoad): void {
    const { account, demand, until = Number.POSITIVE_INFINITY } = load;
    if (this.time.now() > until * 1_000) {
      return;
    }
    const prompt = this.drawPrompt();
    const length = this.drawLength();
    const entry = ENTRIES[Math.floor(this.random.next() * ENTRIES.length)] ?? 'e0';
    const identity = `g${this.outcomes.length}`;
    const facts: types.GenerationAttributes = {
      ...{ identity, service: 'llm', promptTokens: prompt, outputLimit: 2_200, rank: 1, account },
      lengthHint: Math.max(1, Math.round(length * Math.exp((this.random.next() - 0.5) * 0.6))),
    };
    const outcome: RequestOutcome = {
      ...{ account, promptTokens: prompt, requestedAt: this.time.now(), inTime: false, refused: false },
    };
    this.outcomes.push(outcome);
    const { patience = waitLimits.maximumWait(OBJECTIVE, TIMEOUT, 1) } = this.options;
    const request = { facts, entry, dataCentre: 'a', excluded: [], likeness: identity, patience };
    const times = { objective: OBJECTIVE, objectiveLeft: OBJECTIVE };
    this.send({ request: { ...request, ...times }, outcome, length, isRetry: false });
    const perSecond = (demand * this.engineCount * MEMORY * USABLE_SHARE) / MEAN_TOKEN_SECONDS;
    this.time.after((-Math.log(1 - this.random.next()) * 1_000) / perSecond, () => {
      this.arrive(load);
    });
  }

  private send(pending: Pending): void {
    const { request, outcome, length } = pending;
    const { identity } = request.facts;
    this.pending.set(identity, pending);
    const name = this.coordinatorOf.get(request.entry) ?? '';
    this.coordinators.get(name)?.coordinator.requestPlacement(request, (answer) => {
      if (!this.pending.delete(identity)) {
        return;
      }
      if (answer.state === 'placed') {
        this.start(request, answer.instance, outcome, length);
      } else {
        this.retry(pending, answer.retryAfter);
      }
    });
  }

  /** Retries once, as callers do; the retry has a new identity. */
  private retry(refused: Pending, retryAfter: number): void {
    const { request, outcome, isRetry } = refused;
    const left = outcome.requestedAt + TIMEOUT - this.time.now();
    if (isRetry || retryAfter > left * RETRY_WAIT_SHARE) {
      outcome.refused = true;
      return;
    }
    const facts = { ...request.facts, identity: `${request.facts.identity}r` };
    this.time.after(retryAfter, () => {
      this.send({ ...refused, request: { ...request, facts, objectiveLeft: OBJECTIVE }, isRetry: true });
    });
  }

  private start(
    { facts, entry }: types.PlacementRequest,
    instance: string,
    outcome: RequestOutcome,
    length: number,
  ): void {
    const now = this.time.now();
    const startsAt = Math.max(now, this.prefillEnds.get(instance) ?? 0) + facts.promptTokens * PREFILL_PACE;
    this.prefillEnds.set(instance, startsAt);
    outcome.placedAt = now;
    outcome.inTime = startsAt - outcome.requestedAt <= OBJECTIVE;
    this.running.set(facts.identity, { facts, entry, instance, length, startsAt });
    this.reportSoon(entry);
    this.time.after(startsAt - now, () => {
      this.reportSoon(entry);
    });
    this.time.after(startsAt - now + length * MILLISECONDS_PER_TOKEN, () => {
      this.running.delete(facts.identity);
      this.finished.set(entry, [...(this.finished.get(entry) ?? []), { facts, produced: length }]);
      this.reportSoon(entry);
    });
  }
}

/** Mean memory held over time by one generation of the load, in token seconds. */
const MEAN_TOKEN_SECONDS = 18_200;

/** Mean tokens held by an account in a part of the run, in seconds. */
export function meanHeld(harness: SharesTestHarness, account: string, from: number, until: number): number {
  const samples = harness.samples.slice(from * 10, until * 10);
  return samples.reduce((sum, held) => sum + (held.get(account) ?? 0), 0) / samples.length;
}

/** Mean tokens held by all accounts in a part of the run, in seconds. */
export function meanHeldByAll(harness: SharesTestHarness, from: number, until: number): number {
  const samples = harness.samples.slice(from * 10, until * 10);
  const sums = samples.map((held) => [...held.values()].reduce((sum, tokens) => sum + tokens, 0));
  return sums.reduce((sum, tokens) => sum + tokens, 0) / samples.length;
}

/** Share of the requests of an account in a part of the run that were answered in time. */
export function shareInTime(
  harness: SharesTestHarness,
  belongs: (outcome: RequestOutcome) => boolean,
  from: number,
  until: number,
): number {
  const selected = harness.outcomes.filter(
    (outcome) =>
      belongs(outcome) && outcome.requestedAt >= from * 1_000 && outcome.requestedAt < until * 1_000,
  );
  return selected.filter((outcome) => outcome.inTime).length / selected.length;
}

/** Jain's index of fairness: 1 if all values are equal, 1/n if one has everything. */
export function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return (sum * sum) / (values.length * squares);
}
