/**
 * The leader's side of replication: what each member holds, what it is sent next, when an entry counts as
 * committed, and how long the leader may trust its lease.
 */
import type * as ports from '../kernel/ports.js';
import type * as replicaOptions from './replicaOptions.js';
import type * as types from './types.js';

type WithoutAddress<Message> = Message extends unknown
  ? Omit<Message, 'clusterIdentity' | 'from' | 'to'>
  : never;

/** A message before the sender adds who it is from and for. */
export type MessageBody = WithoutAddress<types.ConsensusMessage>;

/** What the leader knows of one member. */
export interface Progress {
  readonly member: types.Member;
  nextIndex: number;
  matchIndex: number;
  /** Leader's time at which the newest answered message was sent. */
  acknowledgedAt: number;
  /** Time at which a message went out that is not answered yet; undefined where none is open. */
  openSince: number | undefined;
  snapshotReceived: number;
  /** Number of the newest round of messages that it answered. */
  answeredRound: number;
}

interface Confirmation {
  readonly after: number;
  readonly done: (leads: boolean) => void;
}

/** What the leadership asks of its replica. */
export interface LeadershipHost {
  readonly commitIndex: () => number;
  readonly commit: (index: number) => void;
  readonly lostQuorum: () => void;
  readonly post: (member: types.Member, body: MessageBody) => void;
}

const RESEND_HEARTBEATS = 2;

/** One term of leading; dropped when the replica steps down. */
export class Leadership {
  private readonly options: replicaOptions.ReplicaOptions;
  private readonly host: LeadershipHost;
  private readonly progress = new Map<string, Progress>();
  private readonly startIndex: number;
  private readonly startedAt: number;
  private durableIndex = 0;
  private sendScheduled = false;
  private stopped = false;
  /** Messages sent so far, each with a number of its own. */
  private rounds = 0;
  private confirmations: Confirmation[] = [];
  private snapshotText: { index: number; text: string } | undefined;
  private cancelHeartbeat: ports.Cancel = () => undefined;

  constructor(options: replicaOptions.ReplicaOptions, host: LeadershipHost) {
    this.options = options;
    this.host = host;
    this.startIndex = options.store.lastIndex + 1;
    this.startedAt = options.timers.now();
  }

  start(): void {
    this.cancelHeartbeat = this.options.timers.every(
      () => this.options.timing.heartbeat,
      () => {
        this.beat();
      },
    );
    this.onAppended();
  }

  /** Time for which this leadership has lasted. */
  age(): ports.Milliseconds {
    return this.options.timers.now() - this.startedAt;
  }

  stop(): void {
    this.stopped = true;
    this.cancelHeartbeat();
    const open = this.confirmations;
    this.confirmations = [];
    for (const entry of open) {
      entry.done(false);
    }
  }

  /** True once an entry of this term is committed, so that everything before it is known to be. */
  hasCommitted(): boolean {
    return this.host.commitIndex() >= this.startIndex;
  }

  /**
   * True while a quorum is known to have followed this leader recently enough.
   *
   * Voters refuse other candidates for a whole election timeout after each message of the leader. The lease
   * counts from the sending of an answered message and ends a share of that timeout earlier, so it is over
   * before any successor can be elected, whatever the network did in between.
   */
  hasLease(): boolean {
    const { timing, timers } = this.options;
    return timers.now() < this.quorumAcknowledgedAt() + timing.electionTimeout * timing.leaseShare;
  }

  /**
   * Calls back with true once a quorum has answered a message that was sent after this call, so that no
   * successor can have been elected before it; with false where this leader steps down first.
   *
   * Why not the lease: a suspended VM's steady clock stands still, so its lease outlives the election of a
   * successor, and a read under it would show a state that others have replaced. Answers to messages sent
   * after the question depend on no clock.
   */
  confirm(done: (leads: boolean) => void): void {
    this.confirmations.push({ after: this.rounds, done });
    this.rounds += 1;
    this.sendSoon();
  }

  private checkConfirmations(): void {
    const answered = this.quorumValue(this.rounds, (peer) => peer.answeredRound);
    const settled = this.confirmations.filter((entry) => answered > entry.after);
    this.confirmations = this.confirmations.filter((entry) => answered <= entry.after);
    for (const entry of settled) {
      entry.done(true);
    }
  }

  progressOf(identity: string): Progress | undefined {
    return this.progress.get(identity);
  }

  /** Called after the leader's log grew: makes it durable and sends it on. */
  onAppended(): void {
    const { store } = this.options;
    const { lastIndex } = store;
    store.whenDurable(() => {
      this.durableIndex = Math.max(this.durableIndex, lastIndex);
      this.advanceCommit();
    });
    this.sendSoon();
  }

  private sendSoon(): void {
    if (this.sendScheduled) {
      return;
    }
    this.sendScheduled = true;
    this.options.timers.after(0, () => {
      this.sendScheduled = false;
      this.sendToAll(this.confirmations.length > 0);
      this.checkConfirmations();
    });
  }

