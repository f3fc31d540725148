/**
 * Fleets that are simulated: a small one with free capacity, variants of it with too few or with slow engines, and a large
 * one that is limited by memory and prefill throughput. The names of the exports are printed in the results.
 */
import type * as fleetRun from './fleetRun.js';
import type * as fleetWorkload from './fleetWorkload.js';

const LONG: fleetWorkload.GenerationClass = {
  name: 'long',
  rank: 1,
  arrivalsPerSecond: 2.4,
  objective: 1_800,
  abandonsAfter: 7_200,
  deadline: 39_000,
  value: 180,
  lateValueShare: 0.15,
  prompt: { median: 2_900, sigma: 0.35, minimum: 500, maximum: 6_079 },
  output: { median: 500, sigma: 1, minimum: 8, maximum: 1_756 },
};

const SHORT: fleetWorkload.GenerationClass = {
  name: 'short',
  rank: 0,
  arrivalsPerSecond: 3.4,
  objective: 1_500,
  abandonsAfter: 6_000,
  deadline: 6_000,
  value: 24,
  lateValueShare: 0.15,
  prompt: { median: 2_150, sigma: 0.55, minimum: 400, maximum: 6_350 },
  output: { median: 8, sigma: 0.6, minimum: 4, maximum: 32 },
};

/** Six engines, each with memory for eight or nine long generations. */
export const small: Omit<fleetRun.FleetRunOptions, 'seed'> = {
  engines: 6,
  dataCentres: 4,
  memoryTokens: 34_231,
  simultaneousTerminations: 1,
  terminationInterval: 3_300,
  duration: 50_000,
  classes: [LONG, SHORT],
};

/** Thirty-one engines, each with memory for five or six long generations; a sixth is terminated at a time. */
export const grown: Omit<fleetRun.FleetRunOptions, 'seed'> = {
  engines: 31,
  dataCentres: 5,
  memoryTokens: 21_906,
  simultaneousTerminations: 5,
  terminationInterval: 3_300,
  duration: 50_000,
  classes: [
    { ...LONG, arrivalsPerSecond: 19.4 },
    { ...SHORT, arrivalsPerSecond: 21.6 },
  ],
};

/** The small fleet after the permanent loss of two engines: half of the load fits. */
export const depleted: Omit<fleetRun.FleetRunOptions, 'seed'> = { ...small, engines: 4 };

/** The small fleet with every third engine 30% slower. */
export const uneven: Omit<fleetRun.FleetRunOptions, 'seed'> = { ...small, stepTimeFactors: [1, 1, 1.3] };
