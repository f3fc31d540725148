/**
 * `npm run soak:processes -- --seeds N` or `--seed S`: plays runs and keeps the logs of each that failed.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as yargs from 'yargs';

import * as knownSeeds from './knownSeeds.js';
import * as loopbackProxy from './loopbackProxy.js';
import * as soakRun from './soakRun.js';

const parsed = yargs
  .default(process.argv.slice(2))
  .scriptName('soak:processes')
  .option('seeds', { type: 'number', default: 5, describe: 'How many seeds to play, from the first' })
  .option('first', { type: 'number', default: 1, describe: 'The first seed' })
  .option('seed', { type: 'number', describe: 'One seed alone' })
  .option('known', { type: 'boolean', default: false, describe: 'The seeds that failed once' })
  .option('seconds', { type: 'number', default: 10, describe: 'Length of the trouble' })
  .option('entries', { type: 'number', default: 3, describe: 'Entries; with three control processes' })
  .option('clients', { type: 'number', default: 12, describe: 'Clients' })
  .option('logs', { type: 'string', default: '.soak', describe: 'Folder for the logs of failed seeds' })
  .strict()
  .parseSync();

function wantedSeeds(): readonly number[] {
  if (parsed.known) {
    return knownSeeds.knownSeeds.map((known) => known.seed);
  }
  return parsed.seed === undefined
    ? Array.from({ length: parsed.seeds }, (_none, index) => parsed.first + index)
    : [parsed.seed];
}

const seeds = wantedSeeds();
let failed = 0;
for (const seed of seeds) {
  const outcome = await soakRun.play(
    { seed, troubleSeconds: parsed.seconds, entries: parsed.entries, clients: parsed.clients },
    (from, to) => new loopbackProxy.LoopbackProxy(from, to),
  );
  const { asked, served, refused, failed: lost } = outcome.counts;
  const verdict = outcome.faults.length === 0 ? 'passed' : 'FAILED';
  process.stdout.write(
    `seed ${seed} ${verdict}: ${outcome.actions.length} troubles, ${asked} asked, ${served} served, ` +
      `${refused} refused, ${lost} failed\n`,
  );
  if (outcome.faults.length > 0) {
    failed += 1;
    const folder = path.join(parsed.logs, String(seed));
    fs.mkdirSync(folder, { recursive: true });
    for (const [name, log] of outcome.logs) {
      fs.writeFileSync(path.join(folder, `${name}.log`), log);
    }
    fs.writeFileSync(path.join(folder, 'actions.txt'), outcome.actions.join('\n'));
    process.stdout.write(outcome.faults.map((fault) => `  ${fault}\n`).join(''));
  }
}
process.stdout.write(`${seeds.length} seeds, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
