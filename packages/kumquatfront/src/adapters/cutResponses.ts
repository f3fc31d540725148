/**
 * Responses of an upstream that are cut after any of their bytes, for tests of readers: each position and each way in which the
 * connection can end there is one exchange.
 */
import * as net from 'node:net';

import type * as relayTypes from '../relay/types.js';

/**
 * How the connection ends after the last byte that is sent. `lateEnd` and `lateReset` leave the reader time to read it first; `reset`
 * discards what it has not read.
 */
export type Ending = 'end' | 'lateEnd' | 'reset' | 'lateReset';

/** All endings. */
export const ENDINGS: readonly Ending[] = ['end', 'lateEnd', 'reset', 'lateReset'];

/** A response that can be cut. */
export interface WholeBytes {
  readonly name: string;
  readonly method: string;
  /** The head with its last line and the interim responses before it, as Latin-1. */
  readonly head: string;
  /** The body as it is framed, as Latin-1. */
  readonly framedBody: string;
  /** Number of its bytes that hold all of the content. */
  readonly contentBytes: number;
  readonly framing: relayTypes.BodyFraming;
}

/** A response that is cut at one position, in one way. */
export interface Cut {
  readonly bytes: string;
  readonly ending: Ending;
  /** True to answer while the body of the request is still being sent. */
  readonly isEarly?: boolean;
}

/**
 * What a reader may report of a cut response.
 *
 * - `noHead`: a failure, and no head.
 * - `noEnd`: a failure; what came before may have been passed on.
 * - `unconfirmed`: an end that nothing but the connection states, or a failure.
 * - `whole`: the whole response; after a reset also a failure.
 */
export type Permitted = 'noHead' | 'noEnd' | 'unconfirmed' | 'whole';

/** What a reader has reported. */
export interface Reported {
  readonly hasHead: boolean;
  readonly end: 'failed' | 'unconfirmed' | 'whole';
  /** A request that follows from the whole response has not arrived. */
  readonly lacksRequest?: boolean;
}

/** Time after which a late ending follows the last byte, in milliseconds. */
const LATE_ENDING_MS = 8;

/** Tries of an exchange one of whose requests did not arrive: on a busy machine, a connection may not be established in the time of its reader. */
const MAXIMUM_TRIES = 4;

const WHOLE_FAILED = 'a whole response failed';

/** Exchanges of a test that are open at a time. */
const LANES = 16;

const LINE_END_BYTES = 2;

const OK = 'HTTP/1.1 200 OK\r\n';

function chunksOf(body: string): string {
  const half = Math.ceil(body.length / 2);
  const chunks = [body.slice(0, half), body.slice(half)].filter((part) => part !== '');
  return chunks.map((part) => `${part.length.toString(16)};a=b\r\n${part}\r\n`).join('');
}

/**
 * Creates responses in each framing.
 *
 * @param method - method of the request
 * @param body - the body, ASCII
 * @param fields - further lines of the heads
 * @example
 * ```ts
 * const [withLength] = cutResponses.createAll('GET', '{"born":7}');
 * ```
 */
export function createAll(method: string, body: string, fields = ''): readonly WholeBytes[] {
  const length = `Content-Length: ${body.length}\r\n\r\n`;
  const chunked = 'Transfer-Encoding: chunked\r\n';
  const chunks = chunksOf(body);
  const create = (
    name: string,
    head: string,
    framedBody: string,
    framing: relayTypes.BodyFraming,
  ): WholeBytes => ({
    ...{ name, method, head, framedBody: method === 'HEAD' ? '' : framedBody },
    contentBytes: framing === 'chunked' ? chunks.length - LINE_END_BYTES : body.length,
    framing: method === 'HEAD' ? 'length' : framing,
  });
  return [
    create('a length', `${OK}${fields}${length}`, body, 'length'),
    create(
      'interim responses',
      `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n${OK}${fields}${length}`,
      body,
      'length',
    ),
    create('a length, to be closed', `${OK}${fields}Connection: close\r\n${length}`, body, 'length'),
    create('chunks', `${OK}${fields}${chunked}\r\n`, `${chunks}0\r\n\r\n`, 'chunked'),
    create(
      'chunks, to be closed',
      `${OK}${fields}Connection: close\r\n${chunked}\r\n`,
      `${chunks}0\r\n\r\n`,
      'chunked',
    ),
    create(
      'chunks and a trailer',
      `${OK}${fields}${chunked}Trailer: X-Sum\r\n\r\n`,
      `${chunks}0\r\nX-Sum: 7\r\n\r\n`,
      'chunked',
    ),
    create('neither length nor chunks', `${OK}${fields}\r\n`, body, 'connection'),
    create('neither, in HTTP/1.0', `HTTP/1.0 200 OK\r\n${fields}\r\n`, body, 'connection'),
  ];
}

/**
 * Tells what may be reported of a response of which only the first bytes were sent.
 *
 * @param sentBytes - number of bytes before the end of the connection
 * @example
 * ```ts
 * cutResponses.permitted(response, response.head.length - 1, 'end'); // 'noHead'
 * ```
 */
export function permitted(
  { head, framedBody, framing }: WholeBytes,
  sentBytes: number,
  ending: Ending,
): Permitted {
  if (sentBytes < head.length) {
    return 'noHead';
  }
  if (framing === 'connection') {
    return ending === 'end' || ending === 'lateEnd' ? 'unconfirmed' : 'noEnd';
  }
  return sentBytes < head.length + framedBody.length ? 'noEnd' : 'whole';
}

