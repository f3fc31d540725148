/**
 * Orders to evacuate and to restore data centres. Operators resend an order to another replica after a timeout, so a copy
 * may be read after newer orders were acknowledged. An order carries the log index up to which it is certainly newer than
 * the log; the agreed state rejects it after newer orders (optimistic concurrency control).
 */
import type * as agreedState from '../agreedState/agreedState.js';
import type * as agreedTypes from '../agreedState/types.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as callerCheck from './callerCheck.js';
import * as staleOrder from './staleOrder.js';
import type * as types from './types.js';

/** An order without its log index. */
export type DataCentreOrder = Pick<agreedTypes.DataCentreCommand, 'type' | 'dataCentre'>;

/** Ports of {@link DataCentreOrders}. */
export interface DataCentreOrdersOptions {
  readonly check: callerCheck.CallerCheck;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly now: () => ports.Milliseconds;
  /** Has the leader commit an order; calls back with a `DataCentreAnswer`. */
  readonly submit: (command: agreedTypes.DataCentreCommand, done: ports.Reply) => void;
}

/**
 * Time for which a caller on an older connection is watched when a newer order is known. Longer than a round trip and a
 * delayed acknowledgement of TCP: when a link heals, the end of a connection follows the last bytes by that.
 */
const PRESENCE_WAIT: ports.Milliseconds = 50;

/**
 * Time after its arrival within which an order is resubmitted. Shorter than the timeout of callers: later, the caller may
 * have left although the end of its connection has not arrived.
 */
const RESUBMISSION_TIME: ports.Milliseconds = 250;

interface SubmissionAttempt {
  readonly knownIndex: number;
  /** Time for which the caller is watched first. */
  readonly wait: ports.Milliseconds;
  readonly givenUpAt: ports.Milliseconds;
}

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
    const givenUpAt = this.options.now() + RESUBMISSION_TIME;
    this.submitIfWanted(order, caller, { knownIndex: caller.knownIndex, wait: 0, givenUpAt }, done);
  }

  private submitIfWanted(
    order: DataCentreOrder,
    caller: types.OrderCaller,
    attempt: SubmissionAttempt,
    done: ports.Reply,
  ): void {
    const { check, submit, now } = this.options;
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
        // A follower may learn of the order before only after it has accepted the connection of the next one.
        const wait = caller.hasNewConnection ? 0 : PRESENCE_WAIT;
        const mayResubmit = now() + wait < attempt.givenUpAt;
        this.reportSuperseded(order, caller, answer.lastOrder, mayResubmit);
        if (!mayResubmit) {
          const message = `Other orders on the data centre "${dataCentre}" were carried out at the same time.`;
          done(results.Err(staleOrder.failure(message)));
          return;
        }
        const next = { ...attempt, knownIndex: answer.lastOrder, wait };
        this.submitIfWanted(order, caller, next, done);
      });
    });
  }

  private reportSuperseded(
    order: DataCentreOrder,
    caller: types.OrderCaller,
    lastOrder: number,
    mayResubmit: boolean,
  ): void {
    const { log, metrics } = this.options;
    const { knownIndex, connection } = caller;
    const { type, dataCentre } = order;
    const fields = { order: type, dataCentre, knownIndex, lastOrder, again: mayResubmit, ...connection };
    log.warn('dataCentreOrderSuperseded', fields);
    metrics.count('orders.superseded');
  }
}

/**
 * Proposes an order at the leader. One that is void is rejected before it is written to the log, so that its replica,
 * which had not heard of the newer order, can send it again a round trip later.
 *
 * @example
 * ```ts
 * dataCentreOrders.propose(command, state, (sound, settle) => replica.propose(sound, settle), done);
 * ```
 */
export function propose(
  command: agreedTypes.DataCentreCommand,
  state: Pick<agreedState.AgreedState, 'rejectionOf'>,
  append: (command: agreedTypes.DataCentreCommand, done: ports.Reply) => void,
  done: ports.Reply,
): void {
  const rejection = state.rejectionOf(command);
  if (rejection === undefined) {
    append(command, done);
  } else {
    done(results.Ok(rejection));
  }
}
