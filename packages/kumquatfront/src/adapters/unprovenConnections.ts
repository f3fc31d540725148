/**
 * Bounds the connections to the port of peers that have not proved the cluster key. Anybody can open them, and each takes a descriptor
 * and some heap until its time to authenticate is over.
 */
import type * as net from 'node:net';

import * as maximum from '../utils/maximum.js';

/**
 * Connections without a proof at one time, and those that the operating system keeps until they are accepted: a fleet that restarts at once
 * gets in, and they are a quarter of the descriptors that are assumed for a process.
 */
export const MAXIMUM_UNPROVEN = 1_024;

/** Connections without a proof; see the module comment. */
export class UnprovenConnections {
  private readonly byAddress = new Map<string, Set<net.Socket>>();
  private count = 0;

  /**
   * @param onClosed - a connection from an address was closed in favour of a new one
   */
  constructor(private readonly onClosed: (address: string) => void) {}

  /**
   * Adds a connection. If there are too many, the oldest one from the address that has the most is closed: the oldest has had the most
   * time, and a stranger that opens many closes its own.
   *
   * @returns what to call when the connection has proved itself or is closed
   * @example
   * ```ts
   * const remove = unproven.add(socket);
   * socket.once('close', remove);
   * ```
   */
  add(socket: net.Socket): () => void {
    const { remoteAddress = '' } = socket;
    const sockets = this.byAddress.get(remoteAddress) ?? new Set();
    this.byAddress.set(remoteAddress, sockets.add(socket));
    this.count += 1;
    if (this.count > MAXIMUM_UNPROVEN) {
      this.closeOne();
    }
    return () => {
      this.remove(remoteAddress, socket);
    };
  }

  private remove(address: string, socket: net.Socket): void {
    const sockets = this.byAddress.get(address);
    if (sockets?.delete(socket) === true) {
      this.count -= 1;
      if (sockets.size === 0) {
        this.byAddress.delete(address);
      }
    }
  }

  private closeOne(): void {
    const [address, sockets] = maximum.by(this.byAddress, ([, { size }]) => size) ?? ['', []];
    const [oldest] = sockets;
    if (oldest !== undefined) {
      this.remove(address, oldest);
      oldest.destroy();
      this.onClosed(address);
    }
  }
}
