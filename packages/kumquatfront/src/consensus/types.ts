/**
 * Messages, records and settings of the replicated log. Log indexes and terms start at 1; index 0 precedes the
 * first entry.
 */

/** Current role of a replica. */
export type ReplicaRole = 'uninitialized' | 'follower' | 'candidate' | 'leader';

/** A voter counts towards the quorum; a learner only receives the log. */
export type MemberRole = 'voter' | 'learner';

/** A control replica. The identity is random and stored in the data folder; the name is that of the VM. */
export interface Member {
  readonly identity: string;
  readonly name: string;
  readonly address: string;
  /** Absent for members that joined without reporting one. */
  readonly dataCentre?: string;
  readonly role: MemberRole;
}

/** Payload of a log entry. */
export type LogPayload =
  | { readonly type: 'noop' }
  | { readonly type: 'members'; readonly members: readonly Member[] }
  | { readonly type: 'command'; readonly command: unknown };

/** One entry of the replicated log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  /** Wall-clock time assigned by the leader, in milliseconds; never decreases along the log. */
  readonly stamp: number;
  readonly payload: LogPayload;
}

/** State after all entries up to `index` were applied; replaces these entries. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly stamp: number;
  readonly members: readonly Member[];
  readonly state: unknown;
}

/** Cluster, term and vote; synced to disk before any message that depends on them is sent. */
export interface HardState {
  readonly clusterIdentity: string;
  readonly term: number;
  readonly votedFor: string;
}

/** Fields of every message between replicas. */
interface MessageHeader {
  readonly clusterIdentity: string;
  readonly from: string;
  readonly to: string;
  readonly term: number;
}

/** Requests a vote. A pre-vote records nothing and does not raise any term. */
export interface VoteRequest extends MessageHeader {
  readonly type: 'voteRequest';
  readonly preVote: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /**
   * Sent by a replica that has just started. Together with `preVote`, it is a probe that asks whether the receiver
   * knows a leader.
   */
  readonly afterRestart: boolean;
  /** Address for the answer: a receiver that lost its disk does not know the addresses of the members. */
  readonly answerTo: string;
}

/** Answers a vote request. */
export interface VoteAnswer extends MessageHeader {
  readonly type: 'voteAnswer';
  readonly preVote: boolean;
  readonly granted: boolean;
  /**
   * True if the sender is not a leader, has had no contact with a leader within the last election timeout (its own
   * restart does not count as contact), and has not voted for another candidate that may still be elected.
   */
  readonly leaderless: boolean;
  /** True if the sender has just started as well and is probing for a leader. */
  readonly asks: boolean;
  /** Position of the last entry in the sender's log. */
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Replicates entries; without entries it is a heartbeat. */
export interface AppendRequest extends MessageHeader {
  readonly type: 'appendRequest';
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Monotonic send time of the leader, echoed in the answer; the leader lease is renewed from it. */
  readonly sentAt: number;
  /** Sequence number of the leader's message, echoed in the answer to confirm reads. */
  readonly round: number;
}

/** Answers an append request after its entries are synced to disk. */
export interface AppendAnswer extends MessageHeader {
  readonly type: 'appendAnswer';
  readonly success: boolean;
  /** On success, the last index known to match; on failure, the index after which the leader should resume. */
  readonly matchIndex: number;
  readonly sentAt: number;
  /** Sequence number of the leader's message, echoed in the answer to confirm reads. */
  readonly round: number;
}

/** One piece of a snapshot, which is sent in several messages. */
export interface SnapshotPiece extends MessageHeader {
  readonly type: 'snapshotPiece';
  readonly index: number;
  readonly snapshotTerm: number;
  readonly offset: number;
  readonly total: number;
  /** A slice of the snapshot's JSON text. */
  readonly data: string;
  readonly sentAt: number;
  /** Sequence number of the leader's message, echoed in the answer to confirm reads. */
  readonly round: number;
}

/** Acknowledges the received part of a snapshot. */
export interface SnapshotAnswer extends MessageHeader {
  readonly type: 'snapshotAnswer';
  readonly index: number;
  readonly received: number;
  readonly installed: boolean;
  readonly sentAt: number;
  /** Sequence number of the leader's message, echoed in the answer to confirm reads. */
  readonly round: number;
}

/** Any message between replicas. */
export type ConsensusMessage =
  VoteRequest | VoteAnswer | AppendRequest | AppendAnswer | SnapshotPiece | SnapshotAnswer;

/** A record of the log file. */
export type DiskRecord =
  | { readonly type: 'entry'; readonly entry: LogEntry }
  /** Invalidates the entries from this index on, which a newer leader has overwritten. */
  | { readonly type: 'truncate'; readonly fromIndex: number }
  | { readonly type: 'hardState'; readonly hardState: HardState };

/** Timing (in milliseconds) and size limits of a replica. */
export interface ConsensusTiming {
  readonly heartbeat: number;
  /** A follower without a leader starts an election after a random time between this and twice this value. */
  readonly electionTimeout: number;
  /** Duration of the leader lease as a fraction of the election timeout, below 1. */
  readonly leaseShare: number;
  /** Number of applied log entries after which a snapshot is taken. */
  readonly snapshotEvery: number;
  readonly snapshotPieceLength: number;
  /** Maximum number of entries in an append request. */
  readonly appendLimit: number;
}

/** Status of a replica, for operators and the other services of the process. */
export interface ReplicaStatus {
  readonly identity: string;
  readonly clusterIdentity: string;
  readonly role: ReplicaRole;
  readonly term: number;
  readonly leader?: Member;
  readonly lastIndex: number;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly members: readonly Member[];
  /** True for a leader that holds its lease, or a follower in contact with a leader and not behind it. */
  readonly fresh: boolean;
}
