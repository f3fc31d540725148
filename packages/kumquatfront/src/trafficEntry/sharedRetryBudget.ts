/**
 * Retry budget of an entry: its share of the common slack, and what the coordinator lends it beyond that.
 */
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import * as placementFeatures from '../placement/placementFeatures.js';
import * as serviceRetryBudget from '../relay/serviceRetryBudget.js';
import * as leaseClient from '../sharedLimits/leaseClient.js';
import type * as leaseMessages from '../sharedLimits/leaseMessages.js';
import * as windowedShare from '../sharedLimits/windowedShare.js';
import * as methods from '../trafficControl/methods.js';
import type * as types from './types.js';

/** Interval at which the share of the slack follows the number of entries. */
const SHARE_UPDATE_INTERVAL: ports.Milliseconds = 500;

/** Dependencies of the retry budget. */
export interface SharedRetryBudgetOptions {
  readonly settings: Pick<types.TrafficEntrySettings, 'name' | 'retries' | 'isEnabled'>;
  readonly entryPorts: types.TrafficEntryPorts;
  readonly timers: timerService.TimerService;
  /** Number of entries that share the slack. */
  readonly entryCount: () => number;
  /** Peer address of the coordinator; empty if unknown. */
  readonly coordinator: () => string;
}

/**
 * Creates the retry budget of an entry.
 *
 * @example
 * ```ts
 * const retryBudget = sharedRetryBudget.create({ settings, entryPorts, timers, entryCount, coordinator });
 * ```
 */
export function create(options: SharedRetryBudgetOptions): serviceRetryBudget.ServiceRetryBudget {
  const { settings, timers, entryCount, entryPorts } = options;
  const slackShare = new windowedShare.WindowedShare(entryCount, settings.retries.window);
  // Retries may be rare; without regular updates an entry would not notice when control was reached first and last.
  timers.every(
    () => SHARE_UPDATE_INTERVAL,
    () => {
      slackShare.at(timers.now());
    },
  );
  return new serviceRetryBudget.ServiceRetryBudget(
    settings.retries,
    (now) => slackShare.at(now),
    entryPorts.random,
    (settings.isEnabled ?? placementFeatures.allEnabled)('sharedLimits') ? createLeases(options) : undefined,
  );
}

function createLeases({
  settings,
  entryPorts,
  timers,
  coordinator,
}: SharedRetryBudgetOptions): leaseClient.LeaseClient {
  return new leaseClient.LeaseClient({
    ...entryPorts,
    entry: settings.name,
    timers,
    send: (request, timeout, done) => {
      const address = coordinator();
      if (address === '') {
        done(undefined);
        return;
      }
      entryPorts.peers.request(address, methods.methods.lease, request, timeout, (result) => {
        done(result.ok ? (result.val as leaseMessages.LeaseAnswer) : undefined);
      });
    },
  });
}
