/**
 * The part of a control replica that serves traffic: it takes whole configurations and announcements in,
 * tells entries of both as soon as they change, and lets the leader's coordinator place generations.
 */
import type * as agreedState from '../agreedState/agreedState.js';
import type * as agreedTypes from '../agreedState/types.js';
import type * as replica from '../consensus/replica.js';
import * as instanceTable from '../instances/instanceTable.js';
import type * as instanceTypes from '../instances/types.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import * as coordinator from '../placement/coordinator.js';
import * as evacuation from '../placement/evacuation.js';
import type * as mechanisms from '../placement/mechanisms.js';
import type * as placementTypes from '../placement/types.js';
import * as caseBook from '../quarantine/caseBook.js';
import type * as residency from '../traffic/residency.js';
import * as routeTable from '../traffic/routeTable.js';
import type * as trafficTypes from '../traffic/types.js';
import type * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as entryDirectory from './entryDirectory.js';
import * as instanceSpread from './instanceSpread.js';
import * as methods from './methods.js';
import * as openWatches from './openWatches.js';
import * as operatorCalls from './operatorCalls.js';

/** What the part is made from. */
export interface TrafficControlOptions {
  readonly replica: replica.Replica;
  readonly state: agreedState.AgreedState;
  readonly peers: ports.PeerTransport;
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly peerAddress: string;
  readonly dataCentre: string;
  readonly decode: trafficTypes.DecodeTraffic;
  /** Region of each data centre, by name; empty where the settings name none. */
  readonly regions: residency.Regions;
  /** How far all that send may pass what a cold upstream tolerates. */
  readonly warmUpTolerance: warmUpBounds.WarmUpTolerance;
  /** Voters that must stand before the first change is taken. */
  readonly leastVoters: number;
  /** Voters that must stand where others are about to join. */
  readonly wantedVoters: number;
  /** True where a replica is about to become a voter. */
  readonly isGathering: () => boolean;
  /** Mechanisms of placement in use; all of them where this is left out. */
  readonly isOn?: mechanisms.IsOn;
}

/** How often instances are checked for silence and news goes to the other replicas. */
const GOSSIP_INTERVAL: ports.Milliseconds = 250;

/** How often a replica looks whether it is fresh still; and while it is not, which entries that start wait for. */
const FRESHNESS_INTERVAL: ports.Milliseconds = 40;
const FRESHNESS_WAIT: ports.Milliseconds = 10;

/** Where a caller is, and where it wants to go. */
export interface CallerPlace {
  readonly host: string;
  readonly dataCentre: string;
  /** Empty where the caller does not say. */
  readonly region: string;
}

/** The part; see the module comment. */
export class TrafficControl {
  private readonly options: TrafficControlOptions;
  private readonly table: instanceTable.InstanceTable;
  private readonly coordinator: coordinator.Coordinator;
  private readonly entries: entryDirectory.EntryDirectory;
  private readonly watches: openWatches.OpenWatches;
  private readonly cases: caseBook.CaseBook;
  private readonly instances: instanceSpread.InstanceSpread;
  private readonly calls: operatorCalls.OperatorCalls;
  /** Data centres that were evacuated when a command was applied last. */
  private evacuated: readonly string[] = [];
  private decoded: routeTable.RouteTable | undefined;

