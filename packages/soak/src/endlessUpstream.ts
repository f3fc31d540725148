/**
 * An upstream, in a thread of its own, whose responses do not end: it sends bytes until its connection is closed.
 */
import * as net from 'node:net';
import * as worker from 'node:worker_threads';

import * as platform from 'kumquatfront-platform';

/** Ways in which a response does not end. */
export const forms = [
  'body',
  'chunks',
  'refusedBody',
  'unsignedBody',
  'errorBody',
  'interimResponses',
  'headLines',
  'event',
  'comments',
] as const;

/** One way in which a response does not end, in well-formed pieces. */
export type PieceForm = 'oneByteChunks' | 'smallEvents' | 'largeEvents';

/** One way in which a response does not end. */
export type EndlessForm = (typeof forms)[number] | PieceForm;

/** What the thread is started with. */
export interface EndlessUpstreamOptions {
  readonly form: EndlessForm;
  /** Address that the server binds. */
  readonly host: string;
  readonly port: number;
  /** Bytes that one connection is sent in a second at most; {@link BYTES_PER_SECOND} by default. */
  readonly bytesPerSecond?: number;
}

/** Bytes that one connection is sent in a second at most, unless others are stated. */
export const BYTES_PER_SECOND = 20_000_000;

/** What the thread tells of each closed connection. */
export interface ClosedConnection {
  readonly milliseconds: number;
  readonly bytes: number;
}

const ATTEMPT = new RegExp(`${platform.httpNames.headers.attempt}: *([^\\r]*)`, 'i');

const WRITE_INTERVAL_MS = 3;

/** Bytes of one event, by form. */
const EVENT_BYTES: Partial<Record<EndlessForm, number>> = { smallEvents: 40, largeEvents: 1_000 };

function headOf(form: EndlessForm, attempt: string): string {
  const { headers } = platform.httpNames;
  const echo = `${headers.attempt}: ${attempt}\r\n`;
  const signed = `${echo}${headers.signature}: s\r\n`;
  const stream = `HTTP/1.1 200 OK\r\n${signed}Content-Type: text/event-stream\r\n\r\n`;
  switch (form) {
    case 'body':
      return `HTTP/1.1 200 OK\r\n${signed}\r\n`;
    case 'chunks':
    case 'oneByteChunks':
      return `HTTP/1.1 200 OK\r\n${signed}Transfer-Encoding: chunked\r\n\r\n`;
    case 'refusedBody':
      return `HTTP/1.1 503 Full\r\n${echo}${headers.notRun}: 1\r\n\r\n`;
    case 'unsignedBody':
      return 'HTTP/1.1 200 OK\r\n\r\n';
    case 'errorBody':
      return `HTTP/1.1 500 Failed\r\n${echo}\r\n`;
    case 'event':
      return `${stream}id: 1\ndata: x\n\nid: 2\ndata: `;
    case 'comments':
    case 'smallEvents':
    case 'largeEvents':
      return stream;
    case 'headLines':
      return 'HTTP/1.1 200 OK\r\n';
    case 'interimResponses':
      return '';
  }
}

function repeatedBytes(form: EndlessForm, count: number): Buffer {
  const unit: Partial<Record<EndlessForm, string>> = {
    chunks: `400\r\n${'x'.repeat(1_024)}\r\n`,
    oneByteChunks: '1\r\nx\r\n',
    interimResponses: 'HTTP/1.1 102 Processing\r\n\r\n',
    headLines: `X-Line: ${'x'.repeat(900)}\r\n`,
    comments: ': x\n\n',
  };
  const text = unit[form] ?? 'x';
  return Buffer.from(text.repeat(Math.ceil(count / text.length)));
}

/** Events whose identities follow on those of the pieces before. */
function eventsOf(piece: number, count: number, eventBytes: number): Buffer {
  const length = Math.floor(count / eventBytes);
  const events = Array.from({ length }, (_none, index) => {
    const start = `id: ${piece * length + index + 1}\ndata: `;
    return `${start.padEnd(eventBytes - 2, 'x')}\n\n`;
  });
  return Buffer.from(events.join(''));
}

/** Returns the bytes that a connection is sent by the number of its write. */
function contentOf(form: EndlessForm, count: number): (piece: number) => Buffer {
  const eventBytes = EVENT_BYTES[form];
  if (eventBytes === undefined) {
    const repeated = repeatedBytes(form, count);
    return () => repeated;
  }
  // Shared by the connections, since making them takes longer than sending them.
  const pieces: Buffer[] = [];
  return (piece) => (pieces[piece] ??= eventsOf(piece, count, eventBytes));
}

function serve({ form, host, port, bytesPerSecond = BYTES_PER_SECOND }: EndlessUpstreamOptions): void {
  const writeBytes = Math.floor((bytesPerSecond * WRITE_INTERVAL_MS) / 1_000);
  const content = contentOf(form, writeBytes);
  const server = net.createServer((socket) => {
    const openedAt = performance.now();
    socket.on('error', () => undefined);
    socket.once('data', (request: Buffer) => {
      const [, attempt = ''] = ATTEMPT.exec(request.toString('latin1')) ?? [];
      socket.write(headOf(form, attempt));
      let piece = 0;
      const timer = setInterval(() => {
        if (socket.writableLength < writeBytes) {
          socket.write(content(piece));
          piece += 1;
        }
      }, WRITE_INTERVAL_MS);
      socket.once('close', () => {
        clearInterval(timer);
        const closed: ClosedConnection = {
          milliseconds: performance.now() - openedAt,
          bytes: socket.bytesWritten,
        };
        worker.parentPort?.postMessage(closed);
      });
    });
  });
  server.listen(port, host);
}

if (!worker.isMainThread) {
  serve(worker.workerData as EndlessUpstreamOptions);
}
