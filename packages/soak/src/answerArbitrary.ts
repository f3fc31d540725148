/**
 * Arbitrary answers of upstreams: mostly sound in each part, so that the faults meet each other.
 */
import * as fastCheck from 'fast-check';
import * as platform from 'kumquatfront-platform';
import type * as standIns from 'kumquatfront-stand-ins';

/** An answer and the call that it is sent to. */
export interface PlayedAnswer {
  readonly interim: string;
  readonly statusLine: string;
  readonly isIdentified: boolean;
  readonly fields: readonly string[];
  readonly framing: string;
  readonly body: string;
  /** Positions of cuts, as shares of the length. */
  readonly cutShares: readonly number[];
  /** Share of the bytes that are sent. */
  readonly sentShare: number;
  readonly isEarly: boolean;
  readonly then: standIns.rawAnswerServer.RawAnswer['then'];
  readonly route: string;
  readonly method: string;
  readonly requestBytes: number;
  /** True to send the call to the entry that is cut off from the upstreams. */
  readonly isRelayed: boolean;
  readonly leavesAfter: number | undefined;
}

function mostly<Value>(
  usual: fastCheck.Arbitrary<Value>,
  odd: fastCheck.Arbitrary<Value>,
  weight = 6,
): fastCheck.Arbitrary<Value> {
  return fastCheck.oneof({ weight, arbitrary: usual }, { weight: 1, arbitrary: odd });
}

const { constant, constantFrom } = fastCheck;

const oddNumbers = constantFrom(
  ...[
    '',
    '-1',
    '0',
    '1e400',
    'Infinity',
    'NaN',
    '0x10',
    '2147483648',
    '18446744073709551615',
    '9'.repeat(400),
  ],
);
const numbers = fastCheck.oneof(
  oddNumbers,
  fastCheck.integer().map(String),
  fastCheck.double({ noNaN: true }).map(String),
);
const values = mostly(
  fastCheck.oneof(
    numbers,
    fastCheck.array(numbers, { maxLength: 5 }).map((list) => list.join(',')),
    constantFrom('close', 'keep-alive', '\t', '\xff\x80', ',,,', '__proto__', 'x'.repeat(5_000)),
  ),
  fastCheck.string({ unit: 'binary-ascii', maxLength: 10 }),
);
const names = mostly(
  constantFrom(
    ...Object.values(platform.httpNames.headers),
    ...Object.keys(platform.httpNames.ignoredResponseHeaders),
    ...platform.httpNames.hopByHopHeaders,
    ...['Set-Cookie', '__proto__', 'constructor', 'hasOwnProperty', 'Via', 'Host'],
  ),
  fastCheck.string({ unit: 'binary-ascii', maxLength: 6 }),
  10,
);
const lineEnds = mostly(constant('\r\n'), constantFrom('\n', '\r', '\r\r\n'), 60);
const fields = fastCheck
  .tuple(names, mostly(constant(': '), constantFrom(':', ' : ', '', ' '), 40), values, lineEnds)
  .map((parts) => parts.join(''));

const statusLines = fastCheck
  .tuple(
    mostly(constant('HTTP/1.1'), constantFrom('HTTP/1.0', 'HTTP/2.0', 'HTTP/0.9', 'http/1.1', 'ICY', ''), 20),
    fastCheck.oneof(
      { weight: 4, arbitrary: constantFrom('200', '206', '204', '304', '301', '404', '429', '503', '500') },
      { weight: 1, arbitrary: fastCheck.integer({ min: 0, max: 9_999 }).map((value) => String(value)) },
      { weight: 1, arbitrary: constantFrom('000', '099', '100', '101', '199', '600', '999') },
    ),
    mostly(constantFrom(' OK', '', ' '), values),
    lineEnds,
  )
  .map(([version, status, reason, end]) => `${version} ${status}${reason}${end}`);

