/**
 * Composition root of an entry: accepts caller requests and upstream updates, and places, relays or refuses requests.
 * All input and output goes through ports, so that the node runs on virtual time as well as on a VM.
 */
import * as fairQueue from '../admission/fairQueue.js';
import * as coordinatedPlacement from '../admission/coordinatedPlacement.js';
import * as addressList from '../addresses/addressList.js';
import * as burnRecorder from '../burn/burnRecorder.js';
import * as claimClient from '../claims/claimClient.js';
import * as configurationReplica from '../configuration/configurationReplica.js';
import * as controlClient from '../controlClient/controlClient.js';
import * as methods from '../controlNode/methods.js';
import * as directory from '../directory/directory.js';
import type * as directoryTypes from '../directory/types.js';
import * as lengthEstimator from '../estimates/lengthEstimator.js';
import * as results from '../kernel/results.js';
import * as serviceRegistry from '../kernel/serviceRegistry.js';
import * as timerService from '../kernel/timerService.js';
import * as orderForwarder from '../orders/orderForwarder.js';
import * as quarantine from '../quarantine/quarantine.js';
import * as balancingPolicy from '../routing/balancingPolicy.js';
import * as outlierDetector from '../routing/outlierDetector.js';
import * as accountRetryBudget from '../routing/accountRetryBudget.js';
import type * as routing from '../routing/types.js';
import * as trafficResolver from '../selectors/trafficResolver.js';
import * as requestHandler from './requestHandler.js';
import type * as requestServices from './requestServices.js';
import * as rendezvousHashing from '../utils/rendezvousHashing.js';
import type * as types from './types.js';
import * as guardedPlacement from './guardedPlacement.js';

/** Services of an entry, by the name under which they are registered. */
export interface EntryServices extends requestServices.RequestServices {
  readonly requests: requestHandler.RequestHandler;
}

/** Factory of the placement policy of an entry. */
export type CreatePlacement = (
  options: coordinatedPlacement.CoordinatedPlacementOptions,
) => routing.PlacementPolicy;

/** Interface of an entry to the adapters, such as its HTTP server. */
export interface EntryNode {
  readonly services: serviceRegistry.ServiceRegistry<EntryServices>;
  readonly requests: requestHandler.RequestHandler;
  /** Applies an announcement, load report or cache event that an upstream posted. */
  applyUpdate(update: directoryTypes.UpstreamUpdate): void;
  /** Entry addresses to give to callers, in order of preference. */
  addresses(): readonly addressList.EntryAddress[];
  /** Current state of this entry, as published in the directory. */
  presence(): directoryTypes.EntryPresence;
  /**
   * Withdraws the entry from the address list, waits until cached lists have expired and in-flight requests have
   * finished, then calls `done`.
   */
  drain(done: () => void): void;
  stop(): void;
}

const DEFAULT_QUEUE_BOUNDS: fairQueue.QueueBounds = { perAccount: 200, total: 1_000 };
const DEFAULT_RETRY_PERCENT = 20;
const CONTROL_ATTEMPT_TIMEOUT = 500;
const DRAIN_CHECK_INTERVAL = 100;

/**
 * Creates an entry.
 *
 * @param ports - connections to the environment
 * @param createPlacement - creates the placement policy; defaults to placement coordinated among the entries
 * @example
 * ```ts
 * const entry = entryNode.create(settings, ports);
 * entry.applyUpdate({ type: 'announce', announcement });
 * ```
 */
