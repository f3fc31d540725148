/**
 * One entry's share of what all entries together may send to an upstream in any span of some length.
 *
 * With seventy entries before an upstream that takes thirty requests a second the share of each is less than one.
 * Rounded down nobody would ever send, rounded up all of them together twice as much as it tolerates. So each entry draws
 * whether the broken part of its share is one request for it, by its own name and the upstream's identity: the same
 * entries have one in every second, so that no window holds the draws of two, and others have one at the next upstream.
 */
import type * as ports from '../kernel/ports.js';
import * as rendezvous from '../utils/rendezvous.js';
import * as recentCount from './recentCount.js';

/**
 * The number of entries counts for this long after it has gone down: entries that cannot be heard by control for some
 * seconds still send, and those that hear of their return last still count without them.
 */
const COUNT_KEPT: ports.Milliseconds = 30_000;

/** What draws are spread over: the range of the hash. */
const HASH_RANGE = 2 ** 32;

/** The share; see the module comment. */
export class EntryShare {
  private readonly sent: recentCount.RecentCount;
  private most = { entries: 0, at: Number.NEGATIVE_INFINITY };

  /**
   * @param entry - name of this entry
   * @param entriesNow - how many entries there are; 0 while that is not known
   * @param window - the share is for any span of this length, wherever it begins
   */
  constructor(
    private readonly entry: string,
    private readonly entriesNow: () => number,
    window: ports.Milliseconds,
  ) {
    this.sent = new recentCount.RecentCount(window);
  }

  /**
   * True where one more request may go to an upstream. Before this entry knows how many others there are it sends
   * none: all that start together would each take the whole.
   *
   * @param identity - the upstream
   * @param ofAll - requests in a window for all entries together
   * @param now - the moment
   */
  maySend(identity: string, ofAll: number, now: ports.Milliseconds): boolean {
    return this.sent.of(identity, now) < this.shareOf(identity, ofAll, now);
  }

  /** When the next request may go to an upstream; undefined where this entry has no share of it. */
  maySendAt(identity: string, ofAll: number, now: ports.Milliseconds): ports.Milliseconds | undefined {
    const share = this.shareOf(identity, ofAll, now);
    return share === 0 ? undefined : this.sent.belowAt(identity, share, now);
  }

  private shareOf(identity: string, ofAll: number, now: ports.Milliseconds): number {
    const entries = this.entriesAt(now);
    if (entries === 0) {
      return 0;
    }
    const share = ofAll / entries;
    const whole = Math.floor(share);
    const drawn = rendezvous.hash(`${this.entry} ${identity}`) / HASH_RANGE < share - whole ? 1 : 0;
    return whole + drawn;
  }

  /** Notes a request to an upstream. */
  sentTo(identity: string, now: ports.Milliseconds): void {
    this.sent.add(identity, now);
  }

  /** How many entries share; 0 while that is not known. */
  entriesAt(now: ports.Milliseconds): number {
    const entries = this.entriesNow();
    const isOld = now - this.most.at > COUNT_KEPT;
    if (entries > 0 && (entries >= this.most.entries || isOld)) {
      this.most = { entries, at: now };
    }
    return this.most.entries;
  }
}
