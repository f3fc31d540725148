/**
 * Orders to upstreams: load a model or an adapter, or change the role.
 */
import type * as agreedState from '../agreedState/types.js';
import type * as failures from '../kernel/failures.js';
import type * as results from '../kernel/results.js';

/** Times are milliseconds. */
export interface OrderSettings {
  /** How long an order can be on its way; a new leader waits for this before it gives orders. */
  readonly longestFlight: number;
  /** Weight loads that the weight store allows a minute. */
  readonly weightLoadsPerMinute: number;
  readonly pumpInterval: number;
  /** Tries after which an order counts as failed. */
  readonly attempts: number;
}

/** What an upstream reports of the newest order it has taken. */
export interface OrderReceipt {
  readonly fencingNumber: number;
  readonly target: string;
}

/** Upstreams as the order desk sees them. */
export interface OrderPort {
  /**
   * Gives an order; the answer is what the upstream, read back, has taken last. `address` is that of the
   * upstream where the giver knows it, else empty.
   */
  give(
    order: agreedState.Order,
    address: string,
    timeout: number,
    done: (result: results.Result<OrderReceipt, failures.Failure>) => void,
  ): void;
}
