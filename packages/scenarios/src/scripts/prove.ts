/**
 * `npm run prove`: takes each safeguard out of the built library, runs its scenario, and puts it back. Every
 * scenario must fail without its safeguard; one that still passes proves nothing and ends this with status 1.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';

import * as safeguards from './safeguards.js';
import type * as types from './types.js';

const LIBRARY = new URL('../../../kumquatfront/dist/', import.meta.url).pathname;
const RUNNER = new URL('./runScenario.js', import.meta.url).pathname;
const SOAK = new URL('./soak.js', import.meta.url).pathname;
const RUN_LIMIT = 60_000;

interface Verdict {
  readonly red: boolean;
  readonly detail: string;
}

function commandFor(scenario: string): readonly string[] {
  const [kind, argument = ''] = scenario.split(':');
  switch (kind) {
    case 'soak':
      return [SOAK, argument];
    case 'spec':
      return ['--test', '--test-reporter=spec', `${LIBRARY}${argument}.spec.js`];
    default:
      return [RUNNER, scenario];
  }
}

function run(scenario: string): Verdict {
  const command = commandFor(scenario);
  const result = childProcess.spawnSync(process.execPath, command, {
    encoding: 'utf8',
    timeout: RUN_LIMIT,
  });
  const lines = result.stdout.trim().split('\n');
  const failed = lines.find((line) => line.includes('✖')) ?? lines[0];
  return { red: result.status !== 0, detail: failed?.trim() ?? '' };
}

function prove(safeguard: types.Safeguard): Verdict {
  const file = LIBRARY + safeguard.file;
  const original = fs.readFileSync(file, 'utf8');
  if (original.split(safeguard.find).length !== 2) {
    return { red: false, detail: `the text to take out does not stand exactly once in ${safeguard.file}` };
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

const wanted = process.argv.slice(2);
let tried = 0;
let unproved = 0;
for (const safeguard of safeguards.safeguards) {
  if (wanted.length > 0 && !wanted.includes(safeguard.scenario)) {
    continue;
  }
  tried += 1;
  const whole = run(safeguard.scenario);
  const without = prove(safeguard);
  const proved = !whole.red && without.red;
  unproved += proved ? 0 : 1;
  process.stdout.write(`${proved ? 'proved  ' : 'UNPROVED'} ${safeguard.scenario}: ${safeguard.name}\n`);
  process.stdout.write(
    `         without it: ${without.detail}${whole.red ? ` (and red with it: ${whole.detail})` : ''}\n`,
  );
}
process.stdout.write(`${tried} of ${safeguards.safeguards.length} safeguards tried, ${unproved} unproved\n`);
process.exitCode = unproved === 0 ? 0 : 1;
