/**
 * `npm run measure:ablation`: what each mechanism of placement is worth on the played fleets. Each fleet is played
 * with and without it on the same seeds; a difference counts as one where it is beyond twice its standard error.
 */
import * as kumquatfront from 'kumquatfront';

import * as fleetCases from './fleet/fleetCases.js';
import type * as fleetLedger from './fleet/fleetLedger.js';
import * as fleetRun from './fleet/fleetRun.js';
import * as pairedDifference from './pairedDifference.js';

const SEEDS = Array.from({ length: 8 }, (_none, index) => index + 1);

/** Short enough for all mechanisms in some minutes, long enough for ten moments at which engines leave. */
const DURATION = 35_000;

/** What callers earned, less what refusals that came late or twice cost them. */
function worthOf(figures: fleetLedger.FleetFigures): number {
  return figures.earned - figures.lateRefusals - figures.secondRefusals;
}

function playAll(
  fleet: Omit<fleetRun.FleetRunOptions, 'seed'>,
  isOn: kumquatfront.mechanisms.IsOn,
): readonly number[] {
  return SEEDS.map((seed) => worthOf(fleetRun.play({ ...fleet, duration: DURATION, seed, isOn })));
}

for (const [name, fleet] of Object.entries(fleetCases)) {
  const whole = playAll(fleet, kumquatfront.mechanisms.allOn);
  const mean = whole.reduce((sum, worth) => sum + worth, 0) / whole.length;
  process.stdout.write(`${name}: ${mean.toFixed(3)} with all mechanisms, ${SEEDS.length} seeds\n`);
  for (const mechanism of kumquatfront.mechanisms.NAMES) {
    const without = playAll(fleet, (other) => other !== mechanism);
    const { mean: gain, error } = pairedDifference.of(whole, without);
    const verdict = Math.abs(gain) > 2 * error ? '' : ' (within its noise)';
    process.stdout.write(
      `  ${mechanism.padEnd(18)} ${gain >= 0 ? '+' : ''}${gain.toFixed(3)} +- ${error.toFixed(3)}${verdict}\n`,
    );
  }
}
