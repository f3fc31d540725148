/**
 * Cluster-wide scheduler that places generations on engines and moves them off draining engines. Runs in every
 * control replica; entries use the leader, or a replica reachable by all entries when there is no leader. State is
 * rebuilt from the entries' reports after a failover; two active coordinators only make placement less efficient.
 */
import * as placementShares from '../fairShare/placementShares.js';
import type * as shareReport from '../fairShare/shareReport.js';
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as trafficTypes from '../traffic/types.js';
import type * as prefillBacklog from '../prefill/prefillBacklog.js';
import * as prefillScheduler from '../prefill/prefillScheduler.js';
import type * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as enginePaces from '../upstreamPace/enginePaces.js';
import * as enginePool from './enginePool.js';
import * as engineList from './engineList.js';
import * as evacuation from './evacuation.js';
import * as grantPace from './grantPace.js';
import * as placementFeatures from './placementFeatures.js';
import * as placementQueue from './placementQueue.js';
import * as ranks from './ranks.js';
import * as retryTracker from './retryTracker.js';
import * as timeliness from './timeliness.js';
import type * as types from './types.js';
import * as waitLimits from './waitLimits.js';

/** Interval of the scheduling loop: about one decoding step of an engine. */
const TICK_INTERVAL: ports.Milliseconds = 20;

/** Interval at which the coordinator logs its state. */
const STATE_LOG_INTERVAL: ports.Milliseconds = 1_000;

/**
 * Bounds of the recovery after a failover. Nothing is placed until all known entries have reported their running
 * generations, so that engines are not overcommitted; an entry that does not report delays placement up to the maximum.
 * Most entries report within a round trip; without the early end every change of leader would take the maximum.
 */
const MINIMUM_RECOVERY_TIME: ports.Milliseconds = 60;
const MAXIMUM_RECOVERY_TIME: ports.Milliseconds = 450;

/** Without requests or reports for this long, no entry uses this replica as the coordinator. */
const IDLE_TIMEOUT: ports.Milliseconds = 1_500;

/** Maximum time between two passes over the queue while nothing changes. */
const DISPATCH_INTERVAL: ports.Milliseconds = 100;

/**
 * With this many queued requests, passes over the queue are at least `BUSY_DISPATCH_INTERVAL` apart: every report of an
 * entry would start one otherwise, and the control replica would miss heartbeats of the consensus.
 */
const BUSY_QUEUE_SIZE = 8;
const BUSY_DISPATCH_INTERVAL: ports.Milliseconds = 60;

/** Upper bound of the `retryAfter` in refusals, since callers do not honour longer delays. */
const MAXIMUM_RETRY_AFTER: ports.Milliseconds = 4_000;

/** Dependencies and settings of the coordinator. */
export interface CoordinatorOptions {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly random: ports.Random;
  /** Instances known to this replica. */
  readonly instances: () => readonly instanceTypes.InstanceRecord[];
  readonly serviceOf: (name: string) => trafficTypes.Service | undefined;
  /** True for a data centre whose engines must not receive new generations. */
  readonly isEvacuated: (dataCentre: string) => boolean;
  /** Permitted overshoot of the rate limit of cold engines. */
  readonly warmUpTolerance: warmUpBounds.WarmUpTolerance;
  /** Names of the entries known to this replica. */
  readonly entryNames: () => readonly string[];
  /** Sends a move command to an entry. */
  readonly move: evacuation.EvacuationOptions['move'];
  /** Weight of a client account; by default all have the weight 1. */
  readonly weightOf?: (account: string) => number;
  /** Returns whether the shares of client accounts decide; by default they do. */
  readonly sharesEnabled?: () => boolean;
  /** Returns whether a placement feature is enabled; by default all are. */
  readonly isEnabled?: placementFeatures.IsEnabled;
  /** Prefill pace of each engine; by default learned from first events. */
  readonly paceOf?: prefillBacklog.PrefillPace;
}

