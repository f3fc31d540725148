/**
 * Relays the tokens of one request from an engine to its caller, each exactly once and in order. Detects stalled
 * connections and resumes on a new one. Reruns the request on another engine only if the caller has received no
 * tokens or discards them on a restart, so that an answer never mixes tokens of two generations.
 */
import * as flowControl from '../flowControl/flowControl.js';
import * as stallWatch from '../flowControl/stallWatch.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as routing from '../routing/types.js';
import * as quarantineRefusals from './quarantineRefusals.js';
import type * as types from './types.js';

/** Why a relay released an upstream; `neverSent` if no byte of the request can have reached it. */
export type ReleaseReason =
  'whole' | 'failure' | 'neverSent' | 'stall' | 'refused' | 'callerGone' | 'invalid';

/** Services and notifications that the entry provides to a relay. */
export interface RelayHost {
  readonly requestPlacement: (
    exclude: ReadonlySet<string>,
    done: (placement: routing.Placement) => void,
  ) => ports.Cancel;
  /** Returns the prefix of the resume tokens of a generation; see `resumeToken.issuePrefix`. */
  readonly issueTokenPrefix: (target: types.UpstreamTarget, generation: string) => string;
  readonly mayRetry: () => boolean;
  readonly onProgress: (produced: number) => void;
  /** The relay has released the upstream. */
  readonly onReleased: (upstream: string, produced: number, reason: ReleaseReason) => void;
  readonly onStall: (milliseconds: number) => void;
  readonly onEventDiscarded: () => void;
  /** Addresses of other entries, for refusals. */
  readonly otherEntries: () => readonly string[];
  /** Called once, when the relay has ended. */
  readonly onFinished: () => void;
}

/** Options of a generation relay. */
export interface GenerationRelayOptions {
  readonly requestId: string;
  /** The request; undefined for a resumed stream, which cannot be rerun. */
  readonly request: Omit<types.EngineRequest, 'generation'> | undefined;
  /** True if the caller supports restarts and the selector allows them. */
  readonly mayRestart: boolean;
  readonly engines: types.GenerationPort;
  readonly timers: timerService.TimerService;
  readonly settings: types.RelaySettings;
  readonly caller: types.GenerationCaller;
  readonly host: RelayHost;
}

/** Tokens between two progress reports. */
const PROGRESS_REPORT_INTERVAL = 16;
const RETRY_AFTER_DELAY = 1_000;

/** Relays one request; see the module comment. */
export class GenerationRelay implements types.StreamHandle {
  private readonly options: GenerationRelayOptions;
  private target: types.UpstreamTarget | undefined;
  private generation = '';
  private generationCount = 0;
  private nextIndex = 0;
  private tokenPrefix = '';
  private connection: types.GenerationConnection | undefined;
  /** Incremented for every connection, so that events of an earlier connection are recognized as stale. */
  private connectionNumber = 0;
  private resumesWithoutProgress = 0;
  private accepted = false;
  private connectionsOfGeneration = 0;
  /** Time of the last token, by the clock of reading. */
  private lastProgressAt = 0;
  private readonly flow: flowControl.FlowControl;
  private stopStallWatch: ports.Cancel = () => undefined;
  private isFinished = false;
  private readonly excludedUpstreams = new Set<string>();
  private cancelTimer: ports.Cancel = () => undefined;
  private cancelPlacement: ports.Cancel = () => undefined;

  constructor(options: GenerationRelayOptions) {
    this.options = options;
    this.flow = new flowControl.FlowControl({
      now: () => options.timers.now(),
      onBlocked: () => {
        this.watchCaller();
      },
      onDrained: (wasPaused) => {
        this.stopStallWatch();
        // A connection that is lost has a timer of its own.
        if (wasPaused) {
          this.startIdleTimer(options.settings.stallTimeout);
        }
      },
    });
  }

  get requestId(): string {
    return this.options.requestId;
  }

