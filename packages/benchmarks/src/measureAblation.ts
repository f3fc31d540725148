/**
 * `npm run measure:ablation`: measures the effect of each placement feature on the simulated fleets. Simulates each fleet
 * with and without the feature on the same seeds; a difference within twice its standard error is not significant.
 */
import * as kumquatfront from 'kumquatfront';

import * as fleetCases from './fleet/fleetCases.js';
import type * as fleetScorer from './fleet/fleetScorer.js';
import * as fleetRun from './fleet/fleetRun.js';
import * as pairedDifference from './pairedDifference.js';

const SEEDS = Array.from({ length: 8 }, (_none, index) => index + 1);

/** Covers about ten rounds of engine terminations. */
const DURATION = 35_000;

/** Share of the value that callers received, less the penalties for late and repeated refusals. */
function netValue(figures: fleetScorer.FleetFigures): number {
  return figures.earned - figures.lateRefusals - figures.secondRefusals;
}

function simulateAll(
  fleet: Omit<fleetRun.FleetRunOptions, 'seed'>,
  isEnabled: kumquatfront.placementFeatures.IsEnabled,
): readonly number[] {
  return SEEDS.map((seed) => netValue(fleetRun.simulate({ ...fleet, duration: DURATION, seed, isEnabled })));
}

for (const [name, fleet] of Object.entries(fleetCases)) {
  const withAllFeatures = simulateAll(fleet, kumquatfront.placementFeatures.allEnabled);
  const mean = withAllFeatures.reduce((sum, value) => sum + value, 0) / withAllFeatures.length;
  process.stdout.write(`${name}: ${mean.toFixed(3)} with all features, ${SEEDS.length} seeds\n`);
  for (const feature of kumquatfront.placementFeatures.FEATURES) {
    const withoutFeature = simulateAll(fleet, (other) => other !== feature);
    const { mean: gain, standardError } = pairedDifference.compare(withAllFeatures, withoutFeature);
    const verdict = Math.abs(gain) > 2 * standardError ? '' : ' (not significant)';
    process.stdout.write(
      `  ${feature.padEnd(18)} ${gain >= 0 ? '+' : ''}${gain.toFixed(3)} +- ${standardError.toFixed(3)}${verdict}\n`,
    );
  }
}
