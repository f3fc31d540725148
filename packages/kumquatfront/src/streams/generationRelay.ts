/**
 * Relays one request from engines to its caller: every token once, in order, from a single generation. It
 * finds stalls, resumes on a new connection, and runs the request again elsewhere only while that cannot
 * mix two generations.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as routing from '../routing/types.js';
import * as quarantineRefusals from './quarantineRefusals.js';
import type * as types from './types.js';

/** Why a relay leaves an upstream; `neverSent` where no byte of the request can have arrived there. */
export type LeaveReason = 'whole' | 'failure' | 'neverSent' | 'stall' | 'refused' | 'callerGone' | 'invalid';

/** What a relay asks of the entry. */
export interface RelayHost {
  readonly place: (
    exclude: ReadonlySet<string>,
    done: (placement: routing.Placement) => void,
  ) => ports.Cancel;
  readonly issueToken: (target: types.UpstreamTarget, generation: string) => string;
  readonly mayRetry: () => boolean;
  readonly progressed: (produced: number) => void;
  /** The relay has left an upstream. */
  readonly left: (upstream: string, produced: number, reason: LeaveReason) => void;
  readonly stalled: (milliseconds: number) => void;
  readonly dropped: () => void;
  /** Addresses of other entries, for refusals. */
  readonly otherEntries: () => readonly string[];
  /** Called once, when nothing more will happen. */
  readonly finished: () => void;
}

/** What a relay is made from. */
export interface RelayOptions {
  readonly requestId: string;
  /** The request; undefined where a resumed stream cannot be run again. */
  readonly order: Omit<types.GenerationOrder, 'generation'> | undefined;
  /** True where the caller understands a restart and the selector allows it. */
  readonly mayRestart: boolean;
  readonly engines: types.GenerationPort;
  readonly timers: timerService.TimerService;
  readonly settings: types.RelaySettings;
  readonly caller: types.GenerationCaller;
  readonly host: RelayHost;
}

const PROGRESS_EVERY = 16;
const RETRY_AFTER = 1_000;

/** One relay; see the module comment. */
export class GenerationRelay implements types.StreamHandle {
  private readonly options: RelayOptions;
  private target: types.UpstreamTarget | undefined;
  private generation = '';
  private generationCount = 0;
  private nextIndex = 0;
  private tokenPrefix = '';
  private connection: types.GenerationConnection | undefined;
  /** Grows with every connection; news of a former connection is recognised by its number. */
  private connectionNumber = 0;
  private resumesWithoutProgress = 0;
  private opened = false;
  private connectionsOfGeneration = 0;
  private lastProgressAt = 0;
  private paused = false;
  private over = false;
  private readonly exclude = new Set<string>();
  private cancelTimer: ports.Cancel = () => undefined;
  private cancelPlacement: ports.Cancel = () => undefined;

  constructor(options: RelayOptions) {
    this.options = options;
  }

  private now(): number {
    return this.options.timers.now();
  }

  /** Starts a new request. */
  start(): void {
    this.placeAgain();
  }

  /** Goes on with a generation that another entry, or a former connection, has begun. */
  resumeFrom(target: types.UpstreamTarget, generation: string, nextIndex: number): void {
    this.target = target;
    this.generation = generation;
    this.nextIndex = nextIndex;
    this.tokenPrefix = this.options.host.issueToken(target, generation);
    this.lastProgressAt = this.now();
    this.options.caller.accepted(`${this.tokenPrefix}.${nextIndex}`);
    this.reconnect();
  }

  private placeAgain(): void {
    this.cancelPlacement = this.options.host.place(this.exclude, (placement) => {
      if (this.over) {
        this.giveBack(placement);
        return;
      }
      if (placement.type === 'granted') {
        const { name, address } = placement.upstream.announcement;
        this.dispatch({ name, address });
      } else {
        this.refusePlacement(placement.refusal);
      }
    });
  }

  /**
   * The caller went away while the request waited, and the place came after all. Kept, it would count as a
   * running generation for ever, and the engine would look fuller than it is.
   */
  private giveBack(placement: routing.Placement): void {
    if (placement.type === 'granted') {
      this.options.host.left(placement.upstream.announcement.name, 0, 'callerGone');
    }
  }

