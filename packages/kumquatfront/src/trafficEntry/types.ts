/**
 * Settings, ports and services of an entry that relays requests according to a traffic configuration.
 */
import type * as entryCapacity from '../entryLoad/entryCapacity.js';
import type * as entryLoad from '../entryLoad/entryLoad.js';
import type * as heldMemory from '../heldMemory/heldMemory.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as timerService from '../kernel/timerService.js';
import type * as relayServer from '../peerRelay/relayServer.js';
import type * as placementFeatures from '../placement/placementFeatures.js';
import type * as quarantine from '../quarantine/quarantine.js';
import type * as placementClient from '../relay/placementClient.js';
import type * as serviceRetryBudget from '../relay/serviceRetryBudget.js';
import type * as trafficRelay from '../relay/trafficRelay.js';
import type * as responseMemory from '../relay/responseMemory.js';
import type * as relayTypes from '../relay/types.js';
import type * as residency from '../traffic/residency.js';
import type * as trafficTypes from '../traffic/types.js';
import type * as controlWatch from '../trafficControl/controlWatch.js';
import type * as warmUpBounds from '../warmUp/warmUpBounds.js';

/** Settings of an entry. Times are milliseconds. */
export interface TrafficEntrySettings {
  readonly name: string;
  readonly dataCentre: string;
  /** Address that callers connect to, as `ip:port`. */
  readonly callerAddress: string;
  /** Address that other processes of the system connect to, as `ip:port`. */
  readonly peerAddress: string;
  /** Peer addresses of some control replicas. */
  readonly seeds: readonly string[];
  /** Region of each data centre, by name. */
  readonly regions: residency.Regions;
  readonly retries: serviceRetryBudget.RetryBudgetSettings;
  /** How far the combined traffic of all senders may exceed the request limit of a cold upstream. */
  readonly warmUpTolerance: warmUpBounds.WarmUpTolerance;
  /** Returns whether a feature is enabled; by default all are. */
  readonly isEnabled?: placementFeatures.IsEnabled;
  /** Time from the acknowledgement of a configuration within which no entry acts on an older one. */
  readonly inForceWithin?: ports.Milliseconds;
  /** Limits of the VM, as far as they are known. */
  readonly capacity?: entryCapacity.EntryCapacity;
}

/** Ports through which an entry accesses its environment. */
export interface TrafficEntryPorts extends ports.BasePorts {
  readonly upstreams: relayTypes.UpstreamPort;
  readonly decodeTraffic: trafficTypes.DecodeTraffic;
  /** Measures the process; without it, the entry reports no utilization. */
  readonly loadProbe?: entryLoad.LoadProbe;
  /** Holds responses until they are complete; shared with `upstreams`, which reads some as a whole. The entry has its own if absent. */
  readonly responses?: responseMemory.ResponseMemory;
  /** What the process holds; the entry registers what it holds itself. */
  readonly heldMemory?: heldMemory.HeldMemory;
  /** Whether the heap is so full that new requests are refused. */
  readonly isShedding?: () => boolean;
}

/** Services of an entry, by name. */
export interface TrafficEntryServices {
  readonly timers: timerService.TimerService;
  readonly instances: instanceView.InstanceView;
  readonly placement: placementClient.PlacementClient;
  readonly relay: trafficRelay.TrafficRelay;
  readonly watch: controlWatch.ControlWatch;
  readonly quarantine: quarantine.Quarantine;
  readonly relayServer: relayServer.RelayServer;
}
