/**
 * Evacuations on the product's own interface: any replica takes an order, and its leader commits it.
 */
import type * as agreedState from '../agreedState/agreedState.js';
import * as evacuationFailures from '../agreedState/evacuationFailures.js';
import type * as agreedTypes from '../agreedState/types.js';
import type * as replica from '../consensus/replica.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as callerCheck from '../operatorOrders/callerCheck.js';
import * as dataCentreOrders from '../operatorOrders/dataCentreOrders.js';
import type * as operatorOrders from '../operatorOrders/types.js';
import * as leaderForwarding from './leaderForwarding.js';
import * as methods from './methods.js';

/** Ports of {@link Evacuations}. */
export interface EvacuationsOptions {
  readonly replica: replica.Replica;
  readonly state: agreedState.AgreedState;
  readonly peers: ports.PeerTransport;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly check: callerCheck.CallerCheck;
  readonly now: () => ports.Milliseconds;
  /** Names of the data centres that may be evacuated or restored. */
  readonly dataCentres: () => ReadonlySet<string>;
}

const FORWARD_TIMEOUT: ports.Milliseconds = 4_000;

/** Orders on data centres; see the module comment. */
export class Evacuations {
  private readonly options: EvacuationsOptions;
  private readonly orders: dataCentreOrders.DataCentreOrders;

  constructor(options: EvacuationsOptions) {
    this.options = options;
    const { peers } = options;
    this.orders = new dataCentreOrders.DataCentreOrders({
      ...options,
      submit: (command, done) => {
        this.submit(command, done);
      },
    });
    peers.serve(methods.methods.evacuate, (parameters, reply) => {
      this.propose(parameters as agreedTypes.DataCentreCommand, reply);
    });
  }

  /** Carries out an order while its caller waits; calls back with the resulting `Evacuations`. */
  execute(
    order: dataCentreOrders.DataCentreOrder,
    caller: operatorOrders.OrderCaller,
    done: ports.Reply,
  ): void {
    const known = this.options.dataCentres();
    const { dataCentre } = order;
    if (dataCentre === '' || !known.has(dataCentre)) {
      const names = [...known].filter((name) => name !== '').sort();
      done(results.Err(evacuationFailures.unknownDataCentre(dataCentre, names)));
      return;
    }
    this.orders.execute(order, caller, done);
  }

  private submit(command: agreedTypes.DataCentreCommand, done: ports.Reply): void {
    this.propose(command, (result) => {
      const call = { method: methods.methods.evacuate, parameters: command, timeout: FORWARD_TIMEOUT };
      leaderForwarding.forward(this.options.peers, call, result, done);
    });
  }

  private propose(command: agreedTypes.DataCentreCommand, done: ports.Reply): void {
    const { replica: own, state } = this.options;
    const append = own.propose.bind(own);
    dataCentreOrders.propose(command, state, append, done);
  }
}
