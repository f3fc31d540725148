/**
 * Sends the open orders of the agreed state to upstreams: only while this replica leads, with the fencing number that the
 * log assigned, oldest first for each upstream, and with weight loads limited to the rate of the weight store.
 */
import type * as agreedState from '../agreedState/agreedState.js';
import type * as agreedTypes from '../agreedState/types.js';
import type * as replica from '../consensus/replica.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as types from './types.js';

/** Dependencies of an order dispatcher. */
export interface OrderDispatcherOptions {
  readonly settings: types.OrderSettings;
  readonly replica: Pick<replica.Replica, 'mayLead' | 'propose'>;
  readonly state: agreedState.AgreedState;
  readonly port: types.OrderPort;
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
}

const MINUTE = 60_000;

/** The order dispatcher; see the module comment. */
export class OrderDispatcher {
  private readonly options: OrderDispatcherOptions;
  private leadingSince: number | undefined;
  private readonly inFlight = new Set<string>();
  private readonly attempts = new Map<string, number>();
  private readonly loadTimes: number[] = [];

  constructor(options: OrderDispatcherOptions) {
    this.options = options;
    options.timers.every(
      () => options.settings.pumpInterval,
      () => {
        this.tick();
      },
    );
  }

  private tick(): void {
    const { replica: consensusReplica, timers, settings, state } = this.options;
    if (!consensusReplica.mayLead()) {
      this.leadingSince = undefined;
      return;
    }
    this.leadingSince ??= timers.now();
    // Upstreams that ignore fencing numbers could apply a late order of the former leader after a newer one. It stops
    // sending when its lease ends, and its last orders have arrived or are lost after `longestFlight`.
    if (timers.now() - this.leadingSince < settings.longestFlight) {
      return;
    }
    for (const order of nextOrdersByDemand(state.openOrders())) {
      this.sendOrder(order);
    }
  }

  private sendOrder(order: agreedTypes.Order): void {
    const { port, settings } = this.options;
    if (this.inFlight.has(order.orderId) || !this.tryAcquireLoadPermit(order)) {
      return;
    }
    this.inFlight.add(order.orderId);
    this.attempts.set(order.orderId, (this.attempts.get(order.orderId) ?? 0) + 1);
    port.send(order, '', settings.longestFlight, (result) => {
      this.inFlight.delete(order.orderId);
      if (result.ok && result.val.fencingNumber >= order.fencingNumber) {
        this.recordOutcome(order, 'done');
      } else if ((this.attempts.get(order.orderId) ?? 0) >= settings.attempts) {
        this.recordOutcome(order, 'failed');
      }
    });
  }

  /** Consumes a permit of the rate limit for weight loads; a change of role needs none. */
  private tryAcquireLoadPermit(order: agreedTypes.Order): boolean {
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

  private recordOutcome(order: agreedTypes.Order, result: 'done' | 'failed'): void {
    const { replica: consensusReplica, log } = this.options;
    this.attempts.delete(order.orderId);
    log.info('orderSettled', { order: order.orderId, upstream: order.upstream, result });
    consensusReplica.propose({ type: 'settleOrder', orderId: order.orderId, result }, () => undefined);
  }
}

function oldestOrderOfEachUpstream(orders: readonly agreedTypes.Order[]): readonly agreedTypes.Order[] {
  const oldestOrders = new Map<string, agreedTypes.Order>();
  for (const order of orders) {
    if (!oldestOrders.has(order.upstream)) {
      oldestOrders.set(order.upstream, order);
    }
  }
  return [...oldestOrders.values()];
}

/**
 * Selects the oldest open order of each upstream, sorted by the number of open orders with the same target, highest
 * first. Each upstream receives its orders in log order: one that ignores fencing numbers would otherwise end up with the
 * older order.
 *
 * @example
 * ```ts
 * orderDispatcher.nextOrdersByDemand(state.openOrders());
 * ```
 */
export function nextOrdersByDemand(orders: readonly agreedTypes.Order[]): readonly agreedTypes.Order[] {
  const demand = new Map<string, number>();
  for (const { order } of orders) {
    demand.set(order.target, (demand.get(order.target) ?? 0) + 1);
  }
  const demandOf = (order: agreedTypes.Order): number => demand.get(order.order.target) ?? 0;
  return [...oldestOrderOfEachUpstream(orders)].sort(
    (left, right) => demandOf(right) - demandOf(left) || left.fencingNumber - right.fencingNumber,
  );
}
