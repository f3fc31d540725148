/**
 * Orders on their way from a control replica or an entry to an engine of the world, and their receipts on the way back.
 */
import * as kumquatfront from 'kumquatfront';
import type * as standIns from 'kumquatfront-stand-ins';

import type * as host from './host.js';
import type * as network from './network.js';
import type * as virtualUpstreams from './virtualUpstreams.js';

/** What orders touch on their way. */
export interface OrderWorld {
  readonly time: kumquatfront.virtualTime.VirtualTime;
  readonly network: network.Network;
  readonly engineOf: (name: string) => virtualUpstreams.VirtualEngine | undefined;
  /** Engines load weights from it; loads beyond its rate are refused. */
  readonly weightStore: standIns.weightStoreModel.WeightStoreModel;
  readonly record: (text: string) => void;
}

/**
 * Creates the port by which one host gives orders.
 *
 * @param own - the host
 * @param world - what its orders touch
 * @returns the port
 * @example
 * ```ts
 * const orders = virtualOrders.create(own, world);
 * ```
 */
export function create(own: host.Host, world: OrderWorld): kumquatfront.orderTypes.OrderPort {
  const { time, network: net, engineOf, weightStore, record } = world;
  return {
    give: (order, _address, timeout, done) => {
      const engine = engineOf(order.upstream);
      const life = own.currentLife;
      let open = true;
      const finish = (result: Parameters<typeof done>[0]): void => {
        own.enter(life, () => {
          if (open) {
            open = false;
            done(result);
          }
        });
      };
      time.after(timeout, () => {
        finish(
          kumquatfront.results.Err(
            kumquatfront.failures.create('timeout', 'No answer.', 'It is tried again.'),
          ),
        );
      });
      net.deliver(own.name, order.upstream, () => {
        if (order.order.action !== 'changeRole' && !weightStore.load()) {
          record(`the weight store refuses a load for ${order.upstream}`);
        }
        const taken = engine?.orders.take(order.fencingNumber, order.order.target) === true;
        const verb = taken ? 'takes' : 'refuses';
        record(`${order.upstream} ${verb} order ${order.orderId} of ${own.name}`);
        net.deliver(order.upstream, own.name, () => {
          finish(kumquatfront.results.Ok(engine?.orders.receipt() ?? { fencingNumber: 0, target: '' }));
        });
      });
    },
  };
}
