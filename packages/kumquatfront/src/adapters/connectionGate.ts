/**
 * Passes the bytes of a connection to the HTTP parser one request at a time. Node.js parses all of a read at once: 64 KiB hold
 * more than two thousand short requests, each with its objects, its handler and its answer, before anything can stop them.
 */
import type * as http from 'node:http';
import type * as net from 'node:net';

import * as byteCollector from '../buffers/byteCollector.js';
import * as defaultBounds from '../callerBounds/defaultBounds.js';
import type * as heldRequests from '../callerBounds/heldRequests.js';

/** Bytes that may wait for the parser before the connection is not read any more; the size of one read. */
const WAITING_BYTES = 65_536;

/** Bytes that a client may have sent behind the request that is served: another request of the largest size. */
const MAXIMUM_AHEAD_BYTES = defaultBounds.MAXIMUM_BODY_BYTES + WAITING_BYTES;

/** Bytes that are ignored of a request that is refused before its end: the rest of the largest one, as many clients send all before they read. */
const MAXIMUM_DISCARDED_BYTES = MAXIMUM_AHEAD_BYTES;

/** Bytes of a chunked body that are parsed at once, until its chunks prove to be large. */
const CHUNKED_PIECE_BYTES = 8_192;

/** Chunks in one piece up to which the next piece may be larger. */
const FEW_CHUNKS = 16;

/** Chunks and pieces from which the connection takes turns with others. */
const STEPS_PER_TURN = 128;

/** Line feed, the last byte of a head. */
const LINE_FEED = 10;

/** Connections with bodies in small chunks: one piece of one connection for each iteration of the event loop. */
export class ChunkTurns {
  private readonly queue: (() => void)[] = [];
  private isPlanned = false;

  /** Runs a piece in turn. */
  add(run: () => void): void {
    this.queue.push(run);
    this.plan();
  }

  private plan(): void {
    if (!this.isPlanned) {
      this.isPlanned = true;
      setImmediate(this.next);
    }
  }

  private readonly next = (): void => {
    this.isPlanned = false;
    this.queue.shift()?.();
    if (this.queue.length > 0) {
      this.plan();
    }
  };
}

/** Dependencies of {@link ConnectionGate}. */
export interface GateOptions {
  readonly held: heldRequests.HeldConnection;
  readonly turns: ChunkTurns;
  readonly requestsAhead: number;
  readonly onTooMuchAhead: () => void;
}

/** A request and its answer. */
export interface CurrentRequest {
  readonly incoming: http.IncomingMessage;
  readonly outgoing: http.ServerResponse;
}

/** Length of the bytes up to the first empty line, which ends a head and a chunked body; all of them if there is none. */
function lengthToEmptyLine(bytes: Buffer): number {
  const at = bytes.indexOf('\n\r\n');
  const length = at < 0 ? bytes.length : at + 3;
  // A line may end without a carriage return.
  const bareAt = bytes.subarray(0, length).indexOf('\n\n');
  return bareAt < 0 ? length : bareAt + 2;
}

function countHeads(bytes: Buffer, limit: number): number {
  let count = 0;
  let rest = bytes;
  while (count <= limit) {
    const length = lengthToEmptyLine(rest);
    if (length === rest.length) {
      return count;
    }
    count += 1;
    rest = rest.subarray(length);
  }
  return count;
}

/** One connection; see the module comment. */
export class ConnectionGate {
  /** Answers that were completed on this connection. */
  answers = 0;
  private readonly pass: (bytes: Buffer | null) => boolean;
  private readonly startReading: () => void;
  private readonly open: CurrentRequest[] = [];
  /** Bytes that are parsed next. */
  private next: Buffer | undefined;
  /** Bytes behind them: a client may send single bytes, each of which would keep an object until the request before is answered. */
  private readonly behind = new byteCollector.ByteCollector();
  private reportedBytes = 0;
  private headsAhead = 0;
  private chunksInPiece = 0;
  private stepsInTurn = 0;
  /** Bytes that the body of the arriving request still has; undefined if that is not known. */
  private bodyLeft: number | undefined;
  private pieceBytes = CHUNKED_PIECE_BYTES;
  private hasEnded = false;
  private isPassing = false;
  private isInTurn = false;
  private isReading = true;
  /** Whether the connection waits until the pace of the process lets it be read. */
  private isPaused = false;
  private discardedBytes: number | undefined;

  constructor(
    private readonly socket: net.Socket,
    private readonly options: GateOptions,
  ) {
    const push = socket.push.bind(socket);
    const read = socket._read.bind(socket);
    this.pass = (bytes) => push(bytes);
    this.startReading = () => {
      read(0);
    };
    socket.push = (bytes: Buffer | null): boolean => this.receive(bytes);
    socket._read = () => {
      this.onDrained();
    };
    // Without such a listener the parser reads from the handle directly, past the stream.
    socket.on('data', () => undefined);
  }

  /** The request that arrived last and is not answered; undefined between requests. */
  get request(): CurrentRequest | undefined {
    return this.open.at(-1);
  }

  /** True while a request that has arrived whole is served. */
  get isServing(): boolean {
    return this.open[0]?.incoming.complete === true;
  }

  /** A request has begun. */
  begin(incoming: http.IncomingMessage, outgoing: http.ServerResponse): void {
    this.open.push({ incoming, outgoing });
    this.pieceBytes = CHUNKED_PIECE_BYTES;
    const { 'content-length': contentLength } = incoming.headers;
    this.bodyLeft = contentLength === undefined ? undefined : Number(contentLength);
  }

  /** The answer to the oldest request has ended. */
  end(): void {
    this.open.shift();
    this.answers += 1;
    this.run();
  }

