/**
 * The caller of an operator's order, as seen from the connection on which the order arrived.
 */
import type * as ports from '../kernel/ports.js';

/** Caller of one order. */
export interface OrderCaller {
  /**
   * Log index that this replica had applied when it accepted the connection, or last answered on it. Whatever the
   * replica knew by then is older than the order.
   */
  readonly knownIndex: number;
  /** True if the order arrived together with its connection, so that it cannot have waited in the network for long. */
  readonly hasNewConnection: boolean;
  /** Fields for the log that describe the connection. */
  readonly connection: ports.LogFields;
  /**
   * Calls back with whether the caller still waits for an answer, once everything that had arrived on its connection has
   * been read.
   *
   * @param wait - time for which the connection is watched first, in milliseconds
   */
  checkPresence(wait: ports.Milliseconds, done: (isPresent: boolean) => void): void;
}
