/**
 * The safeguards that `npm run prove` takes out one at a time, each with the scenario that must then fail.
 */

import * as backPressureSafeguards from './backPressureSafeguards.js';
import * as controlSafeguards from './controlSafeguards.js';
import * as dataCentreSafeguards from './dataCentreSafeguards.js';
import * as quarantineSafeguards from './quarantineSafeguards.js';
import * as relaySafeguards from './relaySafeguards.js';
import * as servingSafeguards from './servingSafeguards.js';
import type * as types from './types.js';

/** Every safeguard that `npm run prove` takes out. */
export const safeguards: readonly types.Safeguard[] = [
  ...servingSafeguards.servingSafeguards,
  ...controlSafeguards.controlSafeguards,
  ...relaySafeguards.relaySafeguards,
  ...quarantineSafeguards.quarantineSafeguards,
  ...dataCentreSafeguards.dataCentreSafeguards,
  ...backPressureSafeguards.backPressureSafeguards,
];