  /** Lets go of a caller that takes nothing, so that its generation does not run for nobody. */
  private watchCaller(): void {
    const { caller, timers } = this.options;
    const { connection } = caller;
    if (connection === undefined) {
      return;
    }
    this.stopStallWatch = stallWatch.start({
      ...{ timers, limit: stallWatch.MINIMUM_CALLER_STALL, takenBytes: connection.takenBytes },
      onStalled: () => {
        connection.abort();
        this.onCallerDisconnect();
      },
    });
  }

  /** Starts a new request. */
  start(): void {
    this.requestPlacement();
  }

  /** Resumes a generation that another entry or an earlier connection started. */
  resumeFrom(target: types.UpstreamTarget, generation: string, nextIndex: number): void {
    this.target = target;
    this.generation = generation;
    this.nextIndex = nextIndex;
    this.tokenPrefix = this.options.host.issueTokenPrefix(target, generation);
    this.lastProgressAt = this.flow.readingTime();
    this.options.caller.sendAccepted(`${this.tokenPrefix}.${nextIndex}`);
    this.reconnect();
  }

  private requestPlacement(): void {
    this.cancelPlacement = this.options.host.requestPlacement(this.excludedUpstreams, (placement) => {
      if (this.isFinished) {
        this.releasePlacement(placement);
        return;
      }
      if (placement.type === 'granted') {
        const { name, address } = placement.upstream.announcement;
        this.dispatch({ name, address });
      } else {
        this.onPlacementRefused(placement.refusal);
      }
    });
  }

  /**
   * Releases a placement granted after the caller disconnected. Otherwise it would count as a running
   * generation indefinitely, and the engine would appear more loaded than it is.
   */
  private releasePlacement(placement: routing.Placement): void {
    if (placement.type === 'granted') {
      this.options.host.onReleased(placement.upstream.announcement.name, 0, 'callerGone');
    }
  }

  private onPlacementRefused(refusal: routing.PlacementRefusal): void {
    if (refusal.reason === 'quarantined') {
      this.refuse(this.generationCount === 0 ? quarantineRefusals.notRun : quarantineRefusals.interrupted);
      return;
    }
    const isQueueFull = refusal.reason === 'queueFull';
    this.refuse({
      // An engine that accepted an earlier generation may have run it, even if no token was received.
      kind: this.generationCount === 0 ? 'notRun' : 'interrupted',
      status: isQueueFull ? 429 : 503,
      message: isQueueFull
        ? 'The queue for this traffic is full.'
        : 'No upstream is available for the request.',
      remedy: 'Retry after the given time.',
      retryAfter: refusal.retryAfter,
      entries: this.options.host.otherEntries(),
    });
  }

  private dispatch(target: types.UpstreamTarget): void {
    const { request, requestId, host, engines, caller } = this.options;
    if (request === undefined) {
      return;
    }
    const isRestart = this.generationCount > 0 && this.nextIndex > 0;
    this.generationCount += 1;
    this.generation = `${requestId}.${this.generationCount}`;
    this.target = target;
    this.nextIndex = 0;
    this.resumesWithoutProgress = 0;
    this.connectionsOfGeneration = 0;
    this.lastProgressAt = this.flow.readingTime();
    this.tokenPrefix = host.issueTokenPrefix(target, this.generation);
    if (isRestart) {
      caller.sendRestart(`${this.tokenPrefix}.0`);
    } else {
      caller.sendAccepted(`${this.tokenPrefix}.0`);
    }
    this.openConnection((listener) =>
      engines.start(target, { ...request, generation: this.generation }, listener),
    );
  }

