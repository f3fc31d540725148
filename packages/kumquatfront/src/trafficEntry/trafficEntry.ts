/**
 * An entry that relays requests according to a traffic configuration. It assembles the services of the entry and
 * accesses the environment only through ports.
 */
import * as rateLimitShare from '../backPressure/rateLimitShare.js';
import * as sendPolicy from '../backPressure/sendPolicy.js';
import * as signalRegistry from '../backPressure/signalRegistry.js';
import * as slotClient from '../callSlots/slotClient.js';
import * as entryLoad from '../entryLoad/entryLoad.js';
import * as entryWeights from '../entryLoad/entryWeights.js';
import * as heldMemoryHolders from '../heldMemory/holders.js';
import * as instanceLog from '../instances/instanceLog.js';
import * as instanceView from '../instances/instanceView.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as serviceRegistry from '../kernel/serviceRegistry.js';
import * as timerService from '../kernel/timerService.js';
import type * as relayMessages from '../peerRelay/messages.js';
import * as peerRelay from '../peerRelay/peerRelay.js';
import * as relayServer from '../peerRelay/relayServer.js';
import * as localBalancer from '../relay/localBalancer.js';
import * as plannedStop from '../relay/plannedStop.js';
import * as responseMemory from '../relay/responseMemory.js';
import * as routeDurations from '../relay/routeDurations.js';
import * as placementClient from '../relay/placementClient.js';
import * as trafficRelay from '../relay/trafficRelay.js';
import type * as relayTypes from '../relay/types.js';
import * as guardedUpstreams from '../quarantine/guardedUpstreams.js';
import type * as quarantine from '../quarantine/quarantine.js';
import * as routeTable from '../traffic/routeTable.js';
import * as streamOrigins from '../streamOrigins/streamOrigins.js';
import * as upstreamPaces from '../upstreamPace/upstreamPaces.js';
import * as controlWatch from '../trafficControl/controlWatch.js';
import * as methods from '../trafficControl/methods.js';
import * as entryShare from '../warmUp/entryShare.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as entryQuarantine from './entryQuarantine.js';
import * as sharedRetryBudget from './sharedRetryBudget.js';
import type * as types from './types.js';

/** Time from the acknowledgement of a configuration within which no entry acts on an older one, unless stated. */
export const DEFAULT_IN_FORCE_WITHIN: ports.Milliseconds = 2_000;

/** An entry; see the module comment. */
export class TrafficEntry {
  readonly services = serviceRegistry.create<types.TrafficEntryServices>();
  private readonly settings: types.TrafficEntrySettings;
  private readonly entryPorts: types.TrafficEntryPorts;
  private readonly timers: timerService.TimerService;
  private readonly watch: controlWatch.ControlWatch;
  private readonly relay: trafficRelay.TrafficRelay;
  private readonly placement: placementClient.PlacementClient;
  private readonly quarantine: quarantine.Quarantine;
  private readonly peerRelay: peerRelay.PeerRelay;
  private readonly origins: streamOrigins.StreamOrigins;
  private routes: routeTable.RouteTable | undefined;
  private readonly plannedStop: plannedStop.PlannedStop;
  private readyAt: ports.Milliseconds = 0;
  /** Load of the entry; undefined if it is not measured. */
  readonly load: entryLoad.EntryLoad | undefined;

