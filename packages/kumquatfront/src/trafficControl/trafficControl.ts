/**
 * Traffic service of a control replica: accepts traffic configurations and instance announcements, sends both to
 * entries as they change, and runs a coordinator that places generations.
 */
import type * as agreedState from '../agreedState/agreedState.js';
import type * as replica from '../consensus/replica.js';
import type * as shareReport from '../fairShare/shareReport.js';
import * as instanceTable from '../instances/instanceTable.js';
import type * as instanceTypes from '../instances/types.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as callerCheck from '../operatorOrders/callerCheck.js';
import type * as dataCentreOrders from '../operatorOrders/dataCentreOrders.js';
import type * as operatorOrders from '../operatorOrders/types.js';
import * as coordinator from '../placement/coordinator.js';
import * as evacuation from '../placement/evacuation.js';
import * as fragileServices from '../callSlots/fragileServices.js';
import * as placementFeatures from '../placement/placementFeatures.js';
import type * as placementTypes from '../placement/types.js';
import type * as residency from '../traffic/residency.js';
import * as routeTable from '../traffic/routeTable.js';
import type * as trafficTypes from '../traffic/types.js';
import * as paceTable from '../upstreamPace/paceTable.js';
import type * as paceTypes from '../upstreamPace/types.js';
import type * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as appliedConfiguration from './appliedConfiguration.js';
import * as entryDirectory from './entryDirectory.js';
import * as entryServices from './entryServices.js';
import * as instanceGossip from './instanceGossip.js';
import * as methods from './methods.js';
import * as openWatches from './openWatches.js';
import * as quarantineControl from './quarantineControl.js';
import * as operatorCalls from './operatorCalls.js';
import * as watchAnswers from './watchAnswers.js';

/** Settings and dependencies of {@link TrafficControl}. */
export interface TrafficControlOptions {
  readonly replica: replica.Replica;
  readonly state: agreedState.AgreedState;
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly callerCheck: callerCheck.CallerCheck;
  readonly peerAddress: string;
  readonly dataCentre: string;
  readonly decode: trafficTypes.DecodeTraffic;
  /** Region of each data centre, by name; empty if none is configured. */
  readonly regions: residency.Regions;
  /** Margin by which all senders together may exceed what a cold upstream tolerates. */
  readonly warmUpTolerance: warmUpBounds.WarmUpTolerance;
  /** Minimum number of voters before a change is accepted. */
  readonly minimumVoters: number;
  /** Number of voters that the tolerated losses require; the minimum while more replicas are about to join. */
  readonly requiredVoters: number;
  /** True if a replica is about to become a voter. */
  readonly hasPendingVoter: () => boolean;
  /** Placement features in use; all if omitted. */
  readonly isEnabled?: placementFeatures.IsEnabled;
}

/** Interval at which instance leases are checked and pending gossip is sent. */
const GOSSIP_INTERVAL: ports.Milliseconds = 250;

/** Interval of the freshness check; shorter while the replica is stale, because starting entries wait for it. */
const FRESHNESS_CHECK_INTERVAL: ports.Milliseconds = 40;
const STALE_CHECK_INTERVAL: ports.Milliseconds = 10;

/** Location of a caller and the host it requests. */
export interface CallerLocation {
  readonly host: string;
  readonly dataCentre: string;
  /** Empty if the caller does not state it. */
  readonly region: string;
}

/** Traffic service of one control replica. */
export class TrafficControl {
  private readonly options: TrafficControlOptions;
  private readonly table: instanceTable.InstanceTable;
  private readonly paces: paceTable.PaceTable;
  private readonly coordinator: coordinator.Coordinator;
  private readonly entries: entryDirectory.EntryDirectory;
  private readonly watches: openWatches.OpenWatches;
  readonly quarantine: quarantineControl.QuarantineControl;
  private readonly gossip: instanceGossip.InstanceGossip;
  private readonly operatorCalls: operatorCalls.OperatorCalls;
  private readonly fragileServices = new fragileServices.FragileServices();
  private readonly configuration: appliedConfiguration.AppliedConfiguration;
  /** Data centres that were evacuated after the last applied command. */
  private evacuated: readonly string[] = [];
  private cachedRoutes: routeTable.RouteTable | undefined;

