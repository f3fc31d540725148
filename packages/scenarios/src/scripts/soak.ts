/**
 * `npm run soak -- [count] [first seed]`: soak runs with random faults, one for each seed.
 */
import * as soakRun from './soakRun.js';

const DEFAULT_COUNT = 1_000;
const count = Number(process.argv[2] ?? DEFAULT_COUNT);
const firstSeed = Number(process.argv[3] ?? 1);
let acceptedCount = 0;
let grantedCount = 0;
let failedCount = 0;
for (let seed = firstSeed; seed < firstSeed + count; seed += 1) {
  const result = soakRun.run(seed);
  acceptedCount += result.accepted;
  grantedCount += result.claimsGranted;
  if (result.violations.length > 0) {
    failedCount += 1;
    process.stdout.write(`seed ${seed}: ${result.violations.slice(0, 3).join('; ')}\n`);
    process.stdout.write(count === 1 ? `${result.events.join('\n')}\n` : '');
  }
}
process.stdout.write(
  `${count} runs, ${acceptedCount} changes accepted, ${grantedCount} keys granted, ${failedCount} runs with faults\n`,
);
process.exitCode = failedCount === 0 ? 0 : 1;
