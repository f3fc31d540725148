/**
 * The ledger of dispatches: what was sent to which upstream and has not come back. Load reports lag; what
 * was sent since the last one is known only here.
 */
import type * as types from './types.js';

/** The ledger; see the module comment. */
export class DispatchLedger {
  private readonly byRequest = new Map<string, types.OwnDispatch>();
  private readonly byUpstream = new Map<string, Map<string, types.OwnDispatch>>();

  dispatched(request: types.PlacementRequest, upstream: string, now: number): void {
    this.finished(request.requestId);
    const { requestId, urgency, promptTokens, estimateKeys } = request;
    const dispatch = { requestId, upstream, urgency, promptTokens, estimateKeys, since: now, produced: 0 };
    this.byRequest.set(requestId, dispatch);
    const there = this.byUpstream.get(upstream) ?? new Map<string, types.OwnDispatch>();
    there.set(requestId, dispatch);
    this.byUpstream.set(upstream, there);
  }

  progressed(requestId: string, produced: number): void {
    const dispatch = this.byRequest.get(requestId);
    if (dispatch !== undefined) {
      dispatch.produced = produced;
    }
  }

  finished(requestId: string): types.OwnDispatch | undefined {
    const dispatch = this.byRequest.get(requestId);
    if (dispatch !== undefined) {
      this.byRequest.delete(requestId);
      this.byUpstream.get(dispatch.upstream)?.delete(requestId);
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
  }
}
