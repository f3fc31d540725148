/**
 * Placement: which upstream a request goes to, and when.
 */
import type * as configuration from '../configuration/types.js';
import type * as upstreamTable from '../directory/upstreamTable.js';
import type * as estimates from '../estimates/lengthEstimator.js';
import type * as ports from '../kernel/ports.js';

/** What the choice of an upstream depends on. */
export interface PlacementRequest {
  readonly requestId: string;
  readonly account: string;
  readonly deployment: string;
  /** Label selector of the deployment over upstreams. */
  readonly upstreams: string;
  readonly kind: configuration.DeploymentBody['kind'];
  readonly urgency: configuration.Urgency;
  /** Tokens of the prompt; an estimate. */
  readonly promptTokens: number;
  /** Digest of the beginning of the prompt, as cache events name prefixes. */
  readonly prefix: string;
  readonly estimateKeys: estimates.EstimateKeys;
  /** Upstreams that have failed this request already. */
  readonly exclude: ReadonlySet<string>;
  /** Where given, only engines of this group. */
  readonly group?: EngineGroup;
}

/** A share of a deployment's engines: those whose name hashes to `index` modulo `count`. */
export interface EngineGroup {
  readonly index: number;
  readonly count: number;
}

/** Why a request got no place; it has not been run. */
export interface PlacementRefusal {
  readonly reason: 'noUpstream' | 'queueFull' | 'quarantined';
  /** Milliseconds after which it is worth coming back; absent where that does not help. */
  readonly retryAfter?: number;
}

/** A place, or a refusal. */
export type Placement =
  | { readonly type: 'granted'; readonly upstream: upstreamTable.UpstreamRecord }
  | { readonly type: 'refused'; readonly refusal: PlacementRefusal };

/** The serving policy: places requests and is told what becomes of them. */
export interface PlacementPolicy {
  /** Asks for a place; `done` is called once, at once or later. The returned function gives up waiting. */
  place(request: PlacementRequest, done: (placement: Placement) => void): ports.Cancel;
  /** A generation has produced this many tokens so far. */
  progressed(requestId: string, produced: number): void;
  /** The request has left its upstream, with this many tokens produced; `whole` when it ended by itself. */
  finished(requestId: string, produced: number, whole: boolean): void;
  /** Requests waiting for a place. */
  waiting(): number;
}

/** What one entry knows of its own dispatches to one upstream. */
export interface OwnDispatch {
  readonly requestId: string;
  readonly upstream: string;
  readonly urgency: configuration.Urgency;
  readonly promptTokens: number;
  readonly estimateKeys: estimates.EstimateKeys;
  readonly since: number;
  /** Tokens at the last word of progress, and when that was. */
  produced: number;
  progressedAt: number;
  /** Tokens a millisecond between the last two words of progress. */
  rate: number;
}