  constructor(options: TrafficControlOptions) {
    this.options = options;
    const { timers, random, log, metrics, peers } = options;
    this.entries = new entryDirectory.EntryDirectory(random, {
      usesWeights: options.isEnabled?.('entryCapacity') ?? true,
    });
    this.configuration = new appliedConfiguration.AppliedConfiguration({ ...options, entries: this.entries });
    this.table = new instanceTable.InstanceTable(random.identity());
    this.paces = new paceTable.PaceTable(
      () => timers.now(),
      (upstream) => this.table.serviceOf(upstream),
    );
    this.coordinator = new coordinator.Coordinator({
      timers,
      log,
      metrics,
      random,
      instances: () => this.table.records(timers.now()),
      ...(options.isEnabled !== undefined && { isEnabled: options.isEnabled }),
      serviceOf: (name) => this.routes()?.serviceOf(name),
      weightOf: (account) => this.routes()?.weightOf(account) ?? 1,
      sharesEnabled: () => this.routes()?.hasWeights ?? false,
      isEvacuated: (dataCentre) => this.isEvacuated(dataCentre),
      warmUpTolerance: options.warmUpTolerance,
      entryNames: () => this.entries.names(),
      move: (entryAddress, command, done) => {
        peers.request(entryAddress, methods.methods.move, command, evacuation.MOVE_TIMEOUT, (result) => {
          done(result.ok ? (result.val as placementTypes.MoveOutcome) : 'failed');
        });
      },
    });
    this.quarantine = new quarantineControl.QuarantineControl({
      ...options,
      notifyEntries: () => {
        this.wakeWatches();
      },
    });
    const answers = new watchAnswers.WatchAnswers({
      ...options,
      table: this.table,
      crashRecords: this.quarantine.registry,
      configuration: this.configuration,
      fragileServices: this.fragileServices,
      entryCount: () => this.entries.size,
    });
    this.watches = new openWatches.OpenWatches({
      timers,
      table: this.table,
      state: () => answers.state(),
      answer: (request) => answers.answer(request),
    });
    this.gossip = new instanceGossip.InstanceGossip({
      table: this.table,
      timers,
      log,
      peers,
      peerAddress: options.peerAddress,
      memberAddresses: () => options.replica.status().members.map((member) => member.address),
      notifyEntries: () => {
        this.wakeWatches();
      },
      notifyCoordinator: () => {
        this.coordinator.handleInstancesChanged();
      },
    });
    this.operatorCalls = new operatorCalls.OperatorCalls({
      ...options,
      dataCentres: [...options.regions.keys()],
      onChangeSettled: () => {
        this.wakeWatches();
      },
    });
    this.serve();
    entryServices.serve({
      ...options,
      entries: this.entries,
      fragileServices: this.fragileServices,
      instances: () => this.table.records(timers.now()),
      isEvacuated: (dataCentre) => this.isEvacuated(dataCentre),
    });
    this.operatorCalls.serve();
    this.configuration.serve();
    let wasFresh = false;
    timers.every(
      () => (wasFresh ? FRESHNESS_CHECK_INTERVAL : STALE_CHECK_INTERVAL),
      () => {
        const isFresh = options.replica.isFresh();
        if (isFresh !== wasFresh) {
          wasFresh = isFresh;
          log.info('freshnessChanged', { fresh: isFresh, term: options.replica.status().term });
          this.wakeWatches();
        }
      },
    );
    timers.every(
      () => GOSSIP_INTERVAL,
      () => {
        this.tick();
      },
    );
  }

  private serve(): void {
    const { peers } = this.options;
    const { methods: names } = methods;
    peers.serve(names.watch, (parameters, reply) => {
      this.onWatch(parameters as methods.WatchRequest, reply);
    });
    peers.serve(names.gossip, (parameters, reply) => {
      this.gossip.mergeGossip((parameters as methods.Gossip).records);
      reply(results.Ok(null));
    });
    peers.serve(names.crashedInstances, (parameters, reply) => {
      this.gossip.removeCrashed(parameters as methods.CrashedInstances);
      reply(results.Ok(null));
    });
    peers.serve(names.rateLimit, (parameters, reply) => {
      this.gossip.recordRateLimit(parameters as methods.RateLimitUpdate);
      reply(results.Ok(null));
    });
    peers.serve(names.place, (parameters, reply) => {
      this.onPlace(parameters as methods.PlaceRequest, reply);
    });
    peers.serve(names.withdraw, (parameters, reply) => {
      this.coordinator.withdraw((parameters as methods.PlacementWithdrawal).identity);
      reply(results.Ok(null));
    });
    peers.serve(names.report, (parameters, reply) => {
      reply(results.Ok(this.onReport(parameters as placementTypes.EntryReport)));
    });
  }

  /** Called after each log command that is applied at this replica. */
  onCommandApplied(): void {
    this.configuration.update();
    const { dataCentres } = this.options.state.evacuations;
    const evacuated = dataCentres.map((record) => record.dataCentre);
    // Upstreams may have turned cold while they received no requests, and report it only with their next announcement.
    // Until then all queued requests could be sent to them.
    for (const dataCentre of this.evacuated.filter((former) => !evacuated.includes(former))) {
      this.gossip.assumeCold(
        dataCentre,
        (service) => this.routes()?.serviceOf(service)?.warmUp?.duration ?? 0,
      );
    }
    this.evacuated = evacuated;
    this.wakeWatches();
  }

  private isEvacuated(dataCentre: string): boolean {
    return this.options.state.evacuations.dataCentres.some((record) => record.dataCentre === dataCentre);
  }