  onAnswer(message: types.AppendAnswer | types.SnapshotAnswer): void {
    const peer = this.progress.get(message.from);
    if (peer === undefined || this.stopped) {
      return;
    }
    peer.acknowledgedAt = Math.max(peer.acknowledgedAt, message.sentAt);
    peer.answeredRound = Math.max(peer.answeredRound, message.round);
    this.checkConfirmations();
    peer.openSince = undefined;
    if (message.type === 'snapshotAnswer') {
      this.onSnapshotAnswer(peer, message);
    } else if (message.success) {
      peer.matchIndex = Math.max(peer.matchIndex, message.matchIndex);
      peer.nextIndex = peer.matchIndex + 1;
      this.advanceCommit();
    } else {
      peer.nextIndex = Math.max(1, Math.min(peer.nextIndex - 1, message.matchIndex + 1));
    }
    if (peer.nextIndex <= this.options.store.lastIndex) {
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

  private beat(): void {
    const { timing, timers } = this.options;
    // Check-quorum: a leader that is cut off stops leading by itself, so that its clients go elsewhere.
    if (timers.now() - this.quorumAcknowledgedAt() > timing.electionTimeout) {
      this.host.lostQuorum();
      return;
    }
    this.sendToAll(true);
  }

  private refreshMembers(): void {
    const { store } = this.options;
    const members = store.members();
    for (const member of members) {
      const known = this.progress.get(member.identity);
      if (member.identity === store.identity) {
        continue;
      }
      this.progress.set(member.identity, {
        nextIndex: known?.nextIndex ?? store.lastIndex + 1,
        matchIndex: known?.matchIndex ?? 0,
        acknowledgedAt: known?.acknowledgedAt ?? Number.NEGATIVE_INFINITY,
        openSince: known?.openSince,
        snapshotReceived: known?.snapshotReceived ?? 0,
        answeredRound: known?.answeredRound ?? 0,
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
      const open = peer.openSince !== undefined && !this.isOverdue(peer.openSince);
      if (heartbeat || (!open && peer.nextIndex <= this.options.store.lastIndex)) {
        this.sendTo(peer);
      }
    }
  }

  private isOverdue(openSince: number): boolean {
    const { timers, timing } = this.options;
    return timers.now() - openSince > timing.heartbeat * RESEND_HEARTBEATS;
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
    // While an earlier message is open only a heartbeat goes out: one window of entries a member at a time
    // bounds what a slow member can make the leader hold, and gathers entries into batches.
    const limit = peer.openSince === undefined || this.isOverdue(peer.openSince) ? timing.appendLimit : 0;
    const entries = store.slice(peer.nextIndex, limit);
    if (entries.length > 0) {
      peer.openSince = now;
    }
    const commitIndex = this.host.commitIndex();
    this.rounds += 1;
    this.host.post(peer.member, {
      type: 'appendRequest',
      term,
      previousIndex,
      previousTerm,
      entries,
      commitIndex,
      sentAt: now,
      round: this.rounds,
    });
  }

  private sendSnapshot(peer: Progress, now: number): void {
    const { store, timing } = this.options;
    if (this.snapshotText?.index !== store.snapshot.index) {
      this.snapshotText = { index: store.snapshot.index, text: JSON.stringify(store.snapshot) };
      peer.snapshotReceived = 0;
    }
    const { text } = this.snapshotText;
    peer.openSince = now;
    this.rounds += 1;
    this.host.post(peer.member, {
      type: 'snapshotPiece',
      term: store.hardState.term,
      index: store.snapshot.index,
      snapshotTerm: store.snapshot.term,
      offset: peer.snapshotReceived,
      total: text.length,
      data: text.slice(peer.snapshotReceived, peer.snapshotReceived + timing.snapshotPieceLength),
      sentAt: now,
      round: this.rounds,
    });
  }

  private votersOf(): readonly types.Member[] {
    return this.options.store.members().filter((member) => member.role === 'voter');
  }

  /** The newest value that a quorum of voters has reached. */
  private quorumValue(own: number, ofPeer: (peer: Progress) => number): number {
    const { store } = this.options;
    const values = this.votersOf().map((member) => {
      const peer = this.progress.get(member.identity);
      if (member.identity === store.identity) {
        return own;
      }
      return peer === undefined ? Number.NEGATIVE_INFINITY : ofPeer(peer);
    });
    values.sort((left, right) => right - left);
    return values[Math.floor(values.length / 2)] ?? Number.NEGATIVE_INFINITY;
  }

  private quorumAcknowledgedAt(): number {
    const acknowledged = this.quorumValue(this.options.timers.now(), (peer) => peer.acknowledgedAt);
    // Before the first answers the election itself stands for the quorum, but only for the grace of
    // check-quorum: the lease needs a committed entry of this term as well.
    return Math.max(acknowledged, this.startedAt);
  }

  private advanceCommit(): void {
    const { store } = this.options;
    const index = this.quorumValue(this.durableIndex, (peer) => peer.matchIndex);
    // Only an entry of the own term commits by counting; older ones commit with it.
    if (index > this.host.commitIndex() && store.termAt(index) === store.hardState.term && !this.stopped) {
      this.host.commit(index);
      this.sendToAll(true);
    }
  }
}
