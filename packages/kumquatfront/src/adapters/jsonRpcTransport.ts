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
import * as peerConnection from './peerConnection.js';
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

/** Maximum time for a peer to authenticate, on the accepting side. */
const AUTHENTICATION_TIMEOUT = 2_000;

/** One line for a crowd: its connections, and the address that had the most of them. */
function summary(counts: ReadonlyMap<string, number>): ports.LogFields {
  const [address = ''] = maximum.by(counts, ([, count]) => count) ?? [];
  const connections = [...counts.values()].reduce((sum, count) => sum + count, 0);
  return { address, connections, addresses: counts.size };
}

class Transport implements JsonRpcTransport {
  private readonly options: JsonRpcTransportOptions;
  // Failures are regular responses; by default the library also logs each of them to the console.
  private readonly rpcServer = new jsonRpc.JSONRPCServer({ errorListener: () => undefined });
  private readonly connections = new Map<string, peerConnection.PeerConnection>();
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
    this.serve(peerConnection.PROBE_METHOD, (_parameters, reply) => {
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
    const { host, port } = peerConnection.splitAddress(address);
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

  private connectionTo(address: string): peerConnection.PeerConnection {
    const existing = this.connections.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const { memory } = this;
    const { clusterKey, scheduler } = this.options;
    const created = new peerConnection.PeerConnection(address, {
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
    let connection: peerConnection.PeerConnection;
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