  private openConnection(open: (listener: types.GenerationListener) => types.GenerationConnection): void {
    this.connection?.close();
    this.connectionNumber += 1;
    this.connectionsOfGeneration += 1;
    this.accepted = false;
    const connectionNumber = this.connectionNumber;
    const isCurrent = (): boolean => connectionNumber === this.connectionNumber && !this.isFinished;
    this.connection = undefined;
    this.flow.attach({
      pause: () => this.connection?.pause(),
      resume: () => this.connection?.resume(),
    });
    const connection = open({
      onAccepted: () => {
        if (isCurrent()) {
          this.accepted = true;
          this.startIdleTimer(this.options.settings.stallTimeout);
        }
      },
      onToken: (generation, index, data) => {
        this.onToken(isCurrent(), generation, index, data);
      },
      onHeld: (isHeld) => {
        if (isCurrent()) {
          this.flow.recordHold(isHeld);
          this.startIdleTimer(this.options.settings.stallTimeout);
        }
      },
      onCompleted: (generation, count) => {
        if (isCurrent()) {
          this.onCompleted(generation, count);
        }
      },
      onFailed: (reason, detail) => {
        if (isCurrent()) {
          this.onFailed(reason, detail);
        }
      },
    });
    if (isCurrent()) {
      this.connection = connection;
      if (this.flow.isPaused) {
        connection.pause();
      }
      this.startIdleTimer(this.options.settings.openTimeout);
    }
  }

  private startIdleTimer(timeout: number): void {
    this.cancelTimer();
    if (!this.flow.isPaused && !this.isFinished) {
      this.cancelTimer = this.options.timers.after(timeout, () => {
        this.onIdleTimeout(timeout);
      });
    }
  }

  private onToken(isCurrent: boolean, generation: string, index: number, data: string): void {
    // Late or misrouted tokens carry another generation or an index that was already relayed. Forwarding one
    // would mix two answers; the expected token is still to come, so discarding it loses nothing.
    if (!isCurrent || generation !== this.generation || index < this.nextIndex) {
      this.options.host.onEventDiscarded();
      return;
    }
    if (index > this.nextIndex) {
      this.reconnectWithinLimit();
      return;
    }
    this.nextIndex += 1;
    this.resumesWithoutProgress = 0;
    this.lastProgressAt = this.flow.readingTime();
    if (this.nextIndex % PROGRESS_REPORT_INTERVAL === 1) {
      this.options.host.onProgress(this.nextIndex);
    }
    this.flow.recordWrite(
      this.options.caller.sendToken(`${this.tokenPrefix}.${this.nextIndex}`, index, data),
    );
    this.startIdleTimer(this.options.settings.stallTimeout);
  }

  onDrain(): void {
    this.flow.recordDrain();
  }

  /** Ends the timers and the reads of a relay that has finished. */
  private release(): void {
    this.isFinished = true;
    this.cancelTimer();
    this.stopStallWatch();
    this.flow.detach();
  }

  private onCompleted(generation: string, count: number): void {
    if (generation !== this.generation) {
      this.options.host.onEventDiscarded();
      return;
    }
    if (count !== this.nextIndex) {
      this.reconnectWithinLimit();
      return;
    }
    this.release();
    this.options.host.onReleased(this.target?.name ?? '', this.nextIndex, 'whole');
    this.options.caller.complete(count);
    this.options.host.onFinished();
  }

  private onIdleTimeout(idleTime: number): void {
    const { host, settings } = this.options;
    host.onStall(idleTime);
    if (!this.accepted && this.isFirstConnection()) {
      // An engine that does not accept the request is frozen or unreachable. There is nothing to resume, so the
      // request is placed on another engine without a retry.
      this.abandonUpstream('stall');
      return;
    }
    if (!this.accepted) {
      this.reconnectWithinLimit();
      return;
    }
    // An engine that accepts connections but sends no tokens is overloaded, or the generation is stuck. A
    // preempted generation continues later, so it is abandoned only after `silenceLimit`.
    if (this.flow.readingTime() - this.lastProgressAt >= settings.silenceLimit) {
      this.abandonUpstream('stall');
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
        this.abandonUpstream('failure');
        break;
      case 'refused':
        this.abandonUpstream('refused');
        break;
      case 'invalid':
        this.options.host.onReleased(this.target?.name ?? '', 0, 'invalid');
        this.refuse({
          kind: 'invalid',
          status: 400,
          message: `The engine rejected the request: ${detail}`,
          remedy: 'Correct the request.',
        });
        break;
    }
  }

