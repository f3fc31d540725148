/**
 * `npm run soak -- [count] [first seed]`: many seeded runs of random faults; 1,000 where no count is given.
 */
import * as soakRun from './soakRun.js';

const DEFAULT_COUNT = 1_000;
const count = Number(process.argv[2] ?? DEFAULT_COUNT);
const first = Number(process.argv[3] ?? 1);
let accepted = 0;
let claims = 0;
let faulty = 0;
for (let seed = first; seed < first + count; seed += 1) {
  const result = soakRun.run(seed);
  accepted += result.accepted;
  claims += result.claimsGranted;
  if (result.faults.length > 0) {
    faulty += 1;
    process.stdout.write(`seed ${seed}: ${result.faults.slice(0, 3).join('; ')}\n`);
    process.stdout.write(count === 1 ? `${result.events.join('\n')}\n` : '');
  }
}
process.stdout.write(
  `${count} runs, ${accepted} changes accepted, ${claims} keys granted, ${faulty} runs with faults\n`,
);
process.exitCode = faulty === 0 ? 0 : 1;
