/**
 * The embedding example runs and places every request.
 */
import * as assert from 'node:assert/strict';
import * as childProcess from 'node:child_process';
import * as test from 'node:test';

void test.test('the embedded policy places four requests', () => {
  const file = new URL('./embed.js', import.meta.url).pathname;
  const output = childProcess.execFileSync(process.execPath, [file], { encoding: 'utf8' });
  assert.equal(output.match(/request-\d: engine-\d/g)?.length, 4);
});
