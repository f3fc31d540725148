/**
 * One entry's share of what a cold upstream bears.
 *
 * With seventy entries before an upstream that bears thirty requests a second the share of each is less than one.
 * Rounded down nobody would ever send, rounded up all of them together twice as much as it bears. So each entry draws
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
  private readonly sent = new recentCount.RecentCount();
  private most = { entries: 0, at: Number.NEGATIVE_INFINITY };

  /**
   * @param entry - name of this entry
   * @param entriesNow - how many entries there are; 0 while that is not known
   */
  constructor(
    private readonly entry: string,
    private readonly entriesNow: () => number,
  ) {}

  /**
   * True where one more request may go to a cold upstream. Before this entry knows how many others there are it sends
   * none: all that start together would each take the whole.
   *
   * @param identity - the upstream
   * @param ofAll - requests a second for all entries together
   * @param now - the moment
   */
  maySend(identity: string, ofAll: number, now: ports.Milliseconds): boolean {
    const entries = this.entries(now);
    if (entries === 0) {
      return false;
    }
    const share = ofAll / entries;
    const whole = Math.floor(share);
    const drawn = rendezvous.hash(`${this.entry} ${identity}`) / HASH_RANGE < share - whole ? 1 : 0;
    return this.sent.of(identity, now) < whole + drawn;
  }

  /** Notes a request to a cold upstream. */
  sentTo(identity: string, now: ports.Milliseconds): void {
    this.sent.prune(now);
    this.sent.add(identity, now);
  }

  private entries(now: ports.Milliseconds): number {
    const entries = this.entriesNow();
    const isOld = now - this.most.at > COUNT_KEPT;
    if (entries > 0 && (entries >= this.most.entries || isOld)) {
      this.most = { entries, at: now };
    }
    return this.most.entries;
  }
}
