/**
 * Peer transport: JSON-RPC 2.0 over TCP with one JSON text per line, after mutual authentication with the cluster
 * key.
 */
import * as net from 'node:net';

import * as jsonRpc from 'json-rpc-2.0';

import type * as heldMemoryTypes from '../heldMemory/types.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as maximum from '../utils/maximum.js';
import * as countedWarnings from './countedWarnings.js';
import * as lineSocket from './lineSocket.js';
import * as messageMemory from './messageMemory.js';
import * as peerAuthentication from './peerAuthentication.js';
import * as peerRequests from './peerRequests.js';
import * as unprovenConnections from './unprovenConnections.js';

/** Options of the transport. */
export interface JsonRpcTransportOptions {
  readonly clusterKey: string;
  readonly scheduler: ports.Scheduler;
  readonly log: ports.Log;
}

/** A peer transport that also accepts connections. */
export interface JsonRpcTransport extends ports.PeerTransport {
  /** Listens on `ip:port` and calls back with the bound port; port 0 selects a free one. */
  listen(address: string, done: (port: number) => void): void;
  /** Total bytes sent and received since the transport was created. */
  byteCounts(): { readonly sent: number; readonly received: number };
  /** Messages that have arrived in part, or are not sent yet, and requests that wait for a response. */
  held(): heldMemoryTypes.Held;
  close(): void;
}

/**
 * Connecting is aborted after this time, and the next message opens a new connection. Shorter than the kernel's SYN
 * retransmission delay of a second, so that processes that restart together do not wait that long for each other.
 */
const CONNECT_TIMEOUT = 250;

/** Maximum time from an open connection to the end of its authentication, on the connecting side. */
const HANDSHAKE_TIMEOUT = 1_000;
/** Maximum time for a peer to authenticate, on the accepting side. */
const AUTHENTICATION_TIMEOUT = 2_000;

/** Interval between liveness probes on a connection in use. */
const PROBE_INTERVAL = 400;

/**
 * A connection on which no data arrives within this time after a probe is closed, and the next message opens a new
 * one. Otherwise messages on a connection that stopped working without a reset would be lost unnoticed.
 */
const PROBE_TIMEOUT = 1_000;
const PROBE_METHOD = 'transport.probe';

/** The response to a probe counts as data that arrives. */
const ignoreResponse = (): void => undefined;

function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** One line for a crowd: its connections, and the address that had the most of them. */
function summary(counts: ReadonlyMap<string, number>): ports.LogFields {
  const [address = ''] = maximum.by(counts, ([, count]) => count) ?? [];
  const connections = [...counts.values()].reduce((sum, count) => sum + count, 0);
  return { address, connections, addresses: counts.size };
}

/** Options of an outgoing connection. */
interface ConnectionOptions {
  readonly clusterKey: string;
  readonly scheduler: ports.Scheduler;
  readonly memory: messageMemory.MessageMemory;
  /** A message was dropped, because too much waits. */
  readonly onDropped: () => void;
  readonly onClose: () => void;
}

/** An outgoing connection to one peer; messages are queued until both sides are authenticated. */
class PeerConnection {
  readonly requests: peerRequests.PeerRequests;
  readonly socket: net.Socket;
  private readonly lines: lineSocket.LineSocket;
  private readonly clusterKey: string;
  private readonly clientNonce = peerAuthentication.createNonce();
  private serverNonce = '';
  private authenticated = false;
  private readonly scheduler: ports.Scheduler;
  private readonly onDropped: () => void;
  private sentSinceProbe = false;
  private bytesAtProbe = 0;
  private cancelProbe: ports.Cancel = () => undefined;
  private cancelOpenTimeout: ports.Cancel = () => undefined;

  constructor(
    private readonly address: string,
    { clusterKey, scheduler, memory, onDropped, onClose }: ConnectionOptions,
  ) {
    this.clusterKey = clusterKey;
    this.scheduler = scheduler;
    this.onDropped = onDropped;
    this.requests = new peerRequests.PeerRequests(scheduler, (text) => {
      this.send(text);
    });
    this.socket = net.connect(splitAddress(address));
    const account = memory.open(() => {
      onDropped();
      this.lines.close();
    });
    this.lines = new lineSocket.LineSocket(this.socket, account, (line) => {
      this.onLine(line);
    });
    this.cancelOpenTimeout = scheduler.after(CONNECT_TIMEOUT, () => {
      this.socket.destroy();
    });
    this.socket.on('connect', () => {
      this.cancelOpenTimeout();
      this.cancelOpenTimeout = scheduler.after(HANDSHAKE_TIMEOUT, () => {
        this.socket.destroy();
      });
    });
    this.socket.on('error', () => undefined);
    this.scheduleProbe();
    this.socket.on('close', () => {
      this.cancelOpenTimeout();
      this.cancelProbe();
      this.requests.failAll('the connection was closed');
      onClose();
    });
  }

  /** What is not sent yet, what has arrived in part, and the requests that wait for a response. */
  held(): heldMemoryTypes.Held {
    const { bytes, pieces } = this.lines.held();
    const waiting = this.requests.held();
    return { bytes, pieces: pieces + waiting.pieces, heapBytes: waiting.heapBytes };
  }

