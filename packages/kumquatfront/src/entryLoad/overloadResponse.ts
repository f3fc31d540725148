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

/**
 * Time after the last growth of the memory for which generations are refused. A process that no longer grows does not
 * fail, and Node.js may keep memory for long that it no longer uses.
 */
const REFUSE_AFTER_GROWTH: ports.Milliseconds = 1_000;

/**
 * Retry delay of a refusal for lack of memory. The refusal closes the connection, so that the retry reaches another entry,
 * which can serve it at once.
 */
export const MEMORY_RETRY_DELAY: ports.Milliseconds = 50;

/** Reacts to the utilization of one entry; see the module comment. */
export class OverloadResponse {
  private readonly random: ports.Random;
  private utilization: entryUtilization.Utilization | undefined;
  private limits: readonly NearLimit[] = [];
  private memoryMaximum = 0;
  private memoryGrownAt = Number.NEGATIVE_INFINITY;

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
    if (memory < REFUSE_FROM) {
      this.memoryMaximum = 0;
      this.memoryGrownAt = Number.NEGATIVE_INFINITY;
    } else if (memory >= this.memoryMaximum + MEMORY_GROWTH) {
      this.memoryMaximum = memory;
      this.memoryGrownAt = now;
    }
    const previous = this.limits;
    this.limits = (['eventLoop', 'descriptors', 'memory'] as const).filter((limit) => {
      const from = previous.includes(limit) ? CLOSE_FROM[limit] - HYSTERESIS : CLOSE_FROM[limit];
      return (utilization[limit] ?? 0) >= from;
    });
    return this.limits.join() !== previous.join();
  }

  /** Decides whether the connection of a complete response is to be closed; returns the limit that is the reason. */
  limitToCloseFor(): NearLimit | undefined {
    for (const limit of this.limits) {
      const from = CLOSE_FROM[limit];
      const progress = Math.min(1, Math.max(0, ((this.utilization?.[limit] ?? 0) - from) / (1 - from)));
      const share = LEAST_CLOSED_SHARE + (MOST_CLOSED_SHARE - LEAST_CLOSED_SHARE) * progress;
      if (this.random.next() < share) {
        return limit;
      }
    }
    return undefined;
  }

  /** Whether new generations are to be refused because the entry would run out of memory. */
  mustRefuseGenerations(now: ports.Milliseconds): boolean {
    return now - this.memoryGrownAt < REFUSE_AFTER_GROWTH;
  }
}
