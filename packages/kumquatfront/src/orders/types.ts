/**
 * Types of the orders to upstreams: load a model or an adapter, or change the role.
 */
import type * as agreedState from '../agreedState/types.js';
import type * as failures from '../kernel/failures.js';
import type * as results from '../kernel/results.js';

/** Settings of the order dispatcher. Times are milliseconds. */
export interface OrderSettings {
  /** Maximum time for which an order can be in flight; a new leader waits for it before it sends orders. */
  readonly longestFlight: number;
  /** Weight loads per minute that the weight store allows. */
  readonly weightLoadsPerMinute: number;
  /** Interval at which open orders are sent. */
  readonly pumpInterval: number;
  /** Number of attempts after which an order is recorded as failed. */
  readonly attempts: number;
}

/** The newest order that an upstream has accepted, as it reports it. */
export interface OrderReceipt {
  readonly fencingNumber: number;
  readonly target: string;
}

/** Port through which orders are sent to upstreams. */
export interface OrderPort {
  /**
   * Sends an order, then reads back the newest order that the upstream has accepted. `address` is empty if the sender
   * does not know the address of the upstream.
   */
  send(
    order: agreedState.Order,
    address: string,
    timeout: number,
    done: (result: results.Result<OrderReceipt, failures.Failure>) => void,
  ): void;
}
