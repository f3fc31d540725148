/**
 * Services of a control replica for entries: slots of fragile upstreams, origins of streams, leases of shared limits, and
 * the entries that relay for others.
 */
import type * as fragileServices from '../callSlots/fragileServices.js';
import * as slotMessages from '../callSlots/messages.js';
import * as slotLedger from '../callSlots/slotLedger.js';
import type * as replica from '../consensus/replica.js';
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import * as relayMessages from '../peerRelay/messages.js';
import * as placementFeatures from '../placement/placementFeatures.js';
import * as leaseLedger from '../sharedLimits/leaseLedger.js';
import type * as leaseMessages from '../sharedLimits/leaseMessages.js';
import * as originMessages from '../streamOrigins/messages.js';
import * as originKeeper from '../streamOrigins/originKeeper.js';
import * as rendezvousHashing from '../utils/rendezvousHashing.js';
import type * as entryDirectory from './entryDirectory.js';
import * as methods from './methods.js';

/** Ports of the services. */
export interface EntryServicesOptions {
  readonly replica: replica.Replica;
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly peerAddress: string;
  readonly entries: entryDirectory.EntryDirectory;
  readonly fragileServices: fragileServices.FragileServices;
  readonly instances: () => readonly instanceTypes.InstanceRecord[];
  readonly isEvacuated: (dataCentre: string) => boolean;
  /** Placement features in use; all if omitted. */
  readonly isEnabled?: placementFeatures.IsEnabled;
}

/** Maximum number of origins of streams that a replica keeps. */
const ORIGIN_CAPACITY = 150_000;

/**
 * Registers the RPC handlers of all services.
 *
 * @example
 * ```ts
 * entryServices.serve({ ...options, entries, fragileServices, instances, isEvacuated });
 * ```
 */
export function serve(options: EntryServicesOptions): void {
  serveSlots(options);
  serveOrigins(options);
  servePeers(options);
  if ((options.isEnabled ?? placementFeatures.allEnabled)('sharedLimits')) {
    serveLeases(options);
  }
}

function serveSlots(options: EntryServicesOptions): void {
  const { timers, random, log, metrics, peers, replica: own, fragileServices: fragile } = options;
  const { instances, isEvacuated } = options;
  const ledger = new slotLedger.SlotLedger({
    ...{ timers, random, log, metrics, instances, isEvacuated },
    mayLead: () => own.mayLead(),
    maximumRejectionsOf: (service) => fragile.maximumRejectionsOf(service, timers.now()),
  });
  peers.serve(slotMessages.methods.take, (parameters, reply) => {
    ledger.take(parameters as slotMessages.TakeRequest, (answer) => {
      reply(results.Ok(answer));
    });
  });
  peers.serve(slotMessages.methods.release, (parameters, reply) => {
    ledger.release((parameters as slotMessages.ReleaseRequest).slots);
    reply(results.Ok(null));
  });
  peers.serve(slotMessages.methods.state, (parameters, reply) => {
    fragile.merge((parameters as slotMessages.FragilityReport).records, timers.now());
    reply(results.Ok(null));
  });
}

function serveOrigins(options: EntryServicesOptions): void {
  const { peers, entries } = options;
  originKeeper.serve({ ...options, capacity: ORIGIN_CAPACITY });
  peers.serve(originMessages.methods.entries, (parameters, reply) => {
    const { digest } = parameters as originMessages.EntriesRequest;
    const addresses = entries.peerAddresses();
    const isKnown = rendezvousHashing.digestOf(addresses) === digest;
    reply(results.Ok((isKnown ? {} : { addresses }) satisfies originMessages.EntriesAnswer));
  });
}

function servePeers({ peers, entries, timers }: EntryServicesOptions): void {
  peers.serve(relayMessages.methods.peers, (parameters, reply) => {
    const { entry, dataCentre } = parameters as relayMessages.PeersRequest;
    const found = entries.peersFor(entry, dataCentre, timers.now());
    const answer: relayMessages.PeersAnswer = {
      peers: found.map((status) => ({
        name: status.name,
        address: status.peerAddress,
        dataCentre: status.dataCentre,
      })),
    };
    reply(results.Ok(answer));
  });
}

function serveLeases(options: EntryServicesOptions): void {
  const { peers, replica: own, entries } = options;
  const ledger = new leaseLedger.LeaseLedger({
    ...options,
    mayLend: () => own.mayLead(),
    entryCount: () => entries.size,
  });
  peers.serve(methods.methods.lease, (parameters, reply) => {
    reply(results.Ok(ledger.lend(parameters as leaseMessages.LeaseRequest)));
  });
}
