/**
 * Places generations on engines for the whole system, and moves them off engines that leave. Every control
 * replica can do it; entries turn to the leader, or to one that all of them see where there is no leader. Its
 * state is soft: whoever takes over learns it from the entries' next reports. Two at once only place less well.
 */
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as trafficTypes from '../traffic/types.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as enginePool from './enginePool.js';
import * as evacuation from './evacuation.js';
import * as mechanisms from './mechanisms.js';
import * as placementQueue from './placementQueue.js';
import * as ranks from './ranks.js';
import * as returningCallers from './returningCallers.js';
import * as timeliness from './timeliness.js';
import type * as types from './types.js';
import * as waitingRules from './waitingRules.js';

/** How often places are offered anew; a step of an engine takes as long. */
const PUMP_INTERVAL: ports.Milliseconds = 20;

/** How often the coordinator logs what it believes. */
const STATE_INTERVAL: ports.Milliseconds = 1_000;

/**
 * A coordinator that is asked for the first time grants nothing until it knows what runs: until every entry that its
 * replica hears has reported, between these two bounds. Most report within a round trip of hearing of it; without
 * the early end every change of leader would keep all generations waiting for the longest time.
 */
const LEAST_LEARNING: ports.Milliseconds = 60;
const LONGEST_LEARNING: ports.Milliseconds = 450;

/** Without a report for this long nobody takes this replica for the coordinator. */
const IDLE_AFTER: ports.Milliseconds = 1_500;

/** The queue is offered places this often even where nothing changed. */
const SERVE_INTERVAL: ports.Milliseconds = 100;

/** Longest time to come back that is told: a caller honours a third of its time left at most. */
const LONGEST_RETRY_AFTER: ports.Milliseconds = 4_000;

/** What the coordinator is made from. */
export interface CoordinatorOptions {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly random: ports.Random;
  /** The instances as this replica knows them. */
  readonly instances: () => readonly instanceTypes.InstanceRecord[];
  readonly serviceOf: (name: string) => trafficTypes.Service | undefined;
  /** True where the engines of a data centre are to get nothing new. */
  readonly isEvacuated: (dataCentre: string) => boolean;
  /** How far all that send may pass what a cold engine tolerates. */
  readonly warmUpTolerance: warmUpBounds.WarmUpTolerance;
  /** Names of the entries that this replica hears. */
  readonly entries: () => readonly string[];
  readonly move: evacuation.EvacuationHost['move'];
  /** Which mechanisms are in use; all of them where this is left out. */
  readonly isOn?: mechanisms.IsOn;
}

/** The coordinator; see the module comment. */
export class Coordinator {
  private readonly options: CoordinatorOptions;
  private readonly isOn: mechanisms.IsOn;
  private readonly pool: enginePool.EnginePool;
  private readonly returning = new returningCallers.ReturningCallers();
  private readonly queue = new placementQueue.PlacementQueue({
    expectedOutput: (facts) => (this.isOn('shorterFirst') ? this.pool.lengths.expectedOutput(facts, 0) : 0),
    timelinessOf: (waiting, now) => this.timelinessOf(waiting, now),
  });
  private readonly evacuation: evacuation.Evacuation;
  private activeSince: number | undefined;
  private askedAt = Number.NEGATIVE_INFINITY;
  private servedAt = Number.NEGATIVE_INFINITY;
  private changed = true;
  /** Smoothed time between two grants of a service, for times to come back. */
  private readonly grantGap = new Map<string, { at: number; gap: number }>();

  constructor(options: CoordinatorOptions) {
    this.options = options;
    this.isOn = options.isOn ?? mechanisms.allOn;
    this.pool = new enginePool.EnginePool(this.isOn);
    this.evacuation = new evacuation.Evacuation({
      pool: this.pool,
      move: options.move,
      now: () => options.timers.now(),
      log: options.log,
      metrics: options.metrics,
    });
    options.timers.every(
      () => PUMP_INTERVAL,
      () => {
        this.pump();
      },
    );
    options.timers.every(
      () => STATE_INTERVAL,
      () => {
        this.logState();
      },
    );
  }

