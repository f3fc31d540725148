/**
 * Test double of an operator on virtual time: it sends an order to one replica after another until it is acknowledged.
 * What it sends to a paused replica, or over a silent link, arrives later, and the end of the connection after it.
 */
import * as callerConnections from '../adapters/callerConnections.js';
import type * as ports from '../kernel/ports.js';
import type * as dataCentreOrders from '../operatorOrders/dataCentreOrders.js';
import type * as operatorOrders from '../operatorOrders/types.js';
import type * as controlTestHarness from './controlTestHarness.js';

const LATENCY: ports.Milliseconds = 3;

/** Outcome of one copy of an order; `undefined` while it has none. */
export type CopyOutcome = 'acknowledged' | 'refused' | 'noAnswer';

/** How a caller gives up: it closes its connection, or forgets about it. */
export type GivingUp = 'closes' | 'staysConnected';

/** A connection to a replica, which can be used for several orders. */
export class OperatorConnection {
  /** Log index of the replica when it accepted the connection or last answered; undefined until it was accepted. */
  private knownIndex: number | undefined;
  private isNew = true;
  private acceptedAt = Number.POSITIVE_INFINITY;
  private isClosed = false;
  /** What waits for the link to heal; undefined while the link works. */
  private undelivered: (() => void)[] | undefined;

  /**
   * @param readDelay - time after which the replica reads what has arrived: it handles other messages first
   */
  constructor(
    private readonly harness: controlTestHarness.ControlTestHarness,
    private readonly address: string,
    private readonly readDelay: ports.Milliseconds = 0,
  ) {
    this.deliver(() => {
      this.knownIndex = harness.appliedIndexOf(address);
      this.acceptedAt = harness.time.now();
    });
  }

  /** Has the link lose everything until it is healed; TCP sends it again then. */
  silence(): void {
    this.undelivered ??= [];
  }

  /** The bytes arrive at once, the end of the connection one round trip later. */
  heal(): void {
    const [first, ...rest] = this.undelivered ?? [];
    this.undelivered = undefined;
    if (first !== undefined) {
      this.deliver(first);
    }
    for (const run of rest) {
      this.harness.time.after(2 * LATENCY, () => {
        this.deliver(run);
      });
    }
  }

  private deliver(arrive: () => void): void {
    if (this.undelivered !== undefined) {
      this.undelivered.push(arrive);
      return;
    }
    this.harness.time.after(LATENCY, () => {
      this.harness.runAt(this.address, () => {
        if (this.readDelay === 0) {
          arrive();
        } else {
          this.harness.time.after(this.readDelay, () => {
            this.harness.runAt(this.address, arrive);
          });
        }
      });
    });
  }

  /** Sends an order; `answered` is called with its outcome unless the connection is closed before. */
  send(order: dataCentreOrders.DataCentreOrder, answered: (outcome: CopyOutcome) => void): void {
    this.deliver(() => {
      const { harness, address } = this;
      harness.sendOrder(address, order, this.caller(), (result) => {
        this.knownIndex = harness.appliedIndexOf(address);
        this.isNew = false;
        harness.time.after(LATENCY, () => {
          if (!this.isClosed) {
            answered(result.ok ? 'acknowledged' : 'refused');
          }
        });
      });
    });
  }

  close(): void {
    this.deliver(() => {
      this.isClosed = true;
    });
  }

  private caller(): operatorOrders.OrderCaller {
    const { harness, address } = this;
    return {
      knownIndex: this.knownIndex ?? harness.appliedIndexOf(address),
      hasNewConnection:
        this.isNew && harness.time.now() - this.acceptedAt <= callerConnections.NEW_CONNECTION_AGE,
      connection: {},
      checkPresence: (wait, done) => {
        harness.time.after(wait, () => {
          harness.runAt(address, () => {
            done(!this.isClosed);
          });
        });
      },
    };
  }
}

/** Behaviour of an operator. Times are in milliseconds. */
export interface OperatorOptions {
  readonly harness: controlTestHarness.ControlTestHarness;
  readonly addresses: readonly string[];
  readonly givingUp: GivingUp;
  /** Time after which it sends an order to the next replica. */
  readonly patience: ports.Milliseconds;
  /** Time after which it gives an order up for good. */
  readonly limit: ports.Milliseconds;
  /** Time after which replicas read what has arrived for them. */
  readonly readDelay: ports.Milliseconds;
}

const FIRST_BACKOFF: ports.Milliseconds = 100;
const MAXIMUM_BACKOFF: ports.Milliseconds = 1_000;

/** Sends orders, each to one replica after another. */
export class OperatorTestClient {
  /** Connections on which an order has had no answer yet. */
  readonly openConnections = new Set<OperatorConnection>();

  constructor(private readonly options: OperatorOptions) {}

  /** Sends an order until it is acknowledged; `done` is called with false if it is given up for good. */
  order(
    order: dataCentreOrders.DataCentreOrder,
    firstReplica: number,
    done: (isAcknowledged: boolean) => void,
  ): void {
    const { harness, limit } = this.options;
    const givenUpAt = harness.time.now() + limit;
    const attempt = (number: number): void => {
      if (harness.time.now() >= givenUpAt) {
        done(false);
        return;
      }
      this.sendCopy(order, firstReplica + number, (outcome) => {
        if (outcome === 'acknowledged') {
          done(true);
          return;
        }
        harness.time.after(Math.min(MAXIMUM_BACKOFF, FIRST_BACKOFF * 2 ** number), () => {
          attempt(number + 1);
        });
      });
    };
    attempt(0);
  }

  private sendCopy(
    order: dataCentreOrders.DataCentreOrder,
    replica: number,
    done: (outcome: CopyOutcome) => void,
  ): void {
    const { harness, addresses, patience, givingUp, readDelay } = this.options;
    const address = addresses[replica % addresses.length] ?? '';
    if (!harness.isRunning(address)) {
      done('noAnswer');
      return;
    }
    const connection = new OperatorConnection(harness, address, readDelay);
    this.openConnections.add(connection);
    let isSettled = false;
    const settle = (outcome: CopyOutcome): void => {
      if (!isSettled) {
        isSettled = true;
        done(outcome);
      }
    };
    connection.send(order, (outcome) => {
      this.openConnections.delete(connection);
      settle(outcome);
    });
    harness.time.after(patience, () => {
      if (!isSettled && givingUp === 'closes') {
        connection.close();
      }
      settle('noAnswer');
    });
  }
}
