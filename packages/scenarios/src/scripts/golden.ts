/**
 * `npm run golden`: writes the golden files anew and shows which changed. A scenario with a fault keeps its
 * former file. Names given on the command line limit it to those scenarios.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as scenario from '../language/scenario.js';

const FOLDER = new URL('../../../../scenarios/', import.meta.url).pathname;
const wanted = process.argv.slice(2);

for (const file of fs.readdirSync(FOLDER).filter((name) => name.endsWith('.scenario'))) {
  if (wanted.length > 0 && !wanted.some((name) => file.startsWith(name))) {
    continue;
  }
  const run = scenario.run(fs.readFileSync(path.join(FOLDER, file), 'utf8'));
  const golden = path.join(FOLDER, file.replace(/\.scenario$/, '.golden'));
  const former = fs.existsSync(golden) ? fs.readFileSync(golden, 'utf8') : '';
  if (run.fault !== undefined) {
    process.stdout.write(`FAULT ${file}: ${run.fault}\n`);
    process.stdout.write(wanted.length > 0 ? run.text : '');
    process.exitCode = 1;
  } else if (run.text !== former) {
    fs.writeFileSync(golden, run.text);
    process.stdout.write(`${former === '' ? 'new    ' : 'changed'} ${file}\n`);
  }
}
