/**
 * Clients that do not behave: connections that send bodies which never end, or requests ahead whose answers they do not read.
 */
import * as net from 'node:net';

import * as platform from 'kumquatfront-platform';

import * as sleep from './sleep.js';

/** Bytes that one connection sends at most. */
const BYTES_PER_CONNECTION = 4 * 1024 * 1024;

const BYTES_PER_PIECE = 65_536;

/** What a connection sends. */
export type HostileKind =
  | 'bytesOfBodies'
  | 'piecesOfBodies'
  | 'bodiesCutShort'
  | 'bareRequestsAhead'
  | 'shortRequestsAhead'
  | 'wholeRequestsAhead'
  | 'streamsAhead'
  | 'bodiesAhead'
  | 'idleConnections'
  | 'unfinishedHeads';

/** Where and what a crowd of clients sends. */
export interface CrowdOptions {
  readonly host: string;
  readonly port: number;
  /** Kinds of the connections, in turn. */
  readonly kinds: readonly HostileKind[];
  readonly connections: number;
  /** Request line of requests ahead and of bodies, without the version. */
  readonly request: string;
  /** Header lines of whole requests. */
  readonly headers: readonly string[];
}

const { headers } = platform.httpNames;

/** Header lines of a whole request to the entry of the tests. */
export const callerHeaders: readonly string[] = [
  'Host: soak.example',
  'Authorization: Token key',
  `${headers.attempt}: hostile`,
  `${headers.timeLeft}: 30000`,
  `${headers.tokens}: 300,160`,
];

function head(request: string, lines: readonly string[]): string {
  return `${[`${request} HTTP/1.1`, ...lines].join('\r\n')}\r\n\r\n`;
}

function repeated(text: string, bytes: number): Buffer {
  return Buffer.from(text.repeat(Math.floor(bytes / text.length)));
}

function bytesOf(kind: HostileKind, { request, headers: lines }: CrowdOptions): Buffer {
  const post = request.replace(/^\w+/, 'POST');
  const chunked = head(post, [...lines, 'Transfer-Encoding: chunked']);
  const bare = head(request.replace(/^\w+ \S+/, 'GET /'), ['Host: a']);
  const body = 'x'.repeat(1024 * 1024);
  switch (kind) {
    case 'bytesOfBodies':
      return Buffer.concat([Buffer.from(chunked), repeated('1\r\nx\r\n', BYTES_PER_CONNECTION)]);
    case 'piecesOfBodies': {
      const piece = `${BYTES_PER_PIECE.toString(16)}\r\n${'x'.repeat(BYTES_PER_PIECE)}\r\n`;
      return Buffer.concat([
        Buffer.from(chunked),
        repeated(piece, BYTES_PER_CONNECTION - BYTES_PER_PIECE / 2),
      ]);
    }
    case 'bodiesCutShort': {
      const length = `Content-Length: ${BYTES_PER_CONNECTION}`;
      const sent = Buffer.alloc(BYTES_PER_CONNECTION - BYTES_PER_PIECE, 'x');
      return Buffer.concat([Buffer.from(head(post, [...lines, length])), sent]);
    }
    case 'bareRequestsAhead':
      return repeated(bare, BYTES_PER_CONNECTION);
    case 'shortRequestsAhead':
      return repeated(head(request, lines), BYTES_PER_CONNECTION);
    case 'wholeRequestsAhead':
      return repeated(head(request, [...lines, `X-Filler: ${'x'.repeat(200)}`]), BYTES_PER_CONNECTION);
    case 'streamsAhead':
      return repeated(head('POST /stream/x', [...lines, 'Content-Length: 0']), BYTES_PER_CONNECTION);
    case 'bodiesAhead':
      return repeated(
        head(post, [...lines, `Content-Length: ${body.length}`]) + body,
        BYTES_PER_CONNECTION + 4_096,
      );
    case 'idleConnections':
      return Buffer.alloc(0);
    case 'unfinishedHeads':
      return Buffer.from(head(request, [...lines, `X-Filler: ${'x'.repeat(14_000)}`]).slice(0, -2));
  }
}

/** A crowd of connections that read nothing. */
export class HostileCrowd {
  private readonly sockets: net.Socket[] = [];

  constructor(options: CrowdOptions) {
    const contents = options.kinds.map((kind) => bytesOf(kind, options));
    for (let index = 0; index < options.connections; index += 1) {
      const socket = net.connect(options.port, options.host);
      socket.on('error', () => undefined);
      socket.pause();
      socket.write(contents[index % contents.length] ?? '');
      this.sockets.push(socket);
    }
  }

  /** Number of connections that are not closed. */
  get openConnections(): number {
    return this.sockets.filter((socket) => !socket.destroyed).length;
  }

  /** Waits until the connections have sent everything, are closed, or are not read any more. */
  async sendAll(onSample: () => void): Promise<void> {
    let remaining = Number.POSITIVE_INFINITY;
    let unchanged = 0;
    while (unchanged < 15) {
      await sleep.forMilliseconds(100);
      onSample();
      const left = this.sockets.reduce(
        (sum, socket) => sum + (socket.destroyed ? 0 : socket.writableLength - socket.bytesWritten),
        0,
      );
      unchanged = left === remaining ? unchanged + 1 : 0;
      remaining = left;
    }
  }

  close(): void {
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }
}
