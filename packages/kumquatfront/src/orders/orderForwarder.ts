/**
 * Forwards orders of control to upstreams by way of an entry, since upstreams announce themselves only to entries. Any
 * entry can forward an order, because the order carries its fencing number.
 */
import type * as agreedState from '../agreedState/types.js';
import * as methods from '../controlNode/methods.js';
import type * as directory from '../directory/types.js';
import type * as upstreamTable from '../directory/upstreamTable.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as types from './types.js';

/** Parameters of the call that requests an entry to forward an order. */
export interface ForwardedOrder {
  readonly order: agreedState.Order;
  readonly timeout: number;
}

const REMEDY = 'The order is retried automatically; `kumquatfront status` lists the entries.';

/**
 * Creates the port for control, which sends each order to a random entry.
 *
 * @param random - selects the entry
 * @param entries - lists the live entries
 * @example
 * ```ts
 * const orders = orderForwarder.create(peers, random, () => liveEntries);
 * ```
 */
export function create(
  peers: ports.PeerTransport,
  random: ports.Random,
  entries: () => readonly directory.EntryPresence[],
): types.OrderPort {
  return {
    send: (order, _address, timeout, done) => {
      const liveEntries = entries();
      const entry = liveEntries[Math.floor(random.next() * liveEntries.length)];
      if (entry === undefined) {
        done(results.Err(failures.create('unreachable', 'No live entry is known.', REMEDY)));
        return;
      }
      const request: ForwardedOrder = { order, timeout };
      peers.request(entry.peerAddress, methods.methods.entryOrder, request, timeout, (result) => {
        done(result.map((receipt) => receipt as types.OrderReceipt));
      });
    },
  };
}

/**
 * Serves the forwarding of orders at an entry.
 *
 * @param table - the upstreams known to this entry
 * @param port - sends orders to upstreams
 * @example
 * ```ts
 * orderForwarder.serve(peers, directory.table, ports.orders);
 * ```
 */
export function serve(
  peers: ports.PeerTransport,
  table: upstreamTable.UpstreamTable,
  port: types.OrderPort,
): void {
  peers.serve(methods.methods.entryOrder, (parameters, reply) => {
    const { order, timeout } = parameters as ForwardedOrder;
    const address = table.get(order.upstream)?.announcement.address;
    if (address === undefined) {
      reply(
        results.Err(
          failures.create(
            'unreachable',
            `Upstream ${order.upstream} has not announced itself to this entry.`,
            REMEDY,
          ),
        ),
      );
      return;
    }
    port.send(order, address, timeout, reply);
  });
}