const interim = mostly(
  constant(''),
  constantFrom(
    'HTTP/1.1 100 Continue\r\n\r\n',
    'HTTP/1.1 102 Processing\r\n\r\n'.repeat(4),
    'HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: upgrade\r\n\r\n',
    'HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\nhello',
    '\r\n\r\n',
  ),
);

const framings = constantFrom(
  ...['', 'Content-Length: 5\r\n', 'Content-Length: 0\r\n', 'Transfer-Encoding: chunked\r\n'],
  ...[
    'Transfer-Encoding: gzip, chunked\r\n',
    'Transfer-Encoding: gzip\r\n',
    'Transfer-Encoding : chunked\r\n',
  ],
  ...['Content-Length: 5\r\nTransfer-Encoding: chunked\r\n', 'Content-Length: 5\r\nContent-Length: 6\r\n'],
  ...['Content-Length: +5\r\n', 'Transfer-Encoding: chunked\r\nTrailer: X-Odd\r\n'],
  `${'X-Odd: a\r\n'.repeat(1_100)}Content-Length: 5\r\n`,
);

const chunks = fastCheck
  .array(
    constantFrom(
      ...[
        '5\r\nhello\r\n',
        '5;a=b\r\nhello\r\n',
        'f\r\nid: 1\ndata: x\n\n\r\n',
        '0\r\n\r\n',
        '0\r\nX-T: a\r\n\r\n',
      ],
      ...['zz\r\n', '-1\r\n', 'FFFFFFFFFFFFFFFF\r\n', '5\nhello\n', '0\r\nContent-Length: 9\r\n\r\n'],
    ),
    { maxLength: 4 },
  )
  .map((list) => list.join(''));

/** Answers with the calls that they are sent to. */
export const played: fastCheck.Arbitrary<PlayedAnswer> = fastCheck.record({
  interim,
  statusLine: statusLines,
  isIdentified: mostly(constant(true), constant(false), 4),
  fields: fastCheck.array(fields, { maxLength: 3 }),
  framing: framings,
  body: fastCheck.oneof(chunks, constantFrom('', 'hello', 'id: 1\ndata: x\n\nid: 2\ndata: y\n\n')),
  cutShares: fastCheck.array(fastCheck.double({ min: 0, max: 1, noNaN: true }), { maxLength: 3 }),
  sentShare: mostly(constant(1), fastCheck.double({ min: 0, max: 1, noNaN: true })),
  isEarly: fastCheck.boolean(),
  then: mostly(constantFrom('end', 'end', 'reset'), constant('stayOpen'), 12),
  route: constantFrom('fragile', 'stream', 'notes'),
  method: constantFrom('GET', 'POST', 'POST', 'PUT', 'HEAD'),
  requestBytes: constantFrom(1, 1, 300_000),
  isRelayed: mostly(constant(false), constant(true), 2),
  leavesAfter: mostly<number | undefined>(constant(undefined), fastCheck.integer({ min: 1, max: 30 })),
});

/**
 * Encodes an answer.
 *
 * @param fieldsOfRequest - header lines by which it answers its request
 * @returns what the upstream sends
 * @example
 * ```ts
 * answerArbitrary.toAnswer(playedAnswer, `${headers.attempt}: a1\r\n`);
 * ```
 */
export function toAnswer(answer: PlayedAnswer, fieldsOfRequest: string): standIns.rawAnswerServer.RawAnswer {
  const identity = answer.isIdentified ? fieldsOfRequest : '';
  const head = `${answer.interim}${answer.statusLine}${identity}${answer.fields.join('')}${answer.framing}\r\n`;
  const whole = head + answer.body;
  const bytes = whole.slice(0, Math.ceil(whole.length * answer.sentShare));
  const cuts = [...new Set(answer.cutShares.map((share) => Math.floor(bytes.length * share)))]
    .filter((position) => position > 0)
    .sort((one, other) => one - other);
  return { bytes, cuts, isEarly: answer.isEarly, then: answer.then };
}
