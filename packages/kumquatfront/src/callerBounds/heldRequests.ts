/**
 * Memory that requests hold at one process, over all of its listening addresses. Each request may be inside its own limits and all of them
 * together still use up the memory; then those that have held the most for the longest time are refused.
 */
import type * as heldMemoryTypes from '../heldMemory/types.js';
import type * as ports from '../kernel/ports.js';
import * as maximum from '../utils/maximum.js';
import * as readPace from './readPace.js';
import type * as types from './types.js';

const SWEEP_INTERVAL: ports.Milliseconds = 1_000;

/** Share of the bound down to which requests are refused, so that not each byte that follows refuses another one. */
const REFUSE_DOWN_TO = 0.9;

/** Share of the bound that a request which holds little may use beyond it. */
const SMALL_REQUEST_RESERVE = 0.25;
const SMALL_REQUEST_BYTES = 16_384;

/** Share of the bound that unread answers may use; beyond it they count against no request, up to {@link UNREAD_RESERVE}. */
const UNREAD_SHARE = 0.5;

/** Memory of unread answers beyond their share that counts against no request, as a share of the bound. */
const UNREAD_RESERVE = 1;

/** Time without progress after which an unread answer is closed where their reserve is used up, as a share of the time limit. */
const LEAST_UNREAD_TIME = 0.05;

/** Share of the bound above which connections are read at a pace. */
const PACED_FROM = 0.5;

/** Reads of an interval of that pace, as a share of the bound. */
const PACE_SHARE = 0.125;

/**
 * Heap of a request until its answer is complete, in bytes: its connection, that to its upstream, their parsers and what is known of it.
 */
const HEAP_BYTES_PER_REQUEST = 24_000;

/** Heap for each byte of its head, whose fields are kept as texts. */
const HEAP_BYTES_PER_HEAD_BYTE = 4;

/** Dependencies of {@link HeldRequests}. */
export interface HeldRequestsOptions {
  readonly clock: ports.Clock;
  readonly scheduler: ports.Scheduler;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly bounds: types.CallerBounds;
}

/** What a connection does when its request is refused. */
export interface ConnectionPort {
  /** Name of the listening address, for logs and metrics. */
  readonly listener: string;
  /** Time without a byte after which a request that has arrived in part is refused. */
  readonly stallTimeout: () => ports.Milliseconds;
  /** Whether the request that is arriving can no longer be served in time. */
  readonly isLate: () => boolean;
  /** Bytes that the operating system has taken for the caller; they never fall. */
  readonly takenBytes: () => number;
  /** Refuses what arrives, and closes the connection. */
  readonly giveUp: (reason: types.CloseReason) => void;
}

/** What one connection holds. */
export class HeldConnection {
  /** Bytes of the request that is arriving. */
  arriving = 0;
  /** Bytes of the request that is being served. */
  served = 0;
  /** Bytes that arrived behind the request that is being served. */
  ahead = 0;
  /** Bytes of a complete answer that the caller has not read. */
  unread = 0;
  /** When the first of the bytes that may be refused arrived. */
  since: ports.Milliseconds = 0;
  lastByteAt: ports.Milliseconds = 0;
  /** Objects that hold the request, counted as they are added. */
  pieces = 0;
  /** Objects that hold what waits behind it. */
  private aheadPieces = 0;
  /** Heap of the request beside the objects that hold its bytes. */
  heapBytes = 0;
  /** Whether the caller was seen to take bytes of its unread answer some time after that was completed. */
  isBeingRead = false;
  private isClosed = false;
  /** Bytes that the caller had taken when that was last asked. */
  private taken = 0;
  /** When the answer was completed. */
  private answeredAt: ports.Milliseconds = 0;
  /** When the caller was last seen to take bytes of its unread answer. */
  private takenAt: ports.Milliseconds = 0;

  constructor(
    private readonly requests: HeldRequests,
    readonly port: ConnectionPort,
  ) {}