  private scheduleProbe(): void {
    this.cancelProbe = this.scheduler.after(PROBE_INTERVAL, () => {
      if (!this.authenticated || !this.sentSinceProbe) {
        this.scheduleProbe();
        return;
      }
      const { address } = this;
      const probe = { address, method: PROBE_METHOD, parameters: [], timeout: PROBE_TIMEOUT };
      this.requests.send(probe, ignoreResponse);
      this.sentSinceProbe = false;
      this.bytesAtProbe = this.socket.bytesRead;
      this.cancelProbe = this.scheduler.after(PROBE_TIMEOUT, () => {
        if (this.socket.bytesRead === this.bytesAtProbe) {
          this.socket.destroy();
          return;
        }
        this.scheduleProbe();
      });
    });
  }

  private send(text: string): void {
    this.sentSinceProbe = true;
    if (!this.authenticated) {
      if (!this.lines.queue(text)) {
        this.onDropped();
        throw new Error('too much waits for the connection to open');
      }
      return;
    }
    if (!this.lines.send(text)) {
      if (!this.socket.destroyed) {
        this.onDropped();
      }
      throw new Error('the connection is closed or its send buffer is full');
    }
  }

  /** Passes on a response; a line that is none closes the connection, since later lines cannot be trusted either. */
  private receive(line: string): void {
    try {
      this.requests.receive(JSON.parse(line));
    } catch {
      this.socket.destroy();
    }
  }

  private onLine(line: string): void {
    if (this.authenticated) {
      this.receive(line);
      return;
    }
    const message = peerAuthentication.parseMessage(line);
    if (this.serverNonce === '') {
      this.serverNonce = message.nonce;
      const proof = peerAuthentication.createProof(
        this.clusterKey,
        'client',
        this.clientNonce,
        this.serverNonce,
      );
      this.lines.write(JSON.stringify({ nonce: this.clientNonce, proof }));
      return;
    }
    const expected = peerAuthentication.createProof(
      this.clusterKey,
      'server',
      this.clientNonce,
      this.serverNonce,
    );
    if (!peerAuthentication.timingSafeEqual(message.proof, expected)) {
      this.socket.destroy();
      return;
    }
    this.authenticated = true;
    this.lines.permitLongLines();
    this.cancelOpenTimeout();
    this.lines.sendQueued();
  }
}

class Transport implements JsonRpcTransport {
  private readonly options: JsonRpcTransportOptions;
  // Failures are regular responses; by default the library also logs each of them to the console.
  private readonly rpcServer = new jsonRpc.JSONRPCServer({ errorListener: () => undefined });
  private readonly connections = new Map<string, PeerConnection>();
  private readonly dropped: countedWarnings.CountedWarnings;
  private readonly refused: countedWarnings.CountedWarnings;
  private readonly crowdedOut: countedWarnings.CountedWarnings;
  private readonly unproven: unprovenConnections.UnprovenConnections;
  private readonly memory = new messageMemory.MessageMemory();
  private readonly inbound = new Map<net.Socket, lineSocket.LineSocket>();
  private server: net.Server | undefined;
  private closedBytesSent = 0;
  private closedBytesReceived = 0;

  constructor(options: JsonRpcTransportOptions) {
    this.options = options;
    const { scheduler, log } = options;
    this.dropped = new countedWarnings.CountedWarnings(scheduler, (counts) => {
      for (const [address, messages] of counts) {
        log.warn('peerMessagesDropped', { address, messages });
      }
    });
    this.refused = new countedWarnings.CountedWarnings(scheduler, (counts) => {
      log.warn('strangerRefused', summary(counts));
    });
    this.crowdedOut = new countedWarnings.CountedWarnings(scheduler, (counts) => {
      log.warn('strangersClosed', summary(counts));
    });
    this.unproven = new unprovenConnections.UnprovenConnections((address) => {
      this.crowdedOut.add(address);
    });
    this.serve(PROBE_METHOD, (_parameters, reply) => {
      reply(results.Ok(null));
    });
  }

  serve(method: string, handler: ports.PeerHandler): void {
    this.rpcServer.addMethod(
      method,
      (parameters: unknown) =>
        new Promise<unknown>((resolve, reject) => {
          handler(parameters, (result) => {
            if (result.ok) {
              resolve(result.val);
            } else {
              const { message } = result.val;
              reject(new jsonRpc.JSONRPCErrorException(message, peerRequests.FAILURE_CODE, result.val));
            }
          });
        }),
    );
  }

  listen(address: string, done: (port: number) => void): void {
    const { host, port } = splitAddress(address);
    this.server = net.createServer((socket) => {
      this.accept(socket);
    });
    this.server.listen({ port, host, backlog: unprovenConnections.MAXIMUM_UNPROVEN }, () => {
      const bound = this.server?.address();
      done(typeof bound === 'object' && bound !== null ? bound.port : port);
    });
  }