  private logState(): void {
    if (this.activeSince === undefined || (this.queue.size === 0 && this.pool.placedCount === 0)) {
      return;
    }
    const loads = this.pool.describe();
    this.options.metrics.gauge('placement.waiting', this.queue.size);
    this.options.metrics.gauge('placement.running', this.pool.placedCount);
    this.options.log.info('coordinatorState', {
      waiting: this.queue.size,
      placed: this.pool.placedCount,
      engines: loads.join(' '),
    });
  }

  /** Asks for a place; the answer may come much later. */
  place(request: types.PlacementRequest, answer: (answer: types.PlacementAnswer) => void): void {
    const now = this.options.timers.now();
    this.askedAt = now;
    this.changed = true;
    const known = this.pool.placedOf(request.facts.identity);
    // The answer to an earlier question may have been lost; granting another engine would count it twice.
    if (known !== undefined && !known.reported && !request.excluded.includes(known.running.instance)) {
      answer({ state: 'placed', instance: known.running.instance });
      return;
    }
    if (!this.queue.add(this.countedFromFirst(request, now), now, answer)) {
      answer({ state: 'refused', retryAfter: LONGEST_RETRY_AFTER, reason: 'the queue is full' });
      return;
    }
    this.pump();
  }

  /** A caller that comes back has waited before; its objective counts from its first question. */
  private countedFromFirst(request: types.PlacementRequest, now: number): types.PlacementRequest {
    const firstAskedAt = this.returning.take(request.likeness, now);
    if (firstAskedAt === undefined || !this.isOn('returningCallers')) {
      return request;
    }
    const objectiveLeft = Math.min(request.objectiveLeft, firstAskedAt + request.objective - now);
    this.options.log.info('callerReturned', {
      request: request.facts.identity,
      firstAsked: Math.round(now - firstAskedAt),
      objectiveLeft: Math.round(objectiveLeft),
    });
    const returned = { ...request, objectiveLeft };
    const patient = ranks.isPatient(request.facts.rank);
    const late = patient && this.timelinessOf({ request: returned, since: now }, now) === 'late';
    return late ? { ...returned, patience: Math.min(request.patience, waitingRules.LATE_WAIT) } : returned;
  }

  private timelinessOf(
    waiting: Pick<placementQueue.Waiting, 'request' | 'since'>,
    now: number,
  ): timeliness.Timeliness {
    const { request, since } = waiting;
    if (!this.isOn('lateLast')) {
      return 'inTime';
    }
    const needed = this.pool.pace.timeToFirstEvent(request.facts.service, request.facts.promptTokens);
    return timeliness.judge(request, now - since, needed);
  }

  /** Withdraws a question. */
  withdraw(identity: string): void {
    this.queue.remove(identity);
  }

  /** Takes an entry's report in. */
  report(report: types.EntryReport): void {
    const now = this.options.timers.now();
    this.askedAt = now;
    this.changed = true;
    this.pool.report(report, now);
  }

  /** Called when the instances changed, so that an evacuation starts at once. */
  instancesChanged(): void {
    this.changed = true;
    this.pump();
  }

  private refreshEngines(): void {
    const { instances, serviceOf, isEvacuated, warmUpTolerance } = this.options;
    const engines: enginePool.Engine[] = [];
    for (const record of instances()) {
      const service = serviceOf(record.service);
      const traits = service?.engine;
      const warmUp = record.warmUpLeft > 0 ? service?.warmUp : undefined;
      if (traits !== undefined) {
        engines.push({
          identity: record.identity,
          service: record.service,
          dataCentre: record.dataCentre,
          leaving: record.state === 'leaving',
          evacuated: isEvacuated(record.dataCentre),
          ...(warmUp !== undefined && { tolerated: warmUpBounds.ofCoordinator(warmUp, warmUpTolerance) }),
          traits: { ...traits, slots: record.slots > 0 ? record.slots : traits.slots },
        });
      }
    }
    this.pool.setEngines(engines);
  }

