/**
 * Services of an entry that the request handler finds by name.
 */
import type * as burnRecorder from '../burn/burnRecorder.js';
import type * as claimClient from '../claims/claimClient.js';
import type * as configurationReplica from '../configuration/configurationReplica.js';
import type * as directory from '../directory/directory.js';
import type * as lengthEstimator from '../estimates/lengthEstimator.js';
import type * as timerService from '../kernel/timerService.js';
import type * as quarantine from '../quarantine/quarantine.js';
import type * as accountRetryBudget from '../routing/accountRetryBudget.js';
import type * as outlierDetector from '../routing/outlierDetector.js';
import type * as routing from '../routing/types.js';
import type * as trafficResolver from '../selectors/trafficResolver.js';

/** Services that the request handler depends on, by the name under which they are registered. */
export interface RequestServices {
  readonly timers: timerService.TimerService;
  readonly directory: directory.Directory;
  readonly configuration: configurationReplica.ConfigurationReplica;
  readonly resolver: trafficResolver.TrafficResolver;
  readonly estimates: lengthEstimator.LengthEstimator;
  readonly health: outlierDetector.OutlierDetector;
  readonly placement: routing.PlacementPolicy;
  readonly retries: accountRetryBudget.AccountRetryBudget;
  readonly claims: claimClient.ClaimClient;
  readonly burn: burnRecorder.BurnRecorder;
  readonly quarantine: quarantine.Quarantine;
}
