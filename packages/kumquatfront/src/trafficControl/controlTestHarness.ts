/**
 * Test harness that runs control replicas and watches of entries on virtual time, with in-memory transport and disks.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import type * as agreedTypes from '../agreedState/types.js';
import * as controlNode from '../controlNode/controlNode.js';
import * as instanceTestHarness from '../instances/instanceTestHarness.js';
import * as instanceView from '../instances/instanceView.js';
import type * as instanceTypes from '../instances/types.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import * as placementFeatures from '../placement/placementFeatures.js';
import type * as relayTypes from '../relay/types.js';
import * as defaultConfig from '../settings/defaultConfig.js';
import type * as residency from '../traffic/residency.js';
import type * as trafficTypes from '../traffic/types.js';
import * as trafficEntry from '../trafficEntry/trafficEntry.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as controlWatch from './controlWatch.js';
import * as methods from './methods.js';
import * as sharedLink from './sharedLink.js';
import * as testConfigurations from './testConfigurations.js';
import type * as trafficControl from './trafficControl.js';

const LATENCY: ports.Milliseconds = 1;

/** In-memory disk that survives the restart of a process. */
class Disk implements ports.Disk {
  private readonly files = new Map<string, Buffer>();

  constructor(private readonly time: virtualTime.VirtualTime) {}

  read(file: string): Uint8Array | undefined {
    return this.files.get(file);
  }

  append(file: string, bytes: Uint8Array): void {
    this.files.set(file, Buffer.concat([this.files.get(file) ?? Buffer.alloc(0), bytes]));
  }

  sync(_file: string, done: () => void): void {
    this.time.after(LATENCY, done);
  }

  replace(file: string, bytes: Uint8Array, done: () => void): void {
    this.files.set(file, Buffer.from(bytes));
    this.time.after(LATENCY, done);
  }
}

/** Names of the data centres in the harness settings. */
export const DATA_CENTRES: readonly string[] = ['a', 'b', 'c'];

