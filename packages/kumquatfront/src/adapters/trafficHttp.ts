/**
 * HTTP server for requests that are read whole and relayed. What a request's headers mean is told by a
 * decoder, and how a refusal looks by an encoder; this module knows HTTP only.
 */
import * as http from 'node:http';

import type * as ports from '../kernel/ports.js';
import type * as relayTypes from '../relay/types.js';
import type * as trafficTypes from '../traffic/types.js';
import * as rawHeaders from './rawHeaders.js';

/** Limits before the first configuration: those of common HTTP servers. */
const FIRST_LIMITS: trafficTypes.CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeout: 5_000,
  idleTimeout: 15_000,
};

/** The most of a request's header that is ever read; a configured limit below it is checked besides. */
const MAXIMUM_HEADER_BYTES = 65_536;

/** A kept connection stays open a little longer than callers are told, so that no request crosses its close. */
const IDLE_MARGIN: ports.Milliseconds = 1_000;

/** A request as HTTP gives it. */
export interface RawRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: readonly relayTypes.Header[];
  readonly body: Uint8Array;
  readonly arrivedAt: ports.Milliseconds;
}

/** How a refusal looks on the wire. */
export interface RefusalAnswer {
  readonly status: number;
  readonly headers: readonly relayTypes.Header[];
  readonly body: string;
}

/** What the server is made from. */
export interface TrafficHttpOptions {
  readonly clock: ports.Clock;
  readonly log: ports.Log;
  readonly limits: () => trafficTypes.CallerLimits | undefined;
  /** True once callers should go elsewhere: kept connections are closed behind their next answer. */
  readonly draining: () => boolean;
  readonly decode: (raw: RawRequest) => relayTypes.TrafficRequest;
  readonly encodeRefusal: (request: relayTypes.TrafficRequest, refusal: relayTypes.Refusal) => RefusalAnswer;
  readonly handle: (request: relayTypes.TrafficRequest, caller: relayTypes.CallerPort) => void;
}

/** The server, with the limits of the newest configuration put in force on demand. */
export interface TrafficServer {
  readonly server: http.Server;
  /** Puts the limits of a new configuration in force. */
  refreshLimits(): void;
}

/**
 * Creates the server.
 *
 * @param options - decoder, encoder and handler
 * @returns the server; call `listen` on it
 * @example
 * ```ts
 * const { server } = trafficHttp.create(options);
 * server.listen(8740, '10.1.0.19');
 * ```
 */
export function create(options: TrafficHttpOptions): TrafficServer {
  const server = http.createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES }, (incoming, outgoing) => {
    receive(options, incoming, outgoing);
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const status =
      error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request';
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  });
  const refreshLimits = (): void => {
    const limits = options.limits() ?? FIRST_LIMITS;
    server.headersTimeout = limits.headerTimeout;
    server.keepAliveTimeout = limits.idleTimeout + IDLE_MARGIN;
  };
  // A body may come slowly; its caller's own deadline ends it.
  server.requestTimeout = 0;
  refreshLimits();
  return { server, refreshLimits };
}

function refuseEarly(outgoing: http.ServerResponse, status: number, message: string): void {
  outgoing.writeHead(status, { Connection: 'close', 'Content-Type': 'application/json' });
  outgoing.end(JSON.stringify({ error: message }));
}

function receive(
  options: TrafficHttpOptions,
  incoming: http.IncomingMessage,
  outgoing: http.ServerResponse,
): void {
  const limits = options.limits() ?? FIRST_LIMITS;
  const arrivedAt = options.clock.now();
  const headerBytes = incoming.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
  if (headerBytes > limits.headerBytes) {
    refuseEarly(outgoing, 431, `The header has more than ${limits.headerBytes} bytes; send less.`);
    return;
  }
  if (Number(incoming.headers['content-length'] ?? 0) > limits.bodyBytes) {
    refuseEarly(outgoing, 413, `The body has more than ${limits.bodyBytes} bytes; send less.`);
    return;
  }
  const chunks: Buffer[] = [];
  let length = 0;
  incoming.on('data', (bytes: Buffer) => {
    length += bytes.length;
    if (length <= limits.bodyBytes) {
      chunks.push(bytes);
    } else if (!outgoing.headersSent) {
      refuseEarly(outgoing, 413, `The body has more than ${limits.bodyBytes} bytes; send less.`);
    }
  });
  incoming.on('error', (error) => {
    options.log.debug('requestBroken', { reason: error.message });
  });
  incoming.on('end', () => {
    if (outgoing.headersSent || outgoing.destroyed) {
      return;
    }
    const request = options.decode({
      method: incoming.method ?? 'GET',
      url: incoming.url ?? '/',
      headers: rawHeaders.pairs(incoming.rawHeaders),
      body: Buffer.concat(chunks),
      arrivedAt,
    });
    options.handle(request, createCaller(options, request, outgoing));
  });
}

function createCaller(
  options: TrafficHttpOptions,
  request: relayTypes.TrafficRequest,
  outgoing: http.ServerResponse,
): relayTypes.CallerPort {
  const writeHead = (status: number, headers: readonly relayTypes.Header[]): void => {
    // Set before the head is written: Node names its own keep-alive and would leave the connection open.
    outgoing.shouldKeepAlive = outgoing.shouldKeepAlive && !options.draining();
    for (const [name, value] of headers) {
      outgoing.appendHeader(name, value);
    }
    outgoing.writeHead(status);
  };
  const withoutLength = (headers: readonly relayTypes.Header[]): readonly relayTypes.Header[] =>
    headers.filter(([name]) => name.toLowerCase() !== 'content-length');
  return {
    refuse: (refusal) => {
      const { status, headers, body } = options.encodeRefusal(request, refusal);
      writeHead(status, [...headers, ['Content-Length', String(Buffer.byteLength(body))]]);
      outgoing.end(body);
    },
    whole: (head, body) => {
      if (request.method === 'HEAD') {
        writeHead(head.status, head.headers);
        outgoing.end();
        return;
      }
      writeHead(head.status, [...withoutLength(head.headers), ['Content-Length', String(body.length)]]);
      outgoing.end(body);
    },
    begin: (head) => {
      writeHead(head.status, withoutLength(head.headers));
      outgoing.flushHeaders();
    },
    write: (bytes) => {
      outgoing.write(bytes);
    },
    end: () => {
      outgoing.end();
    },
    abort: () => {
      outgoing.destroy();
    },
    onGone: (gone) => {
      outgoing.on('close', () => {
        if (!outgoing.writableFinished) {
          gone();
        }
      });
    },
  };
}