/** Placement coordinator of one control replica. */
export class Coordinator {
  private readonly options: CoordinatorOptions;
  private readonly isEnabled: placementFeatures.IsEnabled;
  private readonly pool: enginePool.EnginePool;
  private readonly retryTracker = new retryTracker.RetryTracker();
  private readonly queue = new placementQueue.PlacementQueue(
    {
      expectedOutput: (facts) =>
        this.isEnabled('shorterFirst') ? this.pool.lengths.totalOutput(facts, 0) : 0,
      timelinessOf: (queued, now) => this.timelinessOf(queued, now),
      mayWaitLonger: (queued, now) =>
        this.isScheduled && this.scheduler.mayWaitLonger(queued.request, now - queued.since),
    },
    () => (this.usesShares ? this.accountOrder : undefined),
  );
  private readonly shares: placementShares.PlacementShares;
  private readonly accountOrder: placementQueue.AccountOrder = {
    keyOf: (service, account) => this.shares.keyOf(service, account),
    recordOvertaken: (facts) => {
      this.shares.recordOvertaken(facts);
    },
    reservedForOthers: (facts) => this.shares.reservedForOthers(facts),
    reserveEngine: (request, now) => {
      this.shares.reserveEngine(request, this.pool, now);
    },
    extraWaitOf: (identity) => this.shares.extraWaitOf(identity),
  };
  private readonly scheduler: prefillScheduler.PrefillScheduler;
  private readonly evacuation: evacuation.EvacuationScheduler;
  private activeSince: number | undefined;
  private lastActivityAt = Number.NEGATIVE_INFINITY;
  private lastDispatchAt = Number.NEGATIVE_INFINITY;
  private stateChanged = true;
  private readonly grantPace = new grantPace.GrantPace();

  constructor(options: CoordinatorOptions) {
    this.options = options;
    this.isEnabled = options.isEnabled ?? placementFeatures.allEnabled;
    this.pool = new enginePool.EnginePool(this.isEnabled, this.paceSource());
    this.scheduler = new prefillScheduler.PrefillScheduler({
      metrics: options.metrics,
      random: options.random,
      meanPaceOf: (service) => this.pool.prefillEstimator.millisecondsPerTokenOf(service),
      fixedDelayOf: (service) => this.pool.prefillEstimator.timeToFirstEvent(service, 0),
      engineCountOf: (service) => this.pool.availableEnginesOf(service).length,
      shortestWaitOf: (service, now) => {
        const engines = this.pool.availableEnginesOf(service).map((engine) => engine.identity);
        return this.pool.prefill.shortestWaitOf(engines, now);
      },
    });
    const { log, metrics, weightOf = (): number => 1 } = options;
    this.shares = new placementShares.PlacementShares({ log, metrics, weightOf });
    this.evacuation = new evacuation.EvacuationScheduler({
      pool: this.pool,
      move: options.move,
      now: () => options.timers.now(),
      log: options.log,
      metrics: options.metrics,
    });
    options.timers.every(
      () => TICK_INTERVAL,
      () => {
        this.tick();
      },
    );
    options.timers.every(
      () => STATE_LOG_INTERVAL,
      () => {
        this.logState();
      },
    );
  }

  private get isScheduled(): boolean {
    return this.isEnabled('prefillScheduling');
  }

  private get usesShares(): boolean {
    return this.isEnabled('accountShares') && (this.options.sharesEnabled?.() ?? true);
  }

  private paceSource(): enginePool.EnginePaceSource {
    const { paceOf, timers } = this.options;
    if (paceOf !== undefined || !this.isEnabled('upstreamPace')) {
      return { ...(paceOf !== undefined && { paceOf }) };
    }
    const paces = new enginePaces.EnginePaces(() => timers.now());
    return {
      relativePaceOf: (engine, service) => paces.relativePrefillPaceOf(engine, service),
      observe: (engine, service, tokens, elapsed) => {
        paces.observePrefill(engine, service, tokens, elapsed);
      },
      remove: (engine) => {
        paces.remove(engine);
      },
    };
  }

