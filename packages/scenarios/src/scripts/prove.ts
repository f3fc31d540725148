/**
 * `npm run prove`: mutation test of the safeguards. Disables each safeguard in the built library, runs its scenario and
 * restores the file; exits with status 1 if a scenario passes without its safeguard.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';

import * as safeguards from './safeguards.js';
import type * as types from './types.js';

const LIBRARY_FOLDER = new URL('../../../kumquatfront/dist/', import.meta.url).pathname;
const SCENARIO_RUNNER = new URL('./runScenario.js', import.meta.url).pathname;
const SOAK_RUNNER = new URL('./soak.js', import.meta.url).pathname;
const RUN_TIMEOUT = 60_000;

interface RunResult {
  readonly failed: boolean;
  readonly detail: string;
}

function commandFor(scenario: string): readonly string[] {
  const [kind, argument = ''] = scenario.split(':');
  switch (kind) {
    case 'soak':
      return [SOAK_RUNNER, argument];
    case 'spec':
      return ['--test', '--test-reporter=spec', `${LIBRARY_FOLDER}${argument}.spec.js`];
    default:
      return [SCENARIO_RUNNER, scenario];
  }
}

function run(scenario: string): RunResult {
  const command = commandFor(scenario);
  const result = childProcess.spawnSync(process.execPath, command, {
    encoding: 'utf8',
    timeout: RUN_TIMEOUT,
  });
  const lines = result.stdout.trim().split('\n');
  const failureLine = lines.find((line) => line.includes('✖')) ?? lines[0];
  return { failed: result.status !== 0, detail: failureLine?.trim() ?? '' };
}

function runWithoutSafeguard(safeguard: types.Safeguard): RunResult {
  const file = LIBRARY_FOLDER + safeguard.file;
  const original = fs.readFileSync(file, 'utf8');
  if (original.split(safeguard.find).length !== 2) {
    return {
      failed: false,
      detail: `the text of the safeguard does not occur exactly once in ${safeguard.file}`,
    };
  }
  try {
    fs.writeFileSync(
      file,
      original.replace(safeguard.find, () => safeguard.replace),
    );
    return run(safeguard.scenario);
  } finally {
    fs.writeFileSync(file, original);
  }
}

const selectedScenarios = process.argv.slice(2);
let triedCount = 0;
let unprovedCount = 0;
for (const safeguard of safeguards.safeguards) {
  if (selectedScenarios.length > 0 && !selectedScenarios.includes(safeguard.scenario)) {
    continue;
  }
  triedCount += 1;
  const baseline = run(safeguard.scenario);
  const mutated = runWithoutSafeguard(safeguard);
  const isProved = !baseline.failed && mutated.failed;
  unprovedCount += isProved ? 0 : 1;
  process.stdout.write(`${isProved ? 'proved  ' : 'UNPROVED'} ${safeguard.scenario}: ${safeguard.name}\n`);
  process.stdout.write(
    `         without it: ${mutated.detail}${baseline.failed ? ` (and fails with it: ${baseline.detail})` : ''}\n`,
  );
}
process.stdout.write(
  `${triedCount} of ${safeguards.safeguards.length} safeguards tried, ${unprovedCount} unproved\n`,
);
process.exitCode = unprovedCount === 0 ? 0 : 1;