  private refusePlacement(refusal: routing.PlacementRefusal): void {
    if (refusal.reason === 'quarantined') {
      this.finish(this.generationCount === 0 ? quarantineRefusals.notRun : quarantineRefusals.interrupted);
      return;
    }
    const full = refusal.reason === 'queueFull';
    this.finish({
      // A generation that an engine had accepted may have run there, however little came of it.
      kind: this.generationCount === 0 ? 'notRun' : 'interrupted',
      status: full ? 429 : 503,
      message: full ? 'The queue for this traffic is full.' : 'No upstream can take the request.',
      remedy: 'Send it again after the given time.',
      retryAfter: refusal.retryAfter,
      entries: this.options.host.otherEntries(),
    });
  }

  private dispatch(target: types.UpstreamTarget): void {
    const { order, requestId, host, engines, caller } = this.options;
    if (order === undefined) {
      return;
    }
    const restarted = this.generationCount > 0 && this.nextIndex > 0;
    this.generationCount += 1;
    this.generation = `${requestId}.${this.generationCount}`;
    this.target = target;
    this.nextIndex = 0;
    this.resumesWithoutProgress = 0;
    this.connectionsOfGeneration = 0;
    this.lastProgressAt = this.now();
    this.tokenPrefix = host.issueToken(target, this.generation);
    if (restarted) {
      caller.restarted(`${this.tokenPrefix}.0`);
    } else {
      caller.accepted(`${this.tokenPrefix}.0`);
    }
    this.openWith((listener) => engines.start(target, { ...order, generation: this.generation }, listener));
  }

  private openWith(open: (listener: types.GenerationListener) => types.GenerationConnection): void {
    this.connection?.close();
    this.connectionNumber += 1;
    this.connectionsOfGeneration += 1;
    this.opened = false;
    const number = this.connectionNumber;
    const isCurrent = (): boolean => number === this.connectionNumber && !this.over;
    const connection = open({
      opened: () => {
        if (isCurrent()) {
          this.opened = true;
          this.watch(this.options.settings.stallTimeout);
        }
      },
      token: (generation, index, data) => {
        this.onToken(isCurrent(), generation, index, data);
      },
      ended: (generation, count) => {
        if (isCurrent()) {
          this.onEnded(generation, count);
        }
      },
      failed: (reason, detail) => {
        if (isCurrent()) {
          this.onFailed(reason, detail);
        }
      },
    });
    if (isCurrent()) {
      this.connection = connection;
      this.watch(this.options.settings.openTimeout);
    }
  }

  private watch(timeout: number): void {
    this.cancelTimer();
    if (!this.paused) {
      this.cancelTimer = this.options.timers.after(timeout, () => {
        this.onSilence(timeout);
      });
    }
  }

  private onToken(current: boolean, generation: string, index: number, data: string): void {
    // Late or crossed tokens carry another generation, or an index that was relayed already. Passing one on
    // would splice two answers; dropping it loses nothing, because the expected one is still to come.
    if (!current || generation !== this.generation || index < this.nextIndex) {
      this.options.host.dropped();
      return;
    }
    if (index > this.nextIndex) {
      this.countedReconnect();
      return;
    }
    this.nextIndex += 1;
    this.resumesWithoutProgress = 0;
    this.lastProgressAt = this.now();
    if (this.nextIndex % PROGRESS_EVERY === 1) {
      this.options.host.progressed(this.nextIndex);
    }
    const more = this.options.caller.token(`${this.tokenPrefix}.${this.nextIndex}`, index, data);
    if (!more) {
      this.pause();
    }
    this.watch(this.options.settings.stallTimeout);
  }

  private pause(): void {
    // A slow caller holds the engine's connection back; reading on would pile its tokens up here.
    this.paused = true;
    this.cancelTimer();
    this.connection?.pause();
  }

  drained(): void {
    if (this.paused && !this.over) {
      this.paused = false;
      this.watch(this.options.settings.stallTimeout);
      this.connection?.resume();
    }
  }

  private onEnded(generation: string, count: number): void {
    if (generation !== this.generation) {
      this.options.host.dropped();
      return;
    }
    if (count !== this.nextIndex) {
      this.countedReconnect();
      return;
    }
    this.over = true;
    this.cancelTimer();
    this.options.host.left(this.target?.name ?? '', this.nextIndex, 'whole');
    this.options.caller.ended(count);
    this.options.host.finished();
  }