  private logState(): void {
    if (this.activeSince === undefined || (this.queue.size === 0 && this.pool.placedCount === 0)) {
      return;
    }
    if (this.usesShares) {
      this.shares.report();
    }
    const loads = this.pool.describeLoads();
    this.options.metrics.gauge('placement.waiting', this.queue.size);
    this.options.metrics.gauge('placement.running', this.pool.placedCount);
    this.options.metrics.gauge('placement.retry_reservations', this.scheduler.reservationCount);
    this.options.log.info('coordinatorState', {
      waiting: this.queue.size,
      placed: this.pool.placedCount,
      reservations: this.scheduler.reservationCount,
      engines: loads.join(' '),
    });
  }

  /** Queues a placement request; `respond` is called once it is placed or refused. */
  requestPlacement(request: types.PlacementRequest, respond: (answer: types.PlacementAnswer) => void): void {
    const now = this.options.timers.now();
    this.lastActivityAt = now;
    this.stateChanged = true;
    const placed = this.pool.placedOf(request.facts.identity);
    // The response to an earlier request may have been lost; a second grant would count the generation twice.
    if (placed !== undefined && !placed.reported && !request.excluded.includes(placed.running.instance)) {
      respond({ state: 'placed', ...this.placementOn(placed.running.instance, request, now) });
      return;
    }
    if (this.isScheduled && !this.queue.has(request.facts.identity)) {
      this.scheduler.recordArrival(request, now);
    }
    const pending = this.withOriginalDeadline(request, now);
    if (!this.queue.add(pending, now, respond) && !this.addInstead(pending, now, respond)) {
      this.scheduler.forget(request.facts.identity);
      respond({ state: 'refused', retryAfter: MAXIMUM_RETRY_AFTER, reason: 'the queue is full' });
      return;
    }
    this.tick();
  }

  /** Refuses a queued request of the account furthest above its share, and adds the new one in its place. */
  private addInstead(
    request: types.PlacementRequest,
    now: number,
    respond: placementQueue.QueuedRequest['respond'],
  ): boolean {
    const refused = this.queue.takeForRoom(request, now);
    if (refused === undefined) {
      return false;
    }
    this.shares.recordOvertaken(refused.request.facts);
    this.refuse(refused, 'the queue is full');
    return this.queue.add(request, now, respond);
  }

  /** Share, use, debt and refusals of the client accounts; empty unless shares decide at this replica. */
  accountStatus(): readonly shareReport.AccountStatus[] {
    return this.activeSince === undefined || !this.usesShares ? [] : this.shares.status();
  }

  /** For a retry, reduces the remaining objective by the time since the caller's first attempt. */
  private withOriginalDeadline(request: types.PlacementRequest, now: number): types.PlacementRequest {
    const firstRequestedAt = this.retryTracker.takeFirstRequestTime(request.likeness, now);
    if (firstRequestedAt === undefined || !this.isEnabled('returningCallers')) {
      return request;
    }
    const objectiveLeft = Math.min(request.objectiveLeft, firstRequestedAt + request.objective - now);
    this.options.log.info('callerReturned', {
      request: request.facts.identity,
      firstAsked: Math.round(now - firstRequestedAt),
      objectiveLeft: Math.round(objectiveLeft),
    });
    const retry = { ...request, objectiveLeft };
    const patient = ranks.isPatient(request.facts.rank);
    const late = patient && this.timelinessOf({ request: retry, since: now }, now) === 'late';
    return late ? { ...retry, patience: Math.min(request.patience, waitLimits.LATE_RETRY_WAIT) } : retry;
  }

  private timelinessOf(
    queued: Pick<placementQueue.QueuedRequest, 'request' | 'since'>,
    now: number,
  ): timeliness.Timeliness {
    const { request, since } = queued;
    if (!this.isEnabled('lateLast')) {
      return 'inTime';
    }
    const timeToFirstEvent = this.pool.prefillEstimator.timeToFirstEvent(
      request.facts.service,
      request.facts.promptTokens,
    );
    return timeliness.classify(request, now - since, timeToFirstEvent);
  }

  /** Removes a request from the queue. */
  withdraw(identity: string): void {
    this.queue.remove(identity);
    this.scheduler.forget(identity);
    this.shares.recordWithdrawal(identity);
  }

