/**
 * A control replica: agreed state behind the replicated log, served to operators and entries. All outside
 * comes through ports.
 */
import * as agreedState from '../agreedState/agreedState.js';
import * as evacuationFailures from '../agreedState/evacuationFailures.js';
import type * as agreedTypes from '../agreedState/types.js';
import * as validation from '../configuration/validation.js';
import type * as configuration from '../configuration/types.js';
import * as logStore from '../consensus/logStore.js';
import * as replica from '../consensus/replica.js';
import type * as consensus from '../consensus/types.js';
import type * as directory from '../directory/types.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as serviceRegistry from '../kernel/serviceRegistry.js';
import * as timerService from '../kernel/timerService.js';
import * as entryOrderPort from '../orders/entryOrderPort.js';
import * as orderDesk from '../orders/orderDesk.js';
import type * as orders from '../orders/types.js';
import type * as mechanisms from '../placement/mechanisms.js';
import type * as residency from '../traffic/residency.js';
import type * as trafficTypes from '../traffic/types.js';
import * as trafficControl from '../trafficControl/trafficControl.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as membership from './membership.js';
import * as methods from './methods.js';
import * as voterSpread from './voterSpread.js';

/** Settings of a control replica. Times are milliseconds. */
export interface ControlSettings {
  readonly name: string;
  readonly dataCentre: string;
  /** Where other processes of the system reach it: `ip:port`. */
  readonly peerAddress: string;
  /** Peer addresses of every control VM, this one included. */
  readonly control: readonly string[];
  readonly timing: consensus.ConsensusTiming;
  readonly limits: agreedTypes.AgreedStateLimits;
  readonly orders: orders.OrderSettings;
  /** Time without a pull after which an entry no longer counts for "in force at". */
  readonly entryLease: number;
  /** False where the system has started before, so that this replica may only join; true where absent. */
  readonly mayFound?: boolean;
  /** Control VMs that may be lost at once; 1 where absent. */
  readonly toleratedLosses?: number;
  /** Region of each data centre, by name; any data centre may be evacuated where absent. */
  readonly regions?: residency.Regions;
  /** How far all that send may pass what a cold upstream tolerates; not at all where absent. */
  readonly warmUpTolerance?: warmUpBounds.WarmUpTolerance;
  /** Mechanisms of placement in use; all of them where absent. */
  readonly isOn?: mechanisms.IsOn;
}

/** Ports of a control replica. */
export interface ControlPorts extends ports.BasePorts {
  readonly disk: ports.Disk;
  /** How orders reach upstreams; through the entries where absent. */
  readonly orders?: orders.OrderPort;
  /** Reads whole traffic configurations; without it this replica serves none. */
  readonly decodeTraffic?: trafficTypes.DecodeTraffic;
}

/** Services of a control replica, by name. */
export interface ControlServices {
  readonly timers: timerService.TimerService;
  readonly state: agreedState.AgreedState;
  readonly replica: replica.Replica;
  readonly membership: membership.Membership;
  readonly orders: orderDesk.OrderDesk;
  readonly traffic: trafficControl.TrafficControl;
}

/** What a control replica offers to the adapters around it. */
export interface ControlNode {
  readonly services: serviceRegistry.ServiceRegistry<ControlServices>;
  /** Evacuates a data centre or restores it; only the leader does. */
  orderDataCentre(command: agreedTypes.DataCentreCommand, done: ports.Reply): void;
  /** Changes the configuration; only the leader does. */
  configure(command: agreedTypes.ConfigureCommand, done: ports.Reply): void;
  /** Reads an object; only a fresh replica answers. */
  read(
    kind: string,
    name: string | undefined,
  ): results.Result<readonly configuration.ConfigurationObject[], failures.Failure>;
  status(): methods.ControlStatus;
  stop(): void;
}

interface SeenEntry {
  readonly presence: directory.EntryPresence;
  readonly at: number;
}

/**
 * Opens the data folder and creates a control replica.
 *
 * @param settings - the replica's settings
 * @param outside - its ports
 * @returns the running replica, or a `corrupt` failure of the data folder
 * @example
 * ```ts
 * const opened = controlNode.create(settings, ports);
 * ```
 */
export function create(
  settings: ControlSettings,
  outside: ControlPorts,
): results.Result<ControlNode, failures.Failure> {
  return logStore.LogStore.open(outside.disk, outside.random).map((store) => {
    return new Control(settings, outside, store);
  });
}

class Control implements ControlNode {
  readonly services = serviceRegistry.create<ControlServices>();
  private readonly settings: ControlSettings;
  private readonly timers: timerService.TimerService;
  private readonly replica: replica.Replica;
  private readonly state: agreedState.AgreedState;
  private readonly traffic: trafficControl.TrafficControl | undefined;
  private readonly seen = new Map<string, SeenEntry>();

