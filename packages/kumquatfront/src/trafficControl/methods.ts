/**
 * RPC methods of the control replicas for traffic configurations, upstream instances and placement, and the types of
 * their messages.
 */
import type * as agreedTypes from '../agreedState/types.js';
import type * as slotMessages from '../callSlots/messages.js';
import type * as entryCapacity from '../entryLoad/entryCapacity.js';
import type * as entryUtilization from '../entryLoad/entryUtilization.js';
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import type * as placementTypes from '../placement/types.js';
import type * as quarantineTypes from '../quarantine/types.js';

/** RPC method names. */
export const methods = {
  watch: 'traffic.watch',
  /** Sends the complete configuration; for entries of earlier releases, while control is upgraded before them. */
  fetch: 'traffic.fetch',
  /** Sends a piece of the configuration in force; see `configurationTransfer/types`. */
  fetchPiece: 'traffic.fetchPiece',
  replace: 'traffic.replace',
  read: 'traffic.read',
  /** Evacuates or restores a data centre. */
  evacuate: 'traffic.evacuate',
  gossip: 'traffic.gossip',
  crashRecords: 'traffic.cases',
  crashedInstances: 'traffic.ended',
  rateLimit: 'traffic.rateLimit',
  place: 'placement.place',
  withdraw: 'placement.withdraw',
  report: 'placement.report',
  /** Lends parts of limits that entries share; see `sharedLimits/leaseMessages`. */
  lease: 'limits.lease',
  /** Served by entries. */
  move: 'placement.move',
} as const;

/**
 * Lifecycle state of an entry; only entries that are `ready` are returned to callers. A `superseded` entry lacks a
 * configuration that was acknowledged too long ago.
 */
export type EntryState = 'starting' | 'ready' | 'superseded' | 'draining';

/** Attributes and status of an entry, sent with each watch request. */
export interface EntryStatus {
  readonly name: string;
  readonly dataCentre: string;
  /** Address that callers connect to, as `ip:port`. */
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly state: EntryState;
  /** Version of the traffic configuration in force at the entry; 0 before the first one. */
  readonly trafficVersion: number;
  /** Stated limits of the entry's VM; absent if none is stated. */
  readonly capacity?: entryCapacity.CapacityFigures;
  /** Utilization of the entry; absent if it does not measure it. */
  readonly utilization?: entryUtilization.UtilizationFigures;
  /** Time since the entry became ready; absent after the first seconds. */
  readonly readyFor?: ports.Milliseconds;
  /** True while the entry reaches no upstream by its own links; otherwise absent. */
  readonly cutOff?: boolean;
}

/**
 * Updates that a replica sends to an entry immediately; all others are sent when the watch closes. `instances` covers
 * every update, `notices` leaves out instances that were added or removed, `leaders` covers only a new leader and
 * evacuations.
 */
export type ImmediateUpdates = 'instances' | 'notices' | 'leaders';

/** Long poll for updates: answered when there is an update, or when the watch closes. */
export interface WatchRequest {
  readonly entry: EntryStatus;
  readonly epoch: string;
  readonly revision: number;
  /** Where the next page of the instances begins; absent unless the complete list is being received. */
  readonly listing?: instanceTypes.ListingPosition;
  /** True if the last answer left out updates that the replica had. */
  readonly awaitsMore?: boolean;
  /** Highest configuration version that the entry has in force or that this replica has announced to it. */
  readonly toldVersion: number;
  /** Highest leader term that any replica has reported to the entry. */
  readonly toldTerm: number;
  readonly toldAtOnce: ImmediateUpdates;
  /** Digest of the replica addresses that this replica last sent; 0 before the first answer. */
  readonly controlDigest: number;
  /** Revision up to which the entry has received this replica's crash records in this epoch. */
  readonly caseRevision: number;
  /** Highest revision of the evacuated data centres that the entry has received from any replica. */
  readonly evacuationRevision: number;
}

/** Requests the complete configuration in force if it is newer than version `above`. */
export interface FetchRequest {
  readonly above: number;
}

/** Updates for an entry. */
export interface WatchAnswer {
  /** Data centre of the answering replica. */
  readonly dataCentre: string;
  /** Omitted when the entry is up to date. */
  readonly instances?: instanceTypes.InstanceUpdate;
  /** Version of the configuration in force at the replica; 0 if there is none. */
  readonly trafficVersion: number;
  /** Time since the replica has applied that version. */
  readonly trafficAge: ports.Milliseconds;
  /** False when the replica's state may be stale; an entry must not start serving on the basis of a stale answer. */
  readonly fresh: boolean;
  /** Term and address of the leader that the replica follows; the address is empty if no leader is known. */
  readonly leaderTerm: number;
  readonly leaderAddress: string;
  /** Peer addresses of all control replicas; omitted when they match the digest in the request. */
  readonly control?: readonly string[];
  /** Number of entries with a current lease at this replica. */
  readonly entryCount: number;
  /** Records of contents that crashed upstreams; omitted when the entry is up to date. */
  readonly cases?: quarantineTypes.CrashRecordUpdate;
  /** What upstreams state of fragile services; omitted if no service is or was fragile. */
  readonly fragile?: readonly slotMessages.FragilityRecord[];
  /** Data centres whose upstreams receive no new work; omitted when the entry is up to date. */
  readonly evacuations?: agreedTypes.Evacuations;
}

/** Instance records exchanged between control replicas. */
export interface Gossip {
  readonly records: readonly instanceTypes.InstanceRecord[];
}

/** Instances whose addresses refuse connections, as found by an entry. */
export interface CrashedInstances {
  readonly instances: readonly string[];
  /** Name of the entry that found it; absent from entries of earlier releases. */
  readonly entry?: string;
}

/** Rate limit that an entry received from an instance. */
export interface RateLimitUpdate {
  readonly instance: string;
  /** Requests per second from all senders together; absent once the instance has lifted the limit. */
  readonly perSecond?: number;
}

/** Crash records reported by an entry. */
export interface CrashRecordReport {
  readonly cases: readonly quarantineTypes.CrashRecord[];
}

/** Cancels a placement request. */
export interface PlacementWithdrawal {
  readonly identity: string;
}

/** Placement request as sent to the coordinator. */
export type PlaceRequest = placementTypes.PlacementRequest;