  /** Applies an entry's report of its running generations. */
  applyReport(report: types.EntryReport): void {
    const now = this.options.timers.now();
    this.lastActivityAt = now;
    this.stateChanged = true;
    this.pool.applyReport(report, now);
  }

  /** Reschedules after a change of the instances, so that moves off draining engines start immediately. */
  handleInstancesChanged(): void {
    this.stateChanged = true;
    this.tick();
  }

  private refreshEngines(): void {
    this.pool.setEngines(engineList.fromInstances(this.options.instances(), this.options));
  }

  private tick(): void {
    const now = this.options.timers.now();
    if (now - this.lastActivityAt > IDLE_TIMEOUT) {
      this.activeSince = undefined;
      // Entries have sent these requests to another coordinator.
      for (const identity of this.queue.clear()) {
        this.scheduler.forget(identity);
      }
      return;
    }
    this.activeSince ??= now;
    if (this.isRecovering(now, this.activeSince)) {
      return;
    }
    if (this.isDispatchDue(now)) {
      this.stateChanged = false;
      this.lastDispatchAt = now;
      this.refreshEngines();
      this.removeExpired(now);
      if (this.isEnabled('evacuation')) {
        this.evacuation.startMoves();
      }
      if (this.usesShares) {
        this.shares.update(this.pool.placedGenerations(), this.queue.values(), now);
      }
      this.queue.dispatch(now, (queued, reserved) => this.tryPlace(queued, now, reserved));
    }
    for (const expired of this.queue.takeExpired(now)) {
      this.refuse(expired, 'no place came free in time');
    }
  }

  private removeExpired(now: number): void {
    for (const { identity, engine } of this.pool.removeExpired(now)) {
      this.options.log.warn('prefillExpired', { request: identity, engine });
    }
    this.scheduler.removeExpired(now);
  }

  private isDispatchDue(now: number): boolean {
    const elapsed = now - this.lastDispatchAt;
    const isBusy = this.queue.size >= BUSY_QUEUE_SIZE;
    return (
      elapsed >= DISPATCH_INTERVAL || (this.stateChanged && (!isBusy || elapsed >= BUSY_DISPATCH_INTERVAL))
    );
  }

  private isRecovering(now: number, since: number): boolean {
    const elapsed = now - since;
    if (elapsed < MINIMUM_RECOVERY_TIME || elapsed >= MAXIMUM_RECOVERY_TIME) {
      return elapsed < MINIMUM_RECOVERY_TIME;
    }
    const entryNames = this.options.entryNames();
    return entryNames.length === 0 || !entryNames.every((entry) => this.pool.hasReportedSince(entry, since));
  }

  /** @param prefillWait - forecast wait on the engine that would take the request first, if prefill is the cause */
  private refuse(
    queued: placementQueue.QueuedRequest,
    reason: string,
    prefillWait?: ports.Milliseconds,
  ): void {
    const { facts, likeness, objective, objectiveLeft } = queued.request;
    const now = this.options.timers.now();
    const retryAfter = this.retryAfter(queued.request, now, prefillWait);
    this.scheduler.recordResult(queued.request, false, now);
    this.scheduler.forget(facts.identity);
    this.retryTracker.recordRefusal(likeness, queued.since + objectiveLeft - objective, now);
    this.options.metrics.count('placement.answers', 1, { state: 'refused' });
    const shareCause = this.usesShares ? this.shares.recordRefusal(facts) : {};
    this.options.log.info('placementRefused', {
      ...{ request: facts.identity, reason, retryAfter },
      ...shareCause,
    });
    queued.respond({ state: 'refused', retryAfter, reason });
  }

