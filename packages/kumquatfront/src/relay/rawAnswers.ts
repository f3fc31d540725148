/**
 * Upstreams and callers for tests that write and read raw bytes of HTTP on loopback connections, so that a test decides
 * how an answer is framed, where it is cut off, and sees what a caller is told of its end.
 */
import * as net from 'node:net';

import * as connectionCheck from '../adapters/connectionCheck.js';
import * as singleUseConnection from '../adapters/singleUseConnection.js';
import * as systemTime from '../adapters/systemTime.js';
import * as relayTestHarness from './relayTestHarness.js';
import type * as types from './types.js';

/** Answer of an upstream. */
export interface Answer {
  readonly framing: types.BodyFraming;
  readonly body: string;
  /** Number of bytes of the body after which it is cut off; whole if absent. */
  readonly cutAfter?: number;
  /** `crashes`: nothing listens any more when the connection ends. */
  readonly ending: 'closes' | 'crashes' | 'resets';
}

/** How a caller asks: to keep the connection, to close it, or in HTTP/1.0, which has no chunks. */
export type CallerKind = 'keepAlive' | 'close' | 'http10';

/** All kinds of callers. */
export const CALLER_KINDS: readonly CallerKind[] = ['keepAlive', 'close', 'http10'];

/** What a caller reads. */
export interface Received {
  readonly status: number;
  readonly body: string;
  /**
   * - `complete`: a length or the last chunk states that the body is whole.
   * - `closed`: only the connection has ended, in the ordinary way.
   * - `aborted`: the caller can tell that the body is not whole.
   */
  readonly end: 'complete' | 'closed' | 'aborted';
}

const CHUNK_BYTES = 7;

function encodeHead({ framing, body }: Answer): string {
  const lines = ['HTTP/1.1 200 OK'];
  if (framing === 'length') {
    lines.push(`Content-Length: ${Buffer.byteLength(body)}`);
  } else if (framing === 'chunked') {
    lines.push('Transfer-Encoding: chunked');
  }
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function encodeBody({ framing, body, cutAfter }: Answer): string {
  const sent = body.slice(0, cutAfter);
  if (framing !== 'chunked') {
    return sent;
  }
  const chunks: string[] = [];
  for (let start = 0; start < sent.length; start += CHUNK_BYTES) {
    const chunk = sent.slice(start, start + CHUNK_BYTES);
    chunks.push(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
  }
  return chunks.join('') + (cutAfter === undefined ? '0\r\n\r\n' : '');
}

/** A server whose connections a test answers. */
export interface RawServer {
  readonly address: string;
  /** Accepts no more connections. */
  readonly stopListening: () => void;
  /** Closes all connections as well. */
  readonly close: () => void;
}

/**
 * Starts a server on a loopback connection.
 *
 * @param onConnection - called with each connection
 * @example
 * ```ts
 * const { address, close } = await rawAnswers.listen((socket) => socket.end('HTTP/1.1 200 OK\r\n\r\n'));
 * ```
 */
export function listen(onConnection: (socket: net.Socket) => void): Promise<RawServer> {
  const sockets = new Set<net.Socket>();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    onConnection(socket);
  });
  const stopListening = (): void => {
    server.close();
  };
  const close = (): void => {
    stopListening();
    for (const socket of sockets) {
      socket.destroy();
    }
  };
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as net.AddressInfo;
      resolve({ address: `127.0.0.1:${port}`, stopListening, close });
    });
  });
}

/** Starts an upstream that gives each request the same answer. */
export async function startUpstream(answer: Answer): Promise<RawServer> {
  const server = await listen((socket) => {
    socket.once('data', () => {
      socket.write(encodeHead(answer) + encodeBody(answer), () => {
        if (answer.ending === 'resets') {
          socket.resetAndDestroy();
          return;
        }
        if (answer.ending === 'crashes') {
          server.stopListening();
        }
        socket.end();
      });
    });
  });
  return server;
}

const HOP_BY_HOP: readonly string[] = ['connection', 'transfer-encoding'];

/** Port to upstreams whose answers need no decoding. */
export const upstreamPort: types.UpstreamPort = {
  send: ({ instance, request }, listener) =>
    singleUseConnection.send(
      { address: instance.address, method: 'POST', path: request.path, headers: [], body: request.body },
      systemTime.scheduler,
      {
        ...listener,
        head: (status, headers, framing) => {
          const forwarded = headers.filter(([name]) => !HOP_BY_HOP.includes(name.toLowerCase()));
          listener.head({ ...relayTestHarness.okHead, status, headers: forwarded, framing });
        },
      },
    ),
  check: (address, done) => {
    connectionCheck.run(address, systemTime.scheduler, done);
  },
  copyMemory: (_source, _target, _request, _stop, done) => {
    done({ state: 'noRun' });
  },
  releaseCopy: () => undefined,
};

const REQUESTS: Readonly<Record<CallerKind, string>> = {
  keepAlive: 'POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n',
  close: 'POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n',
  http10: 'POST / HTTP/1.0\r\nHost: h\r\nContent-Length: 0\r\n\r\n',
};

interface Parsed {
  readonly status: number;
  readonly body: string;
  /** Undefined if only the connection can end the body. */
  readonly isComplete: boolean | undefined;
}

function parseChunks(text: string): { body: string; isComplete: boolean } {
  let body = '';
  for (let rest = text; ;) {
    const [, size = '', data = ''] = /^([0-9a-f]+)\r\n([^]*)$/i.exec(rest) ?? [];
    const length = Number.parseInt(size, 16);
    if (length === 0) {
      return { body, isComplete: data.startsWith('\r\n') };
    }
    body += data.slice(0, length);
    if (Number.isNaN(length) || data.length < length + 2) {
      return { body, isComplete: false };
    }
    rest = data.slice(length + 2);
  }
}

function parse(text: string): Parsed | undefined {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) {
    return undefined;
  }
  const head = text.slice(0, headEnd);
  const status = Number(head.split(' ')[1]);
  const rest = text.slice(headEnd + 4);
  const [, length] = /\r\ncontent-length: (\d+)/i.exec(head) ?? [];
  if (/\r\ntransfer-encoding: chunked/i.test(head)) {
    return { status, ...parseChunks(rest) };
  }
  const isComplete = length === undefined ? undefined : rest.length >= Number(length);
  return { status, body: rest, isComplete };
}

/** Sends a request to an entry, and reads its answer until it is complete or its connection ends. */
export function receive(port: number, kind: CallerKind): Promise<Received> {
  return new Promise((resolve) => {
    const socket = net.connect(port, '127.0.0.1');
    let text = '';
    let wasReset = false;
    const settle = (end: Received['end']): void => {
      const { status = 0, body = '' } = parse(text) ?? {};
      resolve({ status, body, end });
      socket.destroy();
    };
    socket.on('data', (bytes) => {
      text += bytes.toString('latin1');
      if (parse(text)?.isComplete === true) {
        settle('complete');
      }
    });
    socket.on('error', () => {
      wasReset = true;
    });
    socket.on('close', () => {
      const isDelimited = parse(text)?.isComplete !== undefined;
      settle(isDelimited || wasReset ? 'aborted' : 'closed');
    });
    socket.write(REQUESTS[kind]);
  });
}
