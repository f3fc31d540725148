/**
 * An entry: takes requests of callers and news of upstreams, and places, relays and refuses. All outside
 * comes through ports, so the whole node runs on virtual time as it does on a VM.
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
import * as entryOrderPort from '../orders/entryOrderPort.js';
import * as quarantine from '../quarantine/quarantine.js';
import * as choice from '../routing/choice.js';
import * as health from '../routing/health.js';
import * as retryBudget from '../routing/retryBudget.js';
import type * as routing from '../routing/types.js';
import * as trafficResolver from '../selectors/trafficResolver.js';
import * as requestFront from './requestFront.js';
import * as rendezvous from '../utils/rendezvous.js';
import type * as types from './types.js';
import * as watchedPlacement from './watchedPlacement.js';

/** Services of an entry, by name. */
export interface EntryServices {
  readonly timers: timerService.TimerService;
  readonly directory: directory.Directory;
  readonly configuration: configurationReplica.ConfigurationReplica;
  readonly resolver: trafficResolver.TrafficResolver;
  readonly estimates: lengthEstimator.LengthEstimator;
  readonly health: health.Health;
  readonly placement: routing.PlacementPolicy;
  readonly retries: retryBudget.RetryBudget;
  readonly claims: claimClient.ClaimClient;
  readonly burn: burnRecorder.BurnRecorder;
  readonly quarantine: quarantine.Quarantine;
  readonly requests: requestFront.RequestFront;
}

/** Makes the serving policy of an entry; pass another to replace it. */
export type CreatePlacement = (
  options: coordinatedPlacement.CoordinatedPlacementOptions,
) => routing.PlacementPolicy;

/** What an entry offers to the adapters around it. */
export interface EntryNode {
  readonly services: serviceRegistry.ServiceRegistry<EntryServices>;
  readonly requests: requestFront.RequestFront;
  /** Takes news that an upstream posted. */
  takeNews(news: directoryTypes.UpstreamNews): void;
  /** Addresses for a caller, preferred first. */
  addresses(): readonly addressList.EntryAddress[];
  presence(): directoryTypes.EntryPresence;
  /** Leaves the address list, waits until cached lists have expired and requests have ended, then calls back. */
  drain(done: () => void): void;
  stop(): void;
}

const DEFAULT_BOUNDS: fairQueue.QueueBounds = { perAccount: 200, total: 1_000 };
const DEFAULT_RETRY_PERCENT = 20;
const CONTROL_ATTEMPT_TIMEOUT = 500;
const DRAIN_CHECK_INTERVAL = 100;

/**
 * Creates an entry.
 *
 * @param settings - the entry's settings
 * @param ports - everything outside
 * @param createPlacement - the serving policy; placement by the entries together where absent
 * @returns the entry, running
 * @example
 * ```ts
 * const entry = entryNode.create(settings, ports);
 * entry.takeNews({ type: 'announce', announcement });
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
    state: stateNow(),
    inFlight: requests.inFlight,
    configurationVersion: configuration.inForce,
  });
  const stateNow = (): directoryTypes.EntryPresence['state'] => {
    if (draining) {
      return 'draining';
    }
    return configuration.isReady() && configuration.isFresh() ? 'serving' : 'stale';
  };

  const known = new directory.Directory({
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
  services.register('directory', known);
  services.register('quarantine', quarantineOver(known, settings, ports, timers));

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
    entries: () => known.entries(),
    onEvacuations: ({ dataCentres, revision }) => {
      const names = dataCentres.map((held) => held.dataCentre);
      log.info('evacuationsInForce', { dataCentres: names.join(' '), revision });
      known.table.setEvacuated(names);
    },
  });
  services.register('configuration', configuration);
  services.register('claims', new claimClient.ClaimClient(control, timers, settings.claims));

  const resolver = new trafficResolver.TrafficResolver();
  const burn = new burnRecorder.BurnRecorder(() => clock.wall());
  configuration.onChange(() => {
    resolver.update(configuration.all());
    burn.update(configuration.all());
  });
  services.register('resolver', resolver);
  services.register('burn', burn);
  services.register('health', new health.Health());
  services.register('retries', new retryBudget.RetryBudget(DEFAULT_RETRY_PERCENT));
  services.register('estimates', new lengthEstimator.LengthEstimator());
  services.register(
    'placement',
    createPlacement({
      directory: known,
      estimator: services.find('estimates'),
      health: services.find('health'),
      timers,
      random,
      metrics,
      choose: choice.chooseOfTwo,
      headroom: settings.headroom,
      bounds: () => boundsOf(configuration),
      weightOf: (account) => resolver.weightOf(account),
      upstreamWait: settings.upstreamWait,
      name: settings.name,
      peerAddress: settings.peerAddress,
      peers,
      coordination: settings.coordination,
    }),
  );
  const requests = new requestFront.RequestFront({ settings, ports, services });
  services.register('requests', requests);

  entryOrderPort.serve(peers, known.table, ports.orders);
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
    takeNews: (news) => {
      known.takeNews(news);
    },
    addresses: () => addressList.order(known.entries(), settings.dataCentre, random),
    presence,
    drain: (done) => {
      draining = true;
      log.info('drainStarted', { inFlight: requests.inFlight });
      known.announcePresence();
      // Callers may hold a list that still names this entry; it goes on accepting until the last such list
      // has expired, or they would meet a closed door.
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

/** Quarantine among entries: what one of them finds out is pushed to all, and kept in what they tell newcomers. */
function quarantineOver(
  known: directory.Directory,
  settings: types.EntrySettings,
  ports: types.EntryPorts,
  timers: timerService.TimerService,
): quarantine.Quarantine {
  const { log, metrics, checkUpstream } = ports;
  const publish = (content: string): void => {
    const record = held.caseOf(content);
    if (record !== undefined) {
      known.publishCase(record);
    }
  };
  const held: quarantine.Quarantine = new quarantine.Quarantine({
    timers,
    log,
    metrics,
    check: checkUpstream,
    hasGivenNotice: (identity) =>
      known.table.all().some((record) => record.leaving && watchedPlacement.identityOf(record) === identity),
    tell: publish,
    // Health and lease keep requests off it: directories of entries have no word for an end yet.
    onEnded: () => undefined,
  });
  known.onCase((record) => {
    held.take([record]);
  });
  // Publications end long before a quarantine does; one entry for each content repeats it for those that start.
  timers.every(
    () => settings.directory.keepFor / 3,
    () => {
      const names = known.entries().map(({ name }) => name);
      const own = held.quarantined.filter((content) => rendezvous.pick(content, names) === settings.name);
      own.forEach(publish);
    },
  );
  return held;
}

function boundsOf(configuration: configurationReplica.ConfigurationReplica): fairQueue.QueueBounds {
  const limits = configuration.find('limits', 'default');
  return {
    perAccount: limits?.queuePerAccount ?? DEFAULT_BOUNDS.perAccount,
    total: limits?.queueTotal ?? DEFAULT_BOUNDS.total,
  };
}