  private onSilence(waited: number): void {
    const { host, settings } = this.options;
    host.stalled(waited);
    if (!this.opened && this.isFirstConnection()) {
      // An engine that does not even accept is frozen or out of reach. There is nothing to resume, so asking
      // it again would only make the caller wait; the request goes elsewhere at once.
      this.leaveUpstream('stall');
      return;
    }
    if (!this.opened) {
      this.countedReconnect();
      return;
    }
    // An engine that answers but gives nothing is crowded, or this generation is stuck in it. It gets time,
    // since a preempted generation goes on later, but not for ever.
    if (this.now() - this.lastProgressAt >= settings.silenceLimit) {
      this.leaveUpstream('stall');
      return;
    }
    this.reconnect();
  }

  private onFailed(reason: types.ConnectionFailure, detail: string): void {
    switch (reason) {
      case 'neverSent':
      case 'broken':
        this.onConnectionLost(reason);
        break;
      case 'unknownGeneration':
        this.leaveUpstream('failure');
        break;
      case 'refused':
        this.leaveUpstream('refused');
        break;
      case 'invalid':
        this.options.host.left(this.target?.name ?? '', 0, 'invalid');
        this.finish({
          kind: 'invalid',
          status: 400,
          message: `The engine does not accept the request: ${detail}`,
          remedy: 'Correct the request.',
        });
        break;
    }
  }

  /** True while the generation has only its first connection and no token. */
  private isFirstConnection(): boolean {
    return this.nextIndex === 0 && this.connectionsOfGeneration === 1;
  }

  private onConnectionLost(reason: types.ConnectionFailure): void {
    if (reason === 'neverSent' && this.isFirstConnection()) {
      this.leaveUpstream('neverSent');
      return;
    }
    if (this.resumesWithoutProgress >= this.options.settings.resumeLimit) {
      this.leaveUpstream('failure');
      return;
    }
    // A cut link refuses at once; pausing between tries lets a short cut heal before the engine is given up.
    this.cancelTimer();
    const pause = this.options.settings.resumePause * this.resumesWithoutProgress;
    this.cancelTimer = this.options.timers.after(pause, () => {
      this.countedReconnect();
    });
  }

  private countedReconnect(): void {
    this.resumesWithoutProgress += 1;
    if (this.resumesWithoutProgress > this.options.settings.resumeLimit) {
      this.leaveUpstream('stall');
      return;
    }
    this.reconnect();
  }

  /**
   * Resumes the same generation on a new connection from the next index. This heals a cut link and tells a
   * frozen engine, which does not answer, from a crowded one, which answers and goes on later.
   */
  private reconnect(): void {
    const { engines } = this.options;
    const { target, generation, nextIndex } = this;
    if (target !== undefined) {
      this.openWith((listener) => engines.resume(target, generation, nextIndex, listener));
    }
  }

  private leaveUpstream(reason: LeaveReason): void {
    const { host, engines, settings, order, mayRestart } = this.options;
    const { target } = this;
    this.cancelTimer();
    this.connectionNumber += 1;
    this.connection?.close();
    this.connection = undefined;
    if (target !== undefined) {
      this.exclude.add(target.name);
      engines.cancel(target, this.generation, false);
      host.left(target.name, this.nextIndex, reason);
    }
    const voidable = this.nextIndex === 0 || mayRestart;
    const again = order !== undefined && voidable && this.generationCount < settings.generationLimit;
    if (again && host.mayRetry()) {
      this.placeAgain();
      return;
    }
    this.finish({
      kind: 'interrupted',
      status: 502,
      message: `The engine was lost after ${this.nextIndex} tokens of this generation.`,
      remedy: 'Send the request again; what was received so far belongs to no whole answer.',
      retryAfter: RETRY_AFTER,
      entries: host.otherEntries(),
    });
  }

  private finish(refusal: types.Refusal): void {
    this.over = true;
    this.cancelTimer();
    this.options.caller.refused(refusal);
    this.options.host.finished();
  }

  callerGone(): void {
    if (this.over) {
      return;
    }
    const { host, engines, timers, settings } = this.options;
    const { target, generation, nextIndex } = this;
    this.over = true;
    this.cancelTimer();
    this.cancelPlacement();
    this.connection?.close();
    if (target === undefined || generation === '') {
      host.finished();
      return;
    }
    timers.after(settings.resumeGrace, () => {
      // The caller may read on at another entry by now; only a generation that nobody reads is waste.
      engines.cancel(target, generation, true);
      host.left(target.name, nextIndex, 'callerGone');
      host.finished();
    });
  }
}
