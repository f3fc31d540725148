/**
 * Tracks the requests in flight at each upstream. Load reports lag behind; dispatches made since the last report
 * are recorded only here.
 */
import type * as types from './types.js';

/** Upper bound in tokens per millisecond for the rate computed from two progress reports in quick succession. */
const MAXIMUM_RATE = 0.2;
/** Maximum milliseconds over which progress is extrapolated. */
const MAXIMUM_EXTRAPOLATION = 3_000;

/**
 * Estimates the tokens that a dispatch has produced by now, by extrapolating its last progress report.
 *
 * @param now - current time in milliseconds
 * @returns the estimated number of tokens
 * @example
 * ```ts
 * dispatchTracker.estimateProducedTokens(dispatch, timers.now());
 * ```
 */
export function estimateProducedTokens(dispatch: types.DispatchRecord, now: number): number {
  return dispatch.produced + dispatch.rate * Math.min(MAXIMUM_EXTRAPOLATION, now - dispatch.lastProgressAt);
}

/** Dispatch records by request and by upstream; see the module comment. */
export class DispatchTracker {
  private readonly byRequest = new Map<string, types.DispatchRecord>();
  private readonly byUpstream = new Map<string, Map<string, types.DispatchRecord>>();
  private readonly versionByUpstream = new Map<string, number>();

  /** Returns a counter that is incremented whenever a dispatch to the upstream starts or finishes. */
  versionOf(upstream: string): number {
    return this.versionByUpstream.get(upstream) ?? 0;
  }

  private incrementVersion(upstream: string): void {
    this.versionByUpstream.set(upstream, this.versionOf(upstream) + 1);
  }

  recordDispatch(request: types.PlacementRequest, upstream: string, now: number): void {
    this.remove(request.requestId);
    const { requestId, urgency, promptTokens, estimateKeys } = request;
    const dispatch = {
      ...{ requestId, upstream, urgency, promptTokens, estimateKeys },
      ...{ dispatchedAt: now, produced: 0, lastProgressAt: now, rate: 0 },
    };
    this.add(dispatch);
  }

  private add(dispatch: types.DispatchRecord): void {
    const { requestId, upstream } = dispatch;
    this.byRequest.set(requestId, dispatch);
    const dispatches = this.byUpstream.get(upstream) ?? new Map<string, types.DispatchRecord>();
    dispatches.set(requestId, dispatch);
    this.byUpstream.set(upstream, dispatches);
    this.incrementVersion(upstream);
  }

  /** Records a dispatch made by another process. */
  importDispatch(dispatch: types.DispatchRecord): void {
    this.remove(dispatch.requestId);
    this.add(dispatch);
  }

  recordProgress(requestId: string, produced: number, now: number): void {
    const dispatch = this.byRequest.get(requestId);
    if (dispatch === undefined || produced <= dispatch.produced) {
      return;
    }
    const elapsed = now - dispatch.lastProgressAt;
    if (elapsed > 0 && dispatch.produced > 0) {
      dispatch.rate = Math.min(MAXIMUM_RATE, (produced - dispatch.produced) / elapsed);
    }
    dispatch.produced = produced;
    dispatch.lastProgressAt = now;
  }

  remove(requestId: string): types.DispatchRecord | undefined {
    const dispatch = this.byRequest.get(requestId);
    if (dispatch !== undefined) {
      this.byRequest.delete(requestId);
      this.byUpstream.get(dispatch.upstream)?.delete(requestId);
      this.incrementVersion(dispatch.upstream);
    }
    return dispatch;
  }

  dispatchesTo(upstream: string): Iterable<types.DispatchRecord> {
    return this.byUpstream.get(upstream)?.values() ?? [];
  }

  countOf(upstream: string): number {
    return this.byUpstream.get(upstream)?.size ?? 0;
  }

  /** Counts dispatches to an upstream after the given time, which a load report of that time does not include. */
  countSince(upstream: string, time: number): number {
    let count = 0;
    for (const dispatch of this.dispatchesTo(upstream)) {
      count += dispatch.dispatchedAt > time ? 1 : 0;
    }
    return count;
  }

  removeUpstream(upstream: string): void {
    this.byUpstream.delete(upstream);
    this.versionByUpstream.delete(upstream);
  }
}
