/**
 * Closes connections whose client may still be sending. Linux resets a connection that is closed with bytes that nobody has read, and the client
 * loses the answer. So only the sending side is closed at first, and what arrives is read and dropped for a short time.
 */
import type * as net from 'node:net';

import type * as ports from '../kernel/ports.js';

/** Time for which a connection is read. */
const LINGER: ports.Milliseconds = 500;

/** Connections of one server that are being closed; see the module comment. */
export class LingeringConnections {
  /** The oldest first. */
  private readonly open = new Set<net.Socket>();

  constructor(private readonly maximum: number) {}

  /**
   * Ends a connection after what was written to it; above the maximum, the oldest of the others is closed at once. The caller drops what arrives.
   *
   * @example
   * ```ts
   * gate.discard();
   * lingering.end(socket);
   * ```
   */
  end(socket: net.Socket): void {
    if (this.open.has(socket)) {
      return;
    }
    if (this.open.size >= this.maximum) {
      this.closeOldest();
    }
    this.open.add(socket);
    socket.end();
    const timer = setTimeout(() => {
      socket.destroy();
    }, LINGER);
    socket.once('close', () => {
      clearTimeout(timer);
      this.open.delete(socket);
    });
  }

  /**
   * Closes the oldest connection at once.
   *
   * @returns false if there is none
   */
  closeOldest(): boolean {
    const [oldest] = this.open;
    if (oldest === undefined) {
      return false;
    }
    this.open.delete(oldest);
    oldest.destroy();
    return true;
  }
}