  /** True while the generation has had only one connection and no token. */
  private isFirstConnection(): boolean {
    return this.nextIndex === 0 && this.connectionsOfGeneration === 1;
  }

  private onConnectionLost(reason: types.ConnectionFailure): void {
    if (reason === 'neverSent' && this.isFirstConnection()) {
      this.abandonUpstream('neverSent');
      return;
    }
    if (this.resumesWithoutProgress >= this.options.settings.resumeLimit) {
      this.abandonUpstream('failure');
      return;
    }
    this.flow.detach();
    // A partitioned link fails at once; the delay lets a short partition end before the attempts run out.
    this.cancelTimer();
    const delay = this.options.settings.resumePause * this.resumesWithoutProgress;
    this.cancelTimer = this.options.timers.after(delay, () => {
      this.reconnectWithinLimit();
    });
  }

  private reconnectWithinLimit(): void {
    this.resumesWithoutProgress += 1;
    if (this.resumesWithoutProgress > this.options.settings.resumeLimit) {
      this.abandonUpstream('stall');
      return;
    }
    this.reconnect();
  }

  /**
   * Resumes the same generation on a new connection from the next index. This recovers from a broken link and
   * distinguishes a frozen engine, which does not accept, from an overloaded one, which accepts and continues
   * later.
   */
  private reconnect(): void {
    const { engines } = this.options;
    const { target, generation, nextIndex } = this;
    if (target !== undefined) {
      this.openConnection((listener) => engines.resume(target, generation, nextIndex, listener));
    }
  }

  private abandonUpstream(reason: ReleaseReason): void {
    const { host, engines, settings, request, mayRestart } = this.options;
    const { target } = this;
    this.cancelTimer();
    this.connectionNumber += 1;
    this.flow.detach();
    this.connection?.close();
    this.connection = undefined;
    if (target !== undefined) {
      this.excludedUpstreams.add(target.name);
      engines.cancel(target, this.generation, false);
      host.onReleased(target.name, this.nextIndex, reason);
    }
    const mayDiscardTokens = this.nextIndex === 0 || mayRestart;
    const canRunAgain =
      request !== undefined && mayDiscardTokens && this.generationCount < settings.generationLimit;
    if (canRunAgain && host.mayRetry()) {
      this.requestPlacement();
      return;
    }
    this.refuse({
      kind: 'interrupted',
      status: 502,
      message: `The generation was interrupted after ${this.nextIndex} tokens.`,
      remedy: 'Send the request again; the tokens received so far are not part of a complete answer.',
      retryAfter: RETRY_AFTER_DELAY,
      entries: host.otherEntries(),
    });
  }

  giveUpAnswer(reason: string): void {
    if (this.isFinished) {
      return;
    }
    const { engines, host } = this.options;
    const { target, connection, generation } = this;
    this.cancelPlacement();
    connection?.close();
    // Without a connection the engine was released, and a placement on another one is awaited.
    if (target !== undefined && connection !== undefined) {
      engines.cancel(target, generation, false);
      host.onReleased(target.name, this.nextIndex, 'failure');
    }
    this.refuse({
      kind: 'interrupted',
      status: 502,
      message: `The answer was given up: ${reason}.`,
      remedy: 'Ask for a stream, which is passed on while it arrives, or for a shorter answer.',
    });
  }

  private refuse(refusal: types.Refusal): void {
    this.release();
    this.options.caller.refuse(refusal);
    this.options.host.onFinished();
  }

  onCallerDisconnect(): void {
    if (this.isFinished) {
      return;
    }
    const { host, engines, timers, settings } = this.options;
    const { target, generation, nextIndex } = this;
    this.release();
    this.cancelPlacement();
    this.connection?.close();
    if (target === undefined || generation === '') {
      host.onFinished();
      return;
    }
    timers.after(settings.resumeGrace, () => {
      // The caller may have resumed at another entry, so only an unread generation is cancelled.
      engines.cancel(target, generation, true);
      host.onReleased(target.name, nextIndex, 'callerGone');
      host.onFinished();
    });
  }
}
