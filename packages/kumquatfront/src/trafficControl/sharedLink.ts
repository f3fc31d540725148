/**
 * Test double of a VM's incoming link: its connections and those of competing streams share the bandwidth equally, and
 * messages on one connection arrive in order. What was sent occupies the link even if its receiver has stopped waiting.
 */
import type * as ports from '../kernel/ports.js';
import type * as virtualTime from '../kernel/virtualTime.js';

const PACKET_BYTES = 1_460;

/** Bytes per second of the narrowest link of an entry, 5.25 Mbit/s. */
export const NARROWEST_LINK = 656_250;

interface QueuedMessage {
  remainingBytes: number;
  readonly delivered: () => void;
}

/** An incoming link; see the module comment. */
export class SharedLink {
  private readonly connections = new Map<string, QueuedMessage[]>();
  private isBusy = false;
  /** Bytes of all messages that have arrived in full or in part. */
  bytesReceived = 0;

  /**
   * @param time - virtual time
   * @param bytesPerSecond - bandwidth
   * @param competingStreams - number of connections that use as much bandwidth as they get
   */
  constructor(
    private readonly time: virtualTime.VirtualTime,
    private readonly bytesPerSecond: number,
    private readonly competingStreams: number,
  ) {}

  /** Queues a message on a connection; `delivered` is called when its last byte has arrived. */
  send(connection: string, bytes: number, delivered: () => void): void {
    const queue = this.connections.get(connection) ?? [];
    this.connections.set(connection, [...queue, { remainingBytes: bytes, delivered }]);
    if (!this.isBusy) {
      this.isBusy = true;
      this.transmitNext();
    }
  }

  /** Transmits one packet of the connection whose turn it is. */
  private transmitNext(): void {
    const [turn] = this.connections;
    if (turn === undefined) {
      this.isBusy = false;
      return;
    }
    const [connection, queue] = turn;
    const active = this.connections.size;
    const packetTime: ports.Milliseconds = (PACKET_BYTES * 1_000) / this.bytesPerSecond;
    this.time.after((packetTime * (active + this.competingStreams)) / active, () => {
      this.connections.delete(connection);
      this.bytesReceived += PACKET_BYTES;
      const [head, ...rest] = this.receivePacket(queue);
      if (head !== undefined) {
        this.connections.set(connection, [head, ...rest]);
      }
      this.transmitNext();
    });
  }

  private receivePacket([head, ...rest]: readonly QueuedMessage[]): readonly QueuedMessage[] {
    if (head === undefined) {
      return [];
    }
    head.remainingBytes -= PACKET_BYTES;
    if (head.remainingBytes > 0) {
      return [head, ...rest];
    }
    head.delivered();
    return rest;
  }
}
