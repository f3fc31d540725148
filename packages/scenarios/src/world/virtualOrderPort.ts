/**
 * Simulated order port: delivers orders from a control replica or an entry to an engine, and returns the receipts.
 */
import * as kumquatfront from 'kumquatfront';
import type * as standIns from 'kumquatfront-stand-ins';

import type * as host from './host.js';
import type * as network from './network.js';
import type * as virtualUpstreams from './virtualUpstreams.js';

/** Dependencies of the order port. */
export interface OrderEnvironment {
  readonly time: kumquatfront.virtualTime.VirtualTime;
  readonly network: network.Network;
  readonly engineOf: (name: string) => virtualUpstreams.VirtualEngine | undefined;
  /** Rejects weight loads above its rate limit. */
  readonly weightStore: standIns.weightStoreModel.WeightStoreModel;
  readonly record: (text: string) => void;
}

/**
 * Creates the order port of one host.
 *
 * @param sender - host that sends the orders
 * @param environment - network, engines and weight store
 * @example
 * ```ts
 * const orders = virtualOrderPort.create(sender, environment);
 * ```
 */
export function create(sender: host.Host, environment: OrderEnvironment): kumquatfront.orderTypes.OrderPort {
  const { time, network, engineOf, weightStore, record } = environment;
  return {
    send: (order, _address, timeout, done) => {
      const engine = engineOf(order.upstream);
      const incarnation = sender.incarnation;
      let isPending = true;
      const complete = (result: Parameters<typeof done>[0]): void => {
        sender.runInProcess(incarnation, () => {
          if (isPending) {
            isPending = false;
            done(result);
          }
        });
      };
      time.after(timeout, () => {
        complete(
          kumquatfront.results.Err(
            kumquatfront.failures.create(
              'timeout',
              'No response within the timeout.',
              'The order is retried.',
            ),
          ),
        );
      });
      network.deliver(sender.name, order.upstream, () => {
        if (order.order.action !== 'changeRole' && !weightStore.tryLoad()) {
          record(`the weight store refuses a load for ${order.upstream}`);
        }
        const accepted = engine?.orderReceiver.accept(order.fencingNumber, order.order.target) === true;
        const verb = accepted ? 'takes' : 'refuses';
        record(`${order.upstream} ${verb} order ${order.orderId} of ${sender.name}`);
        network.deliver(order.upstream, sender.name, () => {
          complete(
            kumquatfront.results.Ok(
              engine?.orderReceiver.latestReceipt() ?? { fencingNumber: 0, target: '' },
            ),
          );
        });
      });
    },
  };
}