export function create(
  settings: types.EntrySettings,
  ports: types.EntryPorts,
  createPlacement: CreatePlacement = (options) => new coordinatedPlacement.CoordinatedPlacement(options),
): EntryNode {
  const { clock, scheduler, random, peers, log, metrics } = ports;
  const services = serviceRegistry.create<EntryServices>();
  const timers = timerService.create(clock, scheduler);
  services.register('timers', timers);
  let draining = false;

  const presence = (): directoryTypes.EntryPresence => ({
    name: settings.name,
    dataCentre: settings.dataCentre,
    callerAddress: settings.callerAddress,
    peerAddress: settings.peerAddress,
    state: currentState(),
    inFlight: requests.inFlight,
    configurationVersion: configuration.versionInForce,
  });
  const currentState = (): directoryTypes.EntryPresence['state'] => {
    if (draining) {
      return 'draining';
    }
    return configuration.isReady() && configuration.isFresh() ? 'serving' : 'stale';
  };

  const entryDirectory = new directory.Directory({
    name: settings.name,
    peerAddress: settings.peerAddress,
    incarnation: clock.wall(),
    seeds: settings.entries,
    settings: settings.directory,
    timers,
    random,
    peers,
    log,
    presence,
  });
  services.register('directory', entryDirectory);
  services.register('quarantine', createQuarantine(entryDirectory, settings, ports, timers));

  const control = new controlClient.ControlClient({
    addresses: settings.control,
    peers,
    timers,
    attemptTimeout: CONTROL_ATTEMPT_TIMEOUT,
  });
  const configuration = new configurationReplica.ConfigurationReplica({
    settings: settings.configuration,
    control,
    peers,
    timers,
    random,
    log,
    presence,
    entries: () => entryDirectory.entries(),
    onEvacuations: ({ dataCentres, revision }) => {
      const dataCentreNames = dataCentres.map((evacuated) => evacuated.dataCentre);
      log.info('evacuationsInForce', { dataCentres: dataCentreNames.join(' '), revision });
      entryDirectory.table.setEvacuated(dataCentreNames);
    },
  });
  services.register('configuration', configuration);
  services.register('claims', new claimClient.ClaimClient(control, timers, settings.claims));

  const resolver = new trafficResolver.TrafficResolver();
  const burn = new burnRecorder.BurnRecorder(() => clock.wall());
  configuration.onChange(() => {
    resolver.update(configuration.listObjects());
    burn.update(configuration.listObjects());
  });
  services.register('resolver', resolver);
  services.register('burn', burn);
  services.register('health', new outlierDetector.OutlierDetector());
  services.register('retries', new accountRetryBudget.AccountRetryBudget(DEFAULT_RETRY_PERCENT));
  services.register('estimates', new lengthEstimator.LengthEstimator());
  services.register(
    'placement',
    createPlacement({
      directory: entryDirectory,
      estimator: services.find('estimates'),
      outlierDetector: services.find('health'),
      timers,
      random,
      metrics,
      selectUpstream: balancingPolicy.powerOfTwoChoices,
      headroom: settings.headroom,
      queueBounds: () => queueBoundsOf(configuration),
      weightOf: (account) => resolver.weightOf(account),
      upstreamWait: settings.upstreamWait,
      name: settings.name,
      peerAddress: settings.peerAddress,
      peers,
      coordination: settings.coordination,
    }),
  );
  const requests = new requestHandler.RequestHandler({ settings, ports, services });
  services.register('requests', requests);

  orderForwarder.serve(peers, entryDirectory.table, ports.orders);
  peers.serve(methods.methods.entryBurn, (_parameters, reply) => {
    reply(results.Ok(burn.toJson()));
  });
  peers.serve(methods.methods.entryDrain, (_parameters, reply) => {
    reply(results.Ok(null));
    ports.onDrainRequest();
  });

  return {
    services,
    requests,
    applyUpdate: (update) => {
      entryDirectory.applyUpdate(update);
    },
    addresses: () => addressList.orderByPreference(entryDirectory.entries(), settings.dataCentre, random),
    presence,
    drain: (done) => {
      draining = true;
      log.info('drainStarted', { inFlight: requests.inFlight });
      entryDirectory.announcePresence();
      // Callers may have cached a list that still names this entry. Keep accepting requests until every such list has
      // expired; otherwise their connections would be refused.
      timers.after(settings.addressLife, () => {
        const cancel = timers.every(
          () => DRAIN_CHECK_INTERVAL,
          () => {
            if (requests.inFlight === 0) {
              cancel();
              log.info('drainEnded');
              done();
            }
          },
        );
      });
    },
    stop: () => {
      timers.stop();
    },
  };
}

/**
 * Creates a quarantine that shares its crash records among the entries: the directory pushes each record to all entries
 * and includes it in the state that an entry receives when it joins.
 */
function createQuarantine(
  entryDirectory: directory.Directory,
  settings: types.EntrySettings,
  ports: types.EntryPorts,
  timers: timerService.TimerService,
): quarantine.Quarantine {
  const { log, metrics, checkUpstream } = ports;
  const publishRecord = (content: string): void => {
    const record = contentQuarantine.recordOf(content);
    if (record !== undefined) {
      entryDirectory.publishCrashRecord(record);
    }
  };
  const contentQuarantine: quarantine.Quarantine = new quarantine.Quarantine({
    timers,
    log,
    metrics,
    check: checkUpstream,
    isTerminating: (identity) =>
      entryDirectory.table
        .all()
        .some((record) => record.leaving && guardedPlacement.identityOf(record) === identity),
    random: ports.random,
    entryCount: () => entryDirectory.entries().length,
    report: (causes) => {
      causes.forEach(publishRecord);
    },
    // The directory has no update for a crash; outlier detection and lease expiry exclude the upstream.
    onInstanceDown: () => undefined,
  });
  entryDirectory.onCrashRecord((record) => {
    contentQuarantine.mergeRecords([record]);
  });
  // Published records expire long before a quarantine does, so one entry per content republishes its record for
  // entries that join later.
  timers.every(
    () => settings.directory.keepFor / 3,
    () => {
      const entryNames = entryDirectory.entries().map(({ name }) => name);
      const assigned = contentQuarantine.quarantined.filter(
        (content) => rendezvousHashing.pick(content, entryNames) === settings.name,
      );
      assigned.forEach(publishRecord);
    },
  );
  return contentQuarantine;
}

function queueBoundsOf(configuration: configurationReplica.ConfigurationReplica): fairQueue.QueueBounds {
  const limits = configuration.find('limits', 'default');
  return {
    perAccount: limits?.queuePerAccount ?? DEFAULT_QUEUE_BOUNDS.perAccount,
    total: limits?.queueTotal ?? DEFAULT_QUEUE_BOUNDS.total,
  };
}