/** Upstreams that answer nothing, for entries whose requests are not of interest. */
export const NO_UPSTREAMS: relayTypes.UpstreamPort = {
  send: () => () => undefined,
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

/** Simulated process; once killed, it neither sends nor receives messages. */
interface TestProcess {
  readonly address: string;
  readonly handlers: Map<string, ports.PeerHandler>;
  isRunning: boolean;
}

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
  entryFeatures: trafficEntry.TrafficEntrySettings['isEnabled'];
  readonly time = new virtualTime.VirtualTime();
  readonly seeds: readonly string[];
  /** Pairs of addresses that cannot reach each other, each sorted and joined by a space. */
  private readonly partitions = new Set<string>();
  private readonly processes = new Map<string, TestProcess>();
  private readonly disks = new Map<string, Disk>();
  private readonly nodes = new Map<string, controlNode.ControlNode>();
  private readonly random: ports.Random;
  private readonly log: ports.Log;
  private readonly decode: trafficTypes.DecodeTraffic;
  /** Features of processes that are started from now on. */
  isEnabled: placementFeatures.IsEnabled = placementFeatures.allEnabled;
  /** Address of the replica that sent a piece of a configuration last. */
  lastConfigurationFrom = '';
  private readonly piecesSent = new Map<string, number>();
  /** Reports of entries that instances have crashed. */
  readonly crashReports: methods.CrashedInstances[] = [];
  /** Incoming links of processes, by address; other processes receive messages without delay. */
  private readonly links = new Map<string, sharedLink.SharedLink>();

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
    this.seeds = seeds;
    for (const seed of seeds) {
      this.start(seed, true);
    }
  }

  private transportOf(testProcess: TestProcess): ports.PeerTransport {
    const deliver = (address: string, method: string, parameters: unknown, reply: ports.Reply): void => {
      this.time.after(LATENCY, () => {
        const receiver = this.processes.get(address);
        if (
          testProcess.isRunning &&
          receiver?.isRunning === true &&
          !this.isPartitioned(testProcess.address, address)
        ) {
          if (method === methods.methods.crashedInstances) {
            this.crashReports.push(parameters as methods.CrashedInstances);
          }
          // Serialized like on the wire, so that processes share no objects.
          receiver.handlers.get(method)?.(JSON.parse(JSON.stringify(parameters)), (result) => {
            if (method === methods.methods.fetchPiece && result.ok && result.val !== null) {
              this.lastConfigurationFrom = address;
              this.piecesSent.set(testProcess.address, this.piecesSentTo(testProcess.address) + 1);
            }
            this.transmit(address, testProcess.address, result, () => {
              if (
                testProcess.isRunning &&
                receiver.isRunning &&
                !this.isPartitioned(testProcess.address, address)
              ) {
                reply(result);
              }
            });
          });
        }
      });
    };
    return {
      request: (address, method, parameters, timeout, done) => {
        let open = true;
        const finish: ports.Reply = (result) => {
          if (open && testProcess.isRunning) {
            open = false;
            done(result);
          }
        };
        this.time.after(timeout, () => {
          finish(
            results.Err(failures.create('timeout', 'The peer did not answer in time.', 'Retry the request.')),
          );
        });
        deliver(address, method, parameters ?? null, finish);
      },
      notify: (address, method, parameters) => {
        deliver(address, method, parameters, () => undefined);
      },
      serve: (method, handler) => {
        testProcess.handlers.set(method, handler);
      },
      bytesReceived: () => this.bytesReceivedBy(testProcess.address),
    };
  }

  /** Calls back when a message has arrived over the incoming link of its receiver. */
  private transmit(from: string, to: string, message: unknown, delivered: () => void): void {
    const link = this.links.get(to);
    this.time.after(LATENCY, () => {
      if (link === undefined) {
        delivered();
      } else {
        link.send(from, JSON.stringify(message).length, delivered);
      }
    });
  }

  /** Limits the incoming link of a process, which competing streams share. */
  limitLink(address: string, bytesPerSecond: number, competingStreams: number): void {
    this.links.set(address, new sharedLink.SharedLink(this.time, bytesPerSecond, competingStreams));
  }

  /** Bytes that a process with a limited link has received. */
  bytesReceivedBy(address: string): number {
    return this.links.get(address)?.bytesReceived ?? 0;
  }

  /** Number of pieces of configurations sent to an entry. */
  piecesSentTo(name: string): number {
    return this.piecesSent.get(name) ?? 0;
  }

  private isPartitioned(one: string, other: string): boolean {
    return this.partitions.has([one, other].sort().join(' '));
  }

  private startProcess(address: string): TestProcess {
    const testProcess: TestProcess = { address, handlers: new Map(), isRunning: true };
    this.processes.set(address, testProcess);
    return testProcess;
  }

  private basePorts(testProcess: TestProcess): ports.BasePorts {
    const noop = (): void => undefined;
    const scheduler: ports.Scheduler = {
      after: (delay, run) =>
        this.time.after(delay, () => {
          if (testProcess.isRunning) {
            run();
          }
        }),
    };
    const metrics = { count: noop, gauge: noop, timing: noop };
    const { clock } = this.time;
    return {
      clock,
      scheduler,
      random: this.random,
      peers: this.transportOf(testProcess),
      log: this.log,
      metrics,
    };
  }

  /** Starts a replica, on its former disk if it has one. */
  start(address: string, firstStart = false): void {
    const testProcess = this.startProcess(address);
    const disk = this.disks.get(address) ?? new Disk(this.time);
    this.disks.set(address, disk);
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
      { ...this.basePorts(testProcess), disk, decodeTraffic: this.decode },
    );
    this.nodes.set(address, created.unwrap());
  }

  kill(address: string): void {
    const testProcess = this.processes.get(address);
    if (testProcess !== undefined) {
      testProcess.isRunning = false;
    }
  }

  loseDisk(address: string): void {
    this.kill(address);
    this.disks.delete(address);
  }

  partition(one: string, other: string): void {
    this.partitions.add([one, other].sort().join(' '));
  }

  heal(): void {
    this.partitions.clear();
  }

  /** Returns the address of a running seed replica; undefined if none runs. */
  anyRunningReplica(): string | undefined {
    return this.seeds.find((seed) => this.processes.get(seed)?.isRunning === true);
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
    this.processes.get(address)?.handlers.get(method)?.(parameters, reply);
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
    this.trafficOf(address).evacuateOrRestore({ type, dataCentre }, (result) => {
      acknowledged = result.ok;
    });
    this.time.advance(1_000);
    return acknowledged;
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
      ([address, node]) =>
        this.processes.get(address)?.isRunning === true && node.services.find('replica').mayLead(),
    );
    return found?.[0] ?? '';
  }

  /** Starts a complete entry, and kills a running one of the same name. */
  startEntry(
    name: string,
    upstreams: relayTypes.UpstreamPort,
    changes: Partial<trafficEntry.TrafficEntrySettings & trafficEntry.TrafficEntryPorts> = {},
  ): trafficEntry.TrafficEntry {
    this.kill(name);
    const base = this.basePorts(this.startProcess(name));
    const settings: trafficEntry.TrafficEntrySettings = {
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
    const testProcess = this.startProcess(name);
    const base = this.basePorts(testProcess);
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
