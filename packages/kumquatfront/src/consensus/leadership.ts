/**
 * Leader side of replication: tracks the progress of each member, sends entries and snapshots, advances the commit
 * index and maintains the leader lease.
 */
import type * as ports from '../kernel/ports.js';
import type * as replicaOptions from './replicaOptions.js';
import type * as types from './types.js';

type WithoutAddress<Message> = Message extends unknown
  ? Omit<Message, 'clusterIdentity' | 'from' | 'to'>
  : never;

/** A message without cluster, sender and receiver, which are added when it is sent. */
export type MessageBody = WithoutAddress<types.ConsensusMessage>;

/** A message with entries or a piece of a snapshot that is not answered yet. */
interface InFlightMessage {
  readonly sentAt: ports.Milliseconds;
  readonly round: number;
  readonly bytes: number;
}

/** Replication progress of one member, as known to the leader. */
export interface Progress {
  readonly member: types.Member;
  nextIndex: number;
  matchIndex: number;
  /** Send time of the newest acknowledged message, on the leader's clock. */
  acknowledgedAt: number;
  /** The last message with entries or a piece of a snapshot, if it is not answered yet. */
  inFlight: InFlightMessage | undefined;
  /** Number of characters of the current snapshot that the member has received. */
  snapshotReceived: number;
  /** Sequence number of the newest acknowledged message. */
  acknowledgedRound: number;
}

/** A read that waits until a quorum has acknowledged a message sent after it. */
interface ReadConfirmation {
  readonly afterRound: number;
  readonly done: (isLeader: boolean) => void;
}

/** Operations that the leadership needs from its replica. */
export interface LeadershipHost {
  readonly commitIndex: () => number;
  readonly commit: (index: number) => void;
  readonly stepDown: () => void;
  readonly send: (member: types.Member, body: MessageBody) => void;
}

/** Heartbeat intervals after which unacknowledged entries are sent again, in addition to the time that their size takes. */
const RESEND_AFTER_HEARTBEATS = 2;

/** Bytes per millisecond at which a busy follower receives, stores and answers entries at least. */
const MINIMUM_REPLICATION_RATE = 2_000;

/** Maximum size of the entries in one message, unless a single one is larger. */
const MAXIMUM_APPEND_BYTES = 1_048_576;

/** State of a leader during one term; discarded when the replica steps down. */
export class Leadership {
  private readonly options: replicaOptions.ReplicaOptions;
  private readonly host: LeadershipHost;
  private readonly progress = new Map<string, Progress>();
  private readonly startIndex: number;
  private readonly startedAt: number;
  private durableIndex = 0;
  private sendScheduled = false;
  private stopped = false;
  /** Last sequence number used; each message and each read confirmation takes one. */
  private lastRound = 0;
  private readConfirmations: ReadConfirmation[] = [];
  private serializedSnapshot: { index: number; text: string } | undefined;
  private cancelHeartbeat: ports.Cancel = () => undefined;

  constructor(options: replicaOptions.ReplicaOptions, host: LeadershipHost) {
    this.options = options;
    this.host = host;
    this.startIndex = options.store.lastIndex + 1;
    this.startedAt = options.timers.now();
  }

  /** Starts the heartbeats and replicates the first entry of the term. */
  start(): void {
    this.cancelHeartbeat = this.options.timers.every(
      () => this.options.timing.heartbeat,
      () => {
        this.tick();
      },
    );
    this.onAppended();
  }

  /** Time since the start of this leadership. */
  duration(): ports.Milliseconds {
    return this.options.timers.now() - this.startedAt;
  }

  /** Stops the heartbeats and fails the pending read confirmations. */
  stop(): void {
    this.stopped = true;
    this.cancelHeartbeat();
    const pending = this.readConfirmations;
    this.readConfirmations = [];
    for (const confirmation of pending) {
      confirmation.done(false);
    }
  }

  /** True once an entry of this term is committed, and with it all entries before. */
  hasCommittedInTerm(): boolean {
    return this.host.commitIndex() >= this.startIndex;
  }

  /**
   * True while the leader lease is valid.
   *
   * Voters refuse other candidates for one election timeout after each message of the leader. The lease starts when
   * a message acknowledged by a quorum was sent and lasts for a fraction of that timeout, so it expires before a
   * successor can be elected, whatever the network delays.
   */
  hasLease(): boolean {
    const { timing, timers } = this.options;
    return timers.now() < this.quorumAcknowledgedAt() + timing.electionTimeout * timing.leaseShare;
  }

