/**
 * Share of one entry in the number of requests that all entries together may send to an upstream in a sliding window.
 *
 * With many entries a share may be less than one request: rounding it down would starve the upstream, rounding it up
 * would overload it. Each entry therefore rounds up or down by a hash of its name and the upstream's identity. The
 * result differs between upstreams but not between windows, so that a sliding window never mixes differently rounded
 * shares.
 */
import type * as ports from '../kernel/ports.js';
import * as entryCountHistory from '../sharedLimits/entryCountHistory.js';
import * as rendezvousHashing from '../utils/rendezvousHashing.js';
import * as slidingWindowCounter from './slidingWindowCounter.js';

/** Range of the hash that decides the rounding. */
const HASH_RANGE = 2 ** 32;

/** Sending share of one entry; see the module comment. */
export class EntryShare {
  private readonly sentCounter: slidingWindowCounter.SlidingWindowCounter;
  private readonly entryCount: entryCountHistory.EntryCountHistory;

  /**
   * @param entry - name of this entry
   * @param currentEntryCount - returns the number of entries; 0 while unknown
   * @param window - length of the sliding window
   */
  constructor(
    private readonly entry: string,
    currentEntryCount: () => number,
    window: ports.Milliseconds,
  ) {
    this.entryCount = new entryCountHistory.EntryCountHistory(currentEntryCount);
    this.sentCounter = new slidingWindowCounter.SlidingWindowCounter(window);
  }

  /**
   * Returns true if one more request may be sent to an upstream. While the number of entries is unknown, none may:
   * entries that start together would each use the full total.
   *
   * @param identity - identity of the upstream
   * @param totalPerWindow - requests that all entries together may send in a window
   */
  maySend(identity: string, totalPerWindow: number, now: ports.Milliseconds): boolean {
    return this.sentCounter.countOf(identity, now) < this.shareOf(identity, totalPerWindow, now);
  }

  /** Time at which the next request may be sent to an upstream; undefined if this entry has no share. */
  nextSendAt(
    identity: string,
    totalPerWindow: number,
    now: ports.Milliseconds,
  ): ports.Milliseconds | undefined {
    const share = this.shareOf(identity, totalPerWindow, now);
    return share === 0 ? undefined : this.sentCounter.timeBelow(identity, share, now);
  }

  private shareOf(identity: string, totalPerWindow: number, now: ports.Milliseconds): number {
    const entries = this.entryCountAt(now);
    if (entries === 0) {
      return 0;
    }
    const share = totalPerWindow / entries;
    const integerPart = Math.floor(share);
    const increment =
      rendezvousHashing.hash(`${this.entry} ${identity}`) / HASH_RANGE < share - integerPart ? 1 : 0;
    return integerPart + increment;
  }

  /** Counts a request sent to an upstream. */
  recordSent(identity: string, now: ports.Milliseconds): void {
    this.sentCounter.add(identity, now);
  }

  /** Number of entries that share the total; 0 while unknown. */
  entryCountAt(now: ports.Milliseconds): number {
    return this.entryCount.countAt(now);
  }
}
