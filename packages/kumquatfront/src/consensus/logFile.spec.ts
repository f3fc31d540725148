/**
 * What a crash or a rotten disk does to the log file.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as logFile from './logFile.js';
import type * as types from './types.js';

function entry(index: number): types.DiskRecord {
  return { type: 'entry', entry: { index, term: 1, stamp: 0, payload: { type: 'noop' } } };
}

const RECORDS = [entry(1), entry(2), entry(3)];
const WHOLE = Buffer.concat(RECORDS.map(logFile.encode));

void test.test('records come back as they were written', () => {
  const decoded = logFile.decode(WHOLE).unwrap();
  assert.deepEqual(decoded.records, RECORDS);
  assert.equal(decoded.soundLength, WHOLE.length);
});

// A crash during a write leaves a part of the last record, or zeros where it was to be. That record was
// never synced, so nobody was answered for it; the log ends before it and the replica starts.
void test.test('a torn last record is cut off at every length', () => {
  const before = WHOLE.length - logFile.encode(entry(3)).length;
  for (let length = before + 1; length < WHOLE.length; length += 1) {
    const decoded = logFile.decode(WHOLE.subarray(0, length)).unwrap();
    assert.equal(decoded.records.length, 2);
    assert.equal(decoded.soundLength, before);
    const zeros = Buffer.concat([WHOLE.subarray(0, length), Buffer.alloc(WHOLE.length - length)]);
    assert.ok(logFile.decode(zeros).unwrap().records.length >= 2);
  }
});

// A bit that flips in synced data must not pass for a crash: cutting there would forget a vote or an entry
// that a quorum rests on. The replica refuses to start, and is replaced.
void test.test('a flipped bit is damage, not a torn end, but in the length of the last record', () => {
  for (let position = 0; position < WHOLE.length; position += 1) {
    for (const bit of [1, 16, 128]) {
      const damaged = Buffer.from(WHOLE);
      damaged[position] = (damaged[position] ?? 0) ^ bit;
      const decoded = logFile.decode(damaged);
      const silentlyShortened = decoded.ok && decoded.val.records.length < RECORDS.length;
      const lastStart = WHOLE.length - logFile.encode(entry(3)).length;
      // A longer length looks like a record that was cut short; nothing in the file can tell them apart.
      const inLastLength = position >= lastStart && position < lastStart + 4;
      assert.ok(!silentlyShortened || inLastLength, `byte ${position} bit ${bit}`);
    }
  }
});
