/**
 * Types of request placement: which upstream a request is sent to, and when.
 */
import type * as configuration from '../configuration/types.js';
import type * as upstreamTable from '../directory/upstreamTable.js';
import type * as estimates from '../estimates/lengthEstimator.js';
import type * as ports from '../kernel/ports.js';

/** The properties of a request that determine its placement. */
export interface PlacementRequest {
  readonly requestId: string;
  readonly account: string;
  readonly deployment: string;
  /** Label selector of the deployment over upstreams. */
  readonly upstreams: string;
  readonly kind: configuration.DeploymentBody['kind'];
  readonly urgency: configuration.Urgency;
  /** Estimated number of prompt tokens. */
  readonly promptTokens: number;
  /** Digest of the beginning of the prompt, as used in cache events. */
  readonly prefix: string;
  readonly estimateKeys: estimates.EstimateKeys;
  /** Upstreams on which this request has already failed. */
  readonly exclude: ReadonlySet<string>;
  /** If present, only engines of this group are eligible. */
  readonly group?: EngineGroup;
}

/** A subset of the engines of a deployment: those whose name hashes to `index` modulo `count`. */
export interface EngineGroup {
  readonly index: number;
  readonly count: number;
}

/** Why a request was not placed; it has not been executed. */
export interface PlacementRefusal {
  readonly reason: 'noUpstream' | 'queueFull' | 'quarantined';
  /** Milliseconds after which to retry; absent if a retry would not help. */
  readonly retryAfter?: number;
}

/** The outcome of placement. */
export type Placement =
  | { readonly type: 'granted'; readonly upstream: upstreamTable.UpstreamRecord }
  | { readonly type: 'refused'; readonly refusal: PlacementRefusal };

/** Places requests and tracks their progress. */
export interface PlacementPolicy {
  /** Requests placement; `done` is called once, possibly synchronously. The returned function cancels the wait. */
  place(request: PlacementRequest, done: (placement: Placement) => void): ports.Cancel;
  /** Records the total number of tokens that a generation has produced so far. */
  onProgress(requestId: string, produced: number): void;
  /** Records that a request has left its upstream; `completed` is true if the generation ran to completion. */
  onFinished(requestId: string, produced: number, completed: boolean): void;
  /** Returns the number of requests waiting for placement. */
  waitingCount(): number;
}

/** A request in flight at an upstream. */
export interface DispatchRecord {
  readonly requestId: string;
  readonly upstream: string;
  readonly urgency: configuration.Urgency;
  readonly promptTokens: number;
  readonly estimateKeys: estimates.EstimateKeys;
  readonly dispatchedAt: number;
  /** Total tokens produced, as of the last progress report. */
  produced: number;
  lastProgressAt: number;
  /** Tokens per millisecond between the last two progress reports. */
  rate: number;
}
