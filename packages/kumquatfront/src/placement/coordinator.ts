/**
 * Places generations on engines for the whole system, and moves them off engines that leave. It runs beside
 * the leader of control; its state is soft, and a new leader learns it from the entries' next reports.
 */
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as trafficTypes from '../traffic/types.js';
import * as enginePool from './enginePool.js';
import * as evacuation from './evacuation.js';
import * as placementQueue from './placementQueue.js';
import type * as types from './types.js';

/** How often places are offered anew; a step of an engine takes as long. */
const PUMP_INTERVAL: ports.Milliseconds = 20;

/** How often the coordinator logs what it believes. */
const STATE_INTERVAL: ports.Milliseconds = 1_000;

/** After its election a coordinator grants nothing for this long, until the entries have reported: two reports. */
const LEARNING: ports.Milliseconds = 600;

/** Longest time to come back that is told: a caller honours a third of its time left at most. */
const LONGEST_RETRY_AFTER: ports.Milliseconds = 4_000;

/** What the coordinator is made from. */
export interface CoordinatorOptions {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly random: ports.Random;
  /** True while this replica leads. */
  readonly leads: () => boolean;
  /** The instances as this replica knows them. */
  readonly instances: () => readonly instanceTypes.InstanceRecord[];
  /** Changes whenever `instances` does. */
  readonly instancesRevision: () => number;
  readonly serviceOf: (name: string) => trafficTypes.Service | undefined;
  readonly move: evacuation.EvacuationHost['move'];
}

/** The coordinator; see the module comment. */
export class Coordinator {
  private readonly options: CoordinatorOptions;
  private readonly pool = new enginePool.EnginePool();
  private readonly queue = new placementQueue.PlacementQueue();
  private readonly evacuation: evacuation.Evacuation;
  private leadsSince: number | undefined;
  /** Smoothed time between two grants of a service, for times to come back. */
  private readonly grantGap = new Map<string, { at: number; gap: number }>();

  constructor(options: CoordinatorOptions) {
    this.options = options;
    this.evacuation = new evacuation.Evacuation({ pool: this.pool, move: options.move, log: options.log });
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
    if (this.leadsSince === undefined || (this.queue.size === 0 && this.pool.placedCount === 0)) {
      return;
    }
    const loads = this.pool.describe();
    this.options.log.info('coordinatorState', {
      waiting: this.queue.size,
      placed: this.pool.placedCount,
      engines: loads.join(' '),
    });
  }

  /** Asks for a place; the answer may come much later. */
  place(request: types.PlacementRequest, answer: (answer: types.PlacementAnswer) => void): void {
    const now = this.options.timers.now();
    const known = this.pool.placedOf(request.facts.identity);
    // The answer to an earlier question may have been lost; granting another engine would count it twice.
    if (known !== undefined && !known.reported && !request.excluded.includes(known.running.instance)) {
      answer({ state: 'placed', instance: known.running.instance });
      return;
    }
    if (!this.queue.add(request, now, answer)) {
      answer({ state: 'refused', retryAfter: LONGEST_RETRY_AFTER, reason: 'the queue is full' });
      return;
    }
    this.pump();
  }

  /** Withdraws a question. */
  withdraw(identity: string): void {
    this.queue.remove(identity);
  }

  /** Takes an entry's report in. */
  report(report: types.EntryReport): void {
    this.pool.report(report, this.options.timers.now());
  }

  /** Called when the instances changed, so that an evacuation starts at once. */
  instancesChanged(): void {
    this.pump();
  }

  private refreshEngines(): void {
    const { instances, serviceOf } = this.options;
    const engines: enginePool.Engine[] = [];
    for (const record of instances()) {
      const traits = serviceOf(record.service)?.engine;
      if (traits !== undefined) {
        engines.push({
          identity: record.identity,
          service: record.service,
          dataCentre: record.dataCentre,
          leaving: record.state === 'leaving',
          traits: { ...traits, slots: record.slots > 0 ? record.slots : traits.slots },
        });
      }
    }
    this.pool.setEngines(engines);
  }

  private pump(): void {
    const now = this.options.timers.now();
    if (!this.options.leads()) {
      this.leadsSince = undefined;
      return;
    }
    this.leadsSince ??= now;
    this.refreshEngines();
    this.pool.expire(now);
    for (const expired of this.queue.takeExpired(now)) {
      this.refuse(expired, 'no place came free in time');
    }
    if (now - this.leadsSince < LEARNING) {
      return;
    }
    this.evacuation.pump();
    this.queue.serve(now, (waiting) => this.tryPlace(waiting, now));
  }

  private refuse(waiting: placementQueue.Waiting, reason: string): void {
    const { facts } = waiting.request;
    const retryAfter = this.retryAfter(facts.service);
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
    const { facts, dataCentre, excluded } = waiting.request;
    const engine = this.pool.bestFor(facts, 0, dataCentre, new Set(excluded));
    if (engine === undefined) {
      return false;
    }
    this.pool.grant(waiting.request, engine.identity, now);
    this.noteGrant(facts.service, now);
    this.options.log.debug('placed', {
      request: facts.identity,
      engine: engine.identity,
      waited: Math.round(now - waiting.since),
      waiting: this.queue.size,
    });
    waiting.answer({ state: 'placed', instance: engine.identity });
    return true;
  }

  private noteGrant(service: string, now: number): void {
    const known = this.grantGap.get(service);
    const gap = known === undefined ? 100 : 0.9 * known.gap + 0.1 * (now - known.at);
    this.grantGap.set(service, { at: now, gap });
  }
}
