/**
 * Runs the scenario named on the command line; exits with status 1 if it fails.
 */
import * as fs from 'node:fs';

import * as scenario from '../language/scenario.js';

const FOLDER = new URL('../../../../scenarios/', import.meta.url).pathname;
const run = scenario.run(fs.readFileSync(`${FOLDER}${process.argv[2] ?? ''}.scenario`, 'utf8'));
process.stdout.write(`${run.failure ?? 'passed'}\n`);
process.exitCode = run.failure === undefined ? 0 : 1;
