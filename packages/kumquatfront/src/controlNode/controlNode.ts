/**
 * A control replica: applies the replicated log to the agreed state and serves it to operators and entries.
 * All external dependencies are passed in as ports.
 */
import * as agreedState from '../agreedState/agreedState.js';
import type * as agreedTypes from '../agreedState/types.js';
import * as validation from '../configuration/validation.js';
import type * as configuration from '../configuration/types.js';
import * as logStore from '../consensus/logStore.js';
import * as replica from '../consensus/replica.js';
import type * as consensus from '../consensus/types.js';
import type * as directory from '../directory/types.js';
import * as failures from '../kernel/failures.js';
import * as pauseMonitor from '../kernel/pauseMonitor.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as serviceRegistry from '../kernel/serviceRegistry.js';
import * as timerService from '../kernel/timerService.js';
import * as callerCheck from '../operatorOrders/callerCheck.js';
import type * as dataCentreOrders from '../operatorOrders/dataCentreOrders.js';
import type * as operatorOrders from '../operatorOrders/types.js';
import * as orderForwarder from '../orders/orderForwarder.js';
import * as orderDispatcher from '../orders/orderDispatcher.js';
import type * as orders from '../orders/types.js';
import type * as placementFeatures from '../placement/placementFeatures.js';
import type * as residency from '../traffic/residency.js';
import type * as trafficTypes from '../traffic/types.js';
import * as trafficControl from '../trafficControl/trafficControl.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as claimRequests from './claimRequests.js';
import * as evacuations from './evacuations.js';
import * as membership from './membership.js';
import * as methods from './methods.js';
import * as voterSpread from './voterSpread.js';

/** Settings of a control replica. Times are milliseconds. */
export interface ControlSettings {
  readonly name: string;
  readonly dataCentre: string;
  /** Address at which other processes of the system reach this replica: `ip:port`. */
  readonly peerAddress: string;
  /** Peer addresses of every control VM, this one included. */
  readonly control: readonly string[];
  readonly timing: consensus.ConsensusTiming;
  readonly limits: agreedTypes.AgreedStateLimits;
  readonly orders: orders.OrderSettings;
  /** Time without a pull after which an entry counts as stopped. */
  readonly entryLease: number;
  /** False if a cluster already exists, so that this replica may only join it; default true. */
  readonly mayBootstrap?: boolean;
  /** Number of control VMs that may be lost at the same time; default 1. */
  readonly toleratedLosses?: number;
  /** Region of each data centre, by name; if absent, any data centre may be evacuated. */
  readonly regions?: residency.Regions;
  /** Margin by which all senders together may exceed what a cold upstream tolerates; default none. */
  readonly warmUpTolerance?: warmUpBounds.WarmUpTolerance;
  /** Placement features in use; default all. */
  readonly isEnabled?: placementFeatures.IsEnabled;
}

/** Ports of a control replica. */
export interface ControlPorts extends ports.BasePorts {
  readonly disk: ports.Disk;
  /** Delivers orders to upstreams; default through the entries. */
  readonly orders?: orders.OrderPort;
  /** Decodes traffic configurations; without it this replica serves none. */
  readonly decodeTraffic?: trafficTypes.DecodeTraffic;
}

/** Services of a control replica, by name. */
export interface ControlServices {
  readonly timers: timerService.TimerService;
  readonly state: agreedState.AgreedState;
  readonly replica: replica.Replica;
  readonly membership: membership.Membership;
  readonly orders: orderDispatcher.OrderDispatcher;
  readonly traffic: trafficControl.TrafficControl;
  readonly callerCheck: callerCheck.CallerCheck;
}

/** Interface of a control replica for its adapters. */
export interface ControlNode {
  readonly services: serviceRegistry.ServiceRegistry<ControlServices>;
  /** Evacuates or restores a data centre while the caller waits. */
  evacuateOrRestore(
    order: dataCentreOrders.DataCentreOrder,
    caller: operatorOrders.OrderCaller,
    done: ports.Reply,
  ): void;
  /** Changes the configuration; succeeds only on the leader. */
  configure(command: agreedTypes.ConfigureCommand, done: ports.Reply): void;
  /** Reads the objects of a kind, or one by name; fails if this replica may be out of date. */
  readObjects(
    kind: string,
    name: string | undefined,
  ): results.Result<readonly configuration.ConfigurationObject[], failures.Failure>;
  status(): methods.ControlStatus;
  stop(): void;
}

interface SeenEntry {
  readonly presence: directory.EntryPresence;
  readonly lastSeenAt: number;
}

/**
 * Opens the data folder and creates a control replica.
 *
 * @param settings - the replica's settings
 * @returns the running replica, or a `corrupt` failure of the data folder
 * @example
 * ```ts
 * const opened = controlNode.create(settings, ports);
 * ```
 */