  constructor(options: TrafficControlOptions) {
    this.options = options;
    const { timers, random, log, metrics, peers } = options;
    this.entries = new entryDirectory.EntryDirectory(random);
    this.table = new instanceTable.InstanceTable(random.identity());
    this.coordinator = new coordinator.Coordinator({
      timers,
      log,
      metrics,
      random,
      instances: () => this.table.records(timers.now()),
      ...(options.isOn !== undefined && { isOn: options.isOn }),
      serviceOf: (name) => this.routes()?.serviceOf(name),
      isEvacuated: (dataCentre) => this.isEvacuated(dataCentre),
      warmUpTolerance: options.warmUpTolerance,
      entries: () => this.entries.names(),
      move: (entryAddress, command, done) => {
        peers.request(entryAddress, methods.methods.move, command, evacuation.MOVE_TIMEOUT, (result) => {
          done(result.ok ? (result.val as placementTypes.MoveOutcome) : 'failed');
        });
      },
    });
    this.cases = new caseBook.CaseBook({
      now: () => timers.now(),
      log,
      metrics,
      agreed: () => options.state.quarantined,
      mayLead: () => options.replica.mayLead(),
      mostAgreed: options.state.mostQuarantined,
      propose: (command) => {
        this.proposeCase(command);
      },
    });
    this.watches = new openWatches.OpenWatches({
      timers,
      table: this.table,
      state: () => this.watchedState(),
      answer: (request) => this.watchAnswer(request),
    });
    this.instances = new instanceSpread.InstanceSpread({
      table: this.table,
      timers,
      log,
      peers,
      peerAddress: options.peerAddress,
      members: () => options.replica.status().members.map((member) => member.address),
      wakeEntries: () => {
        this.wakeWatches();
      },
      wakeCoordinator: () => {
        this.coordinator.instancesChanged();
      },
    });
    this.calls = new operatorCalls.OperatorCalls({
      ...options,
      dataCentres: [...options.regions.keys()],
      changed: () => {
        this.wakeWatches();
      },
    });
    this.serve();
    this.calls.serve();
    let wasFresh = false;
    timers.every(
      () => (wasFresh ? FRESHNESS_INTERVAL : FRESHNESS_WAIT),
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
        this.beat();
      },
    );
  }

  private serve(): void {
    const { peers } = this.options;
    const { methods: names } = methods;
    peers.serve(names.watch, (parameters, reply) => {
      this.onWatch(parameters as methods.WatchRequest, reply);
    });
    peers.serve(names.fetch, (parameters, reply) => {
      const { above } = parameters as methods.FetchRequest;
      const { traffic } = this.options.state;
      reply(results.Ok(traffic !== undefined && traffic.version > above ? traffic : null));
    });
    peers.serve(names.gossip, (parameters, reply) => {
      this.instances.hear((parameters as methods.Gossip).records);
      reply(results.Ok(null));
    });
    peers.serve(names.cases, (parameters, reply) => {
      if (this.cases.hear((parameters as methods.CaseReport).cases)) {
        this.wakeWatches();
      }
      reply(results.Ok(null));
    });
    peers.serve(names.ended, (parameters, reply) => {
      this.instances.end((parameters as methods.EndedInstances).instances);
      reply(results.Ok(null));
    });
    peers.serve(names.rateLimit, (parameters, reply) => {
      this.instances.hearRateLimit(parameters as methods.HeardRateLimit);
      reply(results.Ok(null));
    });
    peers.serve(names.place, (parameters, reply) => {
      this.onPlace(parameters as methods.PlaceRequest, reply);
    });
    peers.serve(names.withdraw, (parameters, reply) => {
      this.coordinator.withdraw((parameters as methods.Withdrawal).identity);
      reply(results.Ok(null));
    });
    peers.serve(names.report, (parameters, reply) => {
      this.onReport(parameters as placementTypes.EntryReport);
      reply(results.Ok(null));
    });
  }

  /** Called after each command that the log applied here. */
  applied(): void {
    const { dataCentres } = this.options.state.evacuations;
    const evacuated = dataCentres.map((held) => held.dataCentre);
    // Upstreams may have become cold while nobody asked them, and say so with their next announcement only: a second
    // later at worst. By then all that waits could have been sent there.
    for (const dataCentre of this.evacuated.filter((former) => !evacuated.includes(former))) {
      this.instances.restored(
        dataCentre,
        (service) => this.routes()?.serviceOf(service)?.warmUp?.duration ?? 0,
      );
    }
    this.evacuated = evacuated;
    this.wakeWatches();
  }

  private isEvacuated(dataCentre: string): boolean {
    return this.options.state.evacuations.dataCentres.some((held) => held.dataCentre === dataCentre);
  }

  private proposeCase(command: agreedTypes.QuarantineCommand | agreedTypes.ReleaseCommand): void {
    const { replica: own, log } = this.options;
    own.propose(command, (result) => {
      const outcome = result.ok ? 'agreed' : failures.describe(result.val);
      log.info('caseAgreed', { content: command.content, change: command.type, outcome });
    });
  }

  private onReport(report: placementTypes.EntryReport): void {
    this.instances.vouch(report.unlisted);
    this.coordinator.report(report);
    this.instances.leave(report.leaving);
  }

  private onPlace(request: methods.PlaceRequest, reply: ports.Reply): void {
    this.coordinator.place(request, (answer) => {
      reply(results.Ok(answer));
    });
  }

  /** The configuration in force here, decoded once for each version. */
  private routes(): routeTable.RouteTable | undefined {
    const { state, decode, log } = this.options;
    const held = state.traffic;
    if (held === undefined || this.decoded?.version === held.version) {
      return this.decoded;
    }
    const decoded = decode(held.text);
    if (decoded.err) {
      log.error('trafficUnreadable', { version: held.version, reason: failures.describe(decoded.val) });
      return this.decoded;
    }
    this.decoded = new routeTable.RouteTable(decoded.val);
    return this.decoded;
  }

  /** Takes an operator's configuration; see `operatorCalls`. */
  replace(text: string, done: ports.Reply): void {
    this.calls.replace(text, done);
  }

  /** Reads the newest configuration; a failure where this cannot be certain. */
  read(done: (result: results.Result<trafficTypes.VersionedText | null, failures.Failure>) => void): void {
    this.calls.read(done);
  }

  /** Evacuates a data centre, or restores it. */
  orderDataCentre(command: agreedTypes.DataCentreCommand, done: ports.Reply): void {
    this.calls.orderDataCentre(command, done);
  }

  /** Takes an announcement of an instance; it is on its way to all entries when this returns. */
  announce(announcement: instanceTypes.Announcement): void {
    this.instances.announce(announcement);
  }

  /** Takes an instance's notice that it leaves, which gives its name and perhaps its start. */
  leave(name: string, born: number | undefined): void {
    this.instances.leaveByName(name, born);
  }

  private beat(): void {
    const now = this.options.timers.now();
    this.instances.beat();
    for (const entry of this.entries.expire(now)) {
      this.options.log.info('entryLost', { entry });
    }
    this.cases.beat();
    this.wakeWatches();
  }

  private onWatch(request: methods.WatchRequest, reply: ports.Reply): void {
    const now = this.options.timers.now();
    const { entry } = request;
    if (this.entries.hear(entry, now)) {
      this.options.log.info('entryFound', { entry: entry.name, state: entry.state });
    }
    this.watches.open(request, reply);
  }

  /** Answers every watch that has news; called whenever there may be some. */
  wakeWatches(): void {
    this.watches.wake();
  }

  private watchedState(): openWatches.WatchedState {
    const { replica: own, state } = this.options;
    const { fresh, term, leader } = own.status();
    return {
      trafficVersion: state.traffic?.version ?? 0,
      fresh,
      caseRevision: this.cases.revision,
      evacuationRevision: state.evacuations.revision,
      leaderTerm: leader === undefined ? 0 : term,
    };
  }

  private watchAnswer(request: methods.WatchRequest): methods.WatchAnswer {
    const { replica: own, state, timers, dataCentre } = this.options;
    const status = own.status();
    const control = status.members.map((member) => member.address);
    const isCurrent = request.epoch === this.table.epoch && request.revision === this.table.currentRevision;
    const { evacuations } = state;
    const cases = this.cases.newsSince(request.epoch === this.table.epoch ? request.caseRevision : 0);
    return {
      dataCentre,
      ...(!isCurrent && {
        instances: this.table.newsSince(request.epoch, request.revision, timers.now()),
      }),
      ...(methods.digestOf(control) !== request.controlDigest && { control }),
      trafficVersion: state.traffic?.version ?? 0,
      fresh: status.fresh,
      leaderTerm: status.term,
      leaderAddress: status.fresh ? (status.leader?.address ?? '') : '',
      entryCount: this.entries.size,
      ...(cases !== undefined && { cases }),
      ...(evacuations.revision > request.evacuationRevision && { evacuations }),
    };
  }

  /**
   * True where a notice may be acknowledged: entries hear of it from here, and this replica is not cut off
   * from the others, which tell the rest.
   */
  mayAcknowledge(): boolean {
    return this.options.replica.isFresh() && this.entries.size > 0;
  }

  /**
   * Entries that callers may be given, as this replica hears from them. Bodies that must stay at home pass through
   * entries at home or in the caller's region.
   */
  entriesFor(caller: CallerPlace, most: number): readonly methods.EntryNews[] {
    const { regions, timers } = this.options;
    const homes = this.routes()?.homesOf(caller.host) ?? [];
    const region = regions.get(caller.dataCentre) ?? caller.region;
    const mayPass = (dataCentre: string): boolean => {
      const there = regions.get(dataCentre) ?? '';
      return homes.length === 0 || there === region || homes.every((home) => home.includes(there));
    };
    return this.entries.choose(caller.dataCentre, most, timers.now(), mayPass);
  }
}
