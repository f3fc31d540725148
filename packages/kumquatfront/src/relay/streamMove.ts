/**
 * Controls the moves of one stream's generation: interprets the end of the source's stream while copies are in
 * progress, and decides where and when the stream resumes.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as placementTypes from '../placement/types.js';
import * as generationMove from './generationMove.js';
import type * as types from './types.js';

/** Time for the source to close its stream after the final copy, so that an idle connection cannot block the move. */
const SOURCE_CLOSE_TIMEOUT: ports.Milliseconds = 60;

/** The upstream and memory copy from which a stream resumes. */
export interface ResumePoint {
  readonly instance: instanceView.Instance;
  readonly copy: types.MemoryCopy;
}

/** Services of the exchange that moves depend on. */
export interface StreamMoveHost {
  readonly request: string;
  readonly upstreams: types.UpstreamPort;
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  /** Reads what a source that has stopped still has to send, also while the caller cannot take more. */
  readonly readToEnd: () => void;
  /** Closes the source's segment and resumes from a copy. */
  readonly resumeFrom: (resumePoint: ResumePoint) => void;
}

/** The close of a source's stream that may be its end, or follow from the command to stop. */
export interface UnconfirmedClose {
  readonly source: string;
  /** Handles the close of a source that has stopped before its end. */
  readonly handleStopped: () => void;
}

type MoveDone = (outcome: placementTypes.MoveOutcome) => void;

/** Moves of one stream, one at a time; see the module comment. */
export class StreamMove {
  private readonly host: StreamMoveHost;
  private active: generationMove.GenerationMove | undefined;
  private source: instanceView.Instance | undefined;
  /** Close that occurred during the final copy. */
  private deferredClose: { readonly handle: () => void; readonly handleStopped: () => void } | undefined;
  /** Source that was told to stop, and of which it is unknown whether it did. */
  private possiblyStopped: string | undefined;
  /** Resumes the stream; set while the last events of a stopped source are pending. */
  private resumePending: (() => void) | undefined;

  constructor(host: StreamMoveHost) {
    this.host = host;
  }

  /** True while a move is in progress. */
  get isActive(): boolean {
    return this.active !== undefined || this.resumePending !== undefined;
  }

  /** True while the final copy is in progress. */
  get isStopping(): boolean {
    return this.active?.stopping === true;
  }

  /** Starts a move; `done` is called when the source can start the next one. */
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
   * Intercepts the end of the source's stream. Returns true if the move handles it; `handleClose` is then called later
   * if the move was not the cause.
   *
   * @param unconfirmed - set if the close alone does not tell whether the stream is complete
   */
  interceptClose(handleClose: () => void, unconfirmed?: UnconfirmedClose): boolean {
    if (this.resumePending !== undefined) {
      this.resumePending();
      return true;
    }
    if (this.isStopping) {
      // The source closes its stream for the final copy; only the copy result shows whether the generation ended.
      this.deferredClose = { handle: handleClose, handleStopped: unconfirmed?.handleStopped ?? handleClose };
      return true;
    }
    if (unconfirmed !== undefined && unconfirmed.source === this.possiblyStopped) {
      unconfirmed.handleStopped();
      return true;
    }
    return false;
  }

  /** Abandons the move of a source that failed before the final copy and returns its first copy; undefined if none. */
  takeFirstCopy(): ResumePoint | undefined {
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
      // The stream has ended, or has already resumed from the first copy.
      done('moved');
      return;
    }
    const deferredClose = this.deferredClose;
    this.deferredClose = undefined;
    if (result.state === 'unmoved') {
      // The source may have stopped even if its response was lost; the first copy is then kept as a fallback.
      if (result.ended || deferredClose === undefined) {
        this.active = undefined;
      }
      done(result.ended ? 'ended' : 'failed');
      if (result.ended) {
        deferredClose?.handle();
      } else {
        this.possiblyStopped = move.stopSent ? source.identity : undefined;
        deferredClose?.handleStopped();
      }
      return;
    }
    this.active = undefined;
    done(result.at === 'target' ? 'moved' : 'failed');
    const resumePoint: ResumePoint = {
      instance: result.at === 'target' ? move.target : source,
      copy: { address: source.address, handle: result.handle },
    };
    if (deferredClose === undefined) {
      this.awaitLastEvents(resumePoint);
    } else {
      this.host.resumeFrom(resumePoint);
    }
  }

  /** Waits for the source's remaining events, which end with the close of its stream. */
  private awaitLastEvents(resumePoint: ResumePoint): void {
    const resume = (): void => {
      if (this.resumePending === resume) {
        cancelWait();
        this.resumePending = undefined;
        this.host.resumeFrom(resumePoint);
      }
    };
    const cancelWait = this.host.timers.after(SOURCE_CLOSE_TIMEOUT, resume);
    this.resumePending = resume;
    // Otherwise the close of a stream whose caller reads slowly would not be seen, and its last events would be lost.
    this.host.readToEnd();
  }

  /** Cancels the current move and releases its copies. */
  cancel(): void {
    this.active?.cancel();
    this.active = undefined;
    this.deferredClose = undefined;
    this.resumePending = undefined;
  }
}