  constructor(settings: types.TrafficEntrySettings, entryPorts: types.TrafficEntryPorts) {
    const { random, log, metrics, peers, upstreams } = entryPorts;
    this.settings = settings;
    this.entryPorts = entryPorts;
    this.timers = timerService.create(entryPorts.clock, entryPorts.scheduler);
    const { timers } = this;
    this.plannedStop = new plannedStop.PlannedStop(timers, log);
    const { capacity = {}, isEnabled } = settings;
    const { loadProbe: probe } = entryPorts;
    const measuresLoad = isEnabled?.('entryCapacity') ?? true;
    this.load =
      probe !== undefined && measuresLoad
        ? new entryLoad.EntryLoad({ timers, log, metrics, random, capacity, probe })
        : undefined;
    const signals = new signalRegistry.SignalRegistry({
      timers,
      log,
      metrics,
      recordTerminationNotice: (identity) => instances.recordTerminationNotice(identity, timers.now()),
      publishedRateLimitOf: (identity) => instances.get(identity)?.rateLimit,
      publishRateLimit: (identity, perSecond) => {
        this.notifyControl(methods.methods.rateLimit, {
          instance: identity,
          perSecond,
        } satisfies methods.RateLimitUpdate);
      },
    });
    const instances = new instanceView.InstanceView((update) => {
      instanceLog.write(log, update);
      for (const change of update.changes) {
        const { instance, event } = change;
        this.quarantine.detector.onInstanceChange(change);
        signals.onInstanceChange(change);
        if (event === 'gone' || event === 'replaced') {
          balancer.removeInstance(instance.identity);
          this.peerRelay.removeUpstream(instance.identity);
          policy.removeUpstream(instance.identity);
        }
        if (event === 'replaced') {
          this.placement.onRestart(instance.identity);
        }
      }
    });
    const entryCount = (): number => this.watch.entryCount;
    const coordinator = (): string => this.watch.coordinator;
    const policy = new sendPolicy.SendPolicy({
      entry: settings.name,
      random,
      instances,
      signals,
      rateShare: new entryShare.EntryShare(settings.name, entryCount, rateLimitShare.RATE_WINDOW),
      coldShare: new entryShare.EntryShare(settings.name, entryCount, warmUpBounds.COLD_WINDOW),
      warmUpLimitOf: (service) => this.coldRequestLimitOf(service),
    });
    const paces =
      settings.isEnabled?.('upstreamPace') === false
        ? undefined
        : new upstreamPaces.UpstreamPaces({
            now: () => timers.now(),
            ...{ random, log, metrics },
            serviceOf: (identity) => instances.get(identity)?.service,
          });
    const balancer = new localBalancer.LocalBalancer({
      random,
      dataCentre: settings.dataCentre,
      sendPolicy: policy,
      ...(paces !== undefined && { paces }),
    });
    this.placement = new placementClient.PlacementClient({
      entry: settings.name,
      dataCentre: settings.dataCentre,
      peerAddress: settings.peerAddress,
      peers,
      timers,
      random,
      log,
      coordinator,
      instances,
      ...(paces !== undefined && { paces }),
    });
    const { quarantine: quarantineState, reporter } = entryQuarantine.create({
      ...{ timers, random, log, metrics, peers, instances, entryCount },
      replicas: () => this.watch.replicas(),
      peerRelay: () => this.peerRelay,
      onInstanceDown: (instance) => {
        this.notifyControl(methods.methods.crashedInstances, {
          instances: [instance],
          entry: settings.name,
        } satisfies methods.CrashedInstances);
      },
    });
    this.quarantine = quarantineState;
    const { placement } = this;
    this.peerRelay = new peerRelay.PeerRelay({
      ...{ timers, random, log, metrics, peers, instances, entryCount },
      entry: settings.name,
      dataCentre: settings.dataCentre,
      upstreams,
      replicas: () => this.watch.replicas(),
      onCutOffChanged: () => {
        this.watch.reportStatusNow();
      },
    });
    const slots = new slotClient.SlotClient({
      ...{ timers, random, log, metrics, peers, instances, entryCount },
      entry: settings.name,
      dataCentre: settings.dataCentre,
      coordinator,
      replicas: () => this.watch.replicas(),
    });
    this.origins = new streamOrigins.StreamOrigins({
      ...{ timers, random, log, metrics, peers },
      peerAddress: settings.peerAddress,
      replicas: () => this.watch.replicas(),
    });
    const { origins } = this;
    const guardOptions = { timers, quarantine: quarantineState, signals, slots, log };
    const server = this.createRelayServer(guardOptions, policy);
    const responses = entryPorts.responses ?? new responseMemory.ResponseMemory(log, metrics);
    this.registerHolders(responses, server);
    const retryBudget = sharedRetryBudget.create({ settings, entryPorts, timers, entryCount, coordinator });
    this.relay = new trafficRelay.TrafficRelay({
      context: {
        timers,
        log,
        metrics,
        upstreams: guardedUpstreams.create({
          ...guardOptions,
          upstreams: this.peerRelay.upstreams,
          policy,
        }),
        instances,
        sendPolicy: policy,
        balancer,
        retryBudget,
        placement,
        quarantine: quarantineState,
        isCutOff: () => this.peerRelay.isCutOff,
        slots,
        origins,
        responseMemory: responses,
        routeDurations: new routeDurations.RouteDurations(),
        plannedStop: this.plannedStop,
        ...(settings.isEnabled !== undefined && { isEnabled: settings.isEnabled }),
      },
      random,
      regions: settings.regions,
      routes: () => this.routes,
      isSuperseded: () => this.watch.isSuperseded,
      generationRefusal: () => this.load?.generationRefusal(),
    });
    this.watch = new controlWatch.ControlWatch({
      timers,
      peers,
      log,
      seeds: settings.seeds,
      dataCentre: settings.dataCentre,
      entryStatus: () => this.describe(),
      instances,
      inForceWithin: settings.inForceWithin ?? DEFAULT_IN_FORCE_WITHIN,
      onTraffic: (traffic) => {
        this.applyTraffic(traffic.text);
      },
      onSupersededChanged: () => {
        this.onSupersededChanged();
      },
      onCoordinatorChanged: () => {
        placement.onCoordinatorChange();
      },
      onCrashRecords: (records) => {
        quarantineState.mergeRecords(records);
      },
      onFragileServices: (records) => {
        slots.merge(records);
      },
      onEvacuations: ({ dataCentres, revision }) => {
        const names = dataCentres.map((evacuation) => evacuation.dataCentre);
        log.info('evacuationsInForce', { dataCentres: names.join(' '), revision });
        instances.setEvacuated(names);
      },
      onReplicaStarted: (address) => {
        // A restarted replica has lost its crash records; the replicated log only restores committed quarantines.
        reporter.reportTo(address, quarantineState.trackedCauses());
        origins.onReplicaStarted(address);
      },
    });
    this.services.register('timers', timers);
    this.services.register('instances', instances);
    this.services.register('placement', placement);
    this.services.register('relay', this.relay);
    this.services.register('watch', this.watch);
    this.services.register('quarantine', quarantineState);
    this.services.register('relayServer', server);
  }

