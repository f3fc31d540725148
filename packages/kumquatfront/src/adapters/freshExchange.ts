/**
 * One HTTP exchange on a connection of its own.
 *
 * Why no kept connections: an upstream may send a second answer late, drop an idle connection unseen, or go
 * silent on an old one; on a connection that serves one request each of these is that request's own failure,
 * and nothing can be mistaken for the next answer. It costs one round trip and a millisecond of set-up.
 */
import * as http from 'node:http';
import * as net from 'node:net';

import type * as ports from '../kernel/ports.js';
import type * as relayTypes from '../relay/types.js';
import * as rawHeaders from './rawHeaders.js';

/**
 * A connection that is not open by then is given up: nothing was sent, so another upstream can be asked. Far
 * above a round trip and a set-up, below the second after which a lost opening packet is sent again.
 */
const CONNECT_TIMEOUT: ports.Milliseconds = 400;

/** The most of an answer's header that is read. */
const MAXIMUM_HEADER_BYTES = 65_536;

/** A request, ready to be written. */
export interface FreshRequest {
  /** `ip:port` */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly relayTypes.Header[];
  readonly body: Uint8Array;
}

/** Hears of the exchange; `end` or `failed` comes last, once, unless it is cancelled. */
export interface FreshListener {
  readonly head: (status: number, headers: readonly relayTypes.Header[]) => void;
  readonly data: (bytes: Uint8Array) => void;
  readonly end: () => void;
  readonly failed: (failure: relayTypes.ExchangeFailure, reason: string) => void;
}

/**
 * Learns, when a connection ends, whether it was reset in truth.
 *
 * When the last bytes and the reset arrive together, the event loop reports a plain end and keeps the error to
 * itself; an answer without a length that was cut in half would be handed over as whole. Writing nothing
 * brings the error out, and sends no byte.
 *
 * @param socket - the connection, which must allow writing after the peer's end
 * @returns calls back with true where it was reset; ask once the end has come
 */
function watchEnd(socket: net.Socket): (done: (reset: boolean) => void) => void {
  let verdict: boolean | undefined;
  let waiting: ((reset: boolean) => void) | undefined;
  socket.prependListener('end', () => {
    socket.write(new Uint8Array(0), (error) => {
      verdict = error !== undefined && error !== null;
      waiting?.(verdict);
    });
  });
  return (done) => {
    if (verdict === undefined) {
      waiting = done;
    } else {
      done(verdict);
    }
  };
}

/** True where an answer says itself where it ends. */
function isFramed(incoming: http.IncomingMessage): boolean {
  const { headers } = incoming;
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/**
 * Sends a request.
 *
 * @param request - what to send, and where
 * @param scheduler - for the timeout of connecting
 * @param listener - hears of the answer
 * @returns cancels the exchange and closes its connection
 * @example
 * ```ts
 * const cancel = freshExchange.send(request, scheduler, listener);
 * ```
 */
export function send(
  request: FreshRequest,
  scheduler: ports.Scheduler,
  listener: FreshListener,
): relayTypes.CancelExchange {
  const colon = request.address.lastIndexOf(':');
  const host = request.address.slice(0, colon);
  const port = Number(request.address.slice(colon + 1));
  let connected = false;
  let done = false;
  let response: http.IncomingMessage | undefined;
  const outgoing = http.request({
    host,
    port,
    method: request.method,
    path: request.path,
    headers: [...request.headers, ['Connection', 'close'] as const].flat(),
    // Kept open for writing after the upstream's end, so that `watchEnd` can tell an end from a reset.
    createConnection: () => net.connect({ host, port, allowHalfOpen: true }),
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
  });
  const settle = (): boolean => {
    if (done) {
      return false;
    }
    done = true;
    cancelConnecting();
    return true;
  };
  const fail = (failure: relayTypes.ExchangeFailure, reason: string): void => {
    if (settle()) {
      listener.failed(failure, reason);
    }
    outgoing.destroy();
  };
  const cancelConnecting = scheduler.after(CONNECT_TIMEOUT, () => {
    fail('notSent', 'the connection did not open in time');
  });
  let ended: (done: (reset: boolean) => void) => void = (end) => {
    end(false);
  };
  outgoing.on('socket', (socket) => {
    ended = watchEnd(socket);
    socket.setNoDelay(true);
    socket.once('connect', () => {
      connected = true;
      cancelConnecting();
    });
  });
  outgoing.on('error', (error: NodeJS.ErrnoException) => {
    // Bytes behind a whole answer belong to no request; the answer itself is sound.
    if (response?.complete === true) {
      return;
    }
    const garbled = error.code?.startsWith('HPE_') === true;
    fail(connected ? (garbled ? 'garbled' : 'broken') : 'notSent', error.message);
  });
  outgoing.on('response', (incoming) => {
    response = incoming;
    if (done) {
      return;
    }
    incoming.on('data', (bytes: Buffer) => {
      if (!done) {
        listener.data(bytes);
      }
    });
    incoming.on('end', () => {
      if (!incoming.complete) {
        fail('broken', 'the answer ended early');
        return;
      }
      const finish = (reset: boolean): void => {
        if (reset) {
          fail('broken', 'the connection was reset');
        } else if (settle()) {
          listener.end();
        }
      };
      if (isFramed(incoming)) {
        finish(false);
      } else {
        ended(finish);
      }
    });
    incoming.on('error', (error) => {
      fail('broken', error.message);
    });
    incoming.on('close', () => {
      if (!incoming.complete) {
        fail('broken', 'the connection closed before the answer was whole');
      }
    });
    listener.head(incoming.statusCode ?? 0, rawHeaders.pairs(incoming.rawHeaders));
  });
  outgoing.on('close', () => {
    if (response === undefined) {
      fail(connected ? 'broken' : 'notSent', 'the connection closed without an answer');
    }
  });
  outgoing.end(request.body);
  return () => {
    settle();
    outgoing.destroy();
  };
}
