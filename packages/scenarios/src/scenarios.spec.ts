/**
 * Runs every scenario and compares the output of its session with the golden file next to it.
 */
import * as assert from 'node:assert/strict';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as test from 'node:test';

import * as scenario from './language/scenario.js';

const FOLDER = new URL('../../../scenarios/', import.meta.url).pathname;

for (const file of fs.readdirSync(FOLDER).filter((name) => name.endsWith('.scenario'))) {
  void test.test(file, () => {
    const run = scenario.run(fs.readFileSync(path.join(FOLDER, file), 'utf8'));
    assert.equal(run.failure, undefined);
    const golden = path.join(FOLDER, file.replace(/\.scenario$/, '.golden'));
    assert.ok(
      fs.existsSync(golden),
      'The golden file is missing; create it with `npm run golden` and review it.',
    );
    assert.equal(run.output, fs.readFileSync(golden, 'utf8'));
  });
}
