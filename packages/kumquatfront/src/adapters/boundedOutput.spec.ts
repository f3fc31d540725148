/**
 * A log that never holds its process up.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as virtualTime from '../kernel/virtualTime.js';
import * as boundedOutput from './boundedOutput.js';

function create(
  write: boundedOutput.WriteBytes,
  bounds: Partial<boundedOutput.OutputBounds> = {},
): { time: virtualTime.VirtualTime; output: boundedOutput.BoundedOutput } {
  const time = new virtualTime.VirtualTime();
  const all = { ...boundedOutput.defaultBounds, ...bounds };
  return { time, output: new boundedOutput.BoundedOutput(time.clock, time, write, all) };
}

void test.test('lines are written in order, and those of one moment together', () => {
  const written: string[] = [];
  const { time, output } = create((bytes, done) => {
    written.push(Buffer.from(bytes).toString());
    done(null, bytes.length);
  });
  output.write('one', 'ordinary');
  output.write('two', 'ordinary');
  time.advance(1);
  assert.deepEqual(written, ['one\ntwo\n']);
});

// A pipe takes half of the bytes and is full. Nothing may be lost or written twice, and the caller of `write`
// must not wait.
void test.test('what a full pipe did not take is written later', () => {
  let written = '';
  let room = 5;
  const { time, output } = create((bytes, done) => {
    const taken = bytes.subarray(0, room);
    written += Buffer.from(taken).toString();
    const error = taken.length === 0 ? Object.assign(new Error('full'), { code: 'EAGAIN' }) : null;
    room = 0;
    done(error, taken.length);
  });
  output.write('abcdefgh', 'ordinary');
  time.advance(100);
  assert.equal(written, 'abcde');
  room = 100;
  time.advance(100);
  assert.equal(written, 'abcdefgh\n');
});

// A flood of requests would fill the disk of whoever keeps the log, and take the processor from the requests.
void test.test('a flood is bounded, and the next line says how much was left out', () => {
  const lines: string[] = [];
  const { time, output } = create(
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

// The reader has stopped for good. The process goes on, holds a bounded amount, and leaves the rest out.
void test.test('a reader that stops costs bounded memory', () => {
  const { time, output } = create(() => undefined, { waiting: 1_000 });
  for (let count = 0; count < 10_000; count += 1) {
    output.write('x'.repeat(50), 'important');
    time.advance(1);
  }
  assert.ok(output.takeRest().length <= 1_100);
});
