/**
 * Share of recent calls that an upstream turned away. An upstream that turns calls away at once reports little load and
 * would otherwise attract more of them.
 */
import type * as ports from '../kernel/ports.js';

/** Time after which half of the outcomes are forgotten, so that an upstream with free slots is used again soon. */
const OUTCOME_HALF_LIFE: ports.Milliseconds = 1_000;

/** Answered calls that are assumed without any evidence, so that one call turned away halves no upstream's use. */
const PRIOR_ANSWERED = 2;

interface Counts {
  answered: number;
  turnedAway: number;
  at: ports.Milliseconds;
}

/** Counts of answered calls and of calls turned away, by upstream; see the module comment. */
export class CallOutcomes {
  private readonly counts = new Map<string, Counts>();
  private readonly now: () => ports.Milliseconds;

  /**
   */
  constructor(now: () => ports.Milliseconds) {
    this.now = now;
  }

  /** Adds calls with known outcomes. */
  record(upstream: string, answered: number, turnedAway: number): void {
    const now = this.now();
    const known = this.counts.get(upstream) ?? { answered: 0, turnedAway: 0, at: now };
    const decay = 2 ** (-Math.max(0, now - known.at) / OUTCOME_HALF_LIFE);
    known.answered = known.answered * decay + answered;
    known.turnedAway = known.turnedAway * decay + turnedAway;
    known.at = now;
    this.counts.set(upstream, known);
  }

  /**
   * Share of calls that an upstream is expected to turn away now.
   *
   * @param upstream - identity of the upstream
   * @returns a share between 0 and 1
   * @example
   * ```ts
   * outcomes.record('a', 2, 4);
   * outcomes.turnedAwayShareOf('a'); // 0.5
   * ```
   */
  turnedAwayShareOf(upstream: string): number {
    const known = this.counts.get(upstream);
    if (known === undefined || known.turnedAway === 0) {
      return 0;
    }
    const decay = 2 ** (-Math.max(0, this.now() - known.at) / OUTCOME_HALF_LIFE);
    const turnedAway = known.turnedAway * decay;
    return turnedAway / (turnedAway + known.answered * decay + PRIOR_ANSWERED);
  }

  /** Adopts the share that other processes observed, unless the own share is higher. */
  adopt(upstream: string, share: number): void {
    if (!(share > 0 && share < 1) || share <= this.turnedAwayShareOf(upstream)) {
      return;
    }
    const turnedAway = (share * PRIOR_ANSWERED) / (1 - share);
    this.counts.set(upstream, { answered: 0, turnedAway, at: this.now() });
  }

  /** Removes an upstream that has ended or restarted. */
  remove(upstream: string): void {
    this.counts.delete(upstream);
  }

  /** Removes all upstreams that a predicate does not hold for. */
  retain(isKnown: (upstream: string) => boolean): void {
    for (const upstream of this.counts.keys()) {
      if (!isKnown(upstream)) {
        this.counts.delete(upstream);
      }
    }
  }
}
