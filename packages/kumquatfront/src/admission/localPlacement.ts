/**
 * Placement by one entry on its own: urgent requests go out at once, patient ones wait in a fair bounded
 * queue until an engine has headroom for them.
 */
import type * as directory from '../directory/directory.js';
import type * as upstreamTable from '../directory/upstreamTable.js';
import type * as estimates from '../estimates/lengthEstimator.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as choice from '../routing/choice.js';
import * as dispatchLedger from '../routing/dispatchLedger.js';
import type * as health from '../routing/health.js';
import type * as types from '../routing/types.js';
import * as rendezvous from '../utils/rendezvous.js';
import * as drainRate from './drainRate.js';
import * as fairQueue from './fairQueue.js';
import * as headroom from './headroom.js';
import * as memoryForecast from './memoryForecast.js';

/** What the placement is made from. */
export interface LocalPlacementOptions {
  /** Where upstreams are known; a whole directory, or a table with word of its changes. */
  readonly directory: Pick<directory.Directory, 'table' | 'onNews' | 'onGone'>;
  readonly estimator: estimates.LengthEstimator;
  readonly health: health.Health;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly metrics: ports.Metrics;
  readonly choose: choice.Choose;
  readonly headroom: headroom.HeadroomSettings;
  readonly bounds: () => fairQueue.QueueBounds;
  readonly weightOf: (account: string) => number;
  /** Milliseconds a request waits for an upstream to announce itself before it is refused. */
  readonly upstreamWait: number;
}

interface Waiting {
  readonly request: types.PlacementRequest;
  readonly done: (placement: types.Placement) => void;
}

/** Time after which a waiting request goes before all others, milliseconds. */
const AGED_AFTER = 30_000;
const PUMP_INTERVAL = 50;
/** Engines looked at for one patient request. */
const PATIENT_SAMPLES = 16;
/** Tokens of headroom that a cached prefix is worth. */
const AFFINITY_TOKENS = 500;

/** The placement of one process; see the module comment. */
export class LocalPlacement implements types.PlacementPolicy {
  readonly ledger = new dispatchLedger.DispatchLedger();
  private readonly options: LocalPlacementOptions;
  private readonly headroom = new headroom.Headroom();
  private readonly queues = new Map<string, fairQueue.FairQueue<Waiting>>();
  private readonly rate: drainRate.DrainRate;
  private readonly withoutUpstream = new Set<() => void>();

  constructor(options: LocalPlacementOptions) {
    this.options = options;
    this.rate = new drainRate.DrainRate(options.timers.now());
    options.timers.every(
      () => PUMP_INTERVAL,
      () => {
        this.pump();
      },
    );
    options.directory.onNews(() => {
      for (const retry of [...this.withoutUpstream]) {
        retry();
      }
    });
    options.directory.onGone((name) => {
      this.ledger.forgetUpstream(name);
      this.headroom.forget(name);
    });
  }

  place(request: types.PlacementRequest, done: (placement: types.Placement) => void): ports.Cancel {
    if (request.urgency === 'urgent' || request.kind === 'plainService') {
      return this.whenUsable(request, done, () => {
        this.placeUrgent(request, this.candidates(request), done);
        return () => undefined;
      });
    }
    return this.placePatient(request, done);
  }

  /** Queues a patient request until an engine has headroom for it. */
  placePatient(request: types.PlacementRequest, done: (placement: types.Placement) => void): ports.Cancel {
    return this.whenUsable(request, done, () => this.enqueue(request, done));
  }

  /** Goes on at once where an upstream is usable, or as soon as one is. */
  whenUsable(
    request: types.PlacementRequest,
    done: (placement: types.Placement) => void,
    goOn: () => ports.Cancel,
  ): ports.Cancel {
    return this.hasUsable(request) ? goOn() : this.waitForUpstream(request, done, goOn);
  }

  private hasUsable(request: types.PlacementRequest): boolean {
    const context = this.context();
    return this.candidates(request).some((candidate) => choice.isUsable(request, candidate, context));
  }

  /** Counts a dispatch that another process has made. */
  adopt(
    running: Pick<types.OwnDispatch, 'requestId' | 'upstream' | 'promptTokens' | 'estimateKeys' | 'produced'>,
  ): void {
    const now = this.options.timers.now();
    this.ledger.adopt({ ...running, urgency: 'patient', since: now, progressedAt: now, rate: 0 });
  }

  private placeUrgent(
    request: types.PlacementRequest,
    candidates: readonly upstreamTable.UpstreamRecord[],
    done: (placement: types.Placement) => void,
  ): void {
    const upstream = this.options.choose(request, candidates, this.context());
    if (upstream === undefined) {
      done({ type: 'refused', refusal: { reason: 'noUpstream', retryAfter: this.options.upstreamWait } });
      return;
    }
    this.grant({ request, done }, upstream);
  }

