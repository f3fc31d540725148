/**
 * Methods that control serves for whole traffic configurations, upstream instances and placement, with the
 * shapes of their messages.
 */
import type * as agreedTypes from '../agreedState/types.js';
import type * as instanceTypes from '../instances/types.js';
import type * as placementTypes from '../placement/types.js';
import type * as quarantineTypes from '../quarantine/types.js';
import * as rendezvous from '../utils/rendezvous.js';

/** Names of the methods. */
export const methods = {
  watch: 'traffic.watch',
  fetch: 'traffic.fetch',
  replace: 'traffic.replace',
  read: 'traffic.read',
  /** Evacuates a data centre, or restores it. */
  evacuate: 'traffic.evacuate',
  gossip: 'traffic.gossip',
  cases: 'traffic.cases',
  ended: 'traffic.ended',
  rateLimit: 'traffic.rateLimit',
  place: 'placement.place',
  withdraw: 'placement.withdraw',
  report: 'placement.report',
  /** Served by entries. */
  move: 'placement.move',
} as const;

/** Whether an entry should be given to callers. */
export type EntryState = 'starting' | 'ready' | 'draining';

/** What an entry says of itself with each watch. */
export interface EntryNews {
  readonly name: string;
  readonly dataCentre: string;
  /** Where callers connect: `ip:port`. */
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly state: EntryState;
  /** Version that the entry has in force; 0 before the first. */
  readonly trafficVersion: number;
}

/**
 * What a replica tells an entry as soon as it knows it; the rest is told when a watch closes. `instances` is
 * everything, `notices` leaves out instances that are found or gone, `leaders` is a new leader only.
 */
export type ToldAtOnce = 'instances' | 'notices' | 'leaders';

/** Asks for news; the answer comes when there is some, or after a while without. */
export interface WatchRequest {
  readonly entry: EntryNews;
  readonly epoch: string;
  readonly revision: number;
  /** Version of a configuration that this replica has told of already. */
  readonly toldVersion: number;
  /** Term of the newest leader that the entry has been told of, by any replica. */
  readonly toldTerm: number;
  readonly toldAtOnce: ToldAtOnce;
  /** Digest of the control replicas that this one has told of; 0 before the first answer. */
  readonly controlDigest: number;
  /** Revision up to which this replica, in this epoch, has told of contents under which upstreams ended. */
  readonly caseRevision: number;
  /** Revision of the evacuated data centres that the entry knows, from any replica. */
  readonly evacuationRevision: number;
}

/** Asks for the configuration in force, where it is newer than a version. */
export interface FetchRequest {
  readonly above: number;
}

/** News for an entry. */
export interface WatchAnswer {
  /** Where the answerer is. */
  readonly dataCentre: string;
  /** Left out where the entry is up to date. */
  readonly instances?: instanceTypes.InstanceNews;
  /** Version of the configuration in force here; 0 where there is none. */
  readonly trafficVersion: number;
  /** False where the answerer may be behind; what it tells is then no reason to begin serving. */
  readonly fresh: boolean;
  /** Term of the leader that the answerer follows, and its address; empty where it knows none. */
  readonly leaderTerm: number;
  readonly leaderAddress: string;
  /** Peer addresses of all control replicas; left out where they are those of the digest asked with. */
  readonly control?: readonly string[];
  /** Entries that this replica hears from. */
  readonly entryCount: number;
  /** Contents under which upstreams ended; left out where the entry is up to date. */
  readonly cases?: quarantineTypes.CaseNews;
  /** Data centres whose upstreams get nothing new; left out where the entry is up to date. */
  readonly evacuations?: agreedTypes.Evacuations;
}

/** News of instances between control replicas. */
export interface Gossip {
  readonly records: readonly instanceTypes.InstanceRecord[];
}

/** Instances at whose addresses an entry found that nothing listens any more. */
export interface EndedInstances {
  readonly instances: readonly string[];
}

/** What an entry has heard of an instance's rate limit. */
export interface HeardRateLimit {
  readonly instance: string;
  /** Requests a second from all senders together; absent where the instance does not name a limit any more. */
  readonly perSecond?: number;
}

/** What an entry holds against contents. */
export interface CaseReport {
  readonly cases: readonly quarantineTypes.CaseRecord[];
}

/** Withdraws a question for a place. */
export interface Withdrawal {
  readonly identity: string;
}

/** A question for a place as it travels. */
export type PlaceRequest = placementTypes.PlacementRequest;

/**
 * A number that stands for a list of control replicas, in any order.
 *
 * @param control - peer addresses
 * @returns the digest; never 0
 * @example
 * ```ts
 * methods.digestOf(['10.0.0.1:7300', '10.0.0.2:7300']);
 * ```
 */
export function digestOf(control: readonly string[]): number {
  return Math.max(1, rendezvous.hash([...control].sort().join(' ')));
}
