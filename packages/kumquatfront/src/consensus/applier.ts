/**
 * Applies committed entries to the state machine, completes the proposals that they came from, and takes snapshots
 * when the log has grown.
 */
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import type * as replicaOptions from './replicaOptions.js';
import type * as types from './types.js';

/** Size of the log above which a snapshot is taken; bounds the memory and the disk that large entries take. */
const MAXIMUM_LOG_BYTES = 16 * 1_048_576;

interface PendingProposal {
  readonly term: number;
  readonly done: replicaOptions.ProposalCallback;
}

/** Applies the committed log of one replica. */
export class Applier {
  commitIndex: number;
  appliedIndex: number;
  private readonly options: replicaOptions.ReplicaOptions;
  private readonly pendingProposals = new Map<number, PendingProposal>();

  constructor(options: replicaOptions.ReplicaOptions) {
    const { store, machine } = options;
    this.options = options;
    this.commitIndex = store.snapshot.index;
    this.appliedIndex = store.snapshot.index;
    if (store.snapshot.index > 0) {
      machine.restore(store.snapshot.state);
    }
  }

  /** Registers a callback for the proposal at an index, called once its entry is applied. */
  registerProposal(index: number, done: replicaOptions.ProposalCallback): void {
    this.pendingProposals.set(index, { term: this.options.store.hardState.term, done });
  }

  /** Replaces the state by a snapshot of the leader. */
  restoreSnapshot(snapshot: types.Snapshot): void {
    this.options.machine.restore(snapshot.state);
    this.commitIndex = snapshot.index;
    this.appliedIndex = snapshot.index;
  }

  /** Advances the commit index and applies the newly committed entries. Takes a snapshot if one is due. */
  commitTo(index: number): void {
    const { store, timing } = this.options;
    this.commitIndex = Math.max(this.commitIndex, Math.min(index, store.lastIndex));
    while (this.appliedIndex < this.commitIndex) {
      this.applyNext();
    }
    const applied = this.appliedIndex - store.snapshot.index;
    if (applied >= timing.snapshotEvery || (applied > 0 && store.entriesSize > MAXIMUM_LOG_BYTES)) {
      this.takeSnapshot();
    }
  }

  private applyNext(): void {
    const { store, machine } = this.options;
    this.appliedIndex += 1;
    const entry = store.entryAt(this.appliedIndex);
    if (entry === undefined) {
      return;
    }
    const { payload, index, stamp } = entry;
    const value = payload.type === 'command' ? machine.apply(payload.command, index, stamp) : null;
    const proposal = this.pendingProposals.get(index);
    this.pendingProposals.delete(index);
    if (proposal?.term === entry.term) {
      proposal.done(results.Ok(value));
    }
  }

  private takeSnapshot(): void {
    const { store, machine, log } = this.options;
    const entry = store.entryAt(this.appliedIndex);
    if (entry === undefined || store.membersIndex() > this.appliedIndex) {
      return;
    }
    const { index, term, stamp } = entry;
    store.compact({ index, term, stamp, members: store.members(), state: machine.takeSnapshot() });
    log.info('snapshotTaken', { index });
  }

  /** Fails all pending proposals as undecided: the next leader may or may not commit them. */
  failPendingProposals(): void {
    const remedy =
      'Resend it with the same change id: it is applied at most once, and the first answer is returned.';
    const failure = failures.create('timeout', 'The leader changed before the outcome was known.', remedy);
    const proposals = [...this.pendingProposals.values()];
    this.pendingProposals.clear();
    for (const proposal of proposals) {
      proposal.done(results.Err(failure));
    }
  }
}