  constructor(settings: ControlSettings, outside: ControlPorts, store: logStore.LogStore) {
    const { clock, scheduler, random, log, peers } = outside;
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
          this.traffic?.applied();
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
    const desk = new orderDesk.OrderDesk({
      settings: settings.orders,
      replica: this.replica,
      state,
      port: outside.orders ?? entryOrderPort.create(peers, random, () => this.liveEntries()),
      timers: this.timers,
      log,
    });
    this.services.register('timers', this.timers);
    this.services.register('state', state);
    this.services.register('replica', this.replica);
    this.services.register('orders', desk);
    this.services.register('membership', this.createMembership(outside, store.identity));
    if (outside.decodeTraffic !== undefined) {
      this.traffic = this.createTrafficControl(outside, outside.decodeTraffic);
      this.services.register('traffic', this.traffic);
    }
    this.serve(peers);
  }

  private createTrafficControl(
    outside: ControlPorts,
    decode: trafficTypes.DecodeTraffic,
  ): trafficControl.TrafficControl {
    const { peers, random, log, metrics } = outside;
    const {
      peerAddress,
      dataCentre,
      regions = new Map<string, string>(),
      control,
      toleratedLosses = 1,
      isOn,
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
      peerAddress,
      dataCentre,
      decode,
      regions,
      warmUpTolerance,
      leastVoters: Math.min(2 * toleratedLosses + 1, control.length),
      wantedVoters: 2 * toleratedLosses + 1,
      isGathering: () => this.services.find('membership').isGathering(),
      ...(isOn !== undefined && { isOn }),
    });
  }

  private createMembership(outside: ControlPorts, identity: string): membership.Membership {
    const { name, dataCentre, peerAddress, control, mayFound = true, toleratedLosses = 1 } = this.settings;
    const { peers, random, log } = outside;
    const own = this.replica;
    return new membership.Membership({
      name,
      dataCentre,
      peerAddress,
      control,
      identity,
      replica: own,
      peers,
      timers: this.timers,
      random,
      log,
      mayFound,
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
    peers.serve(names.claims, (parameters, reply) => {
      this.onClaims(parameters as methods.ClaimsRequest, reply);
    });
    peers.serve(names.settleClaim, (parameters, reply) => {
      this.replica.propose(parameters, reply);
    });
    peers.serve(names.order, (parameters, reply) => {
      this.replica.propose(parameters, reply);
    });
    peers.serve(names.evacuate, (parameters, reply) => {
      this.replica.propose(parameters, reply);
    });
    peers.serve(names.pull, (parameters, reply) => {
      this.onPull(parameters as methods.PullRequest, reply);
    });
    peers.serve(names.status, (_parameters, reply) => {
      reply(results.Ok(this.status()));
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

  /**
   * A data centre counts as known where anything of the system runs, or where it is evacuated already: nobody tells
   * control a list, and upstreams announce themselves to entries.
   */
  orderDataCentre(command: agreedTypes.DataCentreCommand, done: ports.Reply): void {
    const { dataCentre } = command;
    const known = new Set([
      this.settings.dataCentre,
      ...this.liveEntries().map((entry) => entry.dataCentre),
      ...this.replica.status().members.map((member) => member.dataCentre ?? ''),
      ...this.state.evacuations.dataCentres.map((held) => held.dataCentre),
    ]);
    if (dataCentre === '' || !known.has(dataCentre)) {
      const names = [...known].filter((name) => name !== '').sort();
      done(results.Err(evacuationFailures.unknownDataCentre(dataCentre, names)));
      return;
    }
    this.replica.propose(command, done);
  }

  private onClaims(request: methods.ClaimsRequest, reply: ports.Reply): void {
    const answers: agreedTypes.ClaimAnswer[] = [];
    let open = request.claims.length;
    let failed = false;
    for (const [position, claim] of request.claims.entries()) {
      this.replica.propose(claim, (result) => {
        open -= 1;
        if (result.err) {
          if (!failed) {
            failed = true;
            reply(result);
          }
          return;
        }
        answers[position] = result.val as agreedTypes.ClaimAnswer;
        if (open === 0 && !failed) {
          reply(results.Ok({ answers }));
        }
      });
    }
  }

  private onPull(request: methods.PullRequest, reply: ports.Reply): void {
    if (request.presence !== null) {
      this.seen.set(request.presence.name, { presence: request.presence, at: this.timers.now() });
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
    // A replica that is cut off must say so: its entries would go on serving what others have changed.
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
    for (const [name, entry] of this.seen) {
      if (now - entry.at > this.settings.entryLease) {
        this.seen.delete(name);
      }
    }
    return [...this.seen.values()].map((entry) => entry.presence);
  }

  read(
    kind: string,
    name: string | undefined,
  ): results.Result<readonly configuration.ConfigurationObject[], failures.Failure> {
    if (!this.replica.isFresh()) {
      const remedy = 'Ask another control replica.';
      return results.Err(failures.create('stale', 'This replica may be behind the others.', remedy));
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
      toleratesDataCentreLoss: voterSpread.toleratesAnyLoss(this.replica.status().members),
      entries: this.liveEntries(),
    };
  }

  stop(): void {
    this.timers.stop();
  }
}
