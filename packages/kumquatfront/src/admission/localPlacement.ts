/**
 * Placement by a single entry: urgent requests are dispatched immediately, patient requests wait in a bounded
 * fair queue until an engine has headroom for them.
 */
import type * as directory from '../directory/directory.js';
import type * as upstreamTable from '../directory/upstreamTable.js';
import type * as estimates from '../estimates/lengthEstimator.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as balancingPolicy from '../routing/balancingPolicy.js';
import * as dispatchTracker from '../routing/dispatchTracker.js';
import type * as outlierDetector from '../routing/outlierDetector.js';
import type * as types from '../routing/types.js';
import * as rendezvousHashing from '../utils/rendezvousHashing.js';
import * as drainRate from './drainRate.js';
import * as fairQueue from './fairQueue.js';
import * as headroom from './headroom.js';
import * as memoryForecast from './memoryForecast.js';

/** Dependencies and settings of a local placement. */
export interface LocalPlacementOptions {
  /** Source of upstreams: a full directory, or a table that reports its changes. */
  readonly directory: Pick<directory.Directory, 'table' | 'onUpdate' | 'onUpstreamExpired'>;
  readonly estimator: estimates.LengthEstimator;
  readonly outlierDetector: outlierDetector.OutlierDetector;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly metrics: ports.Metrics;
  readonly selectUpstream: balancingPolicy.BalancingPolicy;
  readonly headroom: headroom.HeadroomSettings;
  readonly queueBounds: () => fairQueue.QueueBounds;
  readonly weightOf: (account: string) => number;
  /** Milliseconds a request waits for a usable upstream before it is refused. */
  readonly upstreamWait: number;
}

interface QueuedRequest {
  readonly request: types.PlacementRequest;
  readonly done: (placement: types.Placement) => void;
}

/** Queueing time in milliseconds after which a request takes precedence over all others. */
const AGING_THRESHOLD = 30_000;
const DRAIN_INTERVAL = 50;
/** Maximum number of engines evaluated for one patient request. */
const MAXIMUM_SAMPLED_ENGINES = 16;
/** Score bonus, in tokens of headroom, for an engine that has the prefix of the prompt cached. */
const PREFIX_AFFINITY_TOKENS = 500;

/** Places requests using the state of this process only; see the module comment. */
export class LocalPlacement implements types.PlacementPolicy {
  readonly dispatches = new dispatchTracker.DispatchTracker();
  private readonly options: LocalPlacementOptions;
  private readonly headroom = new headroom.Headroom();
  private readonly queues = new Map<string, fairQueue.FairQueue<QueuedRequest>>();
  private readonly drainRate: drainRate.DrainRate;
  private readonly upstreamWaiters = new Set<() => void>();

  constructor(options: LocalPlacementOptions) {
    this.options = options;
    this.drainRate = new drainRate.DrainRate(options.timers.now());
    options.timers.every(
      () => DRAIN_INTERVAL,
      () => {
        this.drainQueues();
      },
    );
    options.directory.onUpdate(() => {
      for (const retry of [...this.upstreamWaiters]) {
        retry();
      }
    });
    options.directory.onUpstreamExpired((name) => {
      this.dispatches.removeUpstream(name);
      this.headroom.removeUpstream(name);
    });
  }

  place(request: types.PlacementRequest, done: (placement: types.Placement) => void): ports.Cancel {
    if (request.urgency === 'urgent' || request.kind === 'plainService') {
      return this.runWhenUsable(request, done, () => {
        this.placeUrgent(request, this.candidates(request), done);
        return () => undefined;
      });
    }
    return this.placePatient(request, done);
  }

  /** Queues a patient request until an engine has headroom for it. */
  placePatient(request: types.PlacementRequest, done: (placement: types.Placement) => void): ports.Cancel {
    return this.runWhenUsable(request, done, () => this.enqueue(request, done));
  }

  /** Calls `resume` as soon as an upstream is usable, immediately if one is. */
  runWhenUsable(
    request: types.PlacementRequest,
    done: (placement: types.Placement) => void,
    resume: () => ports.Cancel,
  ): ports.Cancel {
    return this.hasUsableUpstream(request) ? resume() : this.waitForUpstream(request, done, resume);
  }

  private hasUsableUpstream(request: types.PlacementRequest): boolean {
    const context = this.context();
    return this.candidates(request).some((candidate) =>
      balancingPolicy.isUsable(request, candidate, context),
    );
  }

  /** Records a dispatch made by another process. */
  importDispatch(
    running: Pick<
      types.DispatchRecord,
      'requestId' | 'upstream' | 'promptTokens' | 'estimateKeys' | 'produced'
    >,
  ): void {
    const now = this.options.timers.now();
    this.dispatches.importDispatch({
      ...running,
      urgency: 'patient',
      dispatchedAt: now,
      lastProgressAt: now,
      rate: 0,
    });
  }

  private placeUrgent(
    request: types.PlacementRequest,
    candidates: readonly upstreamTable.UpstreamRecord[],
    done: (placement: types.Placement) => void,
  ): void {
    const upstream = this.options.selectUpstream(request, candidates, this.context());
    if (upstream === undefined) {
      done({ type: 'refused', refusal: { reason: 'noUpstream', retryAfter: this.options.upstreamWait } });
      return;
    }
    this.grant({ request, done }, upstream);
  }

