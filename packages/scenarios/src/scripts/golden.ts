/**
 * `npm run golden`: regenerates the golden files and prints those that changed. A failed scenario keeps its previous
 * file. Arguments select scenarios by the start of their names.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as scenario from '../language/scenario.js';

const FOLDER = new URL('../../../../scenarios/', import.meta.url).pathname;
const selectedNames = process.argv.slice(2);

for (const file of fs.readdirSync(FOLDER).filter((name) => name.endsWith('.scenario'))) {
  if (selectedNames.length > 0 && !selectedNames.some((name) => file.startsWith(name))) {
    continue;
  }
  const run = scenario.run(fs.readFileSync(path.join(FOLDER, file), 'utf8'));
  const golden = path.join(FOLDER, file.replace(/\.scenario$/, '.golden'));
  const previous = fs.existsSync(golden) ? fs.readFileSync(golden, 'utf8') : '';
  if (run.failure !== undefined) {
    process.stdout.write(`FAULT ${file}: ${run.failure}\n`);
    process.stdout.write(selectedNames.length > 0 ? run.output : '');
    process.exitCode = 1;
  } else if (run.output !== previous) {
    fs.writeFileSync(golden, run.output);
    process.stdout.write(`${previous === '' ? 'new    ' : 'changed'} ${file}\n`);
  }
}