  /**
   * Calls back with true once a quorum has acknowledged a message sent after this call, which proves that no
   * successor was elected before the call; with false if this leader steps down first.
   *
   * The lease does not suffice: the monotonic clock of a suspended VM stops, so its lease can outlive the election of
   * a successor and a read would return stale state.
   */
  confirmLeadership(done: (isLeader: boolean) => void): void {
    this.readConfirmations.push({ afterRound: this.lastRound, done });
    this.lastRound += 1;
    this.scheduleSend();
  }

  private completeConfirmations(): void {
    const acknowledgedRound = this.quorumValue(this.lastRound, (peer) => peer.acknowledgedRound);
    const confirmed = this.readConfirmations.filter(
      (confirmation) => acknowledgedRound > confirmation.afterRound,
    );
    this.readConfirmations = this.readConfirmations.filter(
      (confirmation) => acknowledgedRound <= confirmation.afterRound,
    );
    for (const confirmation of confirmed) {
      confirmation.done(true);
    }
  }

  /** Replication progress of a member; undefined for this replica and for replicas that are not members. */
  progressOf(identity: string): Progress | undefined {
    return this.progress.get(identity);
  }

  /** Called after entries were appended to the leader's log: syncs and replicates them. */
  onAppended(): void {
    const { store } = this.options;
    const { lastIndex } = store;
    store.whenDurable(() => {
      this.durableIndex = Math.max(this.durableIndex, lastIndex);
      this.advanceCommitIndex();
    });
    this.scheduleSend();
  }

  private scheduleSend(): void {
    if (this.sendScheduled) {
      return;
    }
    this.sendScheduled = true;
    this.options.timers.after(0, () => {
      this.sendScheduled = false;
      this.sendToAll(this.readConfirmations.length > 0);
      this.completeConfirmations();
    });
  }

  /** Updates the progress of a member by its answer, and sends it the next entries. */
  onAnswer(message: types.AppendAnswer | types.SnapshotAnswer): void {
    const peer = this.progress.get(message.from);
    if (peer === undefined || this.stopped) {
      return;
    }
    peer.acknowledgedAt = Math.max(peer.acknowledgedAt, message.sentAt);
    peer.acknowledgedRound = Math.max(peer.acknowledgedRound, message.round);
    this.completeConfirmations();
    // Answers arrive in the order of the messages, so a later answer means that the message in flight was lost.
    if (peer.inFlight !== undefined && message.round >= peer.inFlight.round) {
      peer.inFlight = undefined;
    }
    if (message.type === 'snapshotAnswer') {
      this.onSnapshotAnswer(peer, message);
    } else if (message.success) {
      peer.matchIndex = Math.max(peer.matchIndex, message.matchIndex);
      peer.nextIndex = peer.matchIndex + 1;
      this.advanceCommitIndex();
    } else {
      peer.nextIndex = Math.max(1, Math.min(peer.nextIndex - 1, message.matchIndex + 1));
    }
    if (peer.nextIndex <= this.options.store.lastIndex && this.mayTransfer(peer)) {
      this.sendTo(peer);
    }
  }

  private onSnapshotAnswer(peer: Progress, message: types.SnapshotAnswer): void {
    peer.snapshotReceived = message.received;
    if (message.installed) {
      peer.matchIndex = Math.max(peer.matchIndex, message.index);
      peer.nextIndex = peer.matchIndex + 1;
      peer.snapshotReceived = 0;
    }
  }

  private tick(): void {
    const { timing, timers } = this.options;
    // Check-quorum: a leader without contact to a quorum steps down, so that clients turn to other replicas.
    if (timers.now() - this.quorumAcknowledgedAt() > timing.electionTimeout) {
      this.host.stepDown();
      return;
    }
    this.sendToAll(true);
  }

  private refreshMembers(): void {
    const { store } = this.options;
    const members = store.members();
    for (const member of members) {
      const previous = this.progress.get(member.identity);
      if (member.identity === store.identity) {
        continue;
      }
      this.progress.set(member.identity, {
        nextIndex: previous?.nextIndex ?? store.lastIndex + 1,
        matchIndex: previous?.matchIndex ?? 0,
        acknowledgedAt: previous?.acknowledgedAt ?? Number.NEGATIVE_INFINITY,
        inFlight: previous?.inFlight,
        snapshotReceived: previous?.snapshotReceived ?? 0,
        acknowledgedRound: previous?.acknowledgedRound ?? 0,
        member,
      });
    }
    for (const identity of this.progress.keys()) {
      if (!members.some((member) => member.identity === identity)) {
        this.progress.delete(identity);
      }
    }
  }