  /** Counts a chunk of the body. */
  countChunk(): void {
    this.chunksInPiece += 1;
  }

  /** Ignores all that arrives from now on; the connection is closed when that is too much. */
  discard(): void {
    this.discardedBytes ??= 0;
    this.clearWaiting();
    this.updateReading();
  }

  private get isDiscarding(): boolean {
    return this.discardedBytes !== undefined;
  }

  private receive(bytes: Buffer | null): boolean {
    if (bytes === null) {
      this.hasEnded = true;
      if (this.isServing) {
        // The caller may have left: that must not wait until the requests behind this one are served.
        this.clearWaiting();
      }
      this.passEnd();
      return false;
    }
    if (this.discardedBytes === undefined) {
      this.hold(bytes);
    } else {
      this.discardedBytes += bytes.length;
      if (this.discardedBytes > MAXIMUM_DISCARDED_BYTES) {
        this.socket.destroy();
      }
    }
    this.keepPace(bytes.length);
    return this.isReading;
  }

  private hold(bytes: Buffer): void {
    const isFirst = this.waitingBytes === 0;
    this.behind.append(bytes);
    this.run();
    this.checkAhead(isFirst ? this.takeNext() : bytes);
  }

  private get waitingBytes(): number {
    return (this.next?.length ?? 0) + this.behind.size;
  }

  private takeNext(): Buffer | undefined {
    this.next ??= this.behind.takeBlock();
    return this.next;
  }

  private keepPace(bytes: number): void {
    this.isPaused ||= this.options.held.countRead(bytes, () => {
      this.isPaused = false;
      this.updateReading();
    });
    this.updateReading();
  }

  private clearWaiting(): void {
    this.next = undefined;
    this.behind.clear();
  }

  private passEnd(): void {
    if (this.hasEnded && this.waitingBytes === 0) {
      this.hasEnded = false;
      this.pass(null);
    }
  }

  /** Closes the connection of a client that has sent too much behind the request that is served. */
  private checkAhead(newest: Buffer | undefined): void {
    if (newest === undefined || !this.isServing) {
      return;
    }
    const { requestsAhead, onTooMuchAhead } = this.options;
    this.headsAhead += countHeads(newest, requestsAhead);
    if (this.headsAhead > requestsAhead || this.waitingBytes > MAXIMUM_AHEAD_BYTES) {
      onTooMuchAhead();
    }
  }

  /** The parser takes more, or the connection is to be read again. */
  private onDrained(): void {
    if (this.waitingBytes > 0) {
      this.run();
    } else if (!this.isPaused) {
      this.startReading();
    }
  }

  private get canPass(): boolean {
    const isTaken = this.socket.readableLength < WAITING_BYTES;
    return !this.isServing && !this.isInTurn && isTaken && !this.socket.destroyed;
  }

  private run(): void {
    if (this.isPassing) {
      return;
    }
    this.isPassing = true;
    this.stepsInTurn = 0;
    for (let next = this.takeNext(); next !== undefined && this.canPass; next = this.takeNext()) {
      this.passPiece(next);
    }
    this.isPassing = false;
    this.updateReading();
    this.passEnd();
  }

  private passPiece(next: Buffer): void {
    const { request } = this;
    const length = this.pieceLength(next);
    this.next = length === next.length ? undefined : next.subarray(length);
    this.chunksInPiece = 0;
    if (request === undefined) {
      this.headsAhead = Math.max(0, this.headsAhead - 1);
      this.options.held.growHead(length);
    }
    if (this.isDiscarding) {
      return;
    }
    this.pass(next.subarray(0, length));
    if (request === undefined && next[length - 1] !== LINE_FEED) {
      // The head ended within the piece, which therefore holds an unknown part of the body.
      this.bodyLeft = undefined;
    }
    if (this.isServing) {
      this.options.held.serve();
    }
    this.adapt();
  }

  private pieceLength(next: Buffer): number {
    const { request, bodyLeft } = this;
    if (request !== undefined && bodyLeft !== undefined && bodyLeft > 0) {
      const length = Math.min(next.length, bodyLeft);
      this.bodyLeft = bodyLeft - length;
      return length;
    }
    const isChunked = request?.incoming.headers['transfer-encoding'] !== undefined;
    return lengthToEmptyLine(isChunked ? next.subarray(0, this.pieceBytes) : next);
  }

  /** Parses small chunks in turn with other connections, and large ones read by read. */
  private adapt(): void {
    if (this.chunksInPiece > 0 && this.chunksInPiece <= FEW_CHUNKS) {
      this.pieceBytes = WAITING_BYTES;
    } else if (this.chunksInPiece > FEW_CHUNKS) {
      this.pieceBytes = CHUNKED_PIECE_BYTES;
    }
    this.stepsInTurn += 1 + this.chunksInPiece;
    if (this.stepsInTurn >= STEPS_PER_TURN && this.waitingBytes > 0) {
      this.takeTurn();
    }
  }

  private takeTurn(): void {
    this.isInTurn = true;
    this.options.turns.add(() => {
      this.isInTurn = false;
      this.run();
    });
  }

  private updateReading(): void {
    const { waitingBytes } = this;
    const isFull = waitingBytes >= WAITING_BYTES && !this.isServing;
    if (waitingBytes !== this.reportedBytes) {
      this.reportedBytes = waitingBytes;
      const { length } = this.next ?? '';
      this.options.held.setAhead(length + this.behind.memory, this.behind.pieces + (length > 0 ? 1 : 0));
    }
    const isStopped = isFull || this.isPaused;
    if (this.isReading !== isStopped) {
      return;
    }
    this.isReading = !isStopped;
    if (this.isReading && !this.socket.destroyed) {
      this.startReading();
    }
  }
}