  /** Applies a report; the result answers a report that carries sums of plain calls. */
  private onReport(report: placementTypes.EntryReport): paceTypes.PaceAnswer | null {
    this.gossip.addReported(report.unlisted, report.entry);
    this.coordinator.applyReport(report);
    this.gossip.markDraining(report.leaving);
    if (report.paces === undefined || this.options.isEnabled?.('upstreamPace') === false) {
      return null;
    }
    this.paces.merge(report.paces);
    return { paces: this.paces.rows() };
  }

  private onPlace(request: methods.PlaceRequest, reply: ports.Reply): void {
    this.coordinator.requestPlacement(request, (answer) => {
      reply(results.Ok(answer));
    });
  }

  /** Routes of the configuration in force at this replica, decoded once per version. */
  private routes(): routeTable.RouteTable | undefined {
    const { state, decode, log } = this.options;
    const traffic = state.traffic;
    if (traffic === undefined || this.cachedRoutes?.version === traffic.version) {
      return this.cachedRoutes;
    }
    const decoded = decode(traffic.text);
    if (decoded.err) {
      log.error('trafficUnreadable', { version: traffic.version, reason: failures.describe(decoded.val) });
      return this.cachedRoutes;
    }
    this.cachedRoutes = new routeTable.RouteTable(decoded.val);
    return this.cachedRoutes;
  }

  /** Shares of the client accounts at this replica; empty while it is not the placement coordinator. */
  accountStatus(): readonly shareReport.AccountStatus[] {
    return this.coordinator.accountStatus();
  }

  /** Validates and commits an operator's configuration; see `operatorCalls`. */
  replace(text: string, done: ports.Reply): void {
    this.operatorCalls.replace(text, done);
  }

  /** Reads the newest configuration; fails if a quorum does not confirm that it is the newest. */
  read(done: (result: results.Result<trafficTypes.VersionedText | null, failures.Failure>) => void): void {
    this.operatorCalls.read(done);
  }

  /** Evacuates or restores a data centre while the caller waits. */
  evacuateOrRestore(
    order: dataCentreOrders.DataCentreOrder,
    caller: operatorOrders.OrderCaller,
    done: ports.Reply,
  ): void {
    this.operatorCalls.evacuateOrRestore(order, caller, done);
  }

  /** Lifts a quarantine while the caller waits. */
  liftQuarantine(
    cause: string,
    caller: operatorOrders.OrderCaller,
    done: (result: results.Result<null, failures.Failure>) => void,
  ): void {
    this.options.callerCheck.confirm(caller, { order: 'liftQuarantine', content: cause }, 0, (confirmed) => {
      done(confirmed.andThen(() => this.quarantine.lift(cause)));
    });
  }

  /** Applies an instance's announcement; updates to replicas and entries have been triggered when this returns. */
  announce(announcement: instanceTypes.Announcement): void {
    this.gossip.announce(announcement);
  }

  /** Applies an instance's termination notice, which states its name and optionally its start time. */
  markDraining(name: string, born: number | undefined): void {
    this.gossip.markDrainingByName(name, born);
  }

  private tick(): void {
    const now = this.options.timers.now();
    this.gossip.tick();
    for (const entry of this.entries.expire(now)) {
      this.options.log.info('entryLost', { entry });
    }
    this.logReducedEntries(now);
    this.configuration.reportEntriesBehind();
    this.quarantine.registry.tick();
    this.wakeWatches();
  }

  private logReducedEntries(now: ports.Milliseconds): void {
    const reduced = this.entries.takeWeightReport(now);
    if (reduced !== undefined) {
      const { log, metrics } = this.options;
      const names = entryDirectory.formatNames(reduced);
      log.info('entryWeightsReduced', { count: reduced.length, entries: names });
      metrics.gauge('entries.reduced', reduced.length);
    }
  }

  private onWatch(request: methods.WatchRequest, reply: ports.Reply): void {
    const now = this.options.timers.now();
    const { entry } = request;
    if (this.entries.recordStatus(entry, now)) {
      this.options.log.info('entryFound', { entry: entry.name, state: entry.state });
    }
    this.watches.open(request, reply);
  }

  /** Answers every watch that is due; called whenever the state of this replica may have changed. */
  wakeWatches(): void {
    this.watches.wake();
  }

  /**
   * Whether a termination notice may be acknowledged: entries watch this replica, and it reaches a quorum of the other
   * replicas, which notify the remaining entries.
   */
  mayAcknowledgeNotice(): boolean {
    return this.options.replica.isFresh() && this.entries.size > 0;
  }

  /**
   * Entries to return to a caller, of those with a current lease at this replica. For a host whose routes restrict
   * regions, entries in those regions or in the caller's region are preferred.
   */
  entriesFor(caller: CallerLocation, limit: number): readonly methods.EntryStatus[] {
    const { regions, timers } = this.options;
    const homes = this.routes()?.homesOf(caller.host) ?? [];
    const region = regions.get(caller.dataCentre) ?? caller.region;
    const mayPass = (dataCentre: string): boolean => {
      const transit = regions.get(dataCentre) ?? '';
      return homes.length === 0 || transit === region || homes.every((home) => home.includes(transit));
    };
    return this.entries.choose(caller.dataCentre, limit, timers.now(), mayPass);
  }
}
