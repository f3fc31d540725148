/**
 * Connections of callers to an HTTP server of a control replica: whether the caller of an order still waits, and up to
 * which log index the order is certainly newer than the log.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

import type * as ports from '../kernel/ports.js';
import type * as operatorOrders from '../operatorOrders/types.js';
import * as eventLoop from './eventLoop.js';

/** Ports of {@link CallerConnections}. */
export interface CallerConnectionsOptions {
  /** Log index that this replica has applied. */
  readonly appliedIndex: () => number;
  readonly clock: ports.Clock;
  readonly scheduler: ports.Scheduler;
}

/**
 * Time to wait for the reset with which a closed connection answers an interim response. Longer than a round trip to
 * the caller.
 */
const RESET_WAIT: ports.Milliseconds = 100;

/** Longest time between the acceptance of a connection and an order that counts as arriving together with it. */
export const NEW_CONNECTION_AGE: ports.Milliseconds = 20;

interface ConnectionRecord {
  readonly openedAt: ports.Milliseconds;
  /** Log index when the connection was accepted or last answered on. */
  knownIndex: number;
  answers: number;
}

/** Connections of one server; see the module comment. */
export class CallerConnections {
  private readonly options: CallerConnectionsOptions;
  private readonly records = new WeakMap<net.Socket, ConnectionRecord>();

  constructor(options: CallerConnectionsOptions) {
    this.options = options;
  }

  /**
   * Tracks the connections of a server.
   *
   * @example
   * ```ts
   * const callers = new callerConnections.CallerConnections(options);
   * callers.track(server);
   * ```
   */
  track(server: http.Server): void {
    // Callers may close their sending side and still wait for the answer.
    Object.assign(server, { httpAllowHalfOpen: true });
    server.on('connection', (socket) => {
      this.recordOf(socket);
    });
    server.on('request', (incoming, outgoing) => {
      const record = this.recordOf(incoming.socket);
      outgoing.on('finish', () => {
        record.knownIndex = this.options.appliedIndex();
        record.answers += 1;
      });
    });
  }

  private recordOf(socket: net.Socket): ConnectionRecord {
    const { appliedIndex, clock } = this.options;
    const record = this.records.get(socket) ?? {
      openedAt: clock.now(),
      knownIndex: appliedIndex(),
      answers: 0,
    };
    this.records.set(socket, record);
    return record;
  }

  /**
   * Returns the caller of an order; the connection is closed after the answer.
   *
   * @example
   * ```ts
   * traffic.evacuateOrRestore(order, callers.callerOf(incoming, outgoing), done);
   * ```
   */
  callerOf(incoming: http.IncomingMessage, outgoing: http.ServerResponse): operatorOrders.OrderCaller {
    // On a reused connection an order would count as older than changes since the last answer on it.
    outgoing.shouldKeepAlive = false;
    const { knownIndex, openedAt, answers } = this.recordOf(incoming.socket);
    const age = this.options.clock.now() - openedAt;
    const { remoteAddress: caller } = incoming.socket;
    return {
      knownIndex,
      hasNewConnection: answers === 0 && age <= NEW_CONNECTION_AGE,
      connection: { caller, connectionAge: Math.round(age), answersBefore: answers },
      checkPresence: (wait, done) => {
        this.checkPresence(incoming, outgoing, wait, done);
      },
    };
  }

  private checkPresence(
    incoming: http.IncomingMessage,
    outgoing: http.ServerResponse,
    wait: ports.Milliseconds,
    done: (isPresent: boolean) => void,
  ): void {
    const { socket, httpVersion } = incoming;
    const watch = (): void => {
      if (socket.destroyed) {
        done(false);
      } else if (!socket.readableEnded) {
        done(true);
      } else if (httpVersion === '1.0') {
        // Clients of this version accept no interim response.
        done(false);
      } else {
        this.probe(outgoing, done);
      }
    };
    if (wait === 0) {
      eventLoop.afterNextPoll(watch);
    } else {
      this.options.scheduler.after(wait, () => {
        eventLoop.afterNextPoll(watch);
      });
    }
  }

  /**
   * Distinguishes a caller that has closed its sending side from one that has closed its connection: the latter answers
   * data with a reset, which the next write reports.
   */
  private probe(outgoing: http.ServerResponse, done: (isPresent: boolean) => void): void {
    outgoing.writeContinue();
    this.options.scheduler.after(RESET_WAIT, () => {
      outgoing.writeContinue();
      eventLoop.afterNextPoll(() => {
        done(outgoing.socket?.destroyed === false);
      });
    });
  }
}
