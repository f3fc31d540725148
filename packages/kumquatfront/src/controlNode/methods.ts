/**
 * Methods that control replicas serve to entries and to each other, with the shapes of their messages.
 */
import type * as agreedState from '../agreedState/types.js';
import type * as configuration from '../configuration/types.js';
import type * as consensus from '../consensus/types.js';
import type * as directory from '../directory/types.js';

/** Names of the methods. */
export const methods = {
  consensus: 'control.consensus',
  join: 'control.join',
  hello: 'control.hello',
  configure: 'control.configure',
  claims: 'control.claims',
  settleClaim: 'control.settleClaim',
  pull: 'configuration.pull',
  status: 'control.status',
  order: 'control.order',
  /** Evacuates a data centre, or restores it. */
  evacuate: 'control.evacuate',
  entryBurn: 'entry.burn',
  entryDrain: 'entry.drain',
  entryOrder: 'entry.order',
} as const;

/** Asks for the configuration after a version. */
export interface PullRequest {
  readonly version: number;
  /** Revision of the evacuated data centres that the puller knows. */
  readonly evacuationRevision: number;
  /** True where only the leader under its lease may answer. */
  readonly leaderOnly: boolean;
  /** The entry that pulls; its version shows how far a change is in force. */
  readonly presence: directory.EntryPresence | null;
}

/** Answers a pull. */
export interface PullAnswer {
  /** False where the answerer may be behind: the puller should ask another. */
  readonly fresh: boolean;
  /** Milliseconds since the answerer itself heard from control; 0 for control. */
  readonly age: number;
  /** Absent where nothing changed or the answerer is not fresh. */
  readonly delta?: configuration.ConfigurationDelta;
  /** Absent where the puller is up to date or the answerer is not fresh. */
  readonly evacuations?: agreedState.Evacuations;
}

/** Asks a replica who it is, before it is told to join or to found a cluster. */
export interface HelloAnswer {
  readonly identity: string;
  readonly clusterIdentity: string;
  readonly leaderAddress: string;
  /** Identities of the members that the answerer knows. */
  readonly members: readonly string[];
  /** True where the answerer leads and hears from a quorum. */
  readonly leads: boolean;
}

/** Asks the leader to take a replica in. */
export interface JoinRequest {
  readonly identity: string;
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
}

/** Answers a request to join. */
export interface JoinAnswer {
  readonly clusterIdentity: string;
  readonly members: readonly consensus.Member[];
}

/** Claims of one entry, gathered over a few milliseconds. */
export interface ClaimsRequest {
  readonly claims: readonly agreedState.ClaimCommand[];
}

/** Answers to claims, in the order asked. */
export interface ClaimsAnswer {
  readonly answers: readonly agreedState.ClaimAnswer[];
}

/** What one replica knows, for `status`. */
export interface ControlStatus {
  readonly name: string;
  readonly replica: consensus.ReplicaStatus;
  readonly configurationVersion: number;
  readonly digest: string;
  readonly claims: number;
  readonly openOrders: number;
  /** True where the voters outside any one data centre are a majority. */
  readonly toleratesDataCentreLoss: boolean;
  /** Data centres whose upstreams get nothing new. */
  readonly evacuations: agreedState.Evacuations;
  /** Entries seen by this replica, with the version each has in force. */
  readonly entries: readonly directory.EntryPresence[];
}
