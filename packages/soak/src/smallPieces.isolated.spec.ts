/**
 * Upstreams that send without end in small, well-formed pieces, before real processes with the limits of the deploy file: no entry ends,
 * and each stays within the memory of its machine and serves others.
 */
import * as assert from 'node:assert/strict';
import * as test from 'node:test';

import * as pieceSystem from './pieceSystem.js';

/** Plays a form of small pieces and tells what has failed. */
async function failuresOf(options: pieceSystem.PlayOptions): Promise<readonly string[]> {
  const system = await pieceSystem.PieceSystem.start(options);
  try {
    const uses = await system.play();
    await system.waitUntilServing();
    return uses.flatMap(({ name, isSameProcess, exits, peakMegabytes, ordinary }) => [
      ...(isSameProcess ? [] : [`${options.form}: ${name} has ended ${exits} times`]),
      ...(peakMegabytes < pieceSystem.MEMORY_MEGABYTES
        ? []
        : [`${options.form}: ${name} takes ${Math.round(peakMegabytes)} MB`]),
      ...(ordinary.answered > 0 ? [] : [`${options.form}: ${name} has answered no call of another service`]),
    ]);
  } finally {
    system.stop();
  }
}

// Guards against held bytes being bounded while the objects that hold them, one for each chunk, fill the heap.
void test.test('a plain answer without end in chunks of one byte', async () => {
  assert.deepEqual(await failuresOf({ form: 'oneByteChunks', way: 'direct' }), []);
});

// Guards against events that an upstream sends faster than the caller reads, each held as a write of its own.
void test.test('a stream of small events without end, read slowly', async () => {
  assert.deepEqual(await failuresOf({ form: 'smallEvents', way: 'direct' }), []);
});

// Guards against an entry that holds such chunks or events for another entry, whose callers it cannot see.
void test.test('relayed answers and streams without end in small pieces', async () => {
  const chunks = await failuresOf({ form: 'oneByteChunks', way: 'relayed' });
  const events = await failuresOf({ form: 'smallEvents', way: 'relayed' });
  assert.deepEqual([...chunks, ...events], []);
});
