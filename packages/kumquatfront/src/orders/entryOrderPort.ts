/**
 * Gives orders through entries: upstreams announce themselves to entries only, so control asks one of them to
 * pass the order on. The fencing number travels with it, so that any entry may.
 */
import type * as agreedState from '../agreedState/types.js';
import * as methods from '../controlNode/methods.js';
import type * as directory from '../directory/types.js';
import type * as upstreamTable from '../directory/upstreamTable.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as types from './types.js';

/** An order on its way through an entry. */
export interface OrderRequest {
  readonly order: agreedState.Order;
  readonly timeout: number;
}

const REMEDY = 'It is tried again; `kumquatfront status` lists the entries.';

/**
 * Creates control's side.
 *
 * @param peers - the transport
 * @param random - picks an entry
 * @param entries - entries that were heard from
 * @returns the port
 * @example
 * ```ts
 * const orders = entryOrderPort.create(peers, random, () => liveEntries);
 * ```
 */
export function create(
  peers: ports.PeerTransport,
  random: ports.Random,
  entries: () => readonly directory.EntryPresence[],
): types.OrderPort {
  return {
    give: (order, _address, timeout, done) => {
      const known = entries();
      const entry = known[Math.floor(random.next() * known.length)];
      if (entry === undefined) {
        done(results.Err(failures.create('unreachable', 'No entry was heard from.', REMEDY)));
        return;
      }
      const request: OrderRequest = { order, timeout };
      peers.request(entry.peerAddress, methods.methods.entryOrder, request, timeout, (result) => {
        done(result.map((receipt) => receipt as types.OrderReceipt));
      });
    },
  };
}

/**
 * Serves an entry's side.
 *
 * @param peers - the transport
 * @param table - the upstreams this entry knows
 * @param port - reaches upstreams
 * @example
 * ```ts
 * entryOrderPort.serve(peers, directory.table, ports.orders);
 * ```
 */
export function serve(
  peers: ports.PeerTransport,
  table: upstreamTable.UpstreamTable,
  port: types.OrderPort,
): void {
  peers.serve(methods.methods.entryOrder, (parameters, reply) => {
    const { order, timeout } = parameters as OrderRequest;
    const address = table.get(order.upstream)?.announcement.address;
    if (address === undefined) {
      reply(
        results.Err(failures.create('unreachable', `${order.upstream} has not announced itself.`, REMEDY)),
      );
      return;
    }
    port.give(order, address, timeout, reply);
  });
}
