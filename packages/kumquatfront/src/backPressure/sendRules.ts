/**
 * The one place that says whether an upstream may be sent something at this moment, whatever the reason. The choice of an
 * upstream and the search for a place ask it, so that nobody goes on choosing what will not be sent; the gate before all
 * upstreams asks it again, since an upstream picked a moment ago may be held by now.
 */
import * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import * as rendezvous from '../utils/rendezvous.js';
import type * as entryShare from '../warmUp/entryShare.js';
import * as rateLimitShare from './rateLimitShare.js';
import type * as signalBook from './signalBook.js';

/** Why an upstream is sent nothing. */
export type HoldReason = 'evacuated' | 'leaving' | 'paused' | 'rateLimited' | 'cold';

/** An upstream is sent nothing until a moment, as far as is known. */
export interface Hold {
  readonly reason: HoldReason;
  /** Undefined where nobody knows. */
  readonly until?: ports.Milliseconds;
}

/** What callers are told where one of these keeps a request from every upstream. */
const MESSAGES: Readonly<Record<HoldReason, string>> = {
  evacuated: instanceView.EVACUATED,
  leaving: 'every upstream that could take it is leaving',
  paused: 'every upstream that could take it has asked for a pause',
  rateLimited: 'every upstream that could take it is at its rate limit',
  cold: 'every upstream that could take it is cold and gets as much as it tolerates',
};

/**
 * Callers that are turned away together come back within this time of the end of the hold, not all at its end: the
 * upstream would turn most of them away again.
 */
const RETURN_SPREAD: ports.Milliseconds = 500;

/** Range of the hash by which entries that probe are spread over time. */
const HASH_RANGE = 2 ** 32;

/** What the rules are made from. */
export interface SendRulesOptions {
  /** Name of this entry. */
  readonly entry: string;
  readonly random: ports.Random;
  readonly instances: instanceView.InstanceView;
  readonly signals: signalBook.SignalBook;
  /** This entry's share of what rate-limited upstreams take, over `rateLimitShare.RATE_WINDOW`. */
  readonly rateShare: entryShare.EntryShare;
  /** This entry's share of what cold upstreams tolerate, over a second. */
  readonly coldShare: entryShare.EntryShare;
  /** Requests a second that all entries together may send to a cold upstream of a service; undefined for any. */
  readonly toleratedBy: (service: string) => number | undefined;
}

/** The rules; see the module comment. */
export class SendRules {
  private readonly options: SendRulesOptions;
  /** When this entry may find out next whether a rate limit is over. */
  private readonly probeAt = new Map<string, ports.Milliseconds>();

  constructor(options: SendRulesOptions) {
    this.options = options;
  }

  /** Why an upstream must not be sent anything, whoever has chosen it; undefined where it may. */
  holdOf(instance: instanceView.Instance, now: ports.Milliseconds): Hold | undefined {
    const { instances, signals } = this.options;
    if (instances.isEvacuated(instance)) {
      return { reason: 'evacuated' };
    }
    if (instances.hasGivenNotice(instance.identity)) {
      return { reason: 'leaving' };
    }
    const pausedUntil = signals.pausedUntil(instance.identity);
    if (now < pausedUntil) {
      return { reason: 'paused', until: pausedUntil };
    }
    return this.rateHoldOf(instance, now);
  }

  /**
   * Why this entry must not choose an upstream by itself; undefined where it may. What a coordinator places on a cold
   * upstream is counted by the coordinator.
   */
  holdOfChoice(instance: instanceView.Instance, now: ports.Milliseconds): Hold | undefined {
    return this.holdOf(instance, now) ?? this.coldHoldOf(instance, now);
  }

  /**
   * The hold that ends first, where every upstream of some is held.
   *
   * @param candidates - the upstreams
   * @param now - the moment
   * @returns the hold; undefined where one of them may be chosen, or there are none
   */
  holdOfAll(candidates: readonly instanceView.Instance[], now: ports.Milliseconds): Hold | undefined {
    let first: Hold | undefined;
    for (const instance of candidates) {
      const hold = this.holdOfChoice(instance, now);
      if (hold === undefined) {
        return undefined;
      }
      const endsSooner =
        (hold.until ?? Number.POSITIVE_INFINITY) < (first?.until ?? Number.POSITIVE_INFINITY);
      first = first === undefined || endsSooner ? hold : first;
    }
    return first;
  }

  /** What a caller is told of a hold. */
  messageOf({ reason }: Hold): string {
    return MESSAGES[reason];
  }

  /**
   * When a caller should come back that was turned away because of a hold.
   *
   * @param hold - the hold
   * @param now - the moment
   * @param unknown - time that is told where nobody knows when the hold ends
   */
  retryAfter({ until }: Hold, now: ports.Milliseconds, unknown: ports.Milliseconds): ports.Milliseconds {
    return until === undefined ? unknown : until - now + this.options.random.next() * RETURN_SPREAD;
  }

  /** Notes a request that goes to an upstream, so that it counts against what that takes. */
  sentTo(instance: instanceView.Instance, now: ports.Milliseconds): void {
    const { rateShare, coldShare } = this.options;
    const { identity } = instance;
    // Counted for all upstreams: a limit that is named later holds for what was sent shortly before, too.
    rateShare.sentTo(identity, now);
    if (now < instance.coldUntil) {
      coldShare.sentTo(identity, now);
    }
    if (this.probeAt.has(identity)) {
      this.probeAt.set(identity, now + rateLimitShare.probeAfter(rateShare.entriesAt(now)));
    }
  }

  /** Forgets an upstream that is gone, or has started anew. */
  forget(identity: string): void {
    this.probeAt.delete(identity);
  }

  private rateHoldOf(instance: instanceView.Instance, now: ports.Milliseconds): Hold | undefined {
    const { signals, rateShare } = this.options;
    const { identity } = instance;
    const perSecond = signals.rateLimitOf(identity);
    if (perSecond === undefined) {
      this.probeAt.delete(identity);
      return undefined;
    }
    const entries = rateShare.entriesAt(now);
    const ofAll = entries === 0 ? 0 : rateLimitShare.ofEntries(perSecond, entries);
    if (rateShare.maySend(identity, ofAll, now) || this.mayProbe(identity, entries, now)) {
      return undefined;
    }
    const until = rateShare.maySendAt(identity, ofAll, now) ?? now + rateLimitShare.RATE_WINDOW;
    return { reason: 'rateLimited', until };
  }

  /** An entry without a share would never hear that the limit is over. */
  private mayProbe(identity: string, entries: number, now: ports.Milliseconds): boolean {
    if (entries === 0) {
      return false;
    }
    const known = this.probeAt.get(identity);
    if (known !== undefined) {
      return now >= known;
    }
    const spread = rendezvous.hash(`${identity} ${this.options.entry}`) / HASH_RANGE;
    this.probeAt.set(identity, now + spread * rateLimitShare.probeAfter(entries));
    return false;
  }

  private coldHoldOf(instance: instanceView.Instance, now: ports.Milliseconds): Hold | undefined {
    const { coldShare, toleratedBy } = this.options;
    const { identity, coldUntil, service } = instance;
    const tolerated = now < coldUntil ? toleratedBy(service) : undefined;
    if (tolerated === undefined || coldShare.maySend(identity, tolerated, now)) {
      return undefined;
    }
    return {
      reason: 'cold',
      until: Math.min(coldUntil, coldShare.maySendAt(identity, tolerated, now) ?? coldUntil),
    };
  }
}
