/**
 * `npm run measure:pieces -- [--landing FOLDER] [--seconds N] [KIND ...]`: plays each kind of upstream or client that may fill the heap of
 * an entry against the built programs of a landing, with the heap options of its deploy file, and prints a row of a table for each.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';

import * as yargs from 'yargs';

import * as deployedOptions from './deployedOptions.js';
import * as pieceKinds from './pieceKinds.js';
import * as pieceRow from './pieceRow.js';
import * as pieceSystem from './pieceSystem.js';
import type * as supervisedProcess from './supervisedProcess.js';

const OWN_TREE = url.fileURLToPath(new URL('../../..', import.meta.url));
const MS_PER_SECOND = 1_000;

/** The end of what processes have written that did not start. */
const REFUSAL_LENGTH = 3_000;

const parsed = yargs
  .default(process.argv.slice(2))
  .scriptName('measure:pieces')
  .option('landing', { type: 'string', default: OWN_TREE, describe: 'Folder of a tree that has been built' })
  .option('seconds', { type: 'number', default: 20, describe: 'Time for which each kind is played' })
  .option('node-option', {
    type: 'string',
    array: true,
    default: [] as string[],
    describe: 'Further option of Node.js for the processes',
  })
  .option('logs', { type: 'string', describe: 'Folder for the logs of the entries' })
  .strictOptions()
  .parseSync();

function limitsOf(landing: string): supervisedProcess.ProcessLimits {
  const deployFile = fs.readFileSync(path.join(landing, 'deploy/system.toml'), 'utf8');
  return {
    programFile: path.join(landing, 'platform/dist/main.js'),
    heapOptions: {
      entry: deployedOptions.of(deployFile, 'entry'),
      control: deployedOptions.of(deployFile, 'control'),
    },
    nodeOptions: parsed.nodeOption,
    settings: { capacity: { memoryMegabytes: pieceSystem.MEMORY_MEGABYTES } },
  };
}

const limits = limitsOf(path.resolve(parsed.landing));
const selected = parsed._.map(String);
process.stdout.write(`${limits.heapOptions?.entry.join(' ') ?? ''}\n${pieceRow.HEADER}\n`);
for (const [name, kind] of Object.entries(pieceKinds.kinds)) {
  if (selected.length > 0 && !selected.includes(name)) {
    continue;
  }
  try {
    const results = await pieceKinds.play(kind, { limits, playedMs: parsed.seconds * MS_PER_SECOND });
    process.stdout.write(`${pieceRow.of(name, results)}\n`);
    for (const { name: entry, log } of parsed.logs === undefined ? [] : results) {
      fs.writeFileSync(path.join(parsed.logs ?? '', `${name}-${entry}.log`), log);
    }
  } catch (error) {
    process.stdout.write(`| ${name} | not played: ${String(error).slice(-REFUSAL_LENGTH)}\n`);
  }
}
process.exit(0);
