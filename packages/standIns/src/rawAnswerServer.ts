/**
 * An upstream whose answers are given as bytes, so that it can send what no HTTP library would.
 */
import * as net from 'node:net';

/** Time between two pieces of an answer; enough for the kernel to deliver them as separate reads. */
const PIECE_INTERVAL_MS = 2;

/** One answer. */
export interface RawAnswer {
  /** The bytes, as Latin-1. */
  readonly bytes: string;
  /** Positions at which the bytes are cut into separate writes, ascending. */
  readonly cuts?: readonly number[];
  /** True to answer the head of the request, false to wait for its body. */
  readonly isEarly?: boolean;
  /** What the upstream does after the last byte. */
  readonly then: 'end' | 'reset' | 'stayOpen';
}

/** A request, as far as it has arrived. */
export interface RawRequest {
  readonly method: string;
  readonly path: string;
  /** Request line and fields, as Latin-1. */
  readonly head: string;
}

function parseRequest(received: string): RawRequest {
  const [head = ''] = received.split('\r\n\r\n');
  const [method = '', path = ''] = head.split(' ');
  return { method, path, head };
}

function piecesOf({ bytes, cuts = [] }: RawAnswer): readonly string[] {
  const starts = [0, ...cuts];
  return starts.map((start, index) => bytes.slice(start, starts[index + 1] ?? bytes.length));
}

/** True if a request has no body, or its body has arrived. */
function isWhole(received: string): boolean {
  const headLength = received.indexOf('\r\n\r\n') + 4;
  const [, length = '0'] = /^content-length: *(\d+)/im.exec(received.slice(0, headLength)) ?? [];
  return received.length >= headLength + Number(length);
}

/** The server; see the module comment. */
export class RawAnswerServer {
  private readonly server: net.Server;
  private readonly sockets = new Set<net.Socket>();

  /**
   * @param answerTo - the answer to a request; it may be asked again for the same request as more of it arrives
   */
  constructor(private readonly answerTo: (request: RawRequest) => RawAnswer) {
    this.server = net.createServer((socket) => {
      this.serve(socket);
    });
  }

  /** Listens on an address; port 0 allocates one. */
  listen(port: number, host: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        resolve((this.server.address() as net.AddressInfo).port);
      });
    });
  }

  private serve(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    let received = '';
    socket.on('data', (bytes: Buffer) => {
      received += bytes.toString('latin1');
      if (!received.includes('\r\n\r\n')) {
        return;
      }
      const answer = this.answerTo(parseRequest(received));
      if (answer.isEarly === true || isWhole(received)) {
        // The next request on this connection begins anew; the rest of the body of an early answer is not one.
        received = '';
        this.send(socket, answer, piecesOf(answer));
      }
    });
  }

  private send(socket: net.Socket, answer: RawAnswer, [first, ...others]: readonly string[]): void {
    if (socket.destroyed) {
      return;
    }
    if (first !== undefined) {
      socket.write(first, 'latin1');
      setTimeout(() => {
        this.send(socket, answer, others);
      }, PIECE_INTERVAL_MS);
    } else if (answer.then === 'end') {
      socket.end();
    } else if (answer.then === 'reset') {
      socket.resetAndDestroy();
    }
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }
}
