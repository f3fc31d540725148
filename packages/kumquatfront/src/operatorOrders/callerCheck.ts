/**
 * Refuses orders that may be out of date: their caller has left, or they may have waited while the process was paused.
 * The caller of such an order may have sent it again elsewhere, and other orders after it.
 */
import type * as failures from '../kernel/failures.js';
import type * as pauseMonitor from '../kernel/pauseMonitor.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as staleOrder from './staleOrder.js';
import type * as types from './types.js';

/** Ports of {@link CallerCheck}. */
export interface CallerCheckOptions {
  readonly pauses: pauseMonitor.PauseMonitor;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
}

/** Checks the callers of orders; see the module comment. */
export class CallerCheck {
  private readonly options: CallerCheckOptions;

  constructor(options: CallerCheckOptions) {
    this.options = options;
  }

  /**
   * Calls back with success if an order is still wanted.
   *
   * @param order - fields of the log that identify the order
   * @param wait - time for which the caller's connection is watched first, in milliseconds
   * @example
   * ```ts
   * check.confirm(caller, { order: 'lift', content }, 0, (confirmed) => confirmed.ok && lift());
   * ```
   */
  confirm(
    caller: types.OrderCaller,
    order: ports.LogFields,
    wait: ports.Milliseconds,
    done: (confirmed: results.Result<null, failures.Failure>) => void,
  ): void {
    const pause = this.options.pauses.recentPause();
    if (pause > 0) {
      const message = `This replica was paused for ${Math.round(pause)} ms, and the order may be older than that.`;
      done(this.refuse(caller, { ...order, pause: Math.round(pause) }, 'paused', message));
      return;
    }
    caller.checkPresence(wait, (isPresent) => {
      done(
        isPresent
          ? results.Ok(null)
          : this.refuse(caller, order, 'callerLeft', 'The caller has closed its connection.'),
      );
    });
  }

  private refuse(
    caller: types.OrderCaller,
    order: ports.LogFields,
    reason: 'callerLeft' | 'paused',
    message: string,
  ): results.Result<null, failures.Failure> {
    const { log, metrics } = this.options;
    const { knownIndex, connection } = caller;
    log.warn('lateOrderRefused', { ...order, reason, knownIndex, ...connection });
    metrics.count('orders.late', 1, { reason });
    return results.Err(staleOrder.failure(message));
  }
}
