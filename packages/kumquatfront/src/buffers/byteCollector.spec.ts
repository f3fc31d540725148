/**
 * The memory of a body is its size, however it is cut.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as byteCollector from './byteCollector.js';

const BODY_BYTES = 300_000;

function collect(chunkBytes: number): { readonly content: Buffer; readonly held: number } {
  const source = Buffer.from(Array.from({ length: BODY_BYTES }, (_none, index) => index % 251));
  const body = new byteCollector.ByteCollector();
  let held = 0;
  for (let offset = 0; offset < source.length; offset += chunkBytes) {
    held += body.append(source.subarray(offset, offset + chunkBytes));
  }
  const content = body.takeContent();
  assert.ok(content.equals(source));
  return { content, held };
}

// Guards against a body in chunks of one byte that holds an object for each of them.
void test.test('a body costs about its size in chunks of one byte, of some kilobytes and of a read', () => {
  for (const chunkBytes of [1, 1_000, 8_192, 40_000, 65_536]) {
    const { held } = collect(chunkBytes);
    assert.ok(held >= BODY_BYTES && held <= 2 * BODY_BYTES, `${held} bytes in chunks of ${chunkBytes}`);
  }
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

// Guards against a large block for each small body.
void test.test('a body of one byte costs little', () => {
  const body = new byteCollector.ByteCollector();
  assert.ok(body.append(Buffer.from('x')) < 2_048);
  assert.equal(body.takeContent().toString(), 'x');
});