  get total(): number {
    return this.arriving + this.served + this.ahead + this.unread;
  }

  /** Bytes that refusing the request would release. */
  get refusable(): number {
    return this.arriving + this.ahead;
  }

  /** Counts bytes of the request that is arriving; may refuse this or other requests. */
  grow(bytes: number): void {
    this.change(() => {
      this.arriving += bytes;
      this.pieces += 1;
    });
    this.requests.recordGrowth({ bytes, pieces: 1 });
  }

  /** Counts bytes of a head; the first ones begin a request. */
  growHead(bytes: number): void {
    const heapBytes = (this.heapBytes === 0 ? HEAP_BYTES_PER_REQUEST : 0) + bytes * HEAP_BYTES_PER_HEAD_BYTE;
    if (!this.isClosed) {
      this.heapBytes += heapBytes;
    }
    this.grow(bytes);
    this.requests.recordGrowth({ bytes: 0, pieces: 0, heapBytes });
  }

  /** All objects that hold something. */
  get allPieces(): number {
    return this.pieces + this.aheadPieces;
  }

  /** Sets the bytes of memory, and the objects, that hold what waits behind the request that is being served. */
  setAhead(bytes: number, pieces: number): void {
    this.change(() => {
      this.ahead = bytes;
      this.aheadPieces = pieces;
    });
  }

  /**
   * Counts a read of the connection.
   *
   * @returns true if it must not be read again before `resume` is called
   */
  countRead(bytes: number, resume: () => void): boolean {
    return this.requests.countRead(bytes, resume);
  }

  /** The request has arrived whole. It is not refused any more, since it may run. */
  serve(): void {
    this.served += this.arriving;
    this.arriving = 0;
  }

  /** The answer is complete, and so many bytes of it are not sent yet. */
  answer(unreadBytes: number): void {
    this.change(() => {
      this.served = 0;
      this.pieces = 0;
      this.heapBytes = 0;
      this.unread = unreadBytes;
      this.since = this.requests.now;
    });
    this.isBeingRead = false;
    this.taken = this.port.takenBytes();
    this.answeredAt = this.requests.now;
    this.takenAt = this.answeredAt;
  }

  /** Time since the answer was completed. */
  get answerAge(): ports.Milliseconds {
    return this.requests.now - this.answeredAt;
  }

  /** Time since the caller was last seen to take bytes of its unread answer. */
  timeWithoutProgress(): ports.Milliseconds {
    const taken = this.port.takenBytes();
    if (taken !== this.taken) {
      // At first the operating system of the caller takes bytes, whether they are read or not.
      this.isBeingRead ||= this.answerAge > this.port.stallTimeout() * LEAST_UNREAD_TIME;
      this.taken = taken;
      this.takenAt = this.requests.now;
    }
    return this.requests.now - this.takenAt;
  }

  /** The request has ended. */
  end(): void {
    this.change(() => {
      this.arriving = 0;
      this.served = 0;
      this.pieces = 0;
      this.heapBytes = 0;
      this.unread = 0;
    });
  }

  /** The connection is closed; what is counted for it afterwards is ignored. */
  close(): void {
    this.change(() => {
      this.arriving = 0;
      this.served = 0;
      this.pieces = 0;
      this.aheadPieces = 0;
      this.heapBytes = 0;
      this.ahead = 0;
      this.unread = 0;
    });
    this.isClosed = true;
  }

  private change(apply: () => void): void {
    if (this.isClosed) {
      return;
    }
    const before = { total: this.total, unread: this.unread };
    const hadRefusable = this.refusable > 0;
    apply();
    this.lastByteAt = this.requests.now;
    if (!hadRefusable && this.refusable > 0) {
      this.since = this.lastByteAt;
    }
    this.requests.onChange(this, {
      growth: this.total - before.total,
      unreadGrowth: this.unread - before.unread,
    });
  }
}

