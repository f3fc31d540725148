/**
 * The heap as Node.js tells it, in processes with the options of an entry.
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as test from 'node:test';

const MODULE = new URL('./heapMonitor.js', import.meta.url).href;

function run(program: string, options: readonly string[]): string {
  const text = `import * as heapMonitor from ${JSON.stringify(MODULE)};\n${program}`;
  return childProcess.execFileSync(process.execPath, [...options, '--input-type=module', '-e', text], {
    encoding: 'utf8',
  });
}

// Guards against a limit that a process never reaches: the one that Node.js states includes the young generation.
void test.test('the limit is the size of the old generation', () => {
  const printLimit = 'process.stdout.write(String(heapMonitor.createReader()().limit));';
  const options = ['--max-old-space-size=90', '--max-semi-space-size=8'];
  assert.equal(Number(run(printLimit, options)), 90 * 1_048_576);
  const unstated = Number(run(printLimit, []));
  assert.ok(unstated > 100 * 1_048_576);
});

void test.test('major collections are seen, and minor ones are not', () => {
  const program = `
    let count = 0;
    heapMonitor.observeMajorCollections(() => { count += 1; });
    globalThis.gc({ type: 'minor' });
    setTimeout(() => {
      const minor = count;
      globalThis.gc();
      setTimeout(() => { process.stdout.write(minor + ' ' + count); process.exit(); }, 50);
    }, 50);`;
  assert.equal(run(program, ['--expose-gc']), '0 1');
});

// Guards against an entry that waits for a collection which Node.js, started without a flag, does not make.
void test.test('a major collection can be made without an option of the process', () => {
  const program = `
    const collect = heapMonitor.createCollector();
    let count = 0;
    heapMonitor.observeMajorCollections(() => { count += 1; });
    collect();
    setTimeout(() => {
      process.stdout.write(count + ' ' + typeof globalThis.gc);
      process.exit();
    }, 50);`;
  assert.equal(run(program, []), '1 undefined');
});
