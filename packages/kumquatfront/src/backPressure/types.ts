/**
 * How upstreams tell those that send to them to send less. Times are milliseconds.
 */
import type * as ports from '../kernel/ports.js';

/** A signal that could not be read, as it came. */
export interface UnreadableSignal {
  readonly name: string;
  readonly value: string;
}

/** What one answer says besides the answer itself. */
export interface UpstreamSignals {
  /** Requests a second that the upstream takes from all senders together; undefined where it names no limit. */
  readonly rateLimit?: number;
  /** Time for which it wants nothing from this sender; undefined where it does not say. */
  readonly pause?: ports.Milliseconds;
  /** True where it is about to stop. */
  readonly leaving: boolean;
  readonly unreadable: readonly UnreadableSignal[];
}

/** A rate limit, and when an upstream was heard to name it. */
export interface KnownRateLimit {
  /** Requests a second from all senders together; undefined where it named a limit before and does not any more. */
  readonly perSecond: number | undefined;
  readonly heardAt: ports.Milliseconds;
}
