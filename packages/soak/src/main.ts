/**
 * Command line of the soak, `npm run soak:processes -- --seeds N` or `--seed S`: executes seeded runs and stores the
 * process logs of each failed run.
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
  .option('seeds', {
    type: 'number',
    default: 5,
    describe: 'Number of seeds to run, starting with the first',
  })
  .option('first', { type: 'number', default: 1, describe: 'First seed' })
  .option('seed', { type: 'number', describe: 'Run a single seed' })
  .option('known', { type: 'boolean', default: false, describe: 'Run the seeds of past failures' })
  .option('seconds', { type: 'number', default: 10, describe: 'Duration of the fault phase' })
  .option('entries', {
    type: 'number',
    default: 3,
    describe: 'Number of entries, next to three control replicas',
  })
  .option('clients', { type: 'number', default: 12, describe: 'Number of clients' })
  .option('herd-kill-seconds', {
    type: 'number',
    describe: 'Interval at which all entries are killed at once',
  })
  .option('logs', {
    type: 'string',
    default: '.soak',
    describe: 'Folder for the process logs of failed seeds',
  })
  .strict()
  .parseSync();

function selectSeeds(): readonly number[] {
  if (parsed.known) {
    return knownSeeds.knownSeeds.map((knownSeed) => knownSeed.seed);
  }
  return parsed.seed === undefined
    ? Array.from({ length: parsed.seeds }, (_none, index) => parsed.first + index)
    : [parsed.seed];
}

const seeds = selectSeeds();
let failed = 0;
for (const seed of seeds) {
  const outcome = await soakRun.run(
    {
      seed,
      faultSeconds: parsed.seconds,
      entries: parsed.entries,
      clients: parsed.clients,
      ...(parsed.herdKillSeconds !== undefined && { herdKillSeconds: parsed.herdKillSeconds }),
    },
    (from, to) => new loopbackProxy.LoopbackProxy(from, to),
  );
  const { sent, served, refused, failed: failedRequests } = outcome.counts;
  const verdict = outcome.violations.length === 0 ? 'passed' : 'FAILED';
  process.stdout.write(
    `seed ${seed} ${verdict}: ${outcome.injectedFaults.length} faults, ${sent} sent, ${served} served, ` +
      `${refused} refused, ${failedRequests} failed\n`,
  );
  if (outcome.violations.length > 0) {
    failed += 1;
    const folder = path.join(parsed.logs, String(seed));
    fs.mkdirSync(folder, { recursive: true });
    for (const [name, log] of outcome.logs) {
      fs.writeFileSync(path.join(folder, `${name}.log`), log);
    }
    fs.writeFileSync(path.join(folder, 'actions.txt'), outcome.injectedFaults.join('\n'));
    process.stdout.write(outcome.violations.map((violation) => `  ${violation}\n`).join(''));
  }
}
process.stdout.write(`${seeds.length} seeds, ${failed} failed\n`);
process.exitCode = failed === 0 ? 0 : 1;
