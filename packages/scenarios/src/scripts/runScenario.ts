/**
 * Runs one scenario and ends with status 1 where something went against it.
 */
import * as fs from 'node:fs';

import * as scenario from '../language/scenario.js';

const FOLDER = new URL('../../../../scenarios/', import.meta.url).pathname;
const run = scenario.run(fs.readFileSync(`${FOLDER}${process.argv[2] ?? ''}.scenario`, 'utf8'));
process.stdout.write(`${run.fault ?? 'passed'}\n`);
process.exitCode = run.fault === undefined ? 0 : 1;
