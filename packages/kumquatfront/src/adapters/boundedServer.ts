/**
 * Creates the HTTP servers of all listening addresses, so that no client or crowd of them uses up the memory, the descriptors or the
 * processor of a process at any of them.
 */
import * as http from 'node:http';
import type * as net from 'node:net';

import * as byteCollector from '../buffers/byteCollector.js';
import type * as heldRequests from '../callerBounds/heldRequests.js';
import type * as types from '../callerBounds/types.js';
import type * as ports from '../kernel/ports.js';
import * as connectionGate from './connectionGate.js';
import * as lingeringConnections from './lingeringConnections.js';
import * as takenBytes from './takenBytes.js';

/** Interval at which Node.js applies its time limits on heads; 30 s by default. */
const TIME_LIMIT_CHECKS: ports.Milliseconds = 1_000;

/** Share of the connections that may be read after the refusal of a request that has not arrived whole. */
const LINGERING_SHARE = 0.5;

/** Delay for the retry of a refused request: by then the requests that hold the most are gone. */
const RETRY_DELAY_SECONDS = 1;

/** Options of a server. */
export interface BoundedServerOptions {
  /** Name of the listening address, for logs and metrics. */
  readonly listener: string;
  /** Requests held at this process. */
  readonly requests: heldRequests.HeldRequests;
  /** Longest time without a byte of a request, if it is not that of the process. */
  readonly stallTimeout?: () => ports.Milliseconds;
  /** Options of the HTTP server. */
  readonly http?: http.ServerOptions;
}

/** Handles one request. */
export type RequestHandler = (
  incoming: http.IncomingMessage,
  outgoing: http.ServerResponse,
  connection: ServedConnection,
) => void;

const STATUS: Readonly<Partial<Record<types.CloseReason, number>>> = { memory: 503, stalled: 408 };

const MESSAGE: Readonly<Partial<Record<types.CloseReason, string>>> = {
  memory: 'The memory for requests is used up; send the request again.',
  stalled: 'The request did not arrive in time; send it again.',
};

const REFUSAL_HEADERS = {
  Connection: 'close',
  'Content-Type': 'application/json',
  'Retry-After': String(RETRY_DELAY_SECONDS),
};

/** For a request without a time limit, and for the head of the next one. */
const isNeverLate = (): boolean => false;

/** How the body of a request is read. */
export interface BodyOptions {
  /** Size above which `onTooLarge` is called, once, and the rest is ignored. */
  readonly maximumBytes: number;
  /** Whether the request can no longer be served in time; asked while its body arrives. */
  readonly isLate?: () => boolean;
  readonly onComplete: (body: Buffer) => void;
  readonly onTooLarge: () => void;
}

/** What the connections of a server share. */
interface SharedParts {
  readonly turns: connectionGate.ChunkTurns;
  readonly lingering: lingeringConnections.LingeringConnections;
}

