/**
 * Reads of many pieces per interval, over all connections of a process.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as virtualTime from '../kernel/virtualTime.js';
import * as piecePace from './piecePace.js';

/** Chunks of one byte in a read of 64 KiB. */
const MOST_PIECES = 10_922;

const PIECES_PER_SECOND = 120_000;

/** Reads at which a connection that never has to wait gives up. */
const MOST_READS = 1_000_000;

/** A connection that is read again as soon as it may be. */
class GreedyConnection {
  reads = 0;
  isOpen = true;
  private readonly paced: piecePace.PacedReads;

  constructor(
    pace: piecePace.PiecePace,
    private readonly piecesPerRead: number,
  ) {
    this.paced = pace.openConnection({ isOpen: () => this.isOpen, resume: this.read });
  }

  readonly read = (): void => {
    do {
      this.reads += 1;
    } while (!this.paced.count(this.piecesPerRead) && this.reads < MOST_READS);
  };

  get pieces(): number {
    return this.reads * this.piecesPerRead;
  }
}

class Fixture {
  readonly time = new virtualTime.VirtualTime();
  readonly pace = new piecePace.PiecePace(this.time, this.time);

  /** Starts connections that always have more to read. */
  readGreedily(count: number, piecesPerRead = MOST_PIECES): readonly GreedyConnection[] {
    const connections = Array.from({ length: count }, () => new GreedyConnection(this.pace, piecesPerRead));
    for (const { read } of connections) {
      read();
    }
    return connections;
  }

  /** Opens a connection that tells when it was resumed. */
  open(): { readonly paced: piecePace.PacedReads; readonly resumedAt: () => number | undefined } {
    let resumedAt: number | undefined;
    const resume = (): void => {
      resumedAt = this.time.now();
    };
    const paced = this.pace.openConnection({ isOpen: () => true, resume });
    return { paced, resumedAt: () => resumedAt };
  }
}

function sumOfPieces(connections: readonly GreedyConnection[]): number {
  return connections.reduce((sum, { pieces }) => sum + pieces, 0);
}

// Guards against an upstream that keeps the parser busy with chunks of one byte, so that other callers get no answers.
void test.test('a connection whose reads hold many pieces gets its share of the process and no more', () => {
  const fixture = new Fixture();
  const connections = fixture.readGreedily(1);
  fixture.time.advance(10_000);
  assert.ok(sumOfPieces(connections) <= 10 * PIECES_PER_SECOND + 2 * MOST_PIECES);
  assert.ok(sumOfPieces(connections) >= 9 * PIECES_PER_SECOND);
});

// Guards against a share for each such connection, so that some of them take the whole processor.
void test.test('many such connections together get no more than one, in turn', () => {
  const fixture = new Fixture();
  const connections = fixture.readGreedily(40);
  const before = sumOfPieces(connections);
  fixture.time.advance(10_000);
  assert.ok(sumOfPieces(connections) - before <= 10 * PIECES_PER_SECOND + 2 * MOST_PIECES);
  const reads = connections.map((connection) => connection.reads);
  assert.ok(Math.max(...reads) - Math.min(...reads) <= 1, reads.join());
});

// Guards against a connection with small reads that evades the pace of those with large ones, or waits behind them for a whole round.
void test.test('connections with reads of different sizes get the same number of pieces', () => {
  const fixture = new Fixture();
  const large = fixture.readGreedily(10);
  const small = fixture.readGreedily(10, 500);
  fixture.time.advance(60_000);
  const ratio = sumOfPieces(small) / sumOfPieces(large);
  assert.ok(ratio > 0.8 && ratio < 1.25, String(ratio));
});

// Guards against ordinary streams that wait for an upstream with which they have nothing to do.
void test.test('streams of 100 events in a second never wait', () => {
  const fixture = new Fixture();
  fixture.readGreedily(40);
  const streams = Array.from({ length: 200 }, () => fixture.open().paced);
  for (let passed = 0; passed < 60_000; passed += 100) {
    fixture.time.advance(100);
    assert.ok(streams.every((paced) => !paced.count(10)));
  }
});

// Guards against streams that stand still once more after a process that has, since all of them catch up at the same time.
void test.test('streams that were not read for some seconds catch up without a wait', () => {
  const fixture = new Fixture();
  fixture.readGreedily(40);
  const streams = Array.from({ length: 200 }, () => fixture.open().paced);
  for (let passed = 0; passed < 60_000; passed += 5_000) {
    fixture.time.advance(5_000);
    assert.ok(streams.every((paced) => !paced.count(500)));
  }
});

// Guards against reads of a few pieces each that add up to as many.
void test.test('many small reads of one connection are paced as few large ones are', () => {
  const fixture = new Fixture();
  const connections = fixture.readGreedily(1, 10);
  fixture.time.advance(10_000);
  assert.ok(sumOfPieces(connections) <= 10 * PIECES_PER_SECOND * 1.05);
});

// Guards against a read with some more pieces that waits for as long as those that hold the most.
void test.test('a read waits for as many pieces of each other connection as it holds itself', () => {
  const fixture = new Fixture();
  fixture.readGreedily(40);
  fixture.time.advance(5_000);
  const { paced, resumedAt } = fixture.open();
  assert.ok(paced.count(1_200));
  const largeRead = (1_000 * MOST_PIECES) / PIECES_PER_SECOND;
  fixture.time.advance((1_000 * 41 * 1_200) / PIECES_PER_SECOND + largeRead + 20);
  assert.notEqual(resumedAt(), undefined);
});

// Guards against a connection that is stopped for good, or read twice, after one more read has followed its pause.
void test.test('a connection that waits is resumed once, whatever it reads meanwhile', () => {
  const fixture = new Fixture();
  const { paced, resumedAt } = fixture.open();
  assert.equal(paced.count(MOST_PIECES), true);
  assert.equal(paced.count(MOST_PIECES), false);
  fixture.time.advance(200);
  assert.notEqual(resumedAt(), undefined);
  assert.equal(paced.count(MOST_PIECES), true);
});

// Guards against an answer in many pieces that waits although nothing else is read.
void test.test('a read that fits into the interval does not wait', () => {
  const { paced } = new Fixture().open();
  assert.equal(paced.count(1_100), false);
});

// Guards against connections that wait behind those that were closed meanwhile.
void test.test('a closed connection does not take part', () => {
  const fixture = new Fixture();
  const closed = fixture.readGreedily(100);
  const [open] = fixture.readGreedily(1);
  for (const connection of closed) {
    connection.isOpen = false;
  }
  fixture.time.advance(1_000);
  assert.ok((open?.pieces ?? 0) >= 0.8 * PIECES_PER_SECOND);
});

// Guards against a share that is saved up while nothing is read, and then takes the processor at once.
void test.test('what is not used is lost', () => {
  const fixture = new Fixture();
  fixture.readGreedily(1).forEach((connection) => {
    connection.isOpen = false;
  });
  fixture.time.advance(10_000);
  const connections = fixture.readGreedily(1);
  fixture.time.advance(1_000);
  assert.ok(sumOfPieces(connections) <= PIECES_PER_SECOND + 2 * MOST_PIECES);
});
