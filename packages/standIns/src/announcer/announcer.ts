/**
 * How a stand-in upstream makes itself known: announcements, load reports with a lag, cache events late and
 * with gaps. It learns entries the way callers do.
 */
import type * as kumquatfront from 'kumquatfront';

/** What an announcer is made from. Times are milliseconds. */
export interface AnnouncerOptions {
  readonly announcement: Omit<kumquatfront.directoryTypes.Announcement, 'sequence' | 'leaving'>;
  readonly timers: kumquatfront.timerService.TimerService;
  readonly random: kumquatfront.ports.Random;
  readonly announceEvery: number;
  readonly reportEvery: number;
  /** Age of a load when it is reported. */
  readonly reportLag: number;
  /** Share of cache events that get lost. */
  readonly cacheLoss: number;
  readonly load: () => { readonly running: number; readonly waiting: number; readonly usedTokens: number };
  readonly cacheChanges: () => { readonly added: readonly string[]; readonly removed: readonly string[] };
  /** True while the upstream cannot act. */
  readonly isFrozen: () => boolean;
  /** Posts news to an entry. */
  readonly post: (news: kumquatfront.directoryTypes.UpstreamNews) => void;
}

/** The announcer of one upstream. */
export class Announcer {
  private readonly options: AnnouncerOptions;
  private sequence = 0;
  private reportSequence = 0;
  private cacheSequence = 0;
  private leaving = false;
  private stopped = false;

  constructor(options: AnnouncerOptions) {
    this.options = options;
    const { timers, random, announceEvery, reportEvery } = options;
    timers.after(0, () => {
      this.announce();
    });
    timers.every(
      () => announceEvery,
      () => {
        this.announce();
      },
    );
    timers.after(reportEvery * random.next(), () => {
      timers.every(
        () => reportEvery,
        () => {
          this.report();
        },
      );
    });
  }

  private isSilent(): boolean {
    return this.stopped || this.options.isFrozen();
  }

  private announce(): void {
    if (this.isSilent()) {
      return;
    }
    this.sequence += 1;
    const { announcement, post } = this.options;
    post({
      type: 'announce',
      announcement: { ...announcement, sequence: this.sequence, leaving: this.leaving },
    });
  }

  private report(): void {
    if (this.isSilent()) {
      return;
    }
    const { announcement, load, timers, reportLag, post } = this.options;
    const { name, incarnation } = announcement;
    this.reportSequence += 1;
    const report = { name, incarnation, sequence: this.reportSequence, ...load() };
    timers.after(reportLag, () => {
      if (!this.isSilent()) {
        post({ type: 'load', report });
      }
    });
    this.reportCache();
  }

  private reportCache(): void {
    const { announcement, cacheChanges, random, cacheLoss, post } = this.options;
    const { added, removed } = cacheChanges();
    if (added.length + removed.length === 0) {
      return;
    }
    this.cacheSequence += 1;
    if (random.next() >= cacheLoss) {
      const { name, incarnation } = announcement;
      post({ type: 'cache', event: { name, incarnation, sequence: this.cacheSequence, added, removed } });
    }
  }

  /** Says that the upstream leaves; it goes on with what it has. */
  leave(): void {
    this.leaving = true;
    this.announce();
  }

  stop(): void {
    this.stopped = true;
  }
}