  private sendToAll(heartbeat: boolean): void {
    if (this.stopped) {
      return;
    }
    this.refreshMembers();
    for (const peer of this.progress.values()) {
      if (heartbeat || (this.mayTransfer(peer) && peer.nextIndex <= this.options.store.lastIndex)) {
        this.sendTo(peer);
      }
    }
  }

  /** Whether entries or a piece of a snapshot may be sent: nothing is in flight, or it counts as lost. */
  private mayTransfer({ inFlight }: Progress): boolean {
    const { timers, timing } = this.options;
    if (inFlight === undefined) {
      return true;
    }
    const allowed = timing.heartbeat * RESEND_AFTER_HEARTBEATS + inFlight.bytes / MINIMUM_REPLICATION_RATE;
    return timers.now() - inFlight.sentAt > allowed;
  }

  private sendTo(peer: Progress): void {
    const { store, timers, timing } = this.options;
    const { term } = store.hardState;
    const now = timers.now();
    const previousIndex = peer.nextIndex - 1;
    const previousTerm = store.termAt(previousIndex);
    if (previousTerm === undefined) {
      this.sendSnapshot(peer, now);
      return;
    }
    // While entries are in flight, only heartbeats are sent: one append at a time per member bounds the memory that
    // a slow member takes, and batches new entries.
    const limit = this.mayTransfer(peer) ? timing.appendLimit : 0;
    const { entries, bytes } = store.slice(peer.nextIndex, limit, MAXIMUM_APPEND_BYTES);
    const commitIndex = this.host.commitIndex();
    this.lastRound += 1;
    if (entries.length > 0) {
      peer.inFlight = { sentAt: now, round: this.lastRound, bytes };
    }
    this.host.send(peer.member, {
      type: 'appendRequest',
      term,
      previousIndex,
      previousTerm,
      entries,
      commitIndex,
      sentAt: now,
      round: this.lastRound,
    });
  }

  /** Sends the next piece of a snapshot; one at a time, because each answer requests the next one. */
  private sendSnapshot(peer: Progress, now: number): void {
    const { store, timing } = this.options;
    if (!this.mayTransfer(peer)) {
      return;
    }
    if (this.serializedSnapshot?.index !== store.snapshot.index) {
      this.serializedSnapshot = { index: store.snapshot.index, text: JSON.stringify(store.snapshot) };
      peer.snapshotReceived = 0;
    }
    const { text } = this.serializedSnapshot;
    const data = text.slice(peer.snapshotReceived, peer.snapshotReceived + timing.snapshotPieceLength);
    this.lastRound += 1;
    peer.inFlight = { sentAt: now, round: this.lastRound, bytes: data.length };
    this.host.send(peer.member, {
      type: 'snapshotPiece',
      term: store.hardState.term,
      index: store.snapshot.index,
      snapshotTerm: store.snapshot.term,
      offset: peer.snapshotReceived,
      total: text.length,
      data,
      sentAt: now,
      round: this.lastRound,
    });
  }

  private voters(): readonly types.Member[] {
    return this.options.store.members().filter((member) => member.role === 'voter');
  }

  /** Highest value that a quorum of voters has reached. */
  private quorumValue(ownValue: number, valueOf: (peer: Progress) => number): number {
    const { store } = this.options;
    const values = this.voters().map((member) => {
      const peer = this.progress.get(member.identity);
      if (member.identity === store.identity) {
        return ownValue;
      }
      return peer === undefined ? Number.NEGATIVE_INFINITY : valueOf(peer);
    });
    values.sort((left, right) => right - left);
    return values[Math.floor(values.length / 2)] ?? Number.NEGATIVE_INFINITY;
  }

  private quorumAcknowledgedAt(): number {
    const acknowledged = this.quorumValue(this.options.timers.now(), (peer) => peer.acknowledgedAt);
    // Until the first acknowledgements arrive, the election counts as contact with the quorum. This only delays
    // check-quorum: to act on the lease, a leader also needs a committed entry of its term.
    return Math.max(acknowledged, this.startedAt);
  }

  private advanceCommitIndex(): void {
    const { store } = this.options;
    const index = this.quorumValue(this.durableIndex, (peer) => peer.matchIndex);
    // Only entries of the current term are committed by counting replicas; previous ones are committed with them.
    if (index > this.host.commitIndex() && store.termAt(index) === store.hardState.term && !this.stopped) {
      this.host.commit(index);
      this.sendToAll(true);
    }
  }
}