  private registerHolders(responses: responseMemory.ResponseMemory, server: relayServer.RelayServer): void {
    const { heldMemory } = this.entryPorts;
    heldMemory?.register(heldMemoryHolders.of('responses', responses));
    heldMemory?.register(heldMemoryHolders.of('relayed', server));
    if (this.load !== undefined) {
      heldMemory?.register(heldMemoryHolders.of('unread', this.load.readers));
    }
  }

  /** Relays for other entries, with the checks that do not count against limits of this entry. */
  private createRelayServer(
    guardOptions: Omit<guardedUpstreams.GuardedUpstreamsOptions, 'upstreams' | 'policy'>,
    policy: sendPolicy.SendPolicy,
  ): relayServer.RelayServer {
    const { log, metrics, peers, random } = this.entryPorts;
    return new relayServer.RelayServer({
      ...{ timers: this.timers, log, metrics, peers },
      epoch: random.identity(),
      upstreams: guardedUpstreams.create({
        ...guardOptions,
        upstreams: this.peerRelay.direct,
        policy: {
          exclusionOf: (instance, now) => policy.exclusionFromRelay(instance, now),
          recordSent: () => undefined,
          messageOf: (exclusion) => policy.messageOf(exclusion),
        },
      }),
      declineReason: () => this.relayDeclineReason(),
    });
  }

  private notifyControl(method: string, parameters: unknown): void {
    for (const replica of this.watch.replicas()) {
      this.entryPorts.peers.notify(replica, method, parameters);
    }
  }

  /** Requests per second that all entries together may send to a cold upstream without a coordinator's grant. */
  private coldRequestLimitOf(name: string): number | undefined {
    const service = this.routes?.serviceOf(name);
    if (service?.warmUp === undefined) {
      return undefined;
    }
    const placedBy = service.engine === undefined ? 'entries' : 'coordinator';
    return warmUpBounds.forEntries(service.warmUp, this.settings.warmUpTolerance, placedBy);
  }

