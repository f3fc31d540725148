/**
 * The safeguards that `npm run prove` takes out one at a time, each with the scenario that must then fail.
 */

import * as backPressureSafeguards from './backPressureSafeguards.js';
import * as controlSafeguards from './controlSafeguards.js';
import * as dataCentreSafeguards from './dataCentreSafeguards.js';
import * as quarantineSafeguards from './quarantineSafeguards.js';
import * as relaySafeguards from './relaySafeguards.js';
import * as servingSafeguards from './servingSafeguards.js';

/** One safeguard: replacing `find` by `replace` in a built file of the library takes it out. */
export interface Safeguard {
  readonly name: string;
  /** File below the library's `dist`. */
  readonly file: string;
  readonly find: string;
  readonly replace: string;
  /** Name of a scenario, `soak:COUNT` for so many runs of random faults, or `spec:FILE`. */
  readonly scenario: string;
}

/** Every safeguard that `npm run prove` takes out. */
export const safeguards: readonly Safeguard[] = [
  ...servingSafeguards.servingSafeguards,
  ...controlSafeguards.controlSafeguards,
  ...relaySafeguards.relaySafeguards,
  ...quarantineSafeguards.quarantineSafeguards,
  ...dataCentreSafeguards.dataCentreSafeguards,
  ...backPressureSafeguards.backPressureSafeguards,
];
