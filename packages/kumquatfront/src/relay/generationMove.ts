/**
 * Live migration of a running generation to another engine. The memory is copied while the generation runs; the
 * source then stops and a final copy transfers only the changes, which keeps the interruption short.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as types from './types.js';

/** Result of a move. */
export type MoveResult =
  /** The source has stopped; the generation can resume from the copy at `at`. */
  | { readonly state: 'stopped'; readonly at: 'target' | 'source'; readonly handle: string }
  /** The generation still runs at the source, or has `ended` there. */
  | { readonly state: 'unmoved'; readonly reason: string; readonly ended: boolean };

/** One move in progress. */
export class GenerationMove {
  readonly target: instanceView.Instance;
  /** Handle of the latest copy; undefined until the first copy is complete. */
  handle: string | undefined;
  /** True while the final copy is in progress. */
  stopping = false;
  /** True once the source was told to stop. */
  stopSent = false;
  private readonly source: instanceView.Instance;
  private readonly request: string;
  private readonly upstreams: types.UpstreamPort;
  private cancelled = false;

  constructor(
    upstreams: types.UpstreamPort,
    source: instanceView.Instance,
    target: instanceView.Instance,
    request: string,
  ) {
    this.upstreams = upstreams;
    this.source = source;
    this.target = target;
    this.request = request;
  }

  /** Makes both copies and reports the result; stops after the first copy if it fails. */
  run(done: (result: MoveResult) => void): void {
    this.upstreams.copyMemory(this.source, this.target, this.request, false, (first) => {
      if (first.state !== 'copied') {
        done(unmovedResult(first));
        return;
      }
      this.handle = first.handle;
      if (this.cancelled) {
        this.releaseCopy();
        done({ state: 'unmoved', reason: 'cancelled', ended: true });
        return;
      }
      this.stopping = true;
      this.stopSent = true;
      this.upstreams.copyMemory(this.source, this.target, this.request, true, (last) => {
        this.stopping = false;
        this.onFinalCopy(last, done);
      });
    });
  }

  private onFinalCopy(last: types.CopyResult, done: (result: MoveResult) => void): void {
    if (last.state === 'copied') {
      this.handle = last.handle;
      done({ state: 'stopped', at: 'target', handle: last.handle });
      return;
    }
    if (last.state === 'noRoom' && last.handle !== undefined) {
      done({ state: 'stopped', at: 'source', handle: last.handle });
      return;
    }
    done(unmovedResult(last));
  }

  /** Cancels the move and releases its copy. */
  cancel(): void {
    this.cancelled = true;
    this.releaseCopy();
  }

  private releaseCopy(): void {
    if (this.handle !== undefined) {
      this.upstreams.releaseCopy({ address: this.source.address, handle: this.handle });
    }
  }
}

function unmovedResult(result: types.CopyResult): MoveResult {
  const reason = result.state === 'failed' ? result.reason : result.state;
  return { state: 'unmoved', reason, ended: result.state === 'noRun' };
}
