/**
 * Commands of the replicated log and what the agreed state answers to them.
 */
import type * as configuration from '../configuration/types.js';
import type * as failures from '../kernel/failures.js';

/** Changes or deletes one configured object, if it still has the expected version. */
export interface ConfigureCommand {
  readonly type: 'configure';
  /** Unique for one wish of an operator; a resend carries the same one. */
  readonly changeId: string;
  readonly kind: configuration.ConfigurationKind;
  readonly name: string;
  /** Version the operator saw; 0 where the object must not exist yet. */
  readonly expectedVersion: number;
  /** New body; null deletes. */
  readonly body: unknown;
}

/** Claims the right to run a call that is not idempotent. */
export interface ClaimCommand {
  readonly type: 'claim';
  readonly account: string;
  readonly key: string;
  /** Digest of the request, so that one key cannot stand for two requests. */
  readonly digest: string;
  /** The entry that asks, for operators to read. */
  readonly holder: string;
  /** Unique for one attempt of one entry; only this attempt may dispatch. */
  readonly attempt: string;
}

/** The answer of an upstream, kept for repeats. */
export interface RecordedOutcome {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Ends a claim. `outcome` is null where nobody can know whether the call ran. */
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

/** What an upstream is told to do. */
export interface OrderBody {
  readonly action: 'loadModel' | 'loadAdapter' | 'changeRole';
  readonly target: string;
}

/** Marks an order as carried out or given up. */
export interface SettleOrderCommand {
  readonly type: 'settleOrder';
  readonly orderId: string;
  readonly result: 'done' | 'failed';
}

/** Replaces the whole traffic configuration, if its version is higher than the one that is held. */
export interface ReplaceTrafficCommand {
  readonly type: 'replaceTraffic';
  readonly version: number;
  /** As the operator sent it. */
  readonly text: string;
}

/** Answer to a replacement; `version` is the one that is held afterwards. */
export interface ReplaceTrafficAnswer {
  readonly version: number;
}

/** Keeps a content from every upstream, also after all processes have ended. */
export interface QuarantineCommand {
  readonly type: 'quarantine';
  /** Digest of the content. */
  readonly content: string;
}

/** Lets a content go again. */
export interface ReleaseCommand {
  readonly type: 'release';
  readonly content: string;
}

/** Keeps new work from every upstream of a data centre until it is restored. */
export interface EvacuateCommand {
  readonly type: 'evacuate';
  readonly dataCentre: string;
}

/** Gives the upstreams of a data centre work again. */
export interface RestoreCommand {
  readonly type: 'restore';
  readonly dataCentre: string;
}

/** An operator's order on one data centre. */
export type DataCentreCommand = EvacuateCommand | RestoreCommand;

/** A data centre whose upstreams get nothing new. */
export interface EvacuatedDataCentre {
  readonly dataCentre: string;
  /** Wall-clock milliseconds of the leader that took the order. */
  readonly since: number;
}

/** All evacuated data centres, as one value that entries replace whole. */
export interface Evacuations {
  /** Index in the log of the newest change; 0 before the first. A higher one is newer, on any replica. */
  readonly revision: number;
  readonly dataCentres: readonly EvacuatedDataCentre[];
}

/** Every command. */
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

/** Answer to a change of configuration. */
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

/** One claim. */
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

/** One order with its fencing number. */
export interface Order {
  readonly orderId: string;
  readonly upstream: string;
  readonly order: OrderBody;
  readonly fencingNumber: number;
  readonly stamp: number;
  readonly state: 'open' | 'done' | 'failed';
}

/** Bounds of what is remembered. Times in milliseconds. */
export interface AgreedStateLimits {
  /** How long the answer to a change id is kept. */
  readonly changeIdLife: number;
  /** How long a claim is kept after it was made. */
  readonly claimLife: number;
  /** Claims kept at most for one client account. */
  readonly claimsPerAccount: number;
  /** Deleted objects remembered for partial pulls. */
  readonly tombstones: number;
  /** Finished orders remembered. */
  readonly finishedOrders: number;
  /** Contents kept from upstreams at once; beyond them the oldest is let go. */
  readonly quarantined: number;
}
