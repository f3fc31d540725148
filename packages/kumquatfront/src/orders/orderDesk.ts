/**
 * Gives the orders of the agreed state to upstreams: only as the leader, each with the fencing number that
 * the log gave it, oldest first for each upstream, and weight loads no faster than the store allows.
 */
import type * as agreedState from '../agreedState/agreedState.js';
import type * as agreedTypes from '../agreedState/types.js';
import type * as replica from '../consensus/replica.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as types from './types.js';

/** What the desk is made from. */
export interface OrderDeskOptions {
  readonly settings: types.OrderSettings;
  readonly replica: Pick<replica.Replica, 'mayLead' | 'propose'>;
  readonly state: agreedState.AgreedState;
  readonly port: types.OrderPort;
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
}

const MINUTE = 60_000;

/** The desk; see the module comment. */
export class OrderDesk {
  private readonly options: OrderDeskOptions;
  private leadingSince: number | undefined;
  private readonly inFlight = new Set<string>();
  private readonly attempts = new Map<string, number>();
  private readonly loadTimes: number[] = [];

  constructor(options: OrderDeskOptions) {
    this.options = options;
    options.timers.every(
      () => options.settings.pumpInterval,
      () => {
        this.pump();
      },
    );
  }

  private pump(): void {
    const { replica: own, timers, settings, state } = this.options;
    if (!own.mayLead()) {
      this.leadingSince = undefined;
      return;
    }
    this.leadingSince ??= timers.now();
    // Some upstreams ignore the fencing number. For them the only safeguard is time: the former leader has
    // stopped by the end of its lease, and what it sent before has arrived or is lost after the longest flight.
    if (timers.now() - this.leadingSince < settings.longestFlight) {
      return;
    }
    for (const order of mostWantedFirst(state.openOrders())) {
      this.give(order);
    }
  }

  private give(order: agreedTypes.Order): void {
    const { port, settings } = this.options;
    if (this.inFlight.has(order.orderId) || !this.mayLoad(order)) {
      return;
    }
    this.inFlight.add(order.orderId);
    this.attempts.set(order.orderId, (this.attempts.get(order.orderId) ?? 0) + 1);
    port.give(order, '', settings.longestFlight, (result) => {
      this.inFlight.delete(order.orderId);
      if (result.ok && result.val.fencingNumber >= order.fencingNumber) {
        this.settle(order, 'done');
      } else if ((this.attempts.get(order.orderId) ?? 0) >= settings.attempts) {
        this.settle(order, 'failed');
      }
    });
  }

  private mayLoad(order: agreedTypes.Order): boolean {
    if (order.order.action === 'changeRole') {
      return true;
    }
    const now = this.options.timers.now();
    while (this.loadTimes[0] !== undefined && this.loadTimes[0] <= now - MINUTE) {
      this.loadTimes.shift();
    }
    if (this.loadTimes.length >= this.options.settings.weightLoadsPerMinute) {
      return false;
    }
    this.loadTimes.push(now);
    return true;
  }

  private settle(order: agreedTypes.Order, result: 'done' | 'failed'): void {
    const { replica: own, log } = this.options;
    this.attempts.delete(order.orderId);
    log.info('orderSettled', { order: order.orderId, upstream: order.upstream, result });
    own.propose({ type: 'settleOrder', orderId: order.orderId, result }, () => undefined);
  }
}

function oldestOfEachUpstream(orders: readonly agreedTypes.Order[]): readonly agreedTypes.Order[] {
  const heads = new Map<string, agreedTypes.Order>();
  for (const order of orders) {
    if (!heads.has(order.upstream)) {
      heads.set(order.upstream, order);
    }
  }
  return [...heads.values()];
}

/**
 * The oldest open order of each upstream, those whose target most open orders want first. An upstream gets
 * its orders in the order of the log: one that ignores fencing numbers would else end up with the older.
 *
 * @param orders - the open orders, oldest first
 * @returns the orders that may be given now
 * @example
 * ```ts
 * orderDesk.mostWantedFirst(state.openOrders());
 * ```
 */
export function mostWantedFirst(orders: readonly agreedTypes.Order[]): readonly agreedTypes.Order[] {
  const wanted = new Map<string, number>();
  for (const { order } of orders) {
    wanted.set(order.target, (wanted.get(order.target) ?? 0) + 1);
  }
  const wantedOf = (order: agreedTypes.Order): number => wanted.get(order.order.target) ?? 0;
  return [...oldestOfEachUpstream(orders)].sort(
    (left, right) => wantedOf(right) - wantedOf(left) || left.fencingNumber - right.fencingNumber,
  );
}
