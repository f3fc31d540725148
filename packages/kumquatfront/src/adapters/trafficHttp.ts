/**
 * HTTP server that buffers the requests of callers and passes them to a relay. A decoder interprets the headers of
 * requests and an encoder formats refusals; this module handles HTTP only.
 */
import type * as http from 'node:http';

import type * as heldRequests from '../callerBounds/heldRequests.js';
import type * as entryLoad from '../entryLoad/entryLoad.js';
import * as heapShedding from '../heldMemory/heapShedding.js';
import type * as ports from '../kernel/ports.js';
import type * as relayTypes from '../relay/types.js';
import type * as trafficTypes from '../traffic/types.js';
import * as boundedServer from './boundedServer.js';
import * as connectionReset from './connectionReset.js';
import type * as httpMessages from './httpMessages.js';
import * as rawHeaders from './rawHeaders.js';
import * as requestsAfterPause from './requestsAfterPause.js';
import * as takenBytes from './takenBytes.js';

/** Limits that apply until a configuration is loaded. */
const DEFAULT_LIMITS: trafficTypes.CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerTimeout: 5_000,
  idleTimeout: 15_000,
};

/** Maximum header size that the HTTP parser accepts; the configured limit is checked in addition. */
const MAXIMUM_HEADER_BYTES = 65_536;

/** Added to the idle timeout announced to callers, so that no request arrives while the connection is closed. */
const KEEP_ALIVE_MARGIN: ports.Milliseconds = 1_000;

/** Refusal of a request while the heap is nearly full. */
const NEAR_HEAP_LIMIT: relayTypes.Refusal = {
  reason: 'overloaded',
  message: 'the memory of this entry is nearly full',
  retryAfter: heapShedding.RETRY_DELAY,
  closesConnection: true,
};

const NO_BODY = new Uint8Array(0);

/** A received HTTP request before decoding. */
export interface RawRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: readonly relayTypes.Header[];
  readonly body: Uint8Array;
  readonly arrivedAt: ports.Milliseconds;
}

/** HTTP response for a refused request. */
export interface RefusalResponse {
  readonly status: number;
  readonly headers: readonly relayTypes.Header[];
  readonly body: string;
}

/** Options of the server. */
export interface TrafficHttpOptions extends requestsAfterPause.PauseOptions {
  readonly clock: ports.Clock;
  readonly limits: () => trafficTypes.CallerLimits | undefined;
  /** True while the entry drains: keep-alive connections are closed after their next response. */
  readonly isDraining: () => boolean;
  readonly decode: (raw: RawRequest) => relayTypes.TrafficRequest;
  readonly encodeRefusal: (
    request: relayTypes.TrafficRequest,
    refusal: relayTypes.Refusal,
  ) => RefusalResponse;
  readonly handle: (request: relayTypes.TrafficRequest, caller: relayTypes.CallerPort) => void;
  /** Requests held at this process. */
  readonly requests: heldRequests.HeldRequests;
  /** Time from the arrival of a request after which it can no longer be served; undefined if there is none. */
  readonly timeLimit?: (request: relayTypes.TrafficRequest) => ports.Milliseconds | undefined;
  /** Registers a callback for the moment shortly before this process is killed; undefined if it is not known. */
  readonly whenStopImminent?: (callback: () => void) => ports.Cancel;
  /** Load of the entry; undefined if it is not measured. */
  readonly load?: entryLoad.EntryLoad | undefined;
  /** Whether a new request must be refused because the heap is nearly full; asked once for each. */
  readonly refusesNew?: () => boolean;
}

/** An HTTP server whose limits can be updated from the configuration. */
export interface TrafficServer {
  readonly server: http.Server;
  /** Applies the limits of the current configuration. */
  refreshLimits(): void;
}

/**
 * Creates the HTTP server.
 *
 * @param options - limits, decoder, encoder and request handler
 * @returns the server, not yet listening
 * @example
 * ```ts
 * const { server } = trafficHttp.create(options);
 * server.listen(8740, '10.1.0.19');
 * ```
 */
