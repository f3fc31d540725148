/**
 * `npm run measure:collecting`: measures the processor time and the memory of ways to hold bytes that arrive in pieces.
 */
import * as kumquatfront from 'kumquatfront';

/** Largest read of a connection. */
const READ_BYTES = 65_536;

/** Bytes of framing for each chunk: its size and two line ends. */
const FRAMING_BYTES = 6;

/** Heap of a `Buffer` in a list, as docs/design/held-memory.md has it. */
const COST_OF_PIECE = 110;

const TRIALS = 5;

/** Holds pieces in one way. */
interface Holding {
  readonly add: (piece: Buffer) => void;
  /** Ends a read. */
  readonly endRead: () => void;
  /** Bytes that a bound would count. */
  readonly counted: () => number;
  /** Keeps what is held reachable until it was measured. */
  readonly held: () => unknown;
}

const ignore = (): void => undefined;

function createList(costOfPiece: number): Holding {
  const pieces: Buffer[] = [];
  let counted = 0;
  return {
    add: (piece) => {
      pieces.push(piece);
      counted += piece.length + costOfPiece;
    },
    ...{ endRead: ignore, counted: () => counted, held: () => pieces },
  };
}

function createCollector(): Holding {
  const collector = new kumquatfront.byteCollector.ByteCollector();
  return {
    add: (piece) => {
      collector.append(piece);
    },
    ...{ endRead: ignore, counted: () => collector.memory, held: () => collector },
  };
}

/** Joins the pieces of one read, and keeps the reads. */
function createReads(): Holding {
  const reads: Buffer[] = [];
  let pieces: Buffer[] = [];
  let counted = 0;
  return {
    add: (piece) => {
      pieces.push(piece);
    },
    endRead: () => {
      const read = Buffer.concat(pieces);
      pieces = [];
      reads.push(read);
      counted += read.length;
    },
    ...{ counted: () => counted, held: () => reads },
  };
}

const ways: readonly (readonly [string, () => Holding])[] = [
  ['pieces are made and dropped', () => ({ add: ignore, endRead: ignore, counted: () => 0, held: ignore })],
  ['pieces kept, bytes counted', () => createList(0)],
  ['pieces kept, a cost for each counted', () => createList(COST_OF_PIECE)],
  ['joined for each read', createReads],
  ['collector in blocks', createCollector],
];

interface Result {
  readonly microseconds: number;
  readonly heap: number;
  readonly buffers: number;
  readonly counted: number;
}

/** Holds bytes in pieces of a size; all figures are for a megabyte. */
function measure(create: () => Holding, pieceBytes: number, bytes: number, piecesInRead: number): Result {
  global.gc?.();
  const before = process.memoryUsage();
  const holding = create();
  const startedAt = process.cpuUsage();
  const count = Math.ceil(bytes / pieceBytes);
  for (let index = 1; index <= count; index += 1) {
    // With memory of its own, as the parser of Node.js passes a chunk on.
    holding.add(Buffer.allocUnsafeSlow(pieceBytes));
    if (index % piecesInRead === 0 || index === count) {
      holding.endRead();
    }
  }
  const { user, system } = process.cpuUsage(startedAt);
  global.gc?.();
  const after = process.memoryUsage();
  holding.held();
  const megabytes = (count * pieceBytes) / 1e6;
  return {
    microseconds: (user + system) / megabytes,
    heap: (after.heapUsed - before.heapUsed) / megabytes / 1e6,
    buffers: (after.arrayBuffers - before.arrayBuffers) / megabytes / 1e6,
    counted: holding.counted() / megabytes / 1e6,
  };
}

function median(values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;
}

function report(label: string, create: () => Holding, pieceBytes: number, piecesInRead: number): void {
  const bytes = pieceBytes === 1 ? 400_000 : 8_000_000;
  measure(create, pieceBytes, bytes / 4, piecesInRead);
  const results = Array.from({ length: TRIALS }, () => measure(create, pieceBytes, bytes, piecesInRead));
  const of = (part: keyof Result): number => median(results.map((result) => result[part]));
  process.stdout.write(
    `${String(pieceBytes).padStart(6)}  ${String(piecesInRead).padStart(6)}  ${label.padEnd(38)}` +
      `${of('microseconds').toFixed(0).padStart(10)}  ${of('heap').toFixed(2).padStart(8)}` +
      `${of('buffers').toFixed(2).padStart(10)}  ${of('counted').toFixed(2).padStart(8)}\n`,
  );
}

process.stdout.write(
  ' piece  a read  way                                     CPU us/MB   heap MB  buffers MB  counted MB, each for a MB\n',
);
for (const pieceBytes of [1, 40, 1_400, 65_536]) {
  const most = Math.max(1, Math.floor(READ_BYTES / (pieceBytes + FRAMING_BYTES)));
  for (const piecesInRead of most === 1 ? [1] : [most, 1]) {
    for (const [label, create] of ways) {
      report(label, create, pieceBytes, piecesInRead);
    }
  }
}
