/**
 * Registers a simulated upstream with the entries: periodic announcements, delayed load reports, and cache events of
 * which some are lost.
 */
import type * as kumquatfront from 'kumquatfront';

/** Options of an announcer. Times are in milliseconds. */
export interface AnnouncerOptions {
  readonly announcement: Omit<kumquatfront.directoryTypes.Announcement, 'sequence' | 'leaving'>;
  readonly timers: kumquatfront.timerService.TimerService;
  readonly random: kumquatfront.ports.Random;
  readonly announcementInterval: number;
  readonly reportInterval: number;
  /** Delay between measuring a load and reporting it. */
  readonly reportLag: number;
  /** Share of cache events that are lost. */
  readonly cacheEventLossShare: number;
  readonly load: () => { readonly running: number; readonly waiting: number; readonly usedTokens: number };
  readonly cacheChanges: () => { readonly added: readonly string[]; readonly removed: readonly string[] };
  /** Whether the upstream is frozen and sends nothing. */
  readonly isFrozen: () => boolean;
  /** Posts an update to an entry. */
  readonly post: (update: kumquatfront.directoryTypes.UpstreamUpdate) => void;
}

/** Announces one upstream. */
export class Announcer {
  private readonly options: AnnouncerOptions;
  private sequence = 0;
  private reportSequence = 0;
  private cacheSequence = 0;
  private isTerminating = false;
  private isStopped = false;

  constructor(options: AnnouncerOptions) {
    this.options = options;
    const { timers, random, announcementInterval, reportInterval } = options;
    timers.after(0, () => {
      this.announce();
    });
    timers.every(
      () => announcementInterval,
      () => {
        this.announce();
      },
    );
    timers.after(reportInterval * random.next(), () => {
      timers.every(
        () => reportInterval,
        () => {
          this.report();
        },
      );
    });
  }

  private isInactive(): boolean {
    return this.isStopped || this.options.isFrozen();
  }

  private announce(): void {
    if (this.isInactive()) {
      return;
    }
    this.sequence += 1;
    const { announcement, post } = this.options;
    post({
      type: 'announce',
      announcement: { ...announcement, sequence: this.sequence, leaving: this.isTerminating },
    });
  }

  private report(): void {
    if (this.isInactive()) {
      return;
    }
    const { announcement, load, timers, reportLag, post } = this.options;
    const { name, incarnation } = announcement;
    this.reportSequence += 1;
    const report = { name, incarnation, sequence: this.reportSequence, ...load() };
    timers.after(reportLag, () => {
      if (!this.isInactive()) {
        post({ type: 'load', report });
      }
    });
    this.reportCache();
  }

  private reportCache(): void {
    const { announcement, cacheChanges, random, cacheEventLossShare, post } = this.options;
    const { added, removed } = cacheChanges();
    if (added.length + removed.length === 0) {
      return;
    }
    this.cacheSequence += 1;
    if (random.next() >= cacheEventLossShare) {
      const { name, incarnation } = announcement;
      post({ type: 'cache', event: { name, incarnation, sequence: this.cacheSequence, added, removed } });
    }
  }

  /** Sends the termination notice of the upstream, which finishes its running requests. */
  sendTerminationNotice(): void {
    this.isTerminating = true;
    this.announce();
  }

  stop(): void {
    this.isStopped = true;
  }
}
