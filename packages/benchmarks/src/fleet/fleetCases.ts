/**
 * The fleets that are played. The rates, sizes, objectives and engines are those of the first users' sites: a small
 * one with room to spare, and one that has grown until memory and the reading of prompts bind.
 */
import type * as fleetRun from './fleetRun.js';
import type * as fleetWorkload from './fleetWorkload.js';

const LONG: fleetWorkload.GenerationClass = {
  name: 'long',
  rank: 1,
  perSecond: 2.4,
  objective: 1_800,
  abandonsAfter: 7_200,
  deadline: 39_000,
  worth: 180,
  lateShare: 0.15,
  prompt: { median: 2_900, sigma: 0.35, least: 500, most: 6_079 },
  output: { median: 500, sigma: 1, least: 8, most: 1_756 },
};

const SHORT: fleetWorkload.GenerationClass = {
  name: 'short',
  rank: 0,
  perSecond: 3.4,
  objective: 1_500,
  abandonsAfter: 6_000,
  deadline: 6_000,
  worth: 24,
  lateShare: 0.15,
  prompt: { median: 2_150, sigma: 0.55, least: 400, most: 6_350 },
  output: { median: 8, sigma: 0.6, least: 4, most: 32 },
};

/** Six engines with memory for eight or nine long generations each. */
export const small: Omit<fleetRun.FleetRunOptions, 'seed'> = {
  engines: 6,
  dataCentres: 4,
  memoryTokens: 34_231,
  leaveTogether: 1,
  leaveEvery: 3_300,
  duration: 50_000,
  classes: [LONG, SHORT],
};

/** Thirty-one engines with memory for five or six each; a sixth leaves at a time. */
export const grown: Omit<fleetRun.FleetRunOptions, 'seed'> = {
  engines: 31,
  dataCentres: 5,
  memoryTokens: 21_906,
  leaveTogether: 5,
  leaveEvery: 3_300,
  duration: 50_000,
  classes: [
    { ...LONG, perSecond: 19.4 },
    { ...SHORT, perSecond: 21.6 },
  ],
};

/** The small fleet after two of its engines have gone for good: half of the load fits. */
export const depleted: Omit<fleetRun.FleetRunOptions, 'seed'> = { ...small, engines: 4 };

/** The small fleet where every third engine is slower by three tenths. */
export const uneven: Omit<fleetRun.FleetRunOptions, 'seed'> = { ...small, slowness: [1, 1, 1.3] };
