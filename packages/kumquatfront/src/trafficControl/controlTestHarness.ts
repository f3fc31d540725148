/**
 * Test harness that runs control replicas and watches of entries on virtual time, with in-memory transport and disks.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import type * as agreedTypes from '../agreedState/types.js';
import * as controlNode from '../controlNode/controlNode.js';
import * as instanceTestHarness from '../instances/instanceTestHarness.js';
import * as instanceView from '../instances/instanceView.js';
import type * as instanceTypes from '../instances/types.js';
import type * as ports from '../kernel/ports.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as placementFeatures from '../placement/placementFeatures.js';
import type * as dataCentreOrders from '../operatorOrders/dataCentreOrders.js';
import type * as operatorOrders from '../operatorOrders/types.js';
import type * as relayTypes from '../relay/types.js';
import * as unsentExchange from '../relay/unsentExchange.js';
import * as defaultConfig from '../settings/defaultConfig.js';
import type * as residency from '../traffic/residency.js';
import type * as trafficTypes from '../traffic/types.js';
import * as trafficEntry from '../trafficEntry/trafficEntry.js';
import type * as entryTypes from '../trafficEntry/types.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as controlWatch from './controlWatch.js';
import * as methods from './methods.js';
import * as simulatedProcesses from './simulatedProcesses.js';
import * as testConfigurations from './testConfigurations.js';
import type * as trafficControl from './trafficControl.js';

/** Names of the data centres in the harness settings. */
export const DATA_CENTRES: readonly string[] = ['a', 'b', 'c'];

/** Upstreams that answer nothing, for entries whose requests are not of interest. */
export const NO_UPSTREAMS: relayTypes.UpstreamPort = {
  send: () => unsentExchange.create(() => undefined),
  check: () => undefined,
  copyMemory: () => undefined,
  releaseCopy: () => undefined,
};

/** Region of each data centre. */
export const REGIONS: residency.Regions = new Map([
  ['a', 'west'],
  ['b', 'west'],
  ['c', 'east'],
]);

/** Creates an announcement of an instance. */
export function announcementOf(identity: string, sequence: number): instanceTypes.Announcement {
  return instanceTestHarness.announcement(identity, { address: `${identity}:80`, sequence });
}

/** Data centre of a replica: `b` for `b/c4`, and `a` for a name without a slash. */
function dataCentreOf(address: string): string {
  return address.includes('/') ? (address.split('/', 1)[0] ?? '') : 'a';
}

/** Runs control replicas and entries as simulated processes. */
export class ControlTestHarness {
  /** Features of entries that are started from now on. */
  entryFeatures: entryTypes.TrafficEntrySettings['isEnabled'];
  readonly time = new virtualTime.VirtualTime();
  readonly seeds: readonly string[];
  private readonly processes: simulatedProcesses.SimulatedProcesses;
  private readonly nodes = new Map<string, controlNode.ControlNode>();
  private readonly random: ports.Random;
  private readonly log: ports.Log;
  private readonly decode: trafficTypes.DecodeTraffic;
  /** Interface to which operators send orders: that of the node, or that of its traffic control. */
  operatorInterface: 'node' | 'traffic' = 'traffic';
  /** Features of processes that are started from now on. */
  isEnabled: placementFeatures.IsEnabled = placementFeatures.allEnabled;
  /** Address of the replica that sent a piece of a configuration last. */
  lastConfigurationFrom = '';
  private readonly piecesSent = new Map<string, number>();
  /** Reports of entries that instances have crashed. */
  readonly crashReports: methods.CrashedInstances[] = [];

  /**
   * @param seeds - addresses of the replicas that are started, all with empty disks
   * @param toleratedLosses - number of replicas that may be lost at once
   * @param fixture - routes, services and accounts of all configurations
   * @param seed - seed of the random number generator
   */
  constructor(
    seeds: readonly string[],
    private readonly toleratedLosses = 1,
    fixture: testConfigurations.ConfigurationFixture = { routes: [], services: [] },
    seed = 3,
  ) {
    this.random = seededRandom.create(seed);
    this.decode = testConfigurations.createDecoder(fixture);
    const noop = (): void => undefined;
    this.log = { debug: noop, info: noop, warn: noop, error: noop };
    this.processes = new simulatedProcesses.SimulatedProcesses(this.time, {
      onRequest: (method, parameters) => {
        if (method === methods.methods.crashedInstances) {
          this.crashReports.push(parameters as methods.CrashedInstances);
        }
      },
      onResult: (from, to, method, result) => {
        if (method === methods.methods.fetchPiece && result.ok && result.val !== null) {
          this.lastConfigurationFrom = from;
          this.piecesSent.set(to, this.piecesSentTo(to) + 1);
        }
      },
    });
    this.seeds = seeds;
    for (const seed of seeds) {
      this.start(seed, true);
    }
  }

