/**
 * Keeps an entry from running out of heap. Near the limit it refuses new requests, of which nothing has run, until its heap is well below
 * the limit again, and gives up what frees the most heap, one after the other, until its heap is below the level. It is the last line
 * behind the bounds of each part, for what none of them counts.
 */
import type * as ports from '../kernel/ports.js';
import type * as heldMemory from './heldMemory.js';

/**
 * Share of the limit from which new requests are refused. A process that is rarely scheduled reads hundreds of connections in one turn, and a
 * refused request takes heap until its connection is closed.
 */
const REFUSE_FROM = 0.75;

/** Share of the limit below which new requests are accepted again. */
const REFUSE_UNTIL = 0.67;

/** Share of the limit from which what has begun is given up; from about nine tenths Node.js spends its time on collections, or ends. */
const GIVE_UP_FROM = 0.85;

/**
 * Age of the last major collection after which another is made while requests are refused: an entry that does little makes none by
 * itself, and would go on refusing for garbage. One takes some 10 to 70 ms.
 */
const COLLECTION_AGE: ports.Milliseconds = 1_000;

/** Heap below which nothing is given up: a request is worth more than so small a part of the heap. */
const LEAST_GAIN = 16_384;

/** Time after which more is given up. What was given up leaves the figures of its holder when its connection is closed. */
const SETTLE_TIME: ports.Milliseconds = 50;

/** Delay for the retry of a refused request: the time after which this entry knows its heap anew. */
export const RETRY_DELAY: ports.Milliseconds = COLLECTION_AGE;

/** Dependencies of {@link HeapShedding}. */
export interface HeapSheddingOptions {
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly memory: heldMemory.HeldMemory;
  /** Makes a major collection. */
  readonly collect: () => void;
}

/** See the module comment. */
export class HeapShedding {
  private readonly options: HeapSheddingOptions;
  private isNearLimit = false;
  private refused = 0;
  private gaveUpAt = Number.NEGATIVE_INFINITY;

  constructor(options: HeapSheddingOptions) {
    this.options = options;
    options.memory.onCheck((state) => {
      this.update(state);
    });
  }

  /** Whether new requests are refused now. */
  get isShedding(): boolean {
    return this.isNearLimit;
  }

  /**
   * Decides about a new request, and counts it if it is refused.
   *
   * @returns true if it must be refused
   * @example
   * ```ts
   * if (shedding.refusesNew()) { caller.refuse(refusal); }
   * ```
   */
  refusesNew(): boolean {
    this.options.memory.checkIfGrown();
    if (this.isNearLimit) {
      this.refused += 1;
      this.options.metrics.count('heap.shed', 1, { kind: 'newRequest' });
    }
    return this.isNearLimit;
  }

  private update(state: heldMemory.HeapState): void {
    const { live, limit, now, collectionAge } = state;
    const share = live / limit;
    if (!this.isNearLimit && share >= REFUSE_FROM) {
      this.isNearLimit = true;
      this.options.log.warn('newRequestsRefused', { live: Math.round(live), limit });
    } else if (this.isNearLimit && share < REFUSE_UNTIL) {
      this.isNearLimit = false;
      const { refused } = this;
      this.refused = 0;
      this.options.log.warn('newRequestsAccepted', { live: Math.round(live), limit, refused });
    }
    if (state.isWithinTurn) {
      // A request that is being read could be given up while it is served.
      return;
    }
    if (share >= GIVE_UP_FROM && now - this.gaveUpAt >= SETTLE_TIME) {
      this.giveUpLargest(state);
    }
    if (this.isNearLimit && collectionAge >= COLLECTION_AGE) {
      this.options.collect();
    }
  }

  /** Gives up the largest, one after the other, until the heap is expected below the level. */
  private giveUpLargest({ live, limit, now }: heldMemory.HeapState): void {
    const { log, metrics, memory } = this.options;
    let expected = live;
    while (expected >= limit * GIVE_UP_FROM) {
      const largest = memory.largest();
      if (largest === undefined || largest.heapBytes < LEAST_GAIN) {
        return;
      }
      const { kind, heapBytes, fields } = largest;
      log.warn('heapGivenUp', { kind, ...fields, heap: heapBytes, live: Math.round(expected), limit });
      metrics.count('heap.shed', 1, { kind });
      this.gaveUpAt = now;
      expected -= heapBytes;
      largest.giveUp();
    }
  }
}
