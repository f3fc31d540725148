/**
 * Placement policies under comparison: the product's policy, the baselines, and the product's policy with one feature
 * removed.
 */
import * as kumquatfront from 'kumquatfront';

import * as baselines from './baselines.js';

type Options = kumquatfront.coordinatedPlacement.CoordinatedPlacementOptions;

function createCoordinated(
  change: (options: Options) => Partial<Options>,
): kumquatfront.entryNode.CreatePlacement {
  return (options) =>
    new kumquatfront.coordinatedPlacement.CoordinatedPlacement({ ...options, ...change(options) });
}

const chooseAtRandom: kumquatfront.balancingPolicy.BalancingPolicy = (request, candidates, context) => {
  const usable = candidates.filter((candidate) =>
    kumquatfront.balancingPolicy.isUsable(request, candidate, context),
  );
  return usable[Math.floor(context.random.next() * usable.length)];
};

const NO_HEADROOM: kumquatfront.headroom.HeadroomSettings = {
  reservedMemory: 0,
  reservedSlots: 0,
  deviations: 0,
};

/** Factories of the policies by the name under which results are reported. */
export const policies: Readonly<Record<string, kumquatfront.entryNode.CreatePlacement>> = {
  policy: createCoordinated(() => ({})),
  withoutCoordinator: (options) => new kumquatfront.localPlacement.LocalPlacement(options),
  roundRobin: baselines.roundRobin,
  leastLoaded: baselines.leastLoaded,
  singleQueue: baselines.singleQueue,
  withoutHeadroom: createCoordinated(() => ({ headroom: NO_HEADROOM })),
  withoutReserve: createCoordinated((options) => ({
    headroom: { ...options.headroom, reservedMemory: 0, reservedSlots: 0 },
  })),
  withoutTwoChoices: createCoordinated(() => ({ selectUpstream: chooseAtRandom })),
};

/** Names of the baseline policies in `policies`. */
export const baselineNames: readonly string[] = ['roundRobin', 'leastLoaded', 'singleQueue'];