/**
 * Names what a reader may not have reported.
 *
 * @returns the problem; undefined if there is none
 * @example
 * ```ts
 * cutResponses.problemOf('noEnd', 'end', { hasHead: true, end: 'whole' }); // 'whole after a cut'
 * ```
 */
export function problemOf(
  allowed: Permitted,
  ending: Ending,
  { hasHead, end }: Reported,
): string | undefined {
  if (end === 'failed') {
    const isLost = allowed === 'whole' && (ending === 'end' || ending === 'lateEnd');
    return isLost ? WHOLE_FAILED : headProblem(allowed, hasHead);
  }
  const isPermitted =
    end === 'whole' ? allowed === 'whole' : allowed === 'unconfirmed' || allowed === 'whole';
  return isPermitted ? undefined : `${end} after a cut`;
}

function headProblem(allowed: Permitted, hasHead: boolean): string | undefined {
  return allowed === 'noHead' && hasHead ? 'a head after a cut' : undefined;
}

/** An upstream that sends one cut response at a time. */
export class CutUpstream {
  private readonly server: net.Server;
  private readonly sockets = new Set<net.Socket>();
  /** The response to a request, which is given as the bytes of its head. */
  cutFor: (request: string) => Cut = () => ({ bytes: '', ending: 'reset' });

  private constructor() {
    this.server = net.createServer((socket) => {
      this.serve(socket);
    });
  }

  /** Starts the upstream on a port of its own. */
  static async start(): Promise<CutUpstream> {
    const upstream = new CutUpstream();
    await new Promise<void>((resolve) => {
      upstream.server.listen(0, '127.0.0.1', resolve);
    });
    return upstream;
  }

  /** `ip:port` */
  get address(): string {
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  private serve(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    let received = '';
    const onData = (bytes: Buffer): void => {
      received += bytes.toString('latin1');
      const headLength = received.indexOf('\r\n\r\n') + 4;
      if (headLength < 4) {
        return;
      }
      const [, length = '0'] = /^content-length: *(\d+)/im.exec(received.slice(0, headLength)) ?? [];
      const cut = this.cutFor(received.slice(0, headLength));
      if (cut.isEarly === true || received.length >= headLength + Number(length)) {
        socket.off('data', onData);
        if (cut.isEarly === true) {
          // The rest of the request stays unread.
          socket.pause();
        }
        send(socket, cut);
      }
    };
    socket.on('data', onData);
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }
}

function send(socket: net.Socket, { bytes, ending }: Cut): void {
  const finish = (): void => {
    if (ending === 'end' || ending === 'lateEnd') {
      socket.end();
    } else {
      socket.resetAndDestroy();
    }
  };
  if (bytes !== '') {
    socket.write(bytes, 'latin1');
  }
  if (ending === 'lateEnd' || ending === 'lateReset') {
    setTimeout(finish, LATE_ENDING_MS);
  } else {
    finish();
  }
}

/** What a test plays beside the position and the way of a cut. */
export interface PlayOptions {
  /** True to answer while the body of the request is still being sent. */
  readonly isEarly?: boolean;
  /** What may be reported; {@link permitted} by default. */
  readonly permit?: typeof permitted;
  /** All by default. */
  readonly endings?: readonly Ending[];
}

/**
 * Plays each response cut at each position in each way, and whole, to a reader.
 *
 * @param read - sends a request to the upstream, and tells what its reader has reported
 * @returns what no reader may report
 * @example
 * ```ts
 * const problems = await cutResponses.playAll(cutResponses.createAll('GET', 'sound'), (upstream) => read(upstream.address));
 * ```
 */
export async function playAll(
  responses: readonly WholeBytes[],
  read: (upstream: CutUpstream, response: WholeBytes) => Promise<Reported>,
  { isEarly = false, permit = permitted, endings = ENDINGS }: PlayOptions = {},
): Promise<readonly string[]> {
  const problems: string[] = [];
  const plays = responses.flatMap((response) => {
    const bytes = response.head + response.framedBody;
    return Array.from({ length: bytes.length + 1 }, (_none, sentBytes) =>
      endings.map((ending) => ({ response, sentBytes, ending, bytes: bytes.slice(0, sentBytes) })),
    ).flat();
  });
  const pending = plays.values();
  const runLane = async (): Promise<void> => {
    const upstream = await CutUpstream.start();
    try {
      for (const { response, sentBytes, ending, bytes } of pending) {
        let arrivals = 0;
        const play = async (): Promise<string | undefined> => {
          upstream.cutFor = () => {
            arrivals += 1;
            return { bytes, ending, isEarly };
          };
          const reported = await read(upstream, response);
          arrivals = reported.lacksRequest === true ? 0 : arrivals;
          return problemOf(permit(response, sentBytes, ending), ending, reported);
        };
        let problem = await play();
        for (let tries = 1; problem === WHOLE_FAILED && arrivals === 0 && tries < MAXIMUM_TRIES; tries += 1) {
          problem = await play();
        }
        if (problem !== undefined) {
          problems.push(`${response.method}, ${response.name}, ${sentBytes} bytes, ${ending}: ${problem}`);
        }
      }
    } finally {
      upstream.close();
    }
  };
  await Promise.all(Array.from({ length: LANES }, runLane));
  return problems;
}
