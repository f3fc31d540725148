/**
 * The policies that are measured: the product's, the baselines, and the product's with one part taken out.
 */
import * as kumquatfront from 'kumquatfront';

import * as baselines from './baselines.js';

type Options = kumquatfront.coordinatedPlacement.CoordinatedPlacementOptions;

function own(change: (options: Options) => Partial<Options>): kumquatfront.entryNode.CreatePlacement {
  return (options) =>
    new kumquatfront.coordinatedPlacement.CoordinatedPlacement({ ...options, ...change(options) });
}

const chooseAny: kumquatfront.choice.Choose = (request, candidates, context) => {
  const usable = candidates.filter((candidate) => kumquatfront.choice.isUsable(request, candidate, context));
  return usable[Math.floor(context.random.next() * usable.length)];
};

const NO_HEADROOM: kumquatfront.headroom.HeadroomSettings = {
  reservedMemory: 0,
  reservedSlots: 0,
  deviations: 0,
};

/** Policies by name. */
export const policies: Readonly<Record<string, kumquatfront.entryNode.CreatePlacement>> = {
  policy: own(() => ({})),
  withoutCoordinator: (options) => new kumquatfront.localPlacement.LocalPlacement(options),
  roundRobin: baselines.roundRobin,
  leastLoaded: baselines.leastLoaded,
  singleQueue: baselines.singleQueue,
  withoutHeadroom: own(() => ({ headroom: NO_HEADROOM })),
  withoutReserve: own((options) => ({
    headroom: { ...options.headroom, reservedMemory: 0, reservedSlots: 0 },
  })),
  withoutTwoChoices: own(() => ({ choose: chooseAny })),
};

/** Names of the baselines. */
export const baselineNames: readonly string[] = ['roundRobin', 'leastLoaded', 'singleQueue'];
