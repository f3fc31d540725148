/**
 * The watches of entries that one control replica holds open, and when each of them is answered.
 *
 * Pattern: every entry watches every replica, so that no cut hides news. With two hundred entries and five replicas a
 * thousand watches are open, four fifths of them across data centres. Told at once by each, an instance that comes
 * costs a thousand answers of half a kilobyte; after a loss of all power, when every instance is heard of anew, a
 * replica would answer nothing else for seconds. So an entry is told of everything at once by the replica that is
 * nearest to it, of notices and configurations by a second one as well, which stands in another data centre, and of
 * a new leader and of evacuated data centres by all. The others tell the rest when their watches close: within a second even where both of an
 * entry's own are cut off, which is half of the time in which a notice must be heeded. Contents under which upstreams
 * end are told like notices: an entry that learns of one late may send it on once more.
 */
import type * as instanceTable from '../instances/instanceTable.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as methods from './methods.js';

/** Longest time for which a watch stays open: well inside an entry's timeout for it. */
export const WATCH_OPEN: ports.Milliseconds = 700;

/**
 * Time between two waves of answers that tell of instances found or gone. Services are released one instance after
 * another and restart together: a wave tells of several. A place found this much later is no loss beside the second
 * in which instances announce themselves.
 */
const WAVE_PAUSE: ports.Milliseconds = 50;

/** What a replica knows that an entry may have to be told at once. */
export interface WatchedState {
  /** Version of the configuration in force here; 0 where there is none. */
  readonly trafficVersion: number;
  readonly fresh: boolean;
  /** Grows with every change of what is held against contents. */
  readonly caseRevision: number;
  /** Revision of the evacuated data centres. */
  readonly evacuationRevision: number;
  /** Term of the leader that this replica follows; 0 where it knows none. */
  readonly leaderTerm: number;
}

/** What the watches are made from. */
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

/** The watches; see the module comment. */
export class OpenWatches {
  private readonly options: OpenWatchesOptions;
  private readonly watches = new Set<OpenWatch>();
  private nextWaveAt: ports.Milliseconds = 0;
  private waveScheduled = false;

  constructor(options: OpenWatchesOptions) {
    this.options = options;
  }

  /** Takes a watch, and answers it where there is news already. The others are not looked at: nothing is new to them. */
  open(request: methods.WatchRequest, reply: ports.Reply): void {
    const now = this.options.timers.now();
    const watch: OpenWatch = { request, reply, closesAt: now + WATCH_OPEN };
    this.watches.add(watch);
    this.answerDue([watch], now);
  }

  /** Answers every watch that has news; called whenever there may be some. */
  wake(): void {
    this.answerDue([...this.watches], this.options.timers.now());
  }

  private answerDue(watches: readonly OpenWatch[], now: ports.Milliseconds): void {
    const state = this.options.state();
    const due = watches.filter((watch) => this.isDue(watch, state, now));
    if (now >= this.nextWaveAt && due.some((watch) => this.isInWave(watch))) {
      this.nextWaveAt = now + WAVE_PAUSE;
    }
    for (const watch of due) {
      this.watches.delete(watch);
      watch.reply(results.Ok(this.options.answer(watch.request)));
    }
    const waits = watches.some((watch) => this.watches.has(watch) && this.isInWave(watch));
    if (waits && !this.waveScheduled) {
      this.scheduleWave(now);
    }
  }

  private scheduleWave(now: ports.Milliseconds): void {
    this.waveScheduled = true;
    this.options.timers.after(this.nextWaveAt - now, () => {
      this.waveScheduled = false;
      this.wake();
    });
  }

  private isDue(watch: OpenWatch, state: WatchedState, now: ports.Milliseconds): boolean {
    const { request, closesAt } = watch;
    const newLeader = state.fresh && request.toldTerm < state.leaderTerm;
    // Told by every replica, like a new leader: an operator does it rarely, and an entry that is cut off from its own
    // two replicas must not go on sending work there.
    const newEvacuation = request.evacuationRevision < state.evacuationRevision;
    const inWave = now >= this.nextWaveAt && this.isInWave(watch);
    return now >= closesAt || newLeader || newEvacuation || inWave || this.hasUrgentNews(request, state);
  }

  private hasUrgentNews(request: methods.WatchRequest, state: WatchedState): boolean {
    const { table } = this.options;
    const newTraffic = request.toldVersion < state.trafficVersion;
    if (request.entry.trafficVersion === 0 && newTraffic) {
      // An entry that starts serves nobody before it has a configuration, and takes one from a fresh replica only. Told
      // anything earlier it would ask again at once.
      return state.fresh;
    }
    if (request.epoch !== table.epoch) {
      return true;
    }
    const newCases = request.caseRevision < state.caseRevision;
    return (
      request.toldAtOnce !== 'leaders' && (newTraffic || newCases || request.revision < table.noticeRevision)
    );
  }

  private isInWave({ request }: OpenWatch): boolean {
    return request.toldAtOnce === 'instances' && request.revision !== this.options.table.currentRevision;
  }
}
