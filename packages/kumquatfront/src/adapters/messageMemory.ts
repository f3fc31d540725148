/**
 * Bounds what all connections to peers hold together: messages that wait, and lines that have arrived in part. Beyond the bound the
 * connection that holds the most makes room for those that hold much less, so that peers which take nothing use up nothing that others need.
 */
import * as maximum from '../utils/maximum.js';

/** Bytes of all connections; as many as held answers of upstreams may take. */
const MAXIMUM_BYTES = 24 * 1024 * 1024;

/** Heap of a message beside its text, in bytes. */
const BYTES_PER_PIECE = 200;

/** A connection is closed only for one that would hold less than this part of what it holds; a message to all peers would otherwise close some. */
const MUCH_LESS = 0.5;

/** What all connections hold; see the module comment. */
export class MessageMemory {
  private readonly connections = new Set<ConnectionMemory>();
  private used = 0;

  /**
   * Opens the account of a connection.
   *
   * @param onGivenUp - closes the connection, which holds too much
   * @example
   * ```ts
   * const memory = messageMemory.open(() => socket.destroy());
   * ```
   */
  open(onGivenUp: () => void): ConnectionMemory {
    const connection = new ConnectionMemory(this, onGivenUp);
    this.connections.add(connection);
    return connection;
  }

  /** Makes room for so many bytes of a connection; false if no other holds much more. */
  makeRoom(connection: ConnectionMemory, added: number): boolean {
    while (this.used + added > MAXIMUM_BYTES) {
      const largest = maximum.by(this.connections, ({ held }) => held);
      if (largest === undefined || connection.held + added >= largest.held * MUCH_LESS) {
        return false;
      }
      largest.giveUp();
    }
    return true;
  }

  /** Counts what a connection has come to hold. */
  change(growth: number): void {
    this.used += growth;
  }

  /** Closes an account. */
  remove(connection: ConnectionMemory): void {
    this.connections.delete(connection);
  }
}

/** What one connection holds. */
export class ConnectionMemory {
  /** Bytes that it holds, with the heap of its messages. */
  held = 0;
  private isClosed = false;

  constructor(
    private readonly memory: MessageMemory,
    private readonly onGivenUp: () => void,
  ) {}

  /**
   * Whether another message, or so many bytes more of one, may be held; may close connections that hold much more.
   *
   * @example
   * ```ts
   * if (!memory.makeRoom(line.length)) {
   *   return false;
   * }
   * ```
   */
  makeRoom(bytes: number): boolean {
    return this.memory.makeRoom(this, bytes + BYTES_PER_PIECE);
  }

  /** Sets what it holds. */
  set(bytes: number, pieces: number): void {
    if (!this.isClosed) {
      const held = bytes + pieces * BYTES_PER_PIECE;
      this.memory.change(held - this.held);
      this.held = held;
    }
  }

  /** Closes the connection, which holds too much. */
  giveUp(): void {
    this.close();
    this.onGivenUp();
  }

  /** The connection is closed and holds nothing from now on. */
  close(): void {
    this.set(0, 0);
    this.isClosed = true;
    this.memory.remove(this);
  }
}
