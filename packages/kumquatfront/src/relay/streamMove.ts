/**
 * The move of one stream's generation as its exchange sees it: what the closing of the source's stream means
 * while copies are made, and when and where the stream goes on.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as placementTypes from '../placement/types.js';
import * as generationMove from './generationMove.js';
import type * as types from './types.js';

/** After the final copy the source closes its stream by itself; a silent connection must not hold up the rest. */
const SOURCE_CLOSES_WITHIN: ports.Milliseconds = 60;

/** Where a stream goes on. */
export interface Continuation {
  readonly instance: instanceView.Instance;
  readonly copy: types.MemoryCopy;
}

/** What the move asks of its exchange. */
export interface StreamMoveHost {
  readonly request: string;
  readonly upstreams: types.UpstreamPort;
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  /** Drops the source and goes on from a copy. */
  readonly goOn: (next: Continuation) => void;
}

type MoveDone = (outcome: placementTypes.MoveOutcome) => void;

/** Moves of one stream, one at a time; see the module comment. */
export class StreamMove {
  private readonly host: StreamMoveHost;
  private active: generationMove.GenerationMove | undefined;
  private source: instanceView.Instance | undefined;
  /** Set where the source's stream closed while its final copy was under way. */
  private heldClose: (() => void) | undefined;
  /** Set while the last events of a source that has stopped are awaited. */
  private awaited: (() => void) | undefined;

  constructor(host: StreamMoveHost) {
    this.host = host;
  }

  /** True while a move is under way. */
  get isActive(): boolean {
    return this.active !== undefined || this.awaited !== undefined;
  }

  /** True while the source has been asked to stop and has not answered. */
  get isStopping(): boolean {
    return this.active?.stopping === true;
  }

  /** Starts a move; `done` is called once the source is free for the next one. */
  start(source: instanceView.Instance, target: instanceView.Instance, done: MoveDone): void {
    const { upstreams, request, timers, log } = this.host;
    const move = new generationMove.GenerationMove(upstreams, source, target, request);
    this.active = move;
    this.source = source;
    const startedAt = timers.now();
    move.run((result) => {
      const milliseconds = Math.round(timers.now() - startedAt);
      const { identity } = target;
      log.info('moveResult', { request, source: source.identity, target: identity, milliseconds, ...result });
      this.onResult(move, source, result, done);
    });
  }

  /**
   * Called when the source's stream closes, whole or not. True where the move decides what that means; `judge` is
   * called later where it turns out to mean what it seems to.
   */
  takesClose(judge: () => void): boolean {
    if (this.awaited !== undefined) {
      this.awaited();
      return true;
    }
    if (this.isStopping) {
      // The source closes its stream for the final copy; whether this was its true end is known with the answer.
      this.heldClose = judge;
      return true;
    }
    return false;
  }

  /** The first copy, where the source is gone between its two: it holds all but the last moments. */
  takeFirstCopy(): Continuation | undefined {
    const { active, source } = this;
    if (active?.handle === undefined || source === undefined) {
      return undefined;
    }
    this.active = undefined;
    return { instance: active.target, copy: { address: source.address, handle: active.handle } };
  }

  private onResult(
    move: generationMove.GenerationMove,
    source: instanceView.Instance,
    result: generationMove.MoveResult,
    done: MoveDone,
  ): void {
    if (this.active !== move) {
      // The stream ended, or broke between the copies and has gone on from the first one.
      done('moved');
      return;
    }
    const closed = this.heldClose;
    this.heldClose = undefined;
    if (result.state === 'unmoved') {
      // The source may have stopped although its answer was lost; then the first copy is still of use.
      if (result.ended || closed === undefined) {
        this.active = undefined;
      }
      done(result.ended ? 'ended' : 'failed');
      closed?.();
      return;
    }
    this.active = undefined;
    done(result.at === 'target' ? 'moved' : 'failed');
    const next: Continuation = {
      instance: result.at === 'target' ? move.target : source,
      copy: { address: source.address, handle: result.handle },
    };
    if (closed === undefined) {
      this.awaitLastEvents(next);
    } else {
      this.host.goOn(next);
    }
  }

  /** What the source made last is still on its way; its stream closes behind it. */
  private awaitLastEvents(next: Continuation): void {
    const goOn = (): void => {
      if (this.awaited === goOn) {
        cancelWait();
        this.awaited = undefined;
        this.host.goOn(next);
      }
    };
    const cancelWait = this.host.timers.after(SOURCE_CLOSES_WITHIN, goOn);
    this.awaited = goOn;
  }

  /** The stream has ended: copies that nobody will use are freed. */
  cancel(): void {
    this.active?.cancel();
    this.active = undefined;
    this.heldClose = undefined;
    this.awaited = undefined;
  }
}
