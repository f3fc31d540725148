/**
 * What a real process has said when it runs out of heap.
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as test from 'node:test';

const folder = new URL('./', import.meta.url).href;

/** Fills the heap with small chunks of one response: so many in each turn of the event loop. */
function program(chunksInTurn: number): string {
  return `
    import * as keyValueLog from '${folder}keyValueLog.js';
    import * as processMemory from '${folder}processMemory.js';
    const chunks = [];
    const nothing = { held: () => ({ bytes: 0, pieces: 0 }) };
    const log = keyValueLog.create('filled', 'info');
    const metrics = { count() {}, gauge() {}, timing() {} };
    const { held } = processMemory.watch({ log, metrics, requests: nothing, transport: nothing });
    held.register({
      kind: 'responses', heapBytesPerPiece: 110, isText: false,
      held: () => ({ bytes: chunks.length * 3, pieces: chunks.length }),
    });
    const fill = () => {
      for (let count = 0; count < ${chunksInTurn}; count += 1) chunks.push(Buffer.from([1, 2, 3]));
      setImmediate(fill);
    };
    fill();`;
}

function runUntilItEnds(text: string): string {
  const options = ['--max-old-space-size=40', '--max-semi-space-size=8', '--input-type=module', '-e', text];
  const { stdout, stderr } = childProcess.spawnSync(process.execPath, options, { encoding: 'utf8' });
  assert.match(stderr, /JavaScript heap out of memory/);
  return stdout;
}

// Guards against a process that runs out of heap within a second without having said what filled it.
void test.test('a process that runs out of heap has said which kind filled it', () => {
  const stdout = runUntilItEnds(program(500));
  const pieces = [...stdout.matchAll(/event=heapNearLimit .*responsesPieces=(\d+)/g)].map((match) =>
    Number(match[1]),
  );
  assert.ok(pieces.length >= 1);
  assert.ok((pieces.at(-1) ?? 0) > 100_000, stdout);
});