  private accept(socket: net.Socket): void {
    const serverNonce = peerAuthentication.createNonce();
    const { remoteAddress = '' } = socket;
    const removeUnproven = this.unproven.add(socket);
    let authenticated = false;
    const memory = this.memory.open(() => {
      this.dropped.add(remoteAddress);
      socket.destroy();
    });
    const lines = new lineSocket.LineSocket(socket, memory, (line) => {
      if (authenticated) {
        this.onRequest(line, lines, socket);
      } else if (this.authenticate(line, serverNonce, lines)) {
        authenticated = true;
        removeUnproven();
        lines.permitLongLines();
      } else {
        // Closes the connection without a response if the first line is not a valid proof.
        this.refused.add(remoteAddress);
        socket.destroy();
      }
    });
    this.inbound.set(socket, lines);
    const cancel = this.options.scheduler.after(AUTHENTICATION_TIMEOUT, () => {
      if (!authenticated) {
        socket.destroy();
      }
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      cancel();
      removeUnproven();
      this.inbound.delete(socket);
      this.closedBytesSent += socket.bytesWritten;
      this.closedBytesReceived += socket.bytesRead;
    });
    lines.write(JSON.stringify({ nonce: serverNonce }));
  }

  private authenticate(line: string, serverNonce: string, lines: lineSocket.LineSocket): boolean {
    const { clusterKey } = this.options;
    const { nonce, proof } = peerAuthentication.parseMessage(line);
    const expected = peerAuthentication.createProof(clusterKey, 'client', nonce, serverNonce);
    if (!peerAuthentication.timingSafeEqual(proof, expected)) {
      return false;
    }
    lines.write(
      JSON.stringify({ proof: peerAuthentication.createProof(clusterKey, 'server', nonce, serverNonce) }),
    );
    return true;
  }

  private onRequest(line: string, lines: lineSocket.LineSocket, socket: net.Socket): void {
    this.rpcServer.receiveJSON(line).then(
      (response) => {
        if (response !== null && !lines.send(JSON.stringify(response)) && !socket.destroyed) {
          this.dropped.add(socket.remoteAddress ?? '');
        }
      },
      (error: unknown) => {
        const reason = error instanceof Error ? error.message : String(error);
        this.options.log.warn('peerMessageUnreadable', { reason });
        lines.close();
      },
    );
  }

  private connectionTo(address: string): PeerConnection {
    const existing = this.connections.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const { memory } = this;
    const { clusterKey, scheduler } = this.options;
    const created = new PeerConnection(address, {
      ...{ clusterKey, scheduler, memory },
      onDropped: () => {
        this.dropped.add(address);
      },
      onClose: () => {
        this.connections.delete(address);
        this.closedBytesSent += created.socket.bytesWritten;
        this.closedBytesReceived += created.socket.bytesRead;
      },
    });
    this.connections.set(address, created);
    return created;
  }

  request(
    address: string,
    method: string,
    parameters: unknown,
    timeout: ports.Milliseconds,
    done: ports.Reply,
  ): void {
    let connection: PeerConnection;
    try {
      connection = this.connectionTo(address);
    } catch (error) {
      // An address that cannot exist fails this request alone, later as all others.
      const reason = error instanceof Error ? error.message : String(error);
      queueMicrotask(() => {
        done(results.Err(peerRequests.unreachable(address, reason)));
      });
      return;
    }
    connection.requests.send({ address, method, parameters, timeout }, done);
  }

  notify(address: string, method: string, parameters: unknown): void {
    try {
      this.connectionTo(address).requests.notify(method, parameters);
    } catch {
      this.options.log.debug('messageDropped', { address, method });
    }
  }

  byteCounts(): { readonly sent: number; readonly received: number } {
    const sockets = [
      ...this.inbound.keys(),
      ...[...this.connections.values()].map((connection) => connection.socket),
    ];
    return {
      sent: sockets.reduce((sum, socket) => sum + socket.bytesWritten, this.closedBytesSent),
      received: sockets.reduce((sum, socket) => sum + socket.bytesRead, this.closedBytesReceived),
    };
  }

  held(): heldMemoryTypes.Held {
    let bytes = 0;
    let pieces = 0;
    let heapBytes = 0;
    for (const holder of [...this.inbound.values(), ...this.connections.values()]) {
      const held = holder.held();
      bytes += held.bytes;
      pieces += held.pieces;
      heapBytes += held.heapBytes ?? 0;
    }
    return { bytes, pieces, heapBytes };
  }

  bytesReceived(): number {
    return this.byteCounts().received;
  }

  close(): void {
    this.dropped.close();
    this.refused.close();
    this.crowdedOut.close();
    this.server?.close();
    for (const socket of this.inbound.keys()) {
      socket.destroy();
    }
    for (const connection of this.connections.values()) {
      connection.socket.destroy();
    }
  }
}

/**
 * Creates a transport.
 *
 * @param options - cluster key, scheduler and log
 * @returns the transport; call `listen` to accept connections
 * @example
 * ```ts
 * const transport = jsonRpcTransport.create({ clusterKey, scheduler, log });
 * transport.listen('10.0.0.5:7200', (port) => log.info('listening', { port }));
 * ```
 */
export function create(options: JsonRpcTransportOptions): JsonRpcTransport {
  return new Transport(options);
}