  private describe(): methods.EntryStatus {
    const { name, dataCentre, callerAddress, peerAddress } = this.settings;
    const trafficVersion = this.routes?.version ?? 0;
    const isCutOff = this.peerRelay.isCutOff;
    const status = {
      ...{ name, dataCentre, callerAddress, peerAddress, state: this.state, trafficVersion },
      ...(isCutOff && { cutOff: true }),
    };
    if (this.load === undefined) {
      return status;
    }
    const readyFor = Math.round(this.timers.now() - this.readyAt);
    const isStarting = status.state === 'ready' && readyFor < entryWeights.STARTING_TIME;
    return { ...status, ...this.load.status(), ...(isStarting && { readyFor }) };
  }

  /**
   * Registers a callback for the moment shortly before the process is killed.
   *
   * @returns a function that removes the callback
   */
  whenStopImminent(callback: () => void): ports.Cancel {
    return this.plannedStop.whenImminent(callback);
  }

  private get isDraining(): boolean {
    return this.plannedStop.answersBy !== undefined;
  }

  /** Reason for which this entry relays nothing for others; undefined if it relays. */
  private relayDeclineReason(): relayMessages.DeclineReason | undefined {
    if (this.isDraining) {
      return 'draining';
    }
    if (this.state !== 'ready') {
      return 'notReady';
    }
    if (this.peerRelay.isCutOff) {
      return 'cutOff';
    }
    const isShedding = this.entryPorts.isShedding?.() === true;
    return isShedding || this.load?.generationRefusal() !== undefined ? 'overloaded' : undefined;
  }

  /** Whether this entry accepts new callers. */
  get state(): methods.EntryState {
    if (this.isDraining) {
      return 'draining';
    }
    if (this.routes === undefined) {
      return 'starting';
    }
    return this.watch.isSuperseded ? 'superseded' : 'ready';
  }

  private onSupersededChanged(): void {
    this.watch.reportStatusNow();
    if (!this.watch.isSuperseded) {
      this.relay.onConfigured();
    }
  }

  /** Limits of requests from callers; undefined before the first configuration. */
  get limits(): routeTable.RouteTable['limits'] | undefined {
    return this.routes?.limits;
  }

  /**
   * Time for which a request may be kept waiting, from its arrival: until its caller gives up, or until the time limit of
   * its route.
   */
  timeLimitOf({ host, path, callerTimeout }: relayTypes.TrafficRequest): ports.Milliseconds {
    const { timeout = Number.POSITIVE_INFINITY } = this.routes?.routeOf(host, path) ?? {};
    return Math.min(timeout, callerTimeout ?? Number.POSITIVE_INFINITY);
  }

  private applyTraffic(text: string): void {
    const decoded = this.entryPorts.decodeTraffic(text);
    if (decoded.err) {
      this.entryPorts.log.error('trafficUnreadable', { reason: failures.describe(decoded.val) });
      return;
    }
    const isFirst = this.routes === undefined;
    this.routes = new routeTable.RouteTable(decoded.val);
    if (isFirst) {
      this.readyAt = this.timers.now();
      this.watch.reportStatusNow();
      this.relay.onConfigured();
    }
  }

  /** Handles one request from a caller. */
  handle(request: relayTypes.TrafficRequest, caller: relayTypes.CallerPort): void {
    this.relay.handle(request, caller);
  }

  /**
   * Removes this entry from the address list immediately; requests that still arrive are served, if they end in time.
   *
   * @param grace - time until the process is killed, in milliseconds
   */
  drain(grace: ports.Milliseconds = Number.POSITIVE_INFINITY): void {
    if (this.plannedStop.begin(grace)) {
      this.entryPorts.log.info('drainStarted', { generations: this.placement.openCount });
      this.watch.reportStatusNow();
      this.origins.handOver();
    }
  }

  /** Replaces the seed addresses of control replicas. */
  setSeeds(seeds: readonly string[]): void {
    this.watch.setSeeds(seeds);
  }

  stop(): void {
    this.timers.stop();
  }
}
