/**
 * Commands of the replicated log, and the results of applying them to the agreed state.
 */
import type * as configuration from '../configuration/types.js';
import type * as failures from '../kernel/failures.js';

/** Creates, changes or deletes one configuration object if it has the expected version. */
export interface ConfigureCommand {
  readonly type: 'configure';
  /** Unique for each change; the same when the command is resent. */
  readonly changeId: string;
  readonly kind: configuration.ConfigurationKind;
  readonly name: string;
  /** Version that the change is based on; 0 if the object must not exist yet. */
  readonly expectedVersion: number;
  /** New body; null deletes the object. */
  readonly body: unknown;
}

/** Claims the right to run a call that is not idempotent. */
export interface ClaimCommand {
  readonly type: 'claim';
  readonly account: string;
  readonly key: string;
  /** Digest of the request; detects a key that is reused for another request. */
  readonly digest: string;
  /** The entry that makes the claim, shown to operators. */
  readonly holder: string;
  /** Unique for each attempt; only the attempt that holds the claim may dispatch the call. */
  readonly attempt: string;
}

/** Answer of an upstream, recorded for repeated calls. */
export interface RecordedOutcome {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  /** Set if neither a length nor chunks stated that the body is whole. */
  readonly endsWithConnection?: true;
}

/** Records the result of a claim. `outcome` is null if it cannot be known whether the call ran. */
export interface SettleClaimCommand {
  readonly type: 'settleClaim';
  readonly account: string;
  readonly key: string;
  readonly attempt: string;
  readonly result: 'done' | 'unknown' | 'notRun';
  readonly outcome: RecordedOutcome | null;
}

/** An order to an upstream; its fencing number is the index of this command in the log. */
export interface OrderCommand {
  readonly type: 'order';
  readonly orderId: string;
  readonly upstream: string;
  readonly order: OrderBody;
}

/** Action that an upstream is ordered to perform. */
export interface OrderBody {
  readonly action: 'loadModel' | 'loadAdapter' | 'changeRole';
  readonly target: string;
}

/** Marks an order as done or failed. */
export interface SettleOrderCommand {
  readonly type: 'settleOrder';
  readonly orderId: string;
  readonly result: 'done' | 'failed';
}

/** Replaces the traffic configuration if its version is higher than the current one. */
export interface ReplaceTrafficCommand {
  readonly type: 'replaceTraffic';
  readonly version: number;
  /** Text as received from the operator. */
  readonly text: string;
}

/** Answer to `ReplaceTrafficCommand`; `version` is the resulting version. */
export interface ReplaceTrafficAnswer {
  readonly version: number;
}

/** Quarantines a content: it is sent to no upstream, also after a restart of all processes. */
export interface QuarantineCommand {
  readonly type: 'quarantine';
  /** Digest of the content. */
  readonly content: string;
}

/** Lifts the quarantine of a content. */
export interface ReleaseCommand {
  readonly type: 'release';
  readonly content: string;
}

/** Stops new requests to all upstreams of a data centre, or ends that. */
export interface DataCentreCommand {
  readonly type: 'evacuate' | 'restore';
  readonly dataCentre: string;
  /**
   * Log index up to which the operator's order is certainly newer than the log; a newer order on the data centre makes
   * this one void. Absent in log entries of earlier versions.
   */
  readonly knownIndex?: number;
}

/** Answer to a `DataCentreCommand`. `lastOrder` is the log index of the newer order that made it void. */
export type DataCentreAnswer =
  | { readonly accepted: true; readonly evacuations: Evacuations }
  | { readonly accepted: false; readonly lastOrder: number };

/** A data centre whose upstreams receive no new requests. */
export interface EvacuatedDataCentre {
  readonly dataCentre: string;
  /** Wall-clock time at which the leader accepted the command, in milliseconds. */
  readonly since: number;
}

/** All evacuated data centres; entries receive the complete list after each change. */
export interface Evacuations {
  /** Log index of the latest change; 0 before the first. A higher revision is newer, on any replica. */
  readonly revision: number;
  readonly dataCentres: readonly EvacuatedDataCentre[];
}

/** Any command. */
export type Command =
  | DataCentreCommand
  | QuarantineCommand
  | ReleaseCommand
  | ReplaceTrafficCommand
  | ConfigureCommand
  | ClaimCommand
  | SettleClaimCommand
  | OrderCommand
  | SettleOrderCommand;

/** Answer to a configuration change. */
export type ConfigureAnswer =
  | { readonly accepted: true; readonly version: number }
  | { readonly accepted: false; readonly failure: failures.Failure };

/** Answer to a claim. */
export type ClaimAnswer =
  | { readonly state: 'granted' }
  | { readonly state: 'pending'; readonly holder: string }
  | { readonly state: 'done'; readonly outcome: RecordedOutcome | null }
  | { readonly state: 'unknown' }
  | { readonly state: 'keyReused' }
  | { readonly state: 'full'; readonly retryAfter: number };

/** A claim and its state. */
export interface Claim {
  readonly account: string;
  readonly key: string;
  readonly digest: string;
  readonly holder: string;
  readonly attempt: string;
  readonly stamp: number;
  readonly state: 'pending' | 'done' | 'unknown' | 'notRun';
  readonly outcome: RecordedOutcome | null;
}

/** An order with its fencing number and state. */
export interface Order {
  readonly orderId: string;
  readonly upstream: string;
  readonly order: OrderBody;
  readonly fencingNumber: number;
  readonly stamp: number;
  readonly state: 'open' | 'done' | 'failed';
}

/** Limits of the retained state. Times are in milliseconds. */
export interface AgreedStateLimits {
  /** How long the answer to a change id is kept. */
  readonly changeIdLife: number;
  /** How long a claim is kept after its creation. */
  readonly claimLife: number;
  /** Maximum number of claims per client account. */
  readonly claimsPerAccount: number;
  /** Maximum number of deleted objects kept for incremental pulls. */
  readonly tombstones: number;
  /** Maximum number of finished orders kept. */
  readonly finishedOrders: number;
  /** Maximum number of quarantined contents; a further one evicts the oldest. */
  readonly quarantined: number;
}
