/**
 * Names and message types of the methods that control replicas and entries serve to each other.
 */
import type * as agreedState from '../agreedState/types.js';
import type * as configuration from '../configuration/types.js';
import type * as consensus from '../consensus/types.js';
import type * as directory from '../directory/types.js';

/** Method names on the wire. */
export const methods = {
  consensus: 'control.consensus',
  join: 'control.join',
  hello: 'control.hello',
  configure: 'control.configure',
  claims: 'control.claims',
  settleClaim: 'control.settleClaim',
  pull: 'configuration.pull',
  status: 'control.status',
  accounts: 'control.accounts',
  order: 'control.order',
  /** Evacuates a data centre, or restores it. */
  evacuate: 'control.evacuate',
  entryBurn: 'entry.burn',
  entryDrain: 'entry.drain',
  entryOrder: 'entry.order',
} as const;

/** Requests the configuration changes after a version. */
export interface PullRequest {
  readonly version: number;
  /** Revision of the evacuations that the requester has. */
  readonly evacuationRevision: number;
  /** True if only the leader may answer, while it holds its lease. */
  readonly leaderOnly: boolean;
  /** The requesting entry; its version shows how far a change has been rolled out. */
  readonly presence: directory.EntryPresence | null;
}

/** Answer to a `PullRequest`. */
export interface PullAnswer {
  /** False if the responder may be out of date; the requester should send the request to another. */
  readonly fresh: boolean;
  /** Milliseconds since the responder last received an update from control; 0 for a control replica. */
  readonly age: number;
  /** Absent if nothing changed or the responder is not fresh. */
  readonly delta?: configuration.ConfigurationDelta;
  /** Absent if the requester is up to date or the responder is not fresh. */
  readonly evacuations?: agreedState.Evacuations;
}

/** Identity and cluster of a replica; used to decide whether to join or to bootstrap a cluster. */
export interface HelloAnswer {
  readonly identity: string;
  readonly clusterIdentity: string;
  readonly leaderAddress: string;
  /** Identities of the members known to the responder. */
  readonly members: readonly string[];
  /** True if the responder is the leader and in contact with a quorum. */
  readonly leads: boolean;
}

/** Requests that the leader adds a replica as a learner. */
export interface JoinRequest {
  readonly identity: string;
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
}

/** Answer to a `JoinRequest`. */
export interface JoinAnswer {
  readonly clusterIdentity: string;
  readonly members: readonly consensus.Member[];
}

/** A batch of claims from one entry. */
export interface ClaimsRequest {
  readonly claims: readonly agreedState.ClaimCommand[];
}

/** Answers to a batch of claims, in the same order. */
export interface ClaimsAnswer {
  readonly answers: readonly agreedState.ClaimAnswer[];
}

/** State of one control replica, as shown by `status`. */
export interface ControlStatus {
  readonly name: string;
  readonly replica: consensus.ReplicaStatus;
  readonly configurationVersion: number;
  readonly digest: string;
  readonly claims: number;
  readonly openOrders: number;
  /** True if a majority of the voters remains after the loss of any one data centre. */
  readonly toleratesDataCentreLoss: boolean;
  /** Data centres whose upstreams receive no new requests. */
  readonly evacuations: agreedState.Evacuations;
  /** Entries seen by this replica, with the configuration version that each applies. */
  readonly entries: readonly directory.EntryPresence[];
}