export function create(
  settings: ControlSettings,
  externalPorts: ControlPorts,
): results.Result<ControlNode, failures.Failure> {
  return logStore.LogStore.open(externalPorts.disk, externalPorts.random).map((store) => {
    return new ControlReplica(settings, externalPorts, store);
  });
}

class ControlReplica implements ControlNode {
  readonly services = serviceRegistry.create<ControlServices>();
  private readonly settings: ControlSettings;
  private readonly timers: timerService.TimerService;
  private readonly replica: replica.Replica;
  private readonly state: agreedState.AgreedState;
  private readonly traffic: trafficControl.TrafficControl | undefined;
  private readonly evacuations: evacuations.Evacuations;
  private readonly lastSeenEntries = new Map<string, SeenEntry>();

  constructor(settings: ControlSettings, externalPorts: ControlPorts, store: logStore.LogStore) {
    const { clock, scheduler, random, log, metrics, peers } = externalPorts;
    this.settings = settings;
    this.timers = timerService.create(clock, scheduler);
    this.state = new agreedState.AgreedState(settings.limits);
    const { state } = this;
    this.replica = new replica.Replica({
      store,
      timers: this.timers,
      clock,
      random,
      log,
      timing: settings.timing,
      machine: {
        apply: (command, index, stamp) => {
          const answer = state.apply(command as agreedTypes.Command, index, stamp);
          this.traffic?.onCommandApplied();
          return answer;
        },
        takeSnapshot: () => state.toJson(),
        restore: (json) => {
          state.restore(json as agreedState.AgreedStateJson);
        },
      },
      send: (address, message) => {
        peers.notify(address, methods.methods.consensus, message);
      },
    });
    const dispatcher = new orderDispatcher.OrderDispatcher({
      settings: settings.orders,
      replica: this.replica,
      state,
      port: externalPorts.orders ?? orderForwarder.create(peers, random, () => this.liveEntries()),
      timers: this.timers,
      log,
    });
    this.services.register('timers', this.timers);
    this.services.register('state', state);
    this.services.register('replica', this.replica);
    this.services.register('orders', dispatcher);
    this.services.register('membership', this.createMembership(externalPorts, store.identity));
    const check = this.createCallerCheck(externalPorts);
    this.services.register('callerCheck', check);
    this.evacuations = new evacuations.Evacuations({
      ...{ replica: this.replica, state, peers, log, metrics, check },
      now: () => this.timers.now(),
      dataCentres: () => this.knownDataCentres(),
    });
    if (externalPorts.decodeTraffic !== undefined) {
      this.traffic = this.createTrafficControl(externalPorts, externalPorts.decodeTraffic);
      this.services.register('traffic', this.traffic);
    }
    this.serve(peers);
  }

  private createCallerCheck({ clock, log, metrics }: ControlPorts): callerCheck.CallerCheck {
    const pauses = new pauseMonitor.PauseMonitor({ timers: this.timers, clock, log, metrics });
    return new callerCheck.CallerCheck({ pauses, log, metrics });
  }

  private createTrafficControl(
    externalPorts: ControlPorts,
    decode: trafficTypes.DecodeTraffic,
  ): trafficControl.TrafficControl {
    const { peers, random, log, metrics } = externalPorts;
    const {
      peerAddress,
      dataCentre,
      regions = new Map<string, string>(),
      control,
      toleratedLosses = 1,
      isEnabled,
    } = this.settings;
    const { warmUpTolerance = warmUpBounds.strictTolerance } = this.settings;
    return new trafficControl.TrafficControl({
      replica: this.replica,
      state: this.state,
      peers,
      timers: this.timers,
      random,
      log,
      metrics,
      callerCheck: this.services.find('callerCheck'),
      peerAddress,
      dataCentre,
      decode,
      regions,
      warmUpTolerance,
      minimumVoters: Math.min(2 * toleratedLosses + 1, control.length),
      requiredVoters: 2 * toleratedLosses + 1,
      hasPendingVoter: () => this.services.find('membership').hasPendingVoter(),
      ...(isEnabled !== undefined && { isEnabled }),
    });
  }

  private createMembership(externalPorts: ControlPorts, identity: string): membership.Membership {
    const {
      name,
      dataCentre,
      peerAddress,
      control,
      mayBootstrap = true,
      toleratedLosses = 1,
    } = this.settings;
    const { peers, random, log } = externalPorts;
    const own = this.replica;
    return new membership.Membership({
      name,
      dataCentre,
      peerAddress,
      controlAddresses: control,
      identity,
      replica: own,
      peers,
      timers: this.timers,
      random,
      log,
      mayBootstrap,
      toleratedLosses,
    });
  }

