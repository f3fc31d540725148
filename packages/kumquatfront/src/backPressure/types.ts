/**
 * Back-pressure signals with which upstreams ask senders for fewer requests. Times are milliseconds.
 */
import type * as ports from '../kernel/ports.js';

/** A signal that could not be parsed, as received. */
export interface UnreadableSignal {
  readonly name: string;
  readonly value: string;
}

/** Back-pressure signals in one answer. */
export interface UpstreamSignals {
  /** Requests per second that the upstream accepts from all senders together; undefined if it sets no limit. */
  readonly rateLimit?: number;
  /** Time for which it asks this sender to send nothing; undefined if it asks for no pause. */
  readonly pause?: ports.Milliseconds;
  /** Requests that it can reject in a second without crashing; undefined if it does not state that it is fragile. */
  readonly maximumRejections?: number;
  /** True if the upstream is shutting down. */
  readonly leaving: boolean;
  readonly unreadable: readonly UnreadableSignal[];
}

/** The last known rate limit of an upstream. */
export interface KnownRateLimit {
  /** Requests per second from all senders together; undefined if the limit was lifted. */
  readonly perSecond: number | undefined;
  /** Time of the answer that set or lifted the limit. */
  readonly receivedAt: ports.Milliseconds;
}