  /** Limits the incoming link of a process, which competing streams share. */
  limitLink(address: string, bytesPerSecond: number, competingStreams: number): void {
    this.processes.limitLink(address, bytesPerSecond, competingStreams);
  }

  /** Bytes that a process with a limited link has received. */
  bytesReceivedBy(address: string): number {
    return this.processes.bytesReceivedBy(address);
  }

  /** Number of pieces of configurations sent to an entry. */
  piecesSentTo(name: string): number {
    return this.piecesSent.get(name) ?? 0;
  }

  private basePorts(owner: simulatedProcesses.SimulatedProcess): ports.BasePorts {
    const noop = (): void => undefined;
    return {
      clock: this.time.clock,
      scheduler: this.processes.schedulerOf(owner),
      random: this.random,
      peers: this.processes.transportOf(owner),
      log: this.log,
      metrics: { count: noop, gauge: noop, timing: noop },
    };
  }

  /** Starts a replica, on its former disk if it has one. */
  start(address: string, firstStart = false): void {
    const started = this.processes.start(address);
    const disk = this.processes.diskOf(address);
    const created = controlNode.create(
      {
        ...defaultConfig.controlDefaults,
        name: address,
        dataCentre: dataCentreOf(address),
        peerAddress: address,
        control: this.seeds,
        mayBootstrap: firstStart,
        toleratedLosses: this.toleratedLosses,
        regions: REGIONS,
        isEnabled: this.isEnabled,
      },
      { ...this.basePorts(started), disk, decodeTraffic: this.decode },
    );
    this.nodes.set(address, created.unwrap());
  }

  kill(address: string): void {
    this.processes.kill(address);
  }

  loseDisk(address: string): void {
    this.processes.loseDisk(address);
  }

  isRunning(address: string): boolean {
    return this.processes.isRunning(address);
  }

  /** Stops a process as SIGSTOP does; what arrives for it waits until it is resumed. */
  pause(address: string): void {
    this.processes.pause(address);
  }

  resume(address: string): void {
    this.processes.resume(address);
  }

  partition(one: string, other: string): void {
    this.processes.partition(one, other);
  }

  /** Delays what one process sends to another from now on. */
  delay(from: string, to: string, delay: ports.Milliseconds): void {
    this.processes.delay(from, to, delay);
  }

  heal(): void {
    this.processes.heal();
  }

  /** Returns the address of a running seed replica; undefined if none runs. */
  anyRunningReplica(): string | undefined {
    return this.seeds.find((seed) => this.processes.isRunning(seed));
  }

  private node(address: string): controlNode.ControlNode {
    const node = this.nodes.get(address);
    if (node === undefined) {
      throw new Error(`no replica was started at ${address}`);
    }
    return node;
  }

  /** Delivers a message of an entry to a replica; by default the reply is ignored. */
  send(address: string, method: string, parameters: unknown, reply: ports.Reply = () => undefined): void {
    this.processes.find(address)?.handlers.get(method)?.(parameters, reply);
  }

  trafficOf(address: string): trafficControl.TrafficControl {
    return this.node(address).services.find('traffic');
  }

  /** Sends a configuration to a replica; returns true if it is acknowledged within a second. */
  replace(address: string, version: number): boolean {
    let acknowledged = false;
    this.sendConfiguration(address, testConfigurations.configurationText(version), () => {
      acknowledged = true;
    });
    this.time.advance(1_000);
    return acknowledged;
  }

  /** Sends a configuration to a replica, and calls back when it is acknowledged. */
  sendConfiguration(address: string, text: string, acknowledged: () => void): void {
    this.trafficOf(address).replace(text, (result) => {
      if (result.ok) {
        acknowledged();
      }
    });
  }

  /** Sends an evacuate or restore call to a replica; returns true if it is acknowledged within a second. */
  evacuateOrRestore(
    address: string,
    type: agreedTypes.DataCentreCommand['type'],
    dataCentre: string,
  ): boolean {
    let acknowledged = false;
    this.sendOrder(address, { type, dataCentre }, this.callerAt(address), (result) => {
      acknowledged = result.ok;
    });
    this.time.advance(1_000);
    return acknowledged;
  }

  /** Sends an order on a data centre to a replica. */
  sendOrder(
    address: string,
    order: dataCentreOrders.DataCentreOrder,
    caller: operatorOrders.OrderCaller,
    done: ports.Reply,
  ): void {
    const receiver = this.operatorInterface === 'node' ? this.node(address) : this.trafficOf(address);
    receiver.evacuateOrRestore(order, caller, done);
  }

