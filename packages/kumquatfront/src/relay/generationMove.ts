/**
 * One move of a running generation to another engine: a first copy while it runs on, then a final copy for
 * which the source stops. The pause is that of the final copy, which holds only what is new.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as types from './types.js';

/** How the two copies ended for the stream. */
export type MoveResult =
  /** The source has stopped; the generation goes on from the copy at the target. */
  | { readonly state: 'stopped'; readonly at: 'target' | 'source'; readonly handle: string }
  /** The run goes on at the source, or has ended by itself. */
  | { readonly state: 'unmoved'; readonly reason: string; readonly ended: boolean };

/** A move under way. */
export class GenerationMove {
  readonly target: instanceView.Instance;
  /** Handle of the newest copy; undefined before the first is complete. */
  handle: string | undefined;
  /** True while the source has been asked to stop and has not answered. */
  stopping = false;
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

  run(done: (result: MoveResult) => void): void {
    this.upstreams.copyMemory(this.source, this.target, this.request, false, (first) => {
      if (first.state !== 'copied') {
        done(unmoved(first));
        return;
      }
      this.handle = first.handle;
      if (this.cancelled) {
        this.dropCopy();
        done({ state: 'unmoved', reason: 'cancelled', ended: true });
        return;
      }
      this.stopping = true;
      this.upstreams.copyMemory(this.source, this.target, this.request, true, (last) => {
        this.stopping = false;
        this.onStopped(last, done);
      });
    });
  }

  private onStopped(last: types.CopyResult, done: (result: MoveResult) => void): void {
    if (last.state === 'copied') {
      this.handle = last.handle;
      done({ state: 'stopped', at: 'target', handle: last.handle });
      return;
    }
    if (last.state === 'noRoom' && last.handle !== undefined) {
      done({ state: 'stopped', at: 'source', handle: last.handle });
      return;
    }
    done(unmoved(last));
  }

  /** Frees what was copied: the caller has gone, and nobody will use it. */
  cancel(): void {
    this.cancelled = true;
    this.dropCopy();
  }

  private dropCopy(): void {
    if (this.handle !== undefined) {
      this.upstreams.dropCopy({ address: this.source.address, handle: this.handle });
    }
  }
}

function unmoved(result: types.CopyResult): MoveResult {
  const reason = result.state === 'failed' ? result.reason : result.state;
  return { state: 'unmoved', reason, ended: result.state === 'noRun' };
}
