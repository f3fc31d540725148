/**
 * Requests and messages between the system's processes: JSON-RPC 2.0 over TCP, one JSON text a line, after
 * a mutual proof of the cluster key.
 */
import * as net from 'node:net';

import * as jsonRpc from 'json-rpc-2.0';

import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as lineSocket from './lineSocket.js';
import * as peerAuthentication from './peerAuthentication.js';

/** What the transport is made from. */
export interface JsonRpcTransportOptions {
  readonly clusterKey: string;
  readonly scheduler: ports.Scheduler;
  readonly log: ports.Log;
}

/** The transport, with its listening side. */
export interface JsonRpcTransport extends ports.PeerTransport {
  /** Listens on `ip:port`; calls back with the port, which is chosen where 0 is given. */
  listen(address: string, done: (port: number) => void): void;
  /** Bytes sent and received since the start, for measurements. */
  bytes(): { readonly sent: number; readonly received: number };
  close(): void;
}

const FAILURE_CODE = -32_000;

/**
 * A connection that is not open by then is given up, and the next message opens another. A VM without power answers
 * nothing, and the kernel repeats a lost opening packet only after a second: after a loss of all power every process
 * would wait that long for those that started a little later than itself. Round trips between data centres take a few
 * milliseconds, between regions a hundred.
 */
const CONNECT_TIMEOUT = 250;

/** From the opening of a connection to its first message: a busy process needs its time for both proofs. */
const GREETING_TIMEOUT = 1_000;
const AUTHENTICATION_TIMEOUT = 2_000;

/** How often a connection in use is checked for life. */
const PROBE_INTERVAL = 400;

/**
 * A connection may go silent for good without a reset, while new ones work; consensus and notices sent on it
 * would vanish unseen. A probe that is not answered this long ends it, and the next message opens another.
 */
const PROBE_TIMEOUT = 1_000;
const PROBE_METHOD = 'transport.probe';

interface Greeting {
  readonly nonce?: string;
  readonly proof?: string;
}

function isFailure(value: unknown): value is failures.Failure {
  return typeof value === 'object' && value !== null && 'kind' in value && 'remedy' in value;
}

function toFailure(error: unknown, address: string): failures.Failure {
  if (error instanceof jsonRpc.JSONRPCErrorException && isFailure(error.data)) {
    return error.data;
  }
  const reason = error instanceof Error ? error.message : String(error);
  const remedy = 'Check that the process runs and that both have the same cluster key.';
  return failures.create('unreachable', `${address} could not be asked: ${reason}.`, remedy);
}

function parseGreeting(line: string): Greeting {
  try {
    return JSON.parse(line) as Greeting;
  } catch {
    return {};
  }
}

function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** A connection to one peer, opened when it is first needed. */
class PeerConnection {
  readonly client: jsonRpc.JSONRPCClient;
  readonly socket: net.Socket;
  private readonly lines: lineSocket.LineSocket;
  private readonly clusterKey: string;
  private readonly clientNonce = peerAuthentication.createNonce();
  private serverNonce = '';
  private ready = false;
  private waiting: string[] = [];
  private readonly scheduler: ports.Scheduler;
  private sentSinceProbe = false;
  private bytesAtProbe = 0;
  private cancelProbe: ports.Cancel = () => undefined;
  private cancelOpening: ports.Cancel = () => undefined;

  constructor(address: string, clusterKey: string, scheduler: ports.Scheduler, onClose: () => void) {
    this.clusterKey = clusterKey;
    this.scheduler = scheduler;
    this.client = new jsonRpc.JSONRPCClient((payload: unknown) => {
      this.send(JSON.stringify(payload));
    });
    this.socket = net.connect(splitAddress(address));
    this.lines = new lineSocket.LineSocket(this.socket, (line) => {
      this.onLine(line);
    });
    this.cancelOpening = scheduler.after(CONNECT_TIMEOUT, () => {
      this.socket.destroy();
    });
    this.socket.on('connect', () => {
      this.cancelOpening();
      this.cancelOpening = scheduler.after(GREETING_TIMEOUT, () => {
        this.socket.destroy();
      });
    });
    this.socket.on('error', () => undefined);
    this.probeLater();
    this.socket.on('close', () => {
      this.cancelOpening();
      this.cancelProbe();
      this.client.rejectAllPendingRequests('the connection was closed');
      onClose();
    });
  }

  private probeLater(): void {
    this.cancelProbe = this.scheduler.after(PROBE_INTERVAL, () => {
      if (!this.ready || !this.sentSinceProbe) {
        this.probeLater();
        return;
      }
      this.client.request(PROBE_METHOD, []).then(
        () => undefined,
        () => undefined,
      );
      this.sentSinceProbe = false;
      this.bytesAtProbe = this.socket.bytesRead;
      this.cancelProbe = this.scheduler.after(PROBE_TIMEOUT, () => {
        if (this.socket.bytesRead === this.bytesAtProbe) {
          this.socket.destroy();
          return;
        }
        this.probeLater();
      });
    });
  }

  private send(text: string): void {
    this.sentSinceProbe = true;
    if (!this.ready) {
      this.waiting.push(text);
      return;
    }
    if (!this.lines.send(text)) {
      throw new Error('the peer takes nothing in');
    }
  }

