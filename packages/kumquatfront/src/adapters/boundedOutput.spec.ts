/**
 * Non-blocking output: order, rate limit and bounded buffer.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as virtualTime from '../kernel/virtualTime.js';
import * as boundedOutput from './boundedOutput.js';

function createOutput(
  write: boundedOutput.WriteBytes,
  bounds: Partial<boundedOutput.OutputBounds> = {},
): { time: virtualTime.VirtualTime; output: boundedOutput.BoundedOutput } {
  const time = new virtualTime.VirtualTime();
  const mergedBounds = { ...boundedOutput.defaultBounds, ...bounds };
  return { time, output: new boundedOutput.BoundedOutput(time.clock, time, write, mergedBounds) };
}

void test.test('lines are written in order, and lines queued at the same time are written together', () => {
  const written: string[] = [];
  const { time, output } = createOutput((bytes, done) => {
    written.push(Buffer.from(bytes).toString());
    done(null, bytes.length);
  });
  output.write('one', 'ordinary');
  output.write('two', 'ordinary');
  time.advance(1);
  assert.deepEqual(written, ['one\ntwo\n']);
});

// After a partial write to a full pipe no byte may be lost or written twice, and `write` must not block.
void test.test('bytes that a full pipe did not accept are written later', () => {
  let written = '';
  let capacity = 5;
  const { time, output } = createOutput((bytes, done) => {
    const accepted = bytes.subarray(0, capacity);
    written += Buffer.from(accepted).toString();
    const error = accepted.length === 0 ? Object.assign(new Error('full'), { code: 'EAGAIN' }) : null;
    capacity = 0;
    done(error, accepted.length);
  });
  output.write('abcdefgh', 'ordinary');
  time.advance(100);
  assert.equal(written, 'abcde');
  capacity = 100;
  time.advance(100);
  assert.equal(written, 'abcdefgh\n');
});

// Without a rate limit a burst of requests would fill the log disk and take CPU time from the requests.
void test.test('a burst of lines is limited, and the next line reports how many were dropped', () => {
  const lines: string[] = [];
  const { time, output } = createOutput(
    (bytes, done) => {
      lines.push(...Buffer.from(bytes).toString().trim().split('\n'));
      done(null, bytes.length);
    },
    { linesPerSecond: 10, burst: 5 },
  );
  for (let count = 0; count < 1_000; count += 1) {
    output.write(`line ${count}`, 'ordinary');
  }
  output.write('elected', 'important');
  time.advance(1_000);
  output.write('after', 'ordinary');
  time.advance(10);
  assert.equal(lines.length, 8);
  assert.ok(lines.includes('level=warn event=linesLeftOut count=995'));
  assert.ok(lines.includes('elected'));
});

// A reader that never resumes must not block the process or let its buffer grow without limit.
void test.test('memory is bounded when the reader stops', () => {
  const { time, output } = createOutput(() => undefined, { maximumPendingCharacters: 1_000 });
  for (let count = 0; count < 10_000; count += 1) {
    output.write('x'.repeat(50), 'important');
    time.advance(1);
  }
  assert.ok(output.takeUnwritten().length <= 1_100);
});

// Guards against a process that ends, with its last lines, before the event loop has turned again.
void test.test('a flush begins to write at once, and no byte is written twice', () => {
  const written: string[] = [];
  const writes: (() => void)[] = [];
  const { time, output } = createOutput((bytes, done) => {
    written.push(Buffer.from(bytes).toString());
    writes.push(() => {
      done(null, bytes.length);
    });
  });
  output.write('one', 'important');
  output.flushNow();
  assert.deepEqual(written, ['one\n']);
  output.write('two', 'important');
  output.flushNow();
  time.advance(10);
  assert.deepEqual(written, ['one\n']);
  assert.deepEqual(output.held(), { bytes: 8, pieces: 1 });
  writes.shift()?.();
  time.advance(10);
  assert.deepEqual(written, ['one\n', 'two\n']);
  writes.shift()?.();
  time.advance(100);
  assert.deepEqual(written, ['one\n', 'two\n']);
  assert.deepEqual(output.held(), { bytes: 0, pieces: 0 });
});