  /** A caller that stays connected to a replica. */
  callerAt(address: string): operatorOrders.OrderCaller {
    return {
      knownIndex: this.appliedIndexOf(address),
      hasNewConnection: true,
      connection: {},
      checkPresence: (wait, done) => {
        this.time.after(wait, () => {
          done(true);
        });
      },
    };
  }

  /** Log index that a replica has applied. */
  appliedIndexOf(address: string): number {
    return this.node(address).services.find('replica').appliedIndex;
  }

  /** Index of the last entry in the log of a replica. */
  lastIndexOf(address: string): number {
    return this.node(address).services.find('replica').status().lastIndex;
  }

  /** Runs something in the process at an address, at the end of its pause if it is paused. */
  runAt(address: string, run: () => void): void {
    const found = this.processes.find(address);
    if (found !== undefined) {
      this.processes.runIn(found, run);
    }
  }

  /** Data centres that are evacuated according to a replica. */
  evacuatedAt(address: string): readonly string[] {
    const { evacuations } = this.node(address).services.find('state');
    return evacuations.dataCentres.map((record) => record.dataCentre);
  }

  /** Reads the configuration version from a replica; undefined if it returns none within a second. */
  read(address: string): number | undefined {
    let version: number | undefined;
    this.trafficOf(address).read((result) => {
      version = result.ok ? result.val?.version : undefined;
    });
    this.time.advance(1_000);
    return version;
  }

  /** Names of the voters according to the leader; empty if there is no leader. */
  voters(): readonly string[] {
    const members = this.nodes.get(this.leader())?.services.find('replica').status().members ?? [];
    return members.filter((member) => member.role === 'voter').map((member) => member.name);
  }

  /** Index of the last log entry at a replica. */
  lastLogIndex(address: string): number {
    return this.node(address).services.find('replica').status().lastIndex;
  }

  /** Address of the leader; empty if there is none. */
  leader(): string {
    const found = [...this.nodes].find(
      ([address, node]) => this.processes.isRunning(address) && node.services.find('replica').mayLead(),
    );
    return found?.[0] ?? '';
  }

  /** Starts a complete entry, and kills a running one of the same name. */
  startEntry(
    name: string,
    upstreams: relayTypes.UpstreamPort,
    changes: Partial<entryTypes.TrafficEntrySettings & entryTypes.TrafficEntryPorts> = {},
  ): trafficEntry.TrafficEntry {
    this.kill(name);
    const base = this.basePorts(this.processes.start(name));
    const settings: entryTypes.TrafficEntrySettings = {
      ...{ name, dataCentre: 'a', callerAddress: `${name}:1`, peerAddress: name },
      seeds: this.seeds,
      regions: REGIONS,
      warmUpTolerance: warmUpBounds.strictTolerance,
      retries: { ratio: 0.2, slack: 54, window: 10_000 },
      isEnabled: this.entryFeatures ?? this.isEnabled,
      ...changes,
    };
    const { decode: decodeTraffic } = this;
    return new trafficEntry.TrafficEntry(settings, { ...base, upstreams, decodeTraffic, ...changes });
  }

  /** Starts an entry that only watches the control replicas, and records what it receives. */
  watch(name: string): {
    readonly configurations: trafficTypes.VersionedText[];
    readonly evacuations: agreedTypes.Evacuations[];
    /** Contents of which crash records have arrived. */
    readonly crashedContents: Set<string>;
    readonly view: instanceView.InstanceView;
    readonly watch: controlWatch.ControlWatch;
  } {
    const base = this.basePorts(this.processes.start(name));
    const configurations: trafficTypes.VersionedText[] = [];
    const evacuations: agreedTypes.Evacuations[] = [];
    const crashedContents = new Set<string>();
    const view = new instanceView.InstanceView(() => undefined);
    const watch: controlWatch.ControlWatch = new controlWatch.ControlWatch({
      timers: timerService.create(base.clock, base.scheduler),
      peers: base.peers,
      log: this.log,
      seeds: this.seeds,
      dataCentre: 'a',
      entryStatus: () => ({
        name,
        dataCentre: 'a',
        callerAddress: `${name}:1`,
        peerAddress: name,
        state: 'ready',
        trafficVersion: configurations.at(-1)?.version ?? 0,
      }),
      instances: view,
      inForceWithin: 2_000,
      onTraffic: (traffic) => configurations.push(traffic),
      onSupersededChanged: () => undefined,
      onCoordinatorChanged: () => undefined,
      onCrashRecords: (records) => {
        for (const { content } of records) {
          crashedContents.add(content);
        }
      },
      onFragileServices: () => undefined,
      onEvacuations: (update) => evacuations.push(update),
      onReplicaStarted: () => undefined,
    });
    return { configurations, evacuations, crashedContents, view, watch };
  }
}
