/**
 * Lists the safeguards that `npm run prove` disables one at a time, each with the scenario that must then fail.
 */

import * as backPressureSafeguards from './backPressureSafeguards.js';
import * as callerBoundsSafeguards from './callerBoundsSafeguards.js';
import * as callSlotsSafeguards from './callSlotsSafeguards.js';
import * as collectedBytesSafeguards from './collectedBytesSafeguards.js';
import * as completionSafeguards from './completionSafeguards.js';
import * as configurationDeliverySafeguards from './configurationDeliverySafeguards.js';
import * as controlSafeguards from './controlSafeguards.js';
import * as dataCentreSafeguards from './dataCentreSafeguards.js';
import * as heavyLoadSafeguards from './heavyLoadSafeguards.js';
import * as outsideInputSafeguards from './outsideInputSafeguards.js';
import * as operatorOrderSafeguards from './operatorOrderSafeguards.js';
import * as partSafeguards from './partSafeguards.js';
import * as peerRelaySafeguards from './peerRelaySafeguards.js';
import * as endlessResponseSafeguards from './endlessResponseSafeguards.js';
import * as prefillSafeguards from './prefillSafeguards.js';
import * as entryLoadSafeguards from './entryLoadSafeguards.js';
import * as fairShareSafeguards from './fairShareSafeguards.js';
import * as flowControlSafeguards from './flowControlSafeguards.js';
import * as heldMemorySafeguards from './heldMemorySafeguards.js';
import * as quarantineSafeguards from './quarantineSafeguards.js';
import * as relaySafeguards from './relaySafeguards.js';
import * as responseHeadSafeguards from './responseHeadSafeguards.js';
import * as servingSafeguards from './servingSafeguards.js';
import * as sharedLimitsSafeguards from './sharedLimitsSafeguards.js';
import * as streamOriginsSafeguards from './streamOriginsSafeguards.js';
import type * as types from './types.js';
import * as upstreamPaceSafeguards from './upstreamPaceSafeguards.js';

/** All safeguards. */
export const safeguards: readonly types.Safeguard[] = [
  ...servingSafeguards.servingSafeguards,
  ...endlessResponseSafeguards.endlessResponseSafeguards,
  ...collectedBytesSafeguards.collectedBytesSafeguards,
  ...responseHeadSafeguards.responseHeadSafeguards,
  ...callerBoundsSafeguards.callerBoundsSafeguards,
  ...outsideInputSafeguards.outsideInputSafeguards,
  ...controlSafeguards.controlSafeguards,
  ...configurationDeliverySafeguards.configurationDeliverySafeguards,
  ...relaySafeguards.relaySafeguards,
  ...completionSafeguards.completionSafeguards,
  ...quarantineSafeguards.quarantineSafeguards,
  ...partSafeguards.partSafeguards,
  ...dataCentreSafeguards.dataCentreSafeguards,
  ...operatorOrderSafeguards.operatorOrderSafeguards,
  ...backPressureSafeguards.backPressureSafeguards,
  ...callSlotsSafeguards.callSlotsSafeguards,
  ...peerRelaySafeguards.peerRelaySafeguards,
  ...streamOriginsSafeguards.streamOriginsSafeguards,
  ...prefillSafeguards.prefillSafeguards,
  ...sharedLimitsSafeguards.sharedLimitsSafeguards,
  ...heavyLoadSafeguards.heavyLoadSafeguards,
  ...upstreamPaceSafeguards.upstreamPaceSafeguards,
  ...entryLoadSafeguards.entryLoadSafeguards,
  ...fairShareSafeguards.fairShareSafeguards,
  ...flowControlSafeguards.flowControlSafeguards,
  ...heldMemorySafeguards.heldMemorySafeguards,
];
