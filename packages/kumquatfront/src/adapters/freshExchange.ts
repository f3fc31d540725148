/**
 * One HTTP exchange on a connection of its own.
 *
 * Why no kept connections: an upstream may send a second answer late, drop an idle connection unseen, or go
 * silent on an old one; on a connection that serves one request each of these is that request's own failure,
 * and nothing can be mistaken for the next answer. It costs one round trip and a millisecond of set-up.
 */
import * as http from 'node:http';

import type * as ports from '../kernel/ports.js';
import type * as relayTypes from '../relay/types.js';

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

function pairs(raw: readonly string[]): readonly relayTypes.Header[] {
  const headers: relayTypes.Header[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    headers.push([raw[index] ?? '', raw[index + 1] ?? '']);
  }
  return headers;
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
  let connected = false;
  let done = false;
  let response: http.IncomingMessage | undefined;
  const outgoing = http.request({
    host: request.address.slice(0, colon),
    port: Number(request.address.slice(colon + 1)),
    method: request.method,
    path: request.path,
    headers: [...request.headers, ['Connection', 'close'] as const].flat(),
    agent: false,
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
  outgoing.on('socket', (socket) => {
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
      } else if (settle()) {
        listener.end();
      }
    });
    incoming.on('error', (error) => {
      fail('broken', error.message);
    });
    incoming.on('close', () => {
      fail('broken', 'the connection closed before the answer was whole');
    });
    listener.head(incoming.statusCode ?? 0, pairs(incoming.rawHeaders));
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