  /**
   * Waits for a usable upstream for a limited time. After a simultaneous restart of all entries the upstream
   * table is empty for some seconds; refusing requests meanwhile would turn the restart into an outage.
   */
  private waitForUpstream(
    request: types.PlacementRequest,
    done: (placement: types.Placement) => void,
    resume: () => ports.Cancel,
  ): ports.Cancel {
    let cancelResumed: ports.Cancel = () => undefined;
    const stopWaiting = (): void => {
      this.upstreamWaiters.delete(retry);
      cancelTimer();
    };
    const retry = (): void => {
      if (this.hasUsableUpstream(request)) {
        stopWaiting();
        cancelResumed = resume();
      }
    };
    const cancelTimer = this.options.timers.after(this.options.upstreamWait, () => {
      stopWaiting();
      done({ type: 'refused', refusal: { reason: 'noUpstream', retryAfter: this.options.upstreamWait } });
    });
    this.upstreamWaiters.add(retry);
    return () => {
      stopWaiting();
      cancelResumed();
    };
  }

  private enqueue(request: types.PlacementRequest, done: (placement: types.Placement) => void): ports.Cancel {
    const queue = this.getOrCreateQueue(`${request.deployment}/${request.group?.index ?? 0}`);
    const cost = request.promptTokens + this.options.estimator.quantile(request.estimateKeys, 0, 0.5);
    const item = {
      account: request.account,
      cost,
      enqueuedAt: this.options.timers.now(),
      value: { request, done },
    };
    if (!queue.push(item)) {
      const retryAfter = this.drainRate.estimateWait(queue.size, this.options.timers.now());
      done({ type: 'refused', refusal: { reason: 'queueFull', retryAfter } });
      return () => undefined;
    }
    this.drainQueue(queue);
    return () => {
      queue.remove(item, false);
    };
  }

  private getOrCreateQueue(name: string): fairQueue.FairQueue<QueuedRequest> {
    const existing = this.queues.get(name);
    if (existing !== undefined) {
      return existing;
    }
    const queue = new fairQueue.FairQueue<QueuedRequest>(this.options.queueBounds, this.options.weightOf);
    this.queues.set(name, queue);
    return queue;
  }

  private drainQueues(): void {
    for (const queue of this.queues.values()) {
      this.drainQueue(queue);
    }
  }

  private drainQueue(queue: fairQueue.FairQueue<QueuedRequest>): void {
    const now = this.options.timers.now();
    for (
      let item = queue.peek(now, AGING_THRESHOLD);
      item !== undefined;
      item = queue.peek(now, AGING_THRESHOLD)
    ) {
      const upstream = this.findUpstreamWithHeadroom(item.value.request);
      if (upstream === undefined) {
        return;
      }
      queue.remove(item, true);
      this.drainRate.recordGrant(now);
      this.grant(item.value, upstream);
    }
  }

  private findUpstreamWithHeadroom(
    request: types.PlacementRequest,
  ): upstreamTable.UpstreamRecord | undefined {
    const context = this.context();
    const { estimator, directory: upstreams, headroom: settings } = this.options;
    const headroomContext = { dispatches: this.dispatches, estimator, settings, now: context.now };
    const survival = estimator.survivalProbabilities(request.estimateKeys, 0, memoryForecast.HORIZONS);
    let best: upstreamTable.UpstreamRecord | undefined;
    let bestScore = 0;
    for (const candidate of this.sampleCandidates(this.candidates(request))) {
      if (!balancingPolicy.isUsable(request, candidate, context)) {
        continue;
      }
      const freeTokens = this.headroom.freeTokensAfterPlacing(candidate, request, survival, headroomContext);
      const cached = upstreams.table.hasPrefix(candidate.announcement.name, request.prefix);
      const score = freeTokens + (cached ? PREFIX_AFFINITY_TOKENS : 0);
      if (freeTokens >= 0 && (best === undefined || score > bestScore)) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }

  private sampleCandidates(
    candidates: readonly upstreamTable.UpstreamRecord[],
  ): readonly upstreamTable.UpstreamRecord[] {
    if (candidates.length <= MAXIMUM_SAMPLED_ENGINES) {
      return candidates;
    }
    const start = Math.floor(this.options.random.next() * candidates.length);
    const rotated = [...candidates.slice(start), ...candidates.slice(0, start)];
    return rotated.slice(0, MAXIMUM_SAMPLED_ENGINES);
  }

  private grant(queued: QueuedRequest, upstream: upstreamTable.UpstreamRecord): void {
    const now = this.options.timers.now();
    const { name } = upstream.announcement;
    this.dispatches.recordDispatch(queued.request, name, now);
    this.options.outlierDetector.recordDispatch(name, now);
    queued.done({ type: 'granted', upstream });
  }

  private candidates(request: types.PlacementRequest): readonly upstreamTable.UpstreamRecord[] {
    const all = this.options.directory.table.candidates(request.upstreams);
    const { group } = request;
    if (group === undefined || group.count === 1) {
      return all;
    }
    return all.filter(
      (record) => rendezvousHashing.hash(record.announcement.name) % group.count === group.index,
    );
  }

  private context(): balancingPolicy.BalancingContext {
    const { directory: upstreams, outlierDetector: detector, random, timers } = this.options;
    return {
      now: timers.now(),
      table: upstreams.table,
      dispatches: this.dispatches,
      outlierDetector: detector,
      random,
    };
  }

  onProgress(requestId: string, produced: number): void {
    this.dispatches.recordProgress(requestId, produced, this.options.timers.now());
  }

  onFinished(requestId: string, produced: number, completed: boolean): void {
    const dispatch = this.dispatches.remove(requestId);
    if (dispatch !== undefined && completed && produced > 0) {
      this.options.estimator.observe(dispatch.estimateKeys, produced);
    }
    this.drainQueues();
  }

  waitingCount(): number {
    return [...this.queues.values()].reduce((sum, queue) => sum + queue.size, 0);
  }
}