  private pump(): void {
    const now = this.options.timers.now();
    if (now - this.askedAt > IDLE_AFTER) {
      this.activeSince = undefined;
      return;
    }
    this.activeSince ??= now;
    if (this.isLearning(now, this.activeSince)) {
      return;
    }
    if (this.changed || now - this.servedAt >= SERVE_INTERVAL) {
      this.changed = false;
      this.servedAt = now;
      this.refreshEngines();
      this.pool.expire(now);
      if (this.isOn('evacuation')) {
        this.evacuation.pump();
      }
      this.queue.serve(now, (waiting) => this.tryPlace(waiting, now));
    }
    for (const expired of this.queue.takeExpired(now)) {
      this.refuse(expired, 'no place came free in time');
    }
  }

  private isLearning(now: number, since: number): boolean {
    const taken = now - since;
    if (taken < LEAST_LEARNING || taken >= LONGEST_LEARNING) {
      return taken < LEAST_LEARNING;
    }
    const entries = this.options.entries();
    return entries.length === 0 || !entries.every((entry) => this.pool.hasHeardFrom(entry, since));
  }

  private refuse(waiting: placementQueue.Waiting, reason: string): void {
    const { facts, likeness, objective, objectiveLeft } = waiting.request;
    const retryAfter = this.retryAfter(facts.service);
    const now = this.options.timers.now();
    this.returning.refused(likeness, waiting.since + objectiveLeft - objective, now);
    this.options.metrics.count('placement.answers', 1, { state: 'refused' });
    this.options.log.info('placementRefused', { request: facts.identity, reason, retryAfter });
    waiting.answer({ state: 'refused', retryAfter, reason });
  }

  /** From the rate at which places come free and the queue's length, spread so that callers do not return at once. */
  private retryAfter(service: string): number {
    const gap = this.grantGap.get(service)?.gap ?? 100;
    const drained = gap * (this.queue.waitingOf(service) + 1);
    const spread = 1 + this.options.random.next() * 0.5;
    return Math.round(Math.min(LONGEST_RETRY_AFTER, drained * spread));
  }

  private tryPlace(waiting: placementQueue.Waiting, now: number): boolean {
    const { facts, dataCentre, excluded, objectiveLeft } = waiting.request;
    const verdict = this.timelinessOf(waiting, now);
    const engine = this.pool.bestFor(
      {
        facts,
        produced: 0,
        purpose: purposeOf(facts, verdict),
        dataCentre,
        excluded: new Set(excluded),
        ...(verdict === 'inTime' && { firstEventWithin: objectiveLeft - (now - waiting.since) }),
      },
      now,
    );
    if (engine === undefined) {
      return false;
    }
    const placement = { instance: engine.identity };
    this.pool.grant(waiting.request, placement, now);
    this.noteGrant(facts.service, now);
    this.options.metrics.count('placement.answers', 1, { state: 'placed' });
    this.options.metrics.timing('placement.wait', now - waiting.since, { rank: String(facts.rank) });
    this.options.log.info('placed', {
      request: facts.identity,
      entry: waiting.request.entry,
      engine: engine.identity,
      waited: Math.round(now - waiting.since),
      waiting: this.queue.size,
    });
    waiting.answer({ state: 'placed', ...placement });
    return true;
  }

  private noteGrant(service: string, now: number): void {
    const known = this.grantGap.get(service);
    const gap = known === undefined ? 100 : 0.9 * known.gap + 0.1 * (now - known.at);
    this.grantGap.set(service, { at: now, gap });
  }
}

function purposeOf(facts: types.GenerationFacts, verdict: timeliness.Timeliness): enginePool.Purpose {
  if (!ranks.isPatient(facts.rank)) {
    return 'urgent';
  }
  return verdict === 'late' ? 'late' : 'patient';
}