  /**
   * Waits a short while for an upstream: after a restart of every entry at once the list fills up within
   * seconds, and refusing in between would turn a restart into an outage.
   */
  private waitForUpstream(
    request: types.PlacementRequest,
    done: (placement: types.Placement) => void,
    goOn: () => ports.Cancel,
  ): ports.Cancel {
    let cancelInner: ports.Cancel = () => undefined;
    const stopWaiting = (): void => {
      this.withoutUpstream.delete(retry);
      cancelTimer();
    };
    const retry = (): void => {
      if (this.hasUsable(request)) {
        stopWaiting();
        cancelInner = goOn();
      }
    };
    const cancelTimer = this.options.timers.after(this.options.upstreamWait, () => {
      stopWaiting();
      done({ type: 'refused', refusal: { reason: 'noUpstream', retryAfter: this.options.upstreamWait } });
    });
    this.withoutUpstream.add(retry);
    return () => {
      stopWaiting();
      cancelInner();
    };
  }

  private enqueue(request: types.PlacementRequest, done: (placement: types.Placement) => void): ports.Cancel {
    const queue = this.queueOf(`${request.deployment}/${request.group?.index ?? 0}`);
    const cost = request.promptTokens + this.options.estimator.quantile(request.estimateKeys, 0, 0.5);
    const item = {
      account: request.account,
      cost,
      since: this.options.timers.now(),
      value: { request, done },
    };
    if (!queue.push(item)) {
      const retryAfter = this.rate.timeFor(queue.size, this.options.timers.now());
      done({ type: 'refused', refusal: { reason: 'queueFull', retryAfter } });
      return () => undefined;
    }
    this.pumpQueue(queue);
    return () => {
      queue.remove(item, false);
    };
  }

  private queueOf(name: string): fairQueue.FairQueue<Waiting> {
    const known = this.queues.get(name);
    if (known !== undefined) {
      return known;
    }
    const queue = new fairQueue.FairQueue<Waiting>(this.options.bounds, this.options.weightOf);
    this.queues.set(name, queue);
    return queue;
  }

  private pump(): void {
    for (const queue of this.queues.values()) {
      this.pumpQueue(queue);
    }
  }

  private pumpQueue(queue: fairQueue.FairQueue<Waiting>): void {
    const now = this.options.timers.now();
    for (let item = queue.peek(now, AGED_AFTER); item !== undefined; item = queue.peek(now, AGED_AFTER)) {
      const upstream = this.findRoom(item.value.request);
      if (upstream === undefined) {
        return;
      }
      queue.remove(item, true);
      this.rate.granted(now);
      this.grant(item.value, upstream);
    }
  }

  private findRoom(request: types.PlacementRequest): upstreamTable.UpstreamRecord | undefined {
    const context = this.context();
    const { estimator, directory: known, headroom: settings } = this.options;
    const headroomContext = { ledger: this.ledger, estimator, settings, now: context.now };
    const survival = estimator.survival(request.estimateKeys, 0, memoryForecast.HORIZONS);
    let best: upstreamTable.UpstreamRecord | undefined;
    let bestRoom = 0;
    for (const candidate of this.sample(this.candidates(request))) {
      if (!choice.isUsable(request, candidate, context)) {
        continue;
      }
      const room = this.headroom.after(candidate, request, survival, headroomContext);
      const cached = known.table.hasPrefix(candidate.announcement.name, request.prefix);
      const worth = room + (cached ? AFFINITY_TOKENS : 0);
      if (room >= 0 && (best === undefined || worth > bestRoom)) {
        best = candidate;
        bestRoom = worth;
      }
    }
    return best;
  }

  private sample(
    candidates: readonly upstreamTable.UpstreamRecord[],
  ): readonly upstreamTable.UpstreamRecord[] {
    if (candidates.length <= PATIENT_SAMPLES) {
      return candidates;
    }
    const start = Math.floor(this.options.random.next() * candidates.length);
    const doubled = [...candidates.slice(start), ...candidates.slice(0, start)];
    return doubled.slice(0, PATIENT_SAMPLES);
  }

  private grant(waiting: Waiting, upstream: upstreamTable.UpstreamRecord): void {
    const now = this.options.timers.now();
    const { name } = upstream.announcement;
    this.ledger.dispatched(waiting.request, name, now);
    this.options.health.dispatched(name, now);
    waiting.done({ type: 'granted', upstream });
  }

  private candidates(request: types.PlacementRequest): readonly upstreamTable.UpstreamRecord[] {
    const all = this.options.directory.table.candidates(request.upstreams);
    const { group } = request;
    if (group === undefined || group.count === 1) {
      return all;
    }
    return all.filter((record) => rendezvous.hash(record.announcement.name) % group.count === group.index);
  }

  private context(): choice.ChoiceContext {
    const { directory: known, health, random, timers } = this.options;
    return { now: timers.now(), table: known.table, ledger: this.ledger, health, random };
  }

  progressed(requestId: string, produced: number): void {
    this.ledger.progressed(requestId, produced, this.options.timers.now());
  }

  finished(requestId: string, produced: number, whole: boolean): void {
    const dispatch = this.ledger.finished(requestId);
    if (dispatch !== undefined && whole && produced > 0) {
      this.options.estimator.observe(dispatch.estimateKeys, produced);
    }
    this.pump();
  }

  waiting(): number {
    return [...this.queues.values()].reduce((sum, queue) => sum + queue.size, 0);
  }
}
