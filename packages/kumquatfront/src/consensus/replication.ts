/**
 * A follower's side of replication: takes a leader's entries and snapshots in, and answers once they are synced.
 */
import type * as applier from './applier.js';
import type * as leadership from './leadership.js';
import type * as logStore from './logStore.js';
import * as snapshotTransfer from './snapshotTransfer.js';
import type * as types from './types.js';

/** What replication asks of its replica. */
export interface ReplicationHost {
  /** Follows the sender, which leads the current term. */
  readonly followLeader: (identity: string, commitIndex: number) => void;
  readonly answer: (identity: string, body: leadership.MessageBody) => void;
}

/** Replication; see the module comment. */
export class Replication {
  private readonly store: logStore.LogStore;
  private readonly applier: applier.Applier;
  private readonly host: ReplicationHost;
  private readonly receiver = new snapshotTransfer.SnapshotReceiver();

  constructor(store: logStore.LogStore, logApplier: applier.Applier, host: ReplicationHost) {
    this.store = store;
    this.applier = logApplier;
    this.host = host;
  }

  onAppendRequest(message: types.AppendRequest): void {
    const { store } = this;
    if (message.term < store.hardState.term) {
      this.answerAppend(message, false, 0);
      return;
    }
    this.host.followLeader(message.from, message.commitIndex);
    const previousTerm = store.termAt(message.previousIndex);
    if (message.previousIndex > store.snapshot.index && previousTerm !== message.previousTerm) {
      this.answerAppend(message, false, Math.min(store.lastIndex, message.previousIndex - 1));
      return;
    }
    if (message.previousIndex < store.snapshot.index && message.entries.length === 0) {
      this.answerAppend(message, true, store.snapshot.index);
      return;
    }
    for (const entry of message.entries) {
      this.storeEntry(entry);
    }
    const matchIndex = message.previousIndex + message.entries.length;
    this.applier.commitTo(Math.min(message.commitIndex, matchIndex));
    this.answerAppend(message, true, matchIndex);
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

  private answerAppend(message: types.AppendRequest, success: boolean, matchIndex: number): void {
    const { store } = this;
    const { term } = store.hardState;
    const { sentAt, round } = message;
    store.whenDurable(() => {
      this.host.answer(message.from, { type: 'appendAnswer', term, success, matchIndex, sentAt, round });
    });
  }

  onSnapshotPiece(message: types.SnapshotPiece): void {
    const { store } = this;
    if (message.term < store.hardState.term) {
      return;
    }
    this.host.followLeader(message.from, message.index);
    if (message.index <= this.applier.appliedIndex) {
      this.answerPiece(message, message.total, true);
      return;
    }
    const snapshot = this.receiver.receive(message);
    if (snapshot === undefined) {
      this.answerPiece(message, this.receiver.received, false);
      return;
    }
    this.applier.restore(snapshot);
    store.install(snapshot, () => {
      this.answerPiece(message, message.total, true);
    });
  }

  private answerPiece(message: types.SnapshotPiece, received: number, installed: boolean): void {
    const { term, index, sentAt, round } = message;
    this.host.answer(message.from, {
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
