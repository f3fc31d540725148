/**
 * One exchange to its user, whose part is taken by another one later: after a check, or on another path. A pause holds for each of them.
 */
import type * as types from './types.js';

/** See the module comment. */
export class SuccessiveExchanges implements types.UpstreamExchange {
  private current: types.UpstreamExchange | undefined;
  private isPaused = false;
  private isCancelled = false;

  /** The user has cancelled it: no exchange must follow. */
  get wasCancelled(): boolean {
    return this.isCancelled;
  }

  /**
   * Sets the exchange that is in progress from now on.
   *
   * @example
   * ```ts
   * const exchanges = new successiveExchanges.SuccessiveExchanges();
   * exchanges.set(upstreams.send(call, listener));
   * ```
   */
  set(exchange: types.UpstreamExchange): void {
    this.current = exchange;
    if (this.isPaused) {
      exchange.pause();
    }
  }

  readonly cancel: types.CancelExchange = (reason) => {
    this.isCancelled = true;
    this.current?.cancel(reason);
  };

  readonly pause = (): void => {
    this.isPaused = true;
    this.current?.pause();
  };

  readonly resume = (): void => {
    this.isPaused = false;
    this.current?.resume();
  };

  readonly readToEnd = (): void => {
    this.current?.readToEnd?.();
  };
}