  /**
   * Forecasts when capacity is free for a refused request: from prefill while prompts wait on all engines, else from
   * the time to drain the queue; with jitter so that callers do not retry simultaneously.
   */
  private retryAfter(request: types.PlacementRequest, now: number, prefillWait?: ports.Milliseconds): number {
    const { service, identity } = request.facts;
    // A generation that runs elsewhere continues there when its second placement is refused.
    const mayReserve = this.isScheduled && this.pool.placedOf(identity) === undefined;
    const reservedTime = mayReserve ? this.scheduler.reserveRetry(request, now, prefillWait) : undefined;
    if (reservedTime !== undefined) {
      return Math.ceil(reservedTime);
    }
    const drainTime = this.grantPace.intervalOf(service) * (this.queue.countForService(service) + 1);
    const jitter = 1 + this.options.random.next() * 0.5;
    return Math.round(Math.min(MAXIMUM_RETRY_AFTER, drainTime * jitter));
  }

  /** Places a request or refuses it at once; returns false if it remains in the queue. */
  private tryPlace(queued: placementQueue.QueuedRequest, now: number, reserved: readonly string[]): boolean {
    const { request, since } = queued;
    const { facts, dataCentre, excluded, objectiveLeft } = request;
    const deadlineStatus = this.timelinessOf(queued, now);
    const scheduled = { request, since, timeliness: deadlineStatus };
    const query: enginePool.EngineQuery = {
      facts,
      produced: 0,
      purpose: purposeOf(request, deadlineStatus),
      ...(request.software !== undefined && { software: request.software }),
      dataCentre,
      excluded: new Set([...excluded, ...reserved]),
    };
    const prefillLimits = this.isScheduled
      ? {
          acceptsForecast: this.scheduler.conditionFor(scheduled, now),
          earliestFirst: !ranks.isPatient(facts.rank),
        }
      : deadlineStatus === 'inTime' && { maximumTimeToFirstEvent: objectiveLeft - (now - since) };
    const engine = this.pool.selectEngine({ ...query, ...prefillLimits }, now);
    if (engine !== undefined) {
      this.place(queued, engine, now);
      return true;
    }
    if (!this.isScheduled) {
      return false;
    }
    // The engine that would take it first if its prefill forecast were no obstacle.
    const available = this.pool.selectEngine({ ...query, earliestFirst: true }, now);
    if (this.scheduler.decideWithoutEngine(scheduled, available !== undefined) === 'wait') {
      return false;
    }
    const wait = available && this.pool.prefill.forecastOf(available.identity, facts.service, 0, now).wait;
    this.refuse(queued, 'no engine would produce the first event in time', wait);
    return true;
  }

  private place(queued: placementQueue.QueuedRequest, engine: enginePool.Engine, now: number): void {
    const { facts, entry } = queued.request;
    const placement = this.placementOn(engine.identity, queued.request, now);
    this.pool.recordGrant(queued.request, placement, now);
    this.scheduler.recordResult(queued.request, true, now);
    this.scheduler.forget(facts.identity);
    this.grantPace.record(facts.service, now);
    this.shares.recordGrant(facts);
    this.options.metrics.count('placement.answers', 1, { state: 'placed' });
    this.options.metrics.timing('placement.wait', now - queued.since, { rank: String(facts.rank) });
    if (placement.firstEventIn !== undefined) {
      this.options.metrics.timing('placement.first_event_in', placement.firstEventIn, {
        rank: String(facts.rank),
      });
    }
    this.options.log.info('placed', {
      request: facts.identity,
      entry,
      engine: engine.identity,
      waited: Math.round(now - queued.since),
      waiting: this.queue.size,
      firstEventIn: placement.firstEventIn,
    });
    queued.respond({ state: 'placed', ...placement });
  }

  private placementOn(instance: string, request: types.PlacementRequest, now: number): types.Placement {
    return this.isScheduled
      ? { instance, firstEventIn: this.pool.firstEventIn(instance, request.facts, now) }
      : { instance };
  }
}

function purposeOf(
  { facts, software: required }: types.PlacementRequest,
  deadlineStatus: timeliness.Timeliness,
): enginePool.Purpose {
  if (required !== undefined) {
    return 'resumed';
  }
  if (!ranks.isPatient(facts.rank)) {
    return 'urgent';
  }
  return deadlineStatus === 'late' ? 'late' : 'patient';
}