/** By how much a connection has come to hold more, or less. */
export interface HeldChange {
  /** Bytes of all that it holds. */
  readonly growth: number;
  /** Bytes of its unread answer, which are among them. */
  readonly unreadGrowth: number;
}

/** Requests held at one process; see the module comment. */
export class HeldRequests {
  readonly bounds: types.CallerBounds;
  private readonly options: HeldRequestsOptions;
  private readonly holding = new Set<HeldConnection>();
  private readonly closedByReason = new Map<string, number>();
  private readonly pace: readPace.ReadPace;
  private used = 0;
  /** Bytes of complete answers that were not read; part of `used`. */
  private unread = 0;
  private isSweepPlanned = false;
  private reportGrowth: (growth: heldMemoryTypes.Held) => void = () => undefined;

  constructor(options: HeldRequestsOptions) {
    this.options = options;
    this.bounds = options.bounds;
    this.pace = new readPace.ReadPace(options.scheduler, options.bounds.heldBytes * PACE_SHARE);
  }

  get now(): ports.Milliseconds {
    return this.options.clock.now();
  }

  /** Bytes that all connections hold. */
  get heldBytes(): number {
    return this.used;
  }

  /** What all connections hold. */
  held(): heldMemoryTypes.Held {
    let pieces = 0;
    let heapBytes = 0;
    for (const connection of this.holding) {
      pieces += connection.allPieces;
      heapBytes += connection.heapBytes;
    }
    return { bytes: this.used, pieces, heapBytes };
  }

  /** The request in part that takes the most heap; nothing of it has run. */
  largest(): heldMemoryTypes.LargestHeld | undefined {
    const connection = maximum.by(this.holding, ({ arriving, served, heapBytes }) =>
      arriving > 0 && served === 0 ? heapBytes : 0,
    );
    if (connection === undefined) {
      return undefined;
    }
    const { arriving: bytes, pieces, heapBytes, port } = connection;
    return {
      held: { bytes, pieces, heapBytes },
      fields: { listener: port.listener, bytes },
      giveUp: () => {
        this.refuse(connection, 'memory');
      },
    };
  }

  /** Sets what is called each time more is held. */
  onGrowth(callback: (growth: heldMemoryTypes.Held) => void): void {
    this.reportGrowth = callback;
  }

  /** Tells that a request holds more. */
  recordGrowth(growth: heldMemoryTypes.Held): void {
    this.reportGrowth(growth);
  }

  /**
   * Opens the account of a connection.
   *
   * @example
   * ```ts
   * const held = requests.openConnection({ listener: 'callers', stallTimeout, giveUp });
   * held.grow(bytes.length);
   * ```
   */
  openConnection(port: ConnectionPort): HeldConnection {
    return new HeldConnection(this, port);
  }

  /** Counts a read while much memory is held; see {@link HeldConnection.countRead}. */
  countRead(bytes: number, resume: () => void): boolean {
    return this.used > this.bounds.heldBytes * PACED_FROM && this.pace.count(bytes, resume);
  }

  /** Counts a closed connection; the next sweep logs the counts, since a crowd would fill the log with a line for each. */
  recordClose(listener: string, reason: types.CloseReason): void {
    this.options.metrics.count('callers.closed', 1, { listener, reason });
    const key = `${listener} ${reason}`;
    this.closedByReason.set(key, (this.closedByReason.get(key) ?? 0) + 1);
    this.planSweep();
  }

  /** Applies the bound after a connection has come to hold more or less. */
  onChange(connection: HeldConnection, { growth, unreadGrowth }: HeldChange): void {
    this.used += growth;
    this.unread += unreadGrowth;
    if (connection.total === 0) {
      this.holding.delete(connection);
      return;
    }
    this.holding.add(connection);
    this.planSweep();
    const { heldBytes } = this.bounds;
    if (growth <= 0 || this.countedBytes <= heldBytes) {
      return;
    }
    this.refuseDownTo(heldBytes * REFUSE_DOWN_TO);
    const isSmall = connection.refusable <= SMALL_REQUEST_BYTES;
    const allowed = heldBytes * (isSmall ? 1 + SMALL_REQUEST_RESERVE : 1);
    if (this.countedBytes > allowed && connection.refusable > 0) {
      this.refuse(connection, 'memory');
    }
  }

