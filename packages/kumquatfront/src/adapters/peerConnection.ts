/**
 * Outgoing connections to peers, which prove the cluster key on both sides before messages are sent.
 */
import * as net from 'node:net';

import type * as heldMemoryTypes from '../heldMemory/types.js';
import type * as ports from '../kernel/ports.js';
import * as lineSocket from './lineSocket.js';
import type * as messageMemory from './messageMemory.js';
import * as peerAuthentication from './peerAuthentication.js';
import * as peerRequests from './peerRequests.js';

/**
 * Connecting is aborted after this time, and the next message opens a new connection. Shorter than the kernel's SYN
 * retransmission delay of a second, so that processes that restart together do not wait that long for each other.
 */
const CONNECT_TIMEOUT = 250;

/** Maximum time from an open connection to the end of its authentication, on the connecting side. */
const HANDSHAKE_TIMEOUT = 1_000;

/** Interval between liveness probes on a connection in use. */
const PROBE_INTERVAL = 400;

/**
 * A connection on which no data arrives within this time after a probe is closed, and the next message opens a new
 * one. Otherwise messages on a connection that stopped working without a reset would be lost unnoticed.
 */
const PROBE_TIMEOUT = 1_000;

/** Method of probes, which every peer serves. */
export const PROBE_METHOD = 'transport.probe';

/** The response to a probe counts as data that arrives. */
const ignoreResponse = (): void => undefined;

/**
 * Splits an address into its parts.
 *
 * @param address - `ip:port`
 * @example
 * ```ts
 * peerConnection.splitAddress('10.0.0.5:7200'); // { host: '10.0.0.5', port: 7200 }
 * ```
 */
export function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Options of an outgoing connection. */
export interface ConnectionOptions {
  readonly clusterKey: string;
  readonly scheduler: ports.Scheduler;
  readonly memory: messageMemory.MessageMemory;
  /** A message was dropped, because too much waits. */
  readonly onDropped: () => void;
  readonly onClose: () => void;
}

/** An outgoing connection to one peer; messages are queued until both sides are authenticated. */
export class PeerConnection {
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
