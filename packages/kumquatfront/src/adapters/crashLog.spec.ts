/**
 * The log of a process that ends by an uncaught error.
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as test from 'node:test';

const LOG_MODULE = new URL('./keyValueLog.js', import.meta.url).href;
const CRASH_MODULE = new URL('./crashLog.js', import.meta.url).href;

// Guards against a process that ends without a line in its log that names the cause.
for (const cause of ["throw new Error('odd input')", "Promise.reject(new Error('odd input'))"]) {
  void test.test(`a process that ends by \`${cause}\` logs it and exits with 1`, () => {
    const script = `const log = (await import('${LOG_MODULE}')).create('entry-1', 'info');
      (await import('${CRASH_MODULE}')).install(log);
      setTimeout(() => { ${cause}; }, 1);`;
    const child = childProcess.spawnSync(process.execPath, ['--input-type=module', '-e', script], {
      encoding: 'utf8',
    });
    assert.equal(child.status, 1);
    assert.match(child.stdout, /level=error event=processCrashed origin=\w+ reason="odd input" stack=/);
  });
}