  /** Refuses requests by the bytes that they hold times the time for which they hold them. */
  private refuseDownTo(target: number): void {
    const { now } = this;
    const cost = (connection: HeldConnection): number => connection.refusable * (now - connection.since);
    this.closeUnread(() => this.countedBytes <= target);
    const candidates = [...this.holding]
      .filter((connection) => cost(connection) > 0)
      .sort((left, right) => cost(right) - cost(left));
    for (const connection of candidates) {
      if (this.countedBytes <= target) {
        return;
      }
      this.refuse(connection, 'memory');
    }
  }

  /** Bytes by which requests are judged. */
  private get countedBytes(): number {
    const { heldBytes } = this.bounds;
    const beyondShare = Math.max(0, this.unread - heldBytes * UNREAD_SHARE);
    return this.used - Math.min(beyondShare, heldBytes * UNREAD_RESERVE);
  }

  /** Closes answers without progress, by their bytes times the time for which they made none, until that is enough. */
  private closeUnread(isEnough: () => boolean): void {
    const answers = [...this.holding]
      .filter(({ unread }) => unread > 0)
      .map((connection) => ({ connection, idleTime: connection.timeWithoutProgress() }))
      .sort(
        (left, right) => right.connection.unread * right.idleTime - left.connection.unread * left.idleTime,
      );
    for (const { connection, idleTime } of answers) {
      if (isEnough()) {
        return;
      }
      if (idleTime >= this.unreadTimeout(connection)) {
        this.refuse(connection, 'unreadAnswer');
      }
    }
  }

  /** Time without progress after which an answer is closed: the more is unread, the shorter, unless its caller reads it. */
  private unreadTimeout({ port, isBeingRead, answerAge }: HeldConnection): ports.Milliseconds {
    const { heldBytes } = this.bounds;
    const stallTimeout = port.stallTimeout();
    const reserveLeft = heldBytes * (UNREAD_SHARE + UNREAD_RESERVE) - this.unread;
    if (isBeingRead && (reserveLeft >= 0 || answerAge < stallTimeout)) {
      return stallTimeout;
    }
    const share = Math.max(LEAST_UNREAD_TIME, reserveLeft / (heldBytes * UNREAD_RESERVE));
    return stallTimeout * Math.min(1, share);
  }

  private refuse(connection: HeldConnection, reason: types.CloseReason): void {
    if (this.holding.delete(connection)) {
      connection.port.giveUp(reason);
    }
  }

  private planSweep(): void {
    if (!this.isSweepPlanned) {
      this.isSweepPlanned = true;
      this.options.scheduler.after(SWEEP_INTERVAL, () => {
        this.isSweepPlanned = false;
        this.sweep();
      });
    }
  }

  /** Refuses requests that make no progress, and logs what was closed. */
  private sweep(): void {
    const { now } = this;
    const { log, metrics } = this.options;
    this.closeUnread(() => this.unread <= this.bounds.heldBytes * UNREAD_SHARE);
    for (const connection of [...this.holding]) {
      const { arriving, lastByteAt, port } = connection;
      if (arriving > 0 && (now - lastByteAt > port.stallTimeout() || port.isLate())) {
        this.refuse(connection, 'stalled');
      }
    }
    for (const [key, connections] of this.closedByReason) {
      const [listener, reason] = key.split(' ');
      log.warn('callersClosed', {
        listener,
        reason,
        connections,
        held: this.used,
        holding: this.holding.size,
      });
    }
    this.closedByReason.clear();
    metrics.gauge('callers.held_bytes', this.used);
    if (this.holding.size > 0) {
      this.planSweep();
    }
  }
}