export function create(options: TrafficHttpOptions): TrafficServer {
  const server = boundedServer.create(
    {
      ...{ listener: 'callers', requests: options.requests },
      http: { maxHeaderSize: MAXIMUM_HEADER_BYTES },
      stallTimeout: () => stallTimeout(options),
    },
    (incoming, outgoing, connection) => {
      receiveRequest(options, { incoming, outgoing, connection });
    },
  );
  server.on('connection', (socket) => {
    const closed = options.load?.openConnection();
    if (closed !== undefined) {
      socket.once('close', closed);
    }
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
    const limits = options.limits() ?? DEFAULT_LIMITS;
    server.headersTimeout = limits.headerTimeout;
    server.keepAliveTimeout = limits.idleTimeout + KEEP_ALIVE_MARGIN;
  };
  // A slow body is limited by the deadline of its request and by the time without a byte instead.
  server.requestTimeout = 0;
  refreshLimits();
  return { server, refreshLimits };
}

function rejectRequest(outgoing: http.ServerResponse, status: number, message: string): void {
  outgoing.writeHead(status, { Connection: 'close', 'Content-Type': 'application/json' });
  outgoing.end(JSON.stringify({ error: message }));
}

/** A caller may pause for as long as it may stay idle. */
function stallTimeout({ limits, requests }: TrafficHttpOptions): ports.Milliseconds {
  const idleTimeout = (limits() ?? DEFAULT_LIMITS).idleTimeout + KEEP_ALIVE_MARGIN;
  return Math.max(requests.bounds.stallTimeout, idleTimeout);
}

function receiveRequest(options: TrafficHttpOptions, served: httpMessages.ServedRequest): void {
  const { incoming, outgoing, connection } = served;
  const limits = options.limits() ?? DEFAULT_LIMITS;
  const arrivedAt = options.clock.now();
  const headerBytes = incoming.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
  if (headerBytes > limits.headerBytes) {
    rejectRequest(outgoing, 431, `The header has more than ${limits.headerBytes} bytes; send less.`);
    return;
  }
  const rejectTooLarge = (): void => {
    rejectRequest(outgoing, 413, `The body has more than ${limits.bodyBytes} bytes; send less.`);
  };
  if (Number(incoming.headers['content-length'] ?? 0) > limits.bodyBytes) {
    rejectTooLarge();
    return;
  }
  incoming.on('error', (error) => {
    options.log.debug('requestBroken', { reason: error.message });
  });
  const decode = (body: Uint8Array): relayTypes.TrafficRequest =>
    options.decode({
      method: incoming.method ?? 'GET',
      url: incoming.url ?? '/',
      headers: rawHeaders.toPairs(incoming.rawHeaders),
      body,
      arrivedAt,
    });
  if (options.refusesNew?.() === true) {
    const request = decode(NO_BODY);
    createCaller(options, request, incoming, outgoing).refuse(NEAR_HEAP_LIMIT);
    return;
  }
  connection.readBody(served, {
    maximumBytes: limits.bodyBytes,
    isLate: () => {
      const timeLimit = options.timeLimit?.(decode(NO_BODY)) ?? Number.POSITIVE_INFINITY;
      return options.clock.now() - arrivedAt > timeLimit;
    },
    onComplete: (body) => {
      requestsAfterPause.whileCallerWaits(options, incoming, () => {
        options.load?.addBytes(headerBytes + body.length);
        const request = decode(body);
        const caller = createCaller(options, request, incoming, outgoing);
        if (options.refusesNew?.() === true) {
          caller.refuse(NEAR_HEAP_LIMIT);
        } else {
          options.handle(request, caller);
        }
      });
    },
    onTooLarge: rejectTooLarge,
  });
}

function createCaller(
  options: TrafficHttpOptions,
  request: relayTypes.TrafficRequest,
  incoming: http.IncomingMessage,
  outgoing: http.ServerResponse,
): relayTypes.CallerPort {
  const { load } = options;
  const { socket } = incoming;
  const abort = (): void => {
    connectionReset.abort(outgoing, socket);
  };
  const reader = load?.readers.track({
    request: request.identity,
    unreadBytes: () => outgoing.writableLength,
    queuedBytes: () => takenBytes.queued(socket),
    disconnect: abort,
  });
  const ended = load?.openRequest();
  let cancelStop: ports.Cancel | undefined;
  outgoing.once('close', () => {
    reader?.remove();
    ended?.();
    cancelStop?.();
  });
  /** A kill ends the connections of the process in the ordinary way, which would complete an answer that nothing else ends. */
  const abortBeforeStop = (): void => {
    cancelStop = options.whenStopImminent?.(abort);
  };
  const writeHead = (
    status: number,
    headers: readonly relayTypes.Header[],
    framing: relayTypes.BodyFraming,
    isComplete = true,
  ): void => {
    if (framing === 'connection') {
      // No more is claimed than is known: only the connection ends this answer, as it ended that of the upstream.
      outgoing.shouldKeepAlive = false;
      outgoing.useChunkedEncodingByDefault = false;
    }
    // Must be set before the headers are written, since Node.js then decides whether to keep the connection open.
    outgoing.shouldKeepAlive = outgoing.shouldKeepAlive && !options.isDraining();
    if (isComplete && outgoing.shouldKeepAlive && load?.shouldClose() === true) {
      outgoing.shouldKeepAlive = false;
    }
    for (const [name, value] of headers) {
      outgoing.appendHeader(name, value);
    }
    outgoing.writeHead(status);
    if (!outgoing.chunkedEncoding && !outgoing.hasHeader('content-length')) {
      abortBeforeStop();
    }
  };
  const withoutLength = (headers: readonly relayTypes.Header[]): readonly relayTypes.Header[] =>
    headers.filter(([name]) => name.toLowerCase() !== 'content-length');
  return {
    refuse: (refusal) => {
      const { status, headers, body } = options.encodeRefusal(request, refusal);
      outgoing.shouldKeepAlive = outgoing.shouldKeepAlive && refusal.closesConnection !== true;
      writeHead(status, [...headers, ['Content-Length', String(Buffer.byteLength(body))]], 'length');
      load?.addBytes(body.length);
      outgoing.end(body);
    },
    respond: (head, body) => {
      if (request.method === 'HEAD') {
        writeHead(head.status, head.headers, 'length');
        outgoing.end();
        return;
      }
      const headers = withoutLength(head.headers);
      const length: relayTypes.Header = ['Content-Length', String(body.length)];
      writeHead(head.status, head.framing === 'connection' ? headers : [...headers, length], head.framing);
      load?.addBytes(body.length);
      outgoing.end(body);
    },
    begin: (head) => {
      // Chunks also where the upstream sends none: a crash of this process is then told from the end of the stream.
      writeHead(head.status, withoutLength(head.headers), 'chunked', false);
      outgoing.flushHeaders();
    },
    write: (bytes) => {
      load?.addBytes(bytes.length);
      const send = (): boolean => outgoing.write(bytes);
      return reader === undefined ? send() : reader.write(send);
    },
    onDrain: (callback) => {
      outgoing.on('drain', callback);
    },
    takenBytes: takenBytes.counter(socket),
    end: () => {
      outgoing.end();
    },
    abort,
    onDisconnect: (callback) => {
      outgoing.on('close', () => {
        if (!outgoing.writableFinished) {
          callback();
        }
      });
    },
  };
}
