/**
 * Carries out orders to evacuate and to restore data centres. Operators send an order again to another replica when
 * they get no answer, so a copy of it may be read after newer orders were acknowledged. An order names what its replica
 * knew when it was sent at the earliest (optimistic concurrency control); the agreed state refuses it after newer ones.
 */
import type * as agreedTypes from '../agreedState/types.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as callerCheck from './callerCheck.js';
import type * as types from './types.js';

/** An order without what its replica knew. */
export type DataCentreOrder = Pick<agreedTypes.DataCentreCommand, 'type' | 'dataCentre'>;

/** Ports of {@link DataCentreOrders}. */
export interface DataCentreOrdersOptions {
  readonly check: callerCheck.CallerCheck;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  /** Has the leader commit an order; calls back with a `DataCentreAnswer`. */
  readonly submit: (command: agreedTypes.DataCentreCommand, done: ports.Reply) => void;
}

/**
 * Time for which a caller is watched when a newer order is known. Longer than a round trip to the caller: when a link
 * heals, the end of a connection may follow the last bytes by that.
 */
const PRESENCE_WAIT: ports.Milliseconds = 50;

/** Maximum number of submissions of one order, which other orders may overtake. */
const MAXIMUM_SUBMISSIONS = 3;

/** Orders on data centres; see the module comment. */
export class DataCentreOrders {
  private readonly options: DataCentreOrdersOptions;

  constructor(options: DataCentreOrdersOptions) {
    this.options = options;
  }

  /**
   * Carries out an order while its caller waits; calls back with the resulting `Evacuations`.
   *
   * @example
   * ```ts
   * orders.execute({ type: 'evacuate', dataCentre: 'perth-a' }, caller, (result) => respond(result));
   * ```
   */
  execute(order: DataCentreOrder, caller: types.OrderCaller, done: ports.Reply): void {
    this.submitIfWanted(order, caller, { knownIndex: caller.knownIndex, wait: 0, submissions: 0 }, done);
  }

  private submitIfWanted(
    order: DataCentreOrder,
    caller: types.OrderCaller,
    attempt: { readonly knownIndex: number; readonly wait: ports.Milliseconds; readonly submissions: number },
    done: ports.Reply,
  ): void {
    const { check, submit } = this.options;
    const { type, dataCentre } = order;
    check.confirm(caller, { order: type, dataCentre }, attempt.wait, (confirmed) => {
      if (confirmed.err) {
        done(confirmed);
        return;
      }
      submit({ type, dataCentre, knownIndex: attempt.knownIndex }, (result) => {
        if (result.err) {
          done(result);
          return;
        }
        const answer = result.val as agreedTypes.DataCentreAnswer;
        if (answer.accepted) {
          done(results.Ok(answer.evacuations));
          return;
        }
        const submissions = attempt.submissions + 1;
        this.reportSuperseded(order, caller, answer.lastOrder, submissions);
        if (submissions >= MAXIMUM_SUBMISSIONS) {
          done(results.Err(supersededFailure(dataCentre)));
          return;
        }
        this.submitIfWanted(
          order,
          caller,
          { knownIndex: answer.lastOrder, wait: PRESENCE_WAIT, submissions },
          done,
        );
      });
    });
  }

  private reportSuperseded(
    order: DataCentreOrder,
    caller: types.OrderCaller,
    lastOrder: number,
    submissions: number,
  ): void {
    const { log, metrics } = this.options;
    const { knownIndex, connection } = caller;
    const { type, dataCentre } = order;
    const fields = { order: type, dataCentre, knownIndex, lastOrder, submissions, ...connection };
    log.warn('dataCentreOrderSuperseded', fields);
    metrics.count('orders.superseded');
  }
}

function supersededFailure(dataCentre: string): failures.Failure {
  const message = `Other orders on the data centre "${dataCentre}" were carried out at the same time.`;
  return failures.create('stale', message, 'Send it again, to any control replica: nothing was changed.');
}
