/**
 * HTTP client that sends each request on a new connection.
 *
 * Connections are not reused: a late duplicate response, a silently dropped idle connection or an unresponsive old
 * one then affects only the request it belongs to, and no response can be mistaken for that of the next request.
 */
import * as http from 'node:http';
import * as net from 'node:net';

import * as piecePace from '../flowControl/piecePace.js';
import type * as ports from '../kernel/ports.js';
import type * as relayTypes from '../relay/types.js';
import * as unsentExchange from '../relay/unsentExchange.js';
import * as pausableSocket from './pausableSocket.js';
import * as readPieces from './readPieces.js';
import * as responseHead from './responseHead.js';
import * as responseMonitor from './responseMonitor.js';
import * as systemTime from './systemTime.js';

/** Connecting is aborted after this time; nothing was sent, so another upstream can be tried. */
const CONNECT_TIMEOUT: ports.Milliseconds = 400;

/** Maximum size of a response header. */
const MAXIMUM_HEADER_BYTES = 65_536;

/** The pace of all connections to upstreams of this process. */
const processPace = new piecePace.PiecePace(systemTime.clock, systemTime.scheduler);

/** A request to an upstream. */
export interface OutgoingRequest {
  /** `ip:port` */
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly relayTypes.Header[];
  readonly body: Uint8Array;
}

/** Receives the events of an exchange; unless it is cancelled, the last one is a single `end` or `failed`. */
export interface ConnectionListener {
  readonly head: (
    status: number,
    headers: readonly relayTypes.Header[],
    framing: relayTypes.BodyFraming,
  ) => void;
  readonly data: (bytes: Uint8Array) => void;
  /** The process does not read the response for now, or reads it again. */
  readonly held?: (isHeld: boolean) => void;
  readonly end: () => void;
  readonly failed: (failure: relayTypes.ExchangeFailure, reason: string) => void;
}

/**
 * Detects whether a connection that reported its end was in fact reset.
 *
 * Safeguard: when the last bytes and a reset arrive together, Node.js reports only an end, and a truncated response
 * without a length would be taken as complete. A write of zero bytes exposes the error without sending anything.
 *
 * @param socket - the connection, opened with `allowHalfOpen`
 * @returns a function that calls back with true if the connection was reset; call it after the end event
 */
function detectReset(socket: net.Socket): (done: (reset: boolean) => void) => void {
  let wasReset: boolean | undefined;
  let pendingCallback: ((reset: boolean) => void) | undefined;
  socket.prependListener('end', () => {
    socket.write(new Uint8Array(0), (error) => {
      wasReset = error !== undefined && error !== null;
      pendingCallback?.(wasReset);
    });
  });
  return (done) => {
    if (wasReset === undefined) {
      pendingCallback = done;
    } else {
      done(wasReset);
    }
  };
}

/** Opens the connection and queues the request on it; throws if HTTP cannot represent a part of the request. */
function open(request: OutgoingRequest, socket: net.Socket): http.ClientRequest {
  const colon = request.address.lastIndexOf(':');
  const host = request.address.slice(0, colon).replace(/^\[(.*)\]$/, '$1');
  const port = Number(request.address.slice(colon + 1));
  const outgoing = http.request({
    host,
    port,
    method: request.method,
    path: request.path,
    headers: [...request.headers, ['Connection', 'close'] as const].flat(),
    createConnection: () => socket.connect({ host, port }),
    maxHeaderSize: MAXIMUM_HEADER_BYTES,
    // The environment of the process may loosen its parser.
    insecureHTTPParser: false,
  });
  outgoing.end(request.body);
  return outgoing;
}

/** Reports a request that cannot be encoded once the caller of `send` has returned, as every other failure. */
function failAsWithheld(
  error: unknown,
  scheduler: ports.Scheduler,
  listener: ConnectionListener,
): relayTypes.UpstreamExchange {
  const reason = error instanceof Error ? error.message : String(error);
  const cancel = scheduler.after(0, () => {
    listener.failed('withheld', `the request cannot be sent: ${reason}`);
  });
  return unsentExchange.create(cancel);
}

/**
 * Sends a request on a new connection.
 *
 * @param request - the request and the address of the upstream
 * @param pace - the pace at which the response is read if it comes in many pieces
 * @returns controls the exchange
 * @example
 * ```ts
 * const exchange = singleUseConnection.send(request, scheduler, listener);
 * ```
 */