  private serve(peers: ports.PeerTransport): void {
    const { methods: names } = methods;
    peers.serve(names.consensus, (parameters, reply) => {
      this.replica.receive(parameters as consensus.ConsensusMessage);
      reply(results.Ok(null));
    });
    peers.serve(names.configure, (parameters, reply) => {
      this.configure(parameters as agreedTypes.ConfigureCommand, reply);
    });
    claimRequests.serve(peers, this.replica);
    peers.serve(names.order, (parameters, reply) => {
      this.replica.propose(parameters, reply);
    });
    peers.serve(names.pull, (parameters, reply) => {
      this.onPull(parameters as methods.PullRequest, reply);
    });
    peers.serve(names.status, (_parameters, reply) => {
      reply(results.Ok(this.status()));
    });
    peers.serve(names.accounts, (_parameters, reply) => {
      reply(results.Ok(this.traffic?.accountStatus() ?? []));
    });
  }

  configure(command: agreedTypes.ConfigureCommand, done: ports.Reply): void {
    if (command.body !== null) {
      const checked = validation.checkShape(command);
      if (checked.err) {
        done(results.Err(checked.val));
        return;
      }
    }
    this.replica.propose(command, done);
  }

  evacuateOrRestore(
    order: dataCentreOrders.DataCentreOrder,
    caller: operatorOrders.OrderCaller,
    done: ports.Reply,
  ): void {
    this.evacuations.execute(order, caller, done);
  }

  /**
   * Data centres in which an entry or a control replica runs, or which are evacuated. Control has no configured list of
   * data centres, and upstreams announce themselves to entries.
   */
  private knownDataCentres(): ReadonlySet<string> {
    return new Set([
      this.settings.dataCentre,
      ...this.liveEntries().map((entry) => entry.dataCentre),
      ...this.replica.status().members.map((member) => member.dataCentre ?? ''),
      ...this.state.evacuations.dataCentres.map((evacuation) => evacuation.dataCentre),
    ]);
  }

  private onPull(request: methods.PullRequest, reply: ports.Reply): void {
    if (request.presence !== null) {
      this.lastSeenEntries.set(request.presence.name, {
        presence: request.presence,
        lastSeenAt: this.timers.now(),
      });
    }
    if (request.leaderOnly && !this.replica.mayLead()) {
      const leader = this.replica.leader();
      const detail = leader === undefined ? {} : { leader: leader.address };
      const remedy = 'Ask the leader.';
      reply(results.Err(failures.create('notLeader', 'This replica does not lead.', remedy, detail)));
      return;
    }
    reply(results.Ok(this.answerPull(request)));
  }

  private answerPull(request: methods.PullRequest): methods.PullAnswer {
    // A partitioned replica must report that it is stale, or entries would keep serving an outdated configuration.
    if (!this.replica.isFresh()) {
      return { fresh: false, age: 0 };
    }
    const { evacuations, configurationVersion } = this.state;
    const { clusterIdentity } = this.replica.status();
    return {
      fresh: true,
      age: 0,
      ...(request.version < configurationVersion && {
        delta: this.state.deltaSince(request.version, clusterIdentity),
      }),
      ...(request.evacuationRevision < evacuations.revision && { evacuations }),
    };
  }

  private liveEntries(): readonly directory.EntryPresence[] {
    const now = this.timers.now();
    for (const [name, entry] of this.lastSeenEntries) {
      if (now - entry.lastSeenAt > this.settings.entryLease) {
        this.lastSeenEntries.delete(name);
      }
    }
    return [...this.lastSeenEntries.values()].map((entry) => entry.presence);
  }

  readObjects(
    kind: string,
    name: string | undefined,
  ): results.Result<readonly configuration.ConfigurationObject[], failures.Failure> {
    if (!this.replica.isFresh()) {
      const remedy = 'Ask another control replica.';
      return results.Err(failures.create('stale', 'This replica may be out of date.', remedy));
    }
    const { objects } = this.state.deltaSince(-1, '');
    const found = objects.filter(
      (object) => object.kind === kind && (name === undefined || object.name === name),
    );
    if (name !== undefined && found.length === 0) {
      const remedy = `List them with \`kumquatfront get ${kind}\`.`;
      return results.Err(failures.create('notFound', `There is no ${kind} "${name}".`, remedy));
    }
    return results.Ok(found);
  }

  status(): methods.ControlStatus {
    return {
      name: this.settings.name,
      replica: this.replica.status(),
      configurationVersion: this.state.configurationVersion,
      digest: this.state.digest(),
      claims: this.state.claimCount,
      openOrders: this.state.openOrders().length,
      evacuations: this.state.evacuations,
      toleratesDataCentreLoss: voterSpread.toleratesAnyDataCentreLoss(this.replica.status().members),
      entries: this.liveEntries(),
    };
  }

  stop(): void {
    this.timers.stop();
  }
}
