/** Record of a run: what was sent, answered and run, in the order of time. */
import * as fs from 'node:fs';
import * as path from 'node:path';

export class Record {
  constructor(folder) {
    this.file = path.join(folder, 'record.txt');
    this.startedAt = Date.now();
    fs.writeFileSync(this.file, '');
  }

  add(text) {
    const seconds = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    fs.appendFileSync(this.file, `${seconds.padStart(8)} ${text}\n`);
  }
}
