/**
 * The memory of a body is its size, however it is cut.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as fastCheck from 'fast-check';

import * as byteCollector from './byteCollector.js';

const BODY_BYTES = 300_000;

/** A piece with memory of its own, as the HTTP parser passes it on. */
function copyOf(bytes: Uint8Array): Buffer {
  const piece = Buffer.allocUnsafeSlow(bytes.length);
  piece.set(bytes);
  return piece;
}

function collect(chunkBytes: number): {
  readonly content: Buffer;
  readonly held: number;
  readonly pieces: number;
} {
  const source = Buffer.from(Array.from({ length: BODY_BYTES }, (_none, index) => index % 251));
  const body = new byteCollector.ByteCollector();
  let held = 0;
  for (let offset = 0; offset < source.length; offset += chunkBytes) {
    held += body.append(copyOf(source.subarray(offset, offset + chunkBytes)));
  }
  const { pieces } = body;
  const content = body.takeContent();
  assert.ok(content.equals(source));
  return { content, held, pieces };
}

// Guards against a body in chunks of one byte that holds an object for each of them.
void test.test('a body costs about its size in chunks of one byte, of some kilobytes and of a read', () => {
  for (const chunkBytes of [1, 1_000, 8_192, 40_000, 65_536]) {
    const { held, pieces } = collect(chunkBytes);
    assert.ok(held >= BODY_BYTES && held <= 2 * BODY_BYTES, `${held} bytes in chunks of ${chunkBytes}`);
    assert.ok(pieces <= 16, `${pieces} objects in chunks of ${chunkBytes}`);
  }
});

/** Pieces of any size; most of them small, or about the size from which they are kept. */
const anyPiece = fastCheck.oneof(
  fastCheck.integer({ min: 0, max: 40 }),
  fastCheck.integer({ min: 32_760, max: 32_780 }),
  fastCheck.integer({ min: 1, max: 150_000 }),
);

// Guards against large and small pieces in turn that hold several times what they have, or bytes that are lost between them.
void test.test('any sequence of pieces keeps its order, and holds less than a block beside its bytes', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.array(anyPiece, { maxLength: 60 }), (lengths) => {
      const body = new byteCollector.ByteCollector();
      const sent: Buffer[] = [];
      let held = 0;
      for (const [index, length] of lengths.entries()) {
        const piece = Buffer.alloc(length, index % 251);
        sent.push(piece);
        held += body.append(piece);
        assert.equal(held, body.memory);
        assert.ok(body.memory - body.size < byteCollector.LARGEST_BLOCK);
        assert.ok(body.memory <= 2 * body.size + 1_024);
        assert.ok(body.pieces <= 10 + body.size / 16_384);
      }
      assert.ok(body.takeContent().equals(Buffer.concat(sent)));
    }),
    { numRuns: 100, seed: 8 },
  );
});

// Guards against a block of 64 KiB for each byte between two reads, which held four times the bytes.
void test.test('single bytes between large pieces hold no block each', () => {
  const body = new byteCollector.ByteCollector();
  for (let count = 0; count < 100; count += 1) {
    body.append(Buffer.alloc(32_768));
    body.append(Buffer.alloc(1));
  }
  assert.ok(body.memory < 1.1 * body.size, `${body.memory} bytes for ${body.size}`);
});

// Guards against a copy of each ordinary answer, which arrives in one piece.
void test.test('a body in one piece is not copied', () => {
  const body = new byteCollector.ByteCollector();
  const piece = copyOf(Buffer.from('x'.repeat(800)));
  body.append(piece);
  assert.equal(body.memory, piece.length);
  assert.equal(body.takeContent(), piece);
});

// Guards against bytes that are lost or repeated where large and small chunks follow each other.
void test.test('large and small chunks in turn keep their order', () => {
  const body = new byteCollector.ByteCollector();
  const parts = ['a'.repeat(10), 'b'.repeat(40_000), 'c', 'd'.repeat(50_000), 'e'.repeat(700)];
  for (const part of parts) {
    body.append(Buffer.from(part));
  }
  assert.equal(body.takeContent().toString(), parts.join(''));
  assert.equal(body.size, 0);
});

// Guards against a large block for each small body, and against a slice that keeps the read or the pool that it lies in.
void test.test('a body of one byte costs little', () => {
  const body = new byteCollector.ByteCollector();
  assert.ok(body.append(Buffer.from('x')) < 2_048);
  assert.equal(body.takeContent().toString(), 'x');
  const read = Buffer.alloc(65_536, 'y');
  const sliced = new byteCollector.ByteCollector();
  assert.ok(sliced.append(read.subarray(0, 1)) < 2_048);
  assert.notEqual(sliced.takeContent().buffer, read.buffer);
});

// Guards against bytes that are lost, or memory that stays counted, where blocks are taken while others arrive.
void test.test('blocks that are taken in between have all bytes in order', () => {
  const anyStep = fastCheck.oneof(anyPiece, fastCheck.constant('take' as const));
  fastCheck.assert(
    fastCheck.property(fastCheck.array(anyStep, { maxLength: 60 }), (steps) => {
      const body = new byteCollector.ByteCollector();
      const sent: Buffer[] = [];
      const taken: Buffer[] = [];
      for (const [index, step] of steps.entries()) {
        if (step === 'take') {
          taken.push(body.takeBlock() ?? Buffer.alloc(0));
        } else {
          const piece = Buffer.alloc(step, index % 251);
          sent.push(piece);
          body.append(piece);
        }
        assert.ok(body.memory >= body.size && body.memory - body.size < byteCollector.LARGEST_BLOCK);
      }
      for (let block = body.takeBlock(); block !== undefined; block = body.takeBlock()) {
        taken.push(block);
      }
      assert.ok(Buffer.concat(taken).equals(Buffer.concat(sent)));
      assert.deepEqual([body.size, body.memory, body.pieces], [0, 0, 0]);
    }),
    { numRuns: 200, seed: 78 },
  );
});

// Guards against bytes that are lost, repeated or copied again and again where parts of a block are taken while others arrive.
void test.test(
  'parts of blocks that are taken in between are the bytes in order, and those left stay',
  () => {
    const anyStep = fastCheck.record({ arrives: anyPiece, takes: anyPiece });
    fastCheck.assert(
      fastCheck.property(fastCheck.array(anyStep, { maxLength: 60 }), (steps) => {
        const body = new byteCollector.ByteCollector();
        const sent: Buffer[] = [];
        const taken: Buffer[] = [];
        for (const [index, { arrives, takes }] of steps.entries()) {
          const piece = Buffer.alloc(arrives, index % 251);
          sent.push(piece);
          body.append(piece);
          const part = body.takeFirst(takes);
          assert.ok((part?.length ?? 0) <= takes);
          taken.push(Buffer.from(part ?? []));
          assert.ok(Buffer.concat([...taken, body.content()]).equals(Buffer.concat(sent)));
          assert.equal(body.size, body.content().length);
          assert.ok(body.memory >= body.size);
        }
        const left = body.size;
        assert.equal(body.takeContent().length, left);
        assert.deepEqual([body.size, body.memory, body.pieces], [0, 0, 0]);
        assert.equal(body.takeFirst(1), undefined);
      }),
      { numRuns: 100, seed: 78 },
    );
  },
);