/** Refuses a request whose head was not parsed yet. */
function writeRefusal(socket: net.Socket, status: number, body: string): void {
  const head = [
    `HTTP/1.1 ${status} ${http.STATUS_CODES[status] ?? ''}`,
    ...Object.entries(REFUSAL_HEADERS).map(([name, value]) => `${name}: ${value}`),
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
}

/** A connection of a server. */
export class ServedConnection {
  readonly gate: connectionGate.ConnectionGate;
  private readonly held: heldRequests.HeldConnection;
  private readonly lingering: lingeringConnections.LingeringConnections;
  private body = new byteCollector.ByteCollector();
  private isLate = isNeverLate;

  constructor(
    private readonly socket: net.Socket,
    private readonly options: BoundedServerOptions,
    { turns, lingering }: SharedParts,
  ) {
    this.lingering = lingering;
    const { listener, requests, stallTimeout = () => requests.bounds.stallTimeout } = options;
    this.held = requests.openConnection({
      ...{ listener, stallTimeout },
      isLate: () => this.isLate(),
      takenBytes: takenBytes.counter(socket),
      giveUp: (reason) => {
        this.giveUp(reason);
      },
    });
    this.gate = new connectionGate.ConnectionGate(socket, {
      ...{ held: this.held, turns, requestsAhead: requests.bounds.requestsAhead },
      onTooMuchAhead: () => {
        this.giveUp('requestsAhead');
      },
    });
    const destroySoon = socket.destroySoon.bind(socket);
    socket.destroySoon = () => {
      if (this.gate.request?.incoming.complete === false) {
        this.linger();
      } else {
        destroySoon();
      }
    };
    socket.once('close', () => {
      this.body.clear();
      this.held.close();
    });
  }

  private linger(): void {
    this.gate.discard();
    this.lingering.end(this.socket);
  }

  /** Applies the bounds to a request until its answer has ended. */
  track(incoming: http.IncomingMessage, outgoing: http.ServerResponse): void {
    this.gate.begin(incoming, outgoing);
    this.body = new byteCollector.ByteCollector();
    outgoing.once('prefinish', () => {
      this.held.answer(this.socket.writableLength);
    });
    outgoing.once('close', () => {
      this.held.end();
      this.isLate = isNeverLate;
      if (incoming.complete) {
        this.gate.end();
      } else if (!this.socket.writableEnded && !this.socket.destroyed) {
        // Nobody reads the rest of the body.
        this.options.requests.recordClose(this.options.listener, 'bodyUnread');
        this.linger();
      }
    });
  }

  /**
   * Reads the body of a request.
   *
   * @example
   * ```ts
   * connection.readBody({ incoming, outgoing }, { maximumBytes: 4_194_304, onComplete, onTooLarge });
   * ```
   */
  readBody(
    { incoming, outgoing }: connectionGate.CurrentRequest,
    { maximumBytes, isLate = isNeverLate, onComplete, onTooLarge }: BodyOptions,
  ): void {
    const { body } = this;
    this.isLate = isLate;
    let isTooLarge = false;
    incoming.on('data', (bytes: Buffer) => {
      this.gate.countChunk();
      if (isTooLarge) {
        return;
      }
      if (body.size + bytes.length > maximumBytes) {
        isTooLarge = true;
        body.clear();
        this.gate.discard();
        onTooLarge();
        return;
      }
      const growth = body.append(bytes);
      if (growth > 0) {
        this.held.grow(growth);
      }
    });
    incoming.on('end', () => {
      // The last chunks are read after the parser has seen the end of the body.
      this.held.serve();
      if (!isTooLarge && !outgoing.headersSent && !outgoing.destroyed) {
        onComplete(body.takeContent());
      }
    });
  }

  /** Refuses a request that has arrived in part, and closes the connection. */
  giveUp(reason: types.CloseReason): void {
    const { request } = this.gate;
    const status = STATUS[reason];
    this.body.clear();
    this.gate.discard();
    this.held.end();
    if (
      request?.incoming.complete === true ||
      request?.outgoing.headersSent === true ||
      status === undefined ||
      !this.socket.writable
    ) {
      this.close(reason);
      return;
    }
    this.options.requests.recordClose(this.options.listener, reason);
    const body = JSON.stringify({ error: MESSAGE[reason] });
    if (request === undefined) {
      writeRefusal(this.socket, status, body);
      this.linger();
      return;
    }
    request.outgoing.writeHead(status, REFUSAL_HEADERS);
    request.outgoing.end(body);
  }

  /** Closes the connection at once. */
  close(reason: types.CloseReason): void {
    this.options.requests.recordClose(this.options.listener, reason);
    this.socket.destroy();
  }
}

/** Connections of one server, the one unused for longest first. */
class ConnectionTable {
  private readonly connections = new Map<net.Socket, ServedConnection>();

  constructor(
    private readonly maximum: number,
    private readonly lingering: lingeringConnections.LingeringConnections,
  ) {}

  get(socket: net.Socket): ServedConnection | undefined {
    return this.connections.get(socket);
  }

  /** Adds a connection; closes another one if there are too many. */
  add(socket: net.Socket, connection: ServedConnection): void {
    if (this.connections.size >= this.maximum) {
      this.makeRoom(connection);
    }
    this.connections.set(socket, connection);
    socket.once('close', () => {
      this.connections.delete(socket);
    });
  }

  /** Marks a connection as used. */
  touch(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) {
      this.connections.delete(socket);
      this.connections.set(socket, connection);
    }
  }

  private makeRoom(newest: ServedConnection): void {
    if (this.lingering.closeOldest()) {
      return;
    }
    let unused: ServedConnection | undefined;
    for (const connection of this.connections.values()) {
      if (connection.gate.isServing) {
        continue;
      }
      if (connection.gate.answers === 0) {
        connection.close('connections');
        return;
      }
      unused ??= connection;
    }
    (unused ?? newest).close('connections');
  }
}

/**
 * Creates a server.
 *
 * @param options - name of the listening address, and the requests held at the process
 * @param handler - handles each request
 * @returns the server, not yet listening
 * @example
 * ```ts
 * boundedServer.create({ listener: 'metrics', requests }, sendMetrics).listen(9464, '10.1.0.19');
 * ```
 */
export function create(options: BoundedServerOptions, handler: RequestHandler): http.Server {
  const turns = new connectionGate.ChunkTurns();
  const { connections } = options.requests.bounds;
  const lingering = new lingeringConnections.LingeringConnections(connections * LINGERING_SHARE);
  const table = new ConnectionTable(connections, lingering);
  const server = http.createServer({ connectionsCheckingInterval: TIME_LIMIT_CHECKS, ...options.http });
  server.on('connection', (socket: net.Socket) => {
    table.add(socket, new ServedConnection(socket, options, { turns, lingering }));
  });
  server.on('request', (incoming, outgoing) => {
    const connection = table.get(incoming.socket);
    if (connection !== undefined) {
      table.touch(incoming.socket);
      connection.track(incoming, outgoing);
      handler(incoming, outgoing, connection);
    }
  });
  return server;
}
