/**
 * Open watches of entries at one control replica, and the rules for when each of them is answered.
 *
 * Every entry watches every replica so that a network partition hides no update. If all replicas answered all watches
 * on every change, announcements of all instances after a restart would saturate the replicas. Therefore the replica
 * nearest to an entry sends all updates immediately, a backup replica in another data centre sends termination notices,
 * crash records, configurations and the next page of a long update immediately, and all replicas send leader changes and evacuations immediately. All
 * other updates are sent when the watch closes.
 */
import type * as instanceTable from '../instances/instanceTable.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as methods from './methods.js';

/** Maximum time a watch stays open; must be well below the entry's timeout for the request. */
export const MAXIMUM_WATCH_DURATION: ports.Milliseconds = 700;

/**
 * Minimum time between two batches of answers about added or removed instances, so that one answer covers several
 * instances of a rollout or restart.
 */
const BATCH_INTERVAL: ports.Milliseconds = 50;

/** State of a replica that can make a watch due for an immediate answer. */
export interface WatchedState {
  /** Version of the configuration in force at the replica; 0 if there is none. */
  readonly trafficVersion: number;
  readonly fresh: boolean;
  /** Increases with every change of the crash records. */
  readonly crashRecordRevision: number;
  /** Revision of the evacuated data centres. */
  readonly evacuationRevision: number;
  /** Term of the leader that the replica follows; 0 if no leader is known. */
  readonly leaderTerm: number;
}

/** Dependencies of {@link OpenWatches}. */
export interface OpenWatchesOptions {
  readonly timers: timerService.TimerService;
  readonly table: instanceTable.InstanceTable;
  readonly state: () => WatchedState;
  readonly answer: (request: methods.WatchRequest) => methods.WatchAnswer;
}

interface OpenWatch {
  readonly request: methods.WatchRequest;
  readonly reply: ports.Reply;
  readonly closesAt: ports.Milliseconds;
}

/** Holds the open watches of entries and answers those that are due. */
export class OpenWatches {
  private readonly options: OpenWatchesOptions;
  private readonly watches = new Set<OpenWatch>();
  private nextBatchAt: ports.Milliseconds = 0;
  private batchScheduled = false;

  constructor(options: OpenWatchesOptions) {
    this.options = options;
  }

  /** Adds a watch and answers it immediately if an update is pending. Other watches are not checked. */
  open(request: methods.WatchRequest, reply: ports.Reply): void {
    const now = this.options.timers.now();
    const watch: OpenWatch = { request, reply, closesAt: now + MAXIMUM_WATCH_DURATION };
    this.watches.add(watch);
    this.answerDue([watch], now);
  }

  /** Answers every watch that is due; called whenever the replica's state may have changed. */
  wake(): void {
    this.answerDue([...this.watches], this.options.timers.now());
  }

  private answerDue(watches: readonly OpenWatch[], now: ports.Milliseconds): void {
    const state = this.options.state();
    const due = watches.filter((watch) => this.isDue(watch, state, now));
    if (now >= this.nextBatchAt && due.some((watch) => this.awaitsBatch(watch))) {
      this.nextBatchAt = now + BATCH_INTERVAL;
    }
    for (const watch of due) {
      this.watches.delete(watch);
      watch.reply(results.Ok(this.options.answer(watch.request)));
    }
    const isBatchPending = watches.some((watch) => this.watches.has(watch) && this.awaitsBatch(watch));
    if (isBatchPending && !this.batchScheduled) {
      this.scheduleBatch(now);
    }
  }

  private scheduleBatch(now: ports.Milliseconds): void {
    this.batchScheduled = true;
    this.options.timers.after(this.nextBatchAt - now, () => {
      this.batchScheduled = false;
      this.wake();
    });
  }

  private isDue(watch: OpenWatch, state: WatchedState, now: ports.Milliseconds): boolean {
    const { request, closesAt } = watch;
    const newLeader = state.fresh && request.toldTerm < state.leaderTerm;
    // Sent by every replica: an entry that is partitioned from its nearest and backup replicas must still stop sending
    // work to an evacuated data centre.
    const newEvacuation = request.evacuationRevision < state.evacuationRevision;
    const inBatch = now >= this.nextBatchAt && this.awaitsBatch(watch);
    return now >= closesAt || newLeader || newEvacuation || inBatch || this.hasUrgentUpdate(request, state);
  }

  private hasUrgentUpdate(request: methods.WatchRequest, state: WatchedState): boolean {
    const { table } = this.options;
    const newTraffic = request.toldVersion < state.trafficVersion;
    if (request.entry.trafficVersion === 0 && newTraffic) {
      // A starting entry accepts its first configuration only from a fresh replica. Answering earlier would make it
      // send its next watch request immediately, in a busy loop.
      return state.fresh;
    }
    if (request.epoch !== table.epoch) {
      return true;
    }
    const moreUpdates = request.awaitsMore === true;
    const newCrashRecords = request.caseRevision < state.crashRecordRevision;
    return (
      request.toldAtOnce !== 'leaders' &&
      (newTraffic || newCrashRecords || moreUpdates || request.revision < table.immediateRevision)
    );
  }

  private awaitsBatch({ request }: OpenWatch): boolean {
    return request.toldAtOnce === 'instances' && request.revision !== this.options.table.currentRevision;
  }
}
