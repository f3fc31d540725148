/**
 * The ledger of dispatches: what was sent to which upstream and has not come back. Load reports lag; what
 * was sent since the last one is known only here.
 */
import type * as types from './types.js';

/** Tokens a millisecond that no engine exceeds; bounds what two close words of progress seem to say. */
const FASTEST = 0.2;
/** Time over which a rate is trusted to go on, milliseconds. */
const EXTRAPOLATED_FOR = 3_000;

/**
 * Tokens that a dispatch has probably produced by now: news of it is up to an interval old, in which an
 * engine grows by some percent of its memory.
 *
 * @param dispatch - the dispatch
 * @param now - milliseconds
 * @returns tokens
 * @example
 * ```ts
 * dispatchLedger.producedBy(dispatch, timers.now());
 * ```
 */
export function producedBy(dispatch: types.OwnDispatch, now: number): number {
  return dispatch.produced + dispatch.rate * Math.min(EXTRAPOLATED_FOR, now - dispatch.progressedAt);
}

/** The ledger; see the module comment. */
export class DispatchLedger {
  private readonly byRequest = new Map<string, types.OwnDispatch>();
  private readonly byUpstream = new Map<string, Map<string, types.OwnDispatch>>();
  private readonly versions = new Map<string, number>();

  /** Grows whenever a dispatch to an upstream begins or ends. */
  versionAt(upstream: string): number {
    return this.versions.get(upstream) ?? 0;
  }

  private changed(upstream: string): void {
    this.versions.set(upstream, this.versionAt(upstream) + 1);
  }

  dispatched(request: types.PlacementRequest, upstream: string, now: number): void {
    this.finished(request.requestId);
    const { requestId, urgency, promptTokens, estimateKeys } = request;
    const dispatch = {
      ...{ requestId, upstream, urgency, promptTokens, estimateKeys },
      ...{ since: now, produced: 0, progressedAt: now, rate: 0 },
    };
    this.add(dispatch);
  }

  private add(dispatch: types.OwnDispatch): void {
    const { requestId, upstream } = dispatch;
    this.byRequest.set(requestId, dispatch);
    const there = this.byUpstream.get(upstream) ?? new Map<string, types.OwnDispatch>();
    there.set(requestId, dispatch);
    this.byUpstream.set(upstream, there);
    this.changed(upstream);
  }

  /** Takes over a dispatch that somebody else has made. */
  adopt(dispatch: types.OwnDispatch): void {
    this.finished(dispatch.requestId);
    this.add(dispatch);
  }

  progressed(requestId: string, produced: number, now: number): void {
    const dispatch = this.byRequest.get(requestId);
    if (dispatch === undefined || produced <= dispatch.produced) {
      return;
    }
    const elapsed = now - dispatch.progressedAt;
    if (elapsed > 0 && dispatch.produced > 0) {
      dispatch.rate = Math.min(FASTEST, (produced - dispatch.produced) / elapsed);
    }
    dispatch.produced = produced;
    dispatch.progressedAt = now;
  }

  finished(requestId: string): types.OwnDispatch | undefined {
    const dispatch = this.byRequest.get(requestId);
    if (dispatch !== undefined) {
      this.byRequest.delete(requestId);
      this.byUpstream.get(dispatch.upstream)?.delete(requestId);
      this.changed(dispatch.upstream);
    }
    return dispatch;
  }

  at(upstream: string): Iterable<types.OwnDispatch> {
    return this.byUpstream.get(upstream)?.values() ?? [];
  }

  countAt(upstream: string): number {
    return this.byUpstream.get(upstream)?.size ?? 0;
  }

  /** Dispatches sent to an upstream after a moment, which a report of that moment cannot contain. */
  countSince(upstream: string, moment: number): number {
    let count = 0;
    for (const dispatch of this.at(upstream)) {
      count += dispatch.since > moment ? 1 : 0;
    }
    return count;
  }

  forgetUpstream(upstream: string): void {
    this.byUpstream.delete(upstream);
    this.versions.delete(upstream);
  }
}
