/**
 * Decoding of log files that are torn by a crash or corrupted.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as logFile from './logFile.js';
import type * as types from './types.js';

function entry(index: number): types.DiskRecord {
  return { type: 'entry', entry: { index, term: 1, stamp: 0, payload: { type: 'noop' } } };
}

const RECORDS = [entry(1), entry(2), entry(3)];
const ENCODED_LOG = Buffer.concat(RECORDS.map(logFile.encode));

void test.test('decoding returns the encoded records', () => {
  const decoded = logFile.decode(ENCODED_LOG).unwrap();
  assert.deepEqual(decoded.records, RECORDS);
  assert.equal(decoded.validLength, ENCODED_LOG.length);
});

// A crash during a write leaves a partial last record or zeros in its place. The record was never acknowledged, so the
// replica must start without it.
void test.test('a torn last record is discarded at every length', () => {
  const before = ENCODED_LOG.length - logFile.encode(entry(3)).length;
  for (let length = before + 1; length < ENCODED_LOG.length; length += 1) {
    const decoded = logFile.decode(ENCODED_LOG.subarray(0, length)).unwrap();
    assert.equal(decoded.records.length, 2);
    assert.equal(decoded.validLength, before);
    const zeros = Buffer.concat([ENCODED_LOG.subarray(0, length), Buffer.alloc(ENCODED_LOG.length - length)]);
    assert.ok(logFile.decode(zeros).unwrap().records.length >= 2);
  }
});

// Corruption of synced data must not be taken for a torn write: truncating the log there would lose acknowledged votes
// or entries.
void test.test(
  'a flipped bit is corruption and not a torn write, except in the length of the last record',
  () => {
    for (let position = 0; position < ENCODED_LOG.length; position += 1) {
      for (const bit of [1, 16, 128]) {
        const damaged = Buffer.from(ENCODED_LOG);
        damaged[position] = (damaged[position] ?? 0) ^ bit;
        const decoded = logFile.decode(damaged);
        const silentlyShortened = decoded.ok && decoded.val.records.length < RECORDS.length;
        const lastStart = ENCODED_LOG.length - logFile.encode(entry(3)).length;
        // A greater length cannot be distinguished from a truncated record.
        const inLastLength = position >= lastStart && position < lastStart + 4;
        assert.ok(!silentlyShortened || inLastLength, `byte ${position} bit ${bit}`);
      }
    }
  },
);
