/**
 * Follower side of replication: stores the leader's entries and snapshots and answers once they are synced.
 */
import type * as applier from './applier.js';
import type * as leadership from './leadership.js';
import type * as logStore from './logStore.js';
import * as snapshotReceiver from './snapshotReceiver.js';
import type * as types from './types.js';

/** Operations that the follower needs from its replica. */
export interface FollowerReplicationHost {
  /** Records contact with the sender, which is the leader of the current term. */
  readonly followLeader: (identity: string, commitIndex: number) => void;
  readonly reply: (identity: string, body: leadership.MessageBody) => void;
}

/** Handles the append requests and snapshot pieces of the leader. */
export class FollowerReplication {
  private readonly store: logStore.LogStore;
  private readonly applier: applier.Applier;
  private readonly host: FollowerReplicationHost;
  private readonly receiver = new snapshotReceiver.SnapshotReceiver();

  constructor(store: logStore.LogStore, logApplier: applier.Applier, host: FollowerReplicationHost) {
    this.store = store;
    this.applier = logApplier;
    this.host = host;
  }

  /** Stores entries that continue the local log, or refuses them if the logs do not match. */
  onAppendRequest(message: types.AppendRequest): void {
    const { store } = this;
    if (message.term < store.hardState.term) {
      this.replyToAppend(message, false, 0);
      return;
    }
    this.host.followLeader(message.from, message.commitIndex);
    const previousTerm = store.termAt(message.previousIndex);
    if (message.previousIndex > store.snapshot.index && previousTerm !== message.previousTerm) {
      this.replyToAppend(message, false, Math.min(store.lastIndex, message.previousIndex - 1));
      return;
    }
    if (message.previousIndex < store.snapshot.index && message.entries.length === 0) {
      this.replyToAppend(message, true, store.snapshot.index);
      return;
    }
    for (const entry of message.entries) {
      this.storeEntry(entry);
    }
    const matchIndex = message.previousIndex + message.entries.length;
    this.applier.commitTo(Math.min(message.commitIndex, matchIndex));
    this.replyToAppend(message, true, matchIndex);
  }

  private storeEntry(entry: types.LogEntry): void {
    const { store } = this;
    if (entry.index <= store.snapshot.index || store.termAt(entry.index) === entry.term) {
      return;
    }
    if (entry.index <= store.lastIndex) {
      store.truncateFrom(entry.index);
    }
    store.append(entry);
  }

  private replyToAppend(message: types.AppendRequest, success: boolean, matchIndex: number): void {
    const { store } = this;
    const { term } = store.hardState;
    const { sentAt, round } = message;
    store.whenDurable(() => {
      this.host.reply(message.from, { type: 'appendAnswer', term, success, matchIndex, sentAt, round });
    });
  }

  /** Collects the pieces of a snapshot and installs it once it is complete. */
  onSnapshotPiece(message: types.SnapshotPiece): void {
    const { store } = this;
    if (message.term < store.hardState.term) {
      return;
    }
    this.host.followLeader(message.from, message.index);
    if (message.index <= this.applier.appliedIndex) {
      this.replyToPiece(message, message.total, true);
      return;
    }
    const snapshot = this.receiver.receive(message);
    if (snapshot === undefined) {
      this.replyToPiece(message, this.receiver.receivedLength, false);
      return;
    }
    this.applier.restoreSnapshot(snapshot);
    store.installSnapshot(snapshot, () => {
      this.replyToPiece(message, message.total, true);
    });
  }

  private replyToPiece(message: types.SnapshotPiece, received: number, installed: boolean): void {
    const { term, index, sentAt, round } = message;
    this.host.reply(message.from, {
      type: 'snapshotAnswer',
      term,
      index,
      received,
      installed,
      sentAt,
      round,
    });
  }
}