  private onLine(line: string): void {
    if (this.ready) {
      this.client.receive(JSON.parse(line) as jsonRpc.JSONRPCResponse);
      return;
    }
    const greeting = parseGreeting(line);
    if (this.serverNonce === '') {
      this.serverNonce = greeting.nonce ?? '';
      const proof = peerAuthentication.prove(this.clusterKey, 'client', this.clientNonce, this.serverNonce);
      this.lines.send(JSON.stringify({ nonce: this.clientNonce, proof }));
      return;
    }
    const expected = peerAuthentication.prove(this.clusterKey, 'server', this.clientNonce, this.serverNonce);
    if (!peerAuthentication.isSame(greeting.proof ?? '', expected)) {
      this.socket.destroy();
      return;
    }
    this.ready = true;
    this.cancelOpening();
    const { waiting } = this;
    this.waiting = [];
    for (const text of waiting) {
      this.lines.send(text);
    }
  }
}

class Transport implements JsonRpcTransport {
  private readonly options: JsonRpcTransportOptions;
  // Failures are answers here; the library would write each of them to the console as well.
  private readonly rpcServer = new jsonRpc.JSONRPCServer({ errorListener: () => undefined });
  private readonly connections = new Map<string, PeerConnection>();
  private readonly inbound = new Set<net.Socket>();
  private server: net.Server | undefined;
  private closedSent = 0;
  private closedReceived = 0;

  constructor(options: JsonRpcTransportOptions) {
    this.options = options;
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
              reject(new jsonRpc.JSONRPCErrorException(result.val.message, FAILURE_CODE, result.val));
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
    this.server.listen(port, host, () => {
      const bound = this.server?.address();
      done(typeof bound === 'object' && bound !== null ? bound.port : port);
    });
  }

  private accept(socket: net.Socket): void {
    const serverNonce = peerAuthentication.createNonce();
    let trusted = false;
    this.inbound.add(socket);
    const lines = new lineSocket.LineSocket(socket, (line) => {
      if (trusted) {
        this.onRequest(line, lines);
      } else if (this.authenticate(line, serverNonce, lines)) {
        trusted = true;
      } else {
        // A stranger learns nothing: its first line is not the proof, and the connection ends.
        this.options.log.warn('strangerRefused', { address: socket.remoteAddress });
        socket.destroy();
      }
    });
    const cancel = this.options.scheduler.after(AUTHENTICATION_TIMEOUT, () => {
      if (!trusted) {
        socket.destroy();
      }
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      cancel();
      this.inbound.delete(socket);
      this.closedSent += socket.bytesWritten;
      this.closedReceived += socket.bytesRead;
    });
    lines.send(JSON.stringify({ nonce: serverNonce }));
  }

  private authenticate(line: string, serverNonce: string, lines: lineSocket.LineSocket): boolean {
    const { clusterKey } = this.options;
    const { nonce = '', proof = '' } = parseGreeting(line);
    const expected = peerAuthentication.prove(clusterKey, 'client', nonce, serverNonce);
    if (!peerAuthentication.isSame(proof, expected)) {
      return false;
    }
    lines.send(JSON.stringify({ proof: peerAuthentication.prove(clusterKey, 'server', nonce, serverNonce) }));
    return true;
  }

  private onRequest(line: string, lines: lineSocket.LineSocket): void {
    void this.rpcServer.receiveJSON(line).then((response) => {
      if (response !== null) {
        lines.send(JSON.stringify(response));
      }
    });
  }

  private connectionTo(address: string): PeerConnection {
    const known = this.connections.get(address);
    if (known !== undefined) {
      return known;
    }
    const created = new PeerConnection(address, this.options.clusterKey, this.options.scheduler, () => {
      this.connections.delete(address);
      this.closedSent += created.socket.bytesWritten;
      this.closedReceived += created.socket.bytesRead;
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
    let open = true;
    const finish: ports.Reply = (result) => {
      if (open) {
        open = false;
        cancel();
        done(result);
      }
    };
    const cancel = this.options.scheduler.after(timeout, () => {
      const remedy = 'Ask again or ask another process.';
      finish(results.Err(failures.create('timeout', `${address} did not answer in time.`, remedy)));
    });
    this.connectionTo(address)
      .client.request(method, parameters as jsonRpc.JSONRPCParams)
      .then(
        (value: unknown) => {
          finish(results.Ok(value));
        },
        (error: unknown) => {
          finish(results.Err(toFailure(error, address)));
        },
      );
  }

  notify(address: string, method: string, parameters: unknown): void {
    try {
      this.connectionTo(address).client.notify(method, parameters as jsonRpc.JSONRPCParams);
    } catch {
      this.options.log.debug('messageDropped', { address, method });
    }
  }

  bytes(): { readonly sent: number; readonly received: number } {
    const sockets = [
      ...this.inbound,
      ...[...this.connections.values()].map((connection) => connection.socket),
    ];
    return {
      sent: sockets.reduce((sum, socket) => sum + socket.bytesWritten, this.closedSent),
      received: sockets.reduce((sum, socket) => sum + socket.bytesRead, this.closedReceived),
    };
  }

  close(): void {
    this.server?.close();
    for (const socket of this.inbound) {
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
 * @param options - cluster key, timers and log
 * @returns the transport; call `listen` to be reachable
 * @example
 * ```ts
 * const transport = jsonRpcTransport.create({ clusterKey, scheduler, log });
 * transport.listen('10.0.0.5:7200', (port) => log.info('listening', { port }));
 * ```
 */
export function create(options: JsonRpcTransportOptions): JsonRpcTransport {
  return new Transport(options);
}
