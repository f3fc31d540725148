/**
 * What an entry near one of its limits does: it closes callers' connections after complete responses, so that callers
 * continue elsewhere, and refuses new generations when its memory would not suffice for them.
 */
import type * as ports from '../kernel/ports.js';
import type * as entryUtilization from './entryUtilization.js';

/** A limit that an entry may be near. */
export type NearLimit = 'eventLoop' | 'descriptors' | 'memory';

/** Utilization from which connections are closed. An event loop is there at a lag of 60 ms. */
const CLOSE_FROM: Readonly<Record<NearLimit, number>> = { eventLoop: 0.8, descriptors: 0.85, memory: 0.92 };

/** Utilization that an entry must fall below its limit before it counts as below it. */
const HYSTERESIS = 0.05;

/**
 * Share of complete responses that close their connection at the start of the range, and at a utilization of 1. A new
 * connection takes processor time, so that not all callers of a slow entry are sent away at once.
 */
const LEAST_CLOSED_SHARE = 0.1;
const MOST_CLOSED_SHARE = 0.5;

/** Utilization of the memory from which new generations are refused: 9 MB of 178 MB are left. */
const REFUSE_FROM = 0.95;

/** Growth of the memory, as a share of it, that counts as a new maximum. */
const MEMORY_GROWTH = 0.005;

/** Time after the last growth of the memory for which connections are closed; callers take some seconds to move. */
const CLOSE_AFTER_GROWTH: ports.Milliseconds = 3_000;

/**
 * Time after the last growth of the memory for which generations are refused. A process that has stopped growing does
 * not fail, and Node.js may keep unused memory for long.
 */
const REFUSE_AFTER_GROWTH: ports.Milliseconds = 1_000;

/**
 * Retry delay of a refusal for lack of memory. The refusal closes the connection, so that the retry reaches another entry,
 * which can serve it at once.
 */
export const MEMORY_RETRY_DELAY: ports.Milliseconds = 50;

/**
 * Last growth of the memory above a limit. It is forgotten only well below the limit, since memory that swings around the
 * limit does not grow.
 */
class MemoryGrowth {
  private readonly from: number;
  private maximum = 0;
  private grownAt = Number.NEGATIVE_INFINITY;

  constructor(from: number) {
    this.from = from;
  }

  update(memory: number, now: ports.Milliseconds): void {
    if (memory < this.from - HYSTERESIS) {
      this.maximum = 0;
      this.grownAt = Number.NEGATIVE_INFINITY;
    } else if (memory >= this.from && memory >= this.maximum + MEMORY_GROWTH) {
      this.maximum = memory;
      this.grownAt = now;
    }
  }

  hasGrownWithin(time: ports.Milliseconds, now: ports.Milliseconds): boolean {
    return now - this.grownAt < time;
  }
}

/** Reacts to the utilization of one entry; see the module comment. */
export class OverloadResponse {
  private readonly random: ports.Random;
  private utilization: entryUtilization.Utilization | undefined;
  private limits: readonly NearLimit[] = [];
  private readonly growthToClose = new MemoryGrowth(CLOSE_FROM.memory);
  private readonly growthToRefuse = new MemoryGrowth(REFUSE_FROM);

  constructor(random: ports.Random) {
    this.random = random;
  }

  /** Limits that the entry is near. */
  get nearLimits(): readonly NearLimit[] {
    return this.limits;
  }

  /** Records the current utilization; returns true if the limits that the entry is near have changed. */
  update(utilization: entryUtilization.Utilization, now: ports.Milliseconds): boolean {
    this.utilization = utilization;
    const memory = utilization.memory ?? 0;
    this.growthToClose.update(memory, now);
    this.growthToRefuse.update(memory, now);
    const previous = this.limits;
    this.limits = (['eventLoop', 'descriptors', 'memory'] as const).filter((limit) => {
      if (limit === 'memory') {
        return this.growthToClose.hasGrownWithin(CLOSE_AFTER_GROWTH, now);
      }
      const from = previous.includes(limit) ? CLOSE_FROM[limit] - HYSTERESIS : CLOSE_FROM[limit];
      return (utilization[limit] ?? 0) >= from;
    });
    return this.limits.join() !== previous.join();
  }

  /** Decides whether the connection of a complete response is to be closed; returns the limit that is the reason. */
  limitToCloseFor(): NearLimit | undefined {
    let highest: { readonly limit: NearLimit; readonly share: number } | undefined;
    for (const limit of this.limits) {
      const share = this.closedShare(limit);
      if (highest === undefined || share > highest.share) {
        highest = { limit, share };
      }
    }
    // One draw for all limits, since a draw for each would close more than the intended share.
    return highest !== undefined && this.random.next() < highest.share ? highest.limit : undefined;
  }

  private closedShare(limit: NearLimit): number {
    const from = CLOSE_FROM[limit];
    const progress = Math.min(1, Math.max(0, ((this.utilization?.[limit] ?? 0) - from) / (1 - from)));
    return LEAST_CLOSED_SHARE + (MOST_CLOSED_SHARE - LEAST_CLOSED_SHARE) * progress;
  }

  /** Whether new generations are to be refused because the entry would run out of memory. */
  mustRefuseGenerations(now: ports.Milliseconds): boolean {
    return this.growthToRefuse.hasGrownWithin(REFUSE_AFTER_GROWTH, now);
  }
}