export function send(
  request: OutgoingRequest,
  scheduler: ports.Scheduler,
  listener: ConnectionListener,
  pace: piecePace.PiecePace = processPace,
): relayTypes.UpstreamExchange {
  let connected = false;
  let settled = false;
  let response: http.IncomingMessage | undefined;
  let monitor: responseMonitor.ResponseMonitor | undefined;
  const pieces = new readPieces.ReadPieces((bytes, count) => {
    if (paced.count(count)) {
      connection.pauseReads('pace');
      tellHeld(true);
    }
    if (!settled) {
      listener.data(bytes);
    }
  });
  // Half-open, so that `detectReset` can write after the upstream has ended its side.
  const connection = new pausableSocket.PausableSocket(() => {
    pieces.flush();
  });
  const tellHeld = (isHeld: boolean): void => {
    if (!settled) {
      listener.held?.(isHeld);
    }
  };
  const paced = pace.openConnection({
    isOpen: () => !connection.destroyed,
    resume: () => {
      tellHeld(false);
      connection.resumeReads('pace');
    },
  });
  let outgoing: http.ClientRequest;
  try {
    outgoing = open(request, connection);
  } catch (error) {
    return failAsWithheld(error, scheduler, listener);
  }
  const settle = (): boolean => {
    if (settled) {
      return false;
    }
    settled = true;
    cancelConnecting();
    monitor?.stop();
    return true;
  };
  const fail = (kind: relayTypes.ExchangeFailure, reason: string): void => {
    pieces.flush();
    if (settle()) {
      listener.failed(kind, reason);
    }
    outgoing.destroy();
  };
  const cancelConnecting = scheduler.after(CONNECT_TIMEOUT, () => {
    fail('notSent', 'the connection was not established in time');
  });
  let checkReset: (done: (reset: boolean) => void) => void = (done) => {
    done(false);
  };
  outgoing.on('socket', (socket) => {
    checkReset = detectReset(socket);
    monitor = new responseMonitor.ResponseMonitor(socket, scheduler, (reason) => {
      // Bytes after a complete response belong to no request.
      if (response?.complete !== true) {
        fail('garbled', reason);
      }
    });
    socket.setNoDelay(true);
    socket.once('connect', () => {
      connected = true;
      cancelConnecting();
    });
  });
  outgoing.on('error', (error: NodeJS.ErrnoException) => {
    // Extra bytes after a complete response belong to no request; the response itself is valid.
    if (response?.complete === true) {
      return;
    }
    const isParseError = error.code?.startsWith('HPE_') === true;
    fail(connected ? (isParseError ? 'garbled' : 'broken') : 'notSent', error.message);
  });
  outgoing.on('information', () => {
    monitor?.recordInterimResponse();
  });
  outgoing.on('response', (incoming) => {
    response = incoming;
    monitor?.recordHead();
    if (settled) {
      return;
    }
    const head = responseHead.check(request.method, incoming);
    if (head.err) {
      fail('garbled', head.val);
      return;
    }
    const { status, headers, framing } = head.val;
    incoming.on('data', (bytes: Buffer) => {
      monitor?.recordBody(bytes.length);
      if (!settled) {
        pieces.add(bytes);
      }
    });
    incoming.on('end', () => {
      pieces.flush();
      if (!incoming.complete) {
        fail('broken', 'the response ended early');
        return;
      }
      const finish = (reset: boolean): void => {
        if (reset) {
          fail('broken', 'the connection was reset');
        } else if (settle()) {
          listener.end();
        }
      };
      if (framing === 'connection') {
        checkReset(finish);
      } else {
        finish(false);
      }
    });
    incoming.on('error', (error) => {
      fail('broken', error.message);
    });
    incoming.on('close', () => {
      if (!incoming.complete) {
        fail('broken', 'the connection closed before the response was complete');
      }
    });
    listener.head(status, headers, framing);
  });
  outgoing.on('close', () => {
    if (response === undefined) {
      fail(connected ? 'broken' : 'notSent', 'the connection closed without a response');
    }
  });
  return {
    cancel: () => {
      pieces.clear();
      settle();
      outgoing.destroy();
    },
    pause: () => {
      connection.pauseReads('receiver');
    },
    resume: () => {
      connection.resumeReads('receiver');
    },
    readToEnd: () => {
      paced.lift();
    },
  };
}
