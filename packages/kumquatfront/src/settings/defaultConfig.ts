/**
 * Default values of the settings. Times are in milliseconds.
 */
import * as coordinatedPlacement from '../admission/coordinatedPlacement.js';
import * as headroom from '../admission/headroom.js';
import * as agreedState from '../agreedState/agreedState.js';
import type * as controlNode from '../controlNode/controlNode.js';
import type * as entryTypes from '../entryNode/types.js';

/** Default settings of an entry. */
export const entryDefaults: Pick<
  entryTypes.EntrySettings,
  | 'entries'
  | 'directory'
  | 'configuration'
  | 'claims'
  | 'relay'
  | 'headroom'
  | 'coordination'
  | 'serviceTimeout'
  | 'upstreamWait'
  | 'addressLife'
> = {
  entries: [],
  directory: { round: 500, fanout: 2, keepFor: 30_000, presenceLease: 5_000 },
  configuration: { pullInterval: 1_000, pullTimeout: 1_000, staleAfter: 5_000 },
  claims: { batchWindow: 2, claimDeadline: 3_000, settleDeadline: 60_000 },
  relay: {
    stallTimeout: 2_000,
    openTimeout: 1_000,
    silenceLimit: 60_000,
    resumePause: 250,
    resumeGrace: 10_000,
    resumeLimit: 3,
    generationLimit: 3,
  },
  headroom: headroom.defaultSettings,
  coordination: coordinatedPlacement.defaultSettings,
  serviceTimeout: 10_000,
  upstreamWait: 3_000,
  addressLife: 10_000,
};

/** Default settings of a control replica. */
export const controlDefaults: Pick<
  controlNode.ControlSettings,
  'timing' | 'limits' | 'orders' | 'entryLease'
> = {
  timing: {
    heartbeat: 100,
    electionTimeout: 1_000,
    leaseShare: 0.8,
    snapshotEvery: 2_000,
    snapshotPieceLength: 65_536,
    appendLimit: 256,
  },
  limits: agreedState.defaultLimits,
  orders: { longestFlight: 2_000, weightLoadsPerMinute: 6, pumpInterval: 250, attempts: 5 },
  entryLease: 10_000,
};
