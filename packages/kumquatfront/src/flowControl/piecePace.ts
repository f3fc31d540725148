/**
 * Pace at which connections are read whose reads hold many pieces: a read of 64 KiB in chunks of one byte keeps the parser busy for as long as
 * a hundred ordinary requests. All such connections of a process together get a fixed share of its time.
 */
import type * as ports from '../kernel/ports.js';

const INTERVAL: ports.Milliseconds = 10;

/** Pieces of an interval: a quarter of a processor that takes 2.1 µs for each, as measured. */
const PIECES_PER_INTERVAL = 1_200;

/** Pieces of one connection that never wait: an ordinary stream has up to 100 in a second, and those of some seconds after a pause. */
const FREE_PIECES_PER_SECOND = 200;
const MOST_FREE_PIECES = 1_000;

const MS_PER_SECOND = 1_000;

/** A connection that is read at the pace. */
export interface PacedConnection {
  readonly isOpen: () => boolean;
  /** Reads go on. */
  readonly resume: () => void;
}

interface WaitingConnection {
  readonly connection: PacedConnection;
  readonly pieces: number;
  /** Progress at which the pieces of its read are paid for; the connection with the lowest one is next. */
  readonly paidAt: number;
}

/** The reads of one connection. */
export class PacedReads {
  private freePieces = MOST_FREE_PIECES;
  private countedAt: ports.Milliseconds;
  private isWaiting = false;
  private isLifted = false;

  constructor(
    private readonly pace: PiecePace,
    private readonly connection: PacedConnection,
  ) {
    this.countedAt = pace.now;
  }

  /**
   * Counts a read.
   *
   * @param pieces - pieces that the read has held
   * @returns true if the connection must not be read from now on until it is resumed
   */
  count(pieces: number): boolean {
    if (this.isWaiting) {
      // One more read may follow when a connection is stopped between two reads.
      this.pace.pay(pieces);
      return false;
    }
    const { now } = this.pace;
    const newlyFree = ((now - this.countedAt) * FREE_PIECES_PER_SECOND) / MS_PER_SECOND;
    this.freePieces = Math.min(this.freePieces + newlyFree, MOST_FREE_PIECES);
    this.countedAt = now;
    if (pieces <= this.freePieces) {
      this.freePieces -= pieces;
      return false;
    }
    this.isWaiting = this.pace.count(pieces, {
      isOpen: () => this.connection.isOpen() && !this.isLifted,
      resume: () => {
        this.isWaiting = false;
        this.connection.resume();
      },
    });
    return this.isWaiting && !this.isLifted;
  }

  /** Ends the wait of the connection, which waits no more. */
  lift(): void {
    this.isLifted = true;
    this.connection.resume();
  }
}

/** The pace of all connections of a process; see the module comment. */
export class PiecePace {
  /** Pieces for which connections may still be read; below 0 after a read of more than there were. */
  private piecesLeft = PIECES_PER_INTERVAL;
  /** Pieces that each waiting connection could have read, had they all read at the same time. */
  private progress = 0;
  private waiting: WaitingConnection[] = [];
  private isIntervalOpen = false;

  /**
   * @param clock - tells which pieces of a connection are free
   * @param scheduler - ends the intervals
   */
  constructor(
    private readonly clock: Pick<ports.Clock, 'now'>,
    private readonly scheduler: ports.Scheduler,
  ) {}

  get now(): ports.Milliseconds {
    return this.clock.now();
  }

  /**
   * Opens the account of a connection.
   *
   * @example
   * ```ts
   * const reads = pace.openConnection({ isOpen: () => !socket.destroyed, resume: startReading });
   * const mustWait = reads.count(chunks.length);
   * ```
   */
  openConnection(connection: PacedConnection): PacedReads {
    return new PacedReads(this, connection);
  }

  /** Counts pieces of a read that are not free; see {@link PacedReads.count}. */
  count(pieces: number, connection: PacedConnection): boolean {
    this.openInterval();
    if (this.waiting.length === 0 && pieces <= this.piecesLeft) {
      this.piecesLeft -= pieces;
      return false;
    }
    // A connection waits for what its own read has cost: one with fewer pieces not for a whole round of those with many.
    this.waiting.push({ connection, pieces, paidAt: this.progress + pieces });
    return true;
  }

  /** Takes pieces that have been read from the intervals that follow. */
  pay(pieces: number): void {
    this.piecesLeft -= pieces;
  }

  private openInterval(): void {
    if (this.isIntervalOpen) {
      return;
    }
    this.isIntervalOpen = true;
    this.scheduler.after(INTERVAL, () => {
      this.isIntervalOpen = false;
      this.piecesLeft = Math.min(this.piecesLeft + PIECES_PER_INTERVAL, PIECES_PER_INTERVAL);
      this.resumeWaiting();
      if (this.waiting.length > 0 || this.piecesLeft < PIECES_PER_INTERVAL) {
        this.openInterval();
      }
    });
  }

  private resumeWaiting(): void {
    this.waiting = this.waiting
      .filter(({ connection }) => connection.isOpen())
      .sort((left, right) => left.paidAt - right.paidAt);
    while (this.piecesLeft > 0) {
      const next = this.waiting.shift();
      if (next === undefined) {
        return;
      }
      this.piecesLeft -= next.pieces;
      this.progress += next.pieces / (this.waiting.length + 1);
      next.connection.resume();
    }
  }
}
