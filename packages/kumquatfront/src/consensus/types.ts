/**
 * Messages and records of the replicated log. Indexes and terms start at 1; index 0 is "before the log".
 */

/** What a replica does at this moment. */
export type ReplicaRole = 'uninitialized' | 'follower' | 'candidate' | 'leader';

/** A voter counts for the quorum; a learner only receives the log. */
export type MemberRole = 'voter' | 'learner';

/** One control replica. The identity is random and lives in the data folder; the name is the VM's. */
export interface Member {
  readonly identity: string;
  readonly name: string;
  readonly address: string;
  /** Absent in members that joined before it was told. */
  readonly dataCentre?: string;
  readonly role: MemberRole;
}

/** What an entry of the log carries. */
export type LogPayload =
  | { readonly type: 'noop' }
  | { readonly type: 'members'; readonly members: readonly Member[] }
  | { readonly type: 'command'; readonly command: unknown };

/** One entry of the replicated log. */
export interface LogEntry {
  readonly index: number;
  readonly term: number;
  /** Wall-clock milliseconds given by the leader; never goes down along the log. */
  readonly stamp: number;
  readonly payload: LogPayload;
}

/** State of everything up to `index`, replacing the log before it. */
export interface Snapshot {
  readonly index: number;
  readonly term: number;
  readonly stamp: number;
  readonly members: readonly Member[];
  readonly state: unknown;
}

/** Term and vote, durable before any answer that depends on them. */
export interface HardState {
  readonly clusterIdentity: string;
  readonly term: number;
  readonly votedFor: string;
}

interface Addressed {
  readonly clusterIdentity: string;
  readonly from: string;
  readonly to: string;
  readonly term: number;
}

/** Asks for a vote; with `preVote` nothing is recorded and no term is raised. */
export interface VoteRequest extends Addressed {
  readonly type: 'voteRequest';
  readonly preVote: boolean;
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** Asked by a replica that has just started: as a pre-vote it asks all voters whether any knows a leader. */
  readonly afterRestart: boolean;
  /** Where the candidate is reached: one that lost its disk knows no member to answer to. */
  readonly answerTo: string;
}

/** Answers a request for a vote. */
export interface VoteAnswer extends Addressed {
  readonly type: 'voteAnswer';
  readonly preVote: boolean;
  readonly granted: boolean;
  /**
   * True where the answerer neither leads nor has heard from a leader, a restart of its own not counted, and has
   * given no vote that may still elect one.
   */
  readonly leaderless: boolean;
  /** True where the answerer has just started too, and asks the same. */
  readonly asks: boolean;
  /** End of the answerer's log. */
  readonly lastIndex: number;
  readonly lastTerm: number;
}

/** Sends entries, or only a heartbeat. */
export interface AppendRequest extends Addressed {
  readonly type: 'appendRequest';
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** Leader's monotonic send time, echoed in the answer; the leader's lease counts from it. */
  readonly sentAt: number;
  /** Number of the leader's message, echoed in the answer; reads are confirmed by it. */
  readonly round: number;
}

/** Answers an append after the entries are synced. */
export interface AppendAnswer extends Addressed {
  readonly type: 'appendAnswer';
  readonly success: boolean;
  /** On success the last index known to match; else the index to go on from. */
  readonly matchIndex: number;
  readonly sentAt: number;
  /** Number of the leader's message, echoed in the answer; reads are confirmed by it. */
  readonly round: number;
}

/** One piece of a snapshot. */
export interface SnapshotPiece extends Addressed {
  readonly type: 'snapshotPiece';
  readonly index: number;
  readonly snapshotTerm: number;
  readonly offset: number;
  readonly total: number;
  /** A slice of the snapshot's JSON text. */
  readonly data: string;
  readonly sentAt: number;
  /** Number of the leader's message, echoed in the answer; reads are confirmed by it. */
  readonly round: number;
}

/** Says how much of a snapshot arrived. */
export interface SnapshotAnswer extends Addressed {
  readonly type: 'snapshotAnswer';
  readonly index: number;
  readonly received: number;
  readonly installed: boolean;
  readonly sentAt: number;
  /** Number of the leader's message, echoed in the answer; reads are confirmed by it. */
  readonly round: number;
}

/** Every message between replicas. */
export type ConsensusMessage =
  VoteRequest | VoteAnswer | AppendRequest | AppendAnswer | SnapshotPiece | SnapshotAnswer;

/** The durable records of the log file. */
export type DiskRecord =
  | { readonly type: 'entry'; readonly entry: LogEntry }
  /** Entries from this index on are void: a newer leader overwrote them. */
  | { readonly type: 'truncate'; readonly fromIndex: number }
  | { readonly type: 'hardState'; readonly hardState: HardState };

/** Timing of a replica, in milliseconds. */
export interface ConsensusTiming {
  readonly heartbeat: number;
  /** A follower waits between this and twice this without a leader before it asks for votes. */
  readonly electionTimeout: number;
  /** Share of the election timeout that a leader may trust without hearing from a quorum, below 1. */
  readonly leaseShare: number;
  /** Log entries kept behind the applied index before a snapshot is taken. */
  readonly snapshotEvery: number;
  readonly snapshotPieceLength: number;
  /** Entries an append carries at most. */
  readonly appendLimit: number;
}

/** Status of a replica for operators and for the services beside it. */
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
  /** True for a leader with its lease, or a follower that hears from a leader and is not behind. */
  readonly fresh: boolean;
}
