/**
 * Control replicas and entries' watches on virtual time, over peers and disks in memory, for the specs.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import type * as agreedTypes from '../agreedState/types.js';
import * as controlNode from '../controlNode/controlNode.js';
import * as instanceBench from '../instances/instanceBench.js';
import * as instanceView from '../instances/instanceView.js';
import type * as instanceTypes from '../instances/types.js';
import * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import * as timerService from '../kernel/timerService.js';
import * as virtualTime from '../kernel/virtualTime.js';
import type * as relayTypes from '../relay/types.js';
import * as defaultConfig from '../settings/defaultConfig.js';
import type * as residency from '../traffic/residency.js';
import type * as trafficTypes from '../traffic/types.js';
import * as trafficEntry from '../trafficEntry/trafficEntry.js';
import * as warmUpBounds from '../warmUp/warmUpBounds.js';
import * as controlWatch from './controlWatch.js';
import type * as trafficControl from './trafficControl.js';

const LATENCY: ports.Milliseconds = 1;

/** A disk that keeps what was written; losing it is making a new one. */
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

/** Names of the data centres that the bench's settings tell. */
export const DATA_CENTRES: readonly string[] = ['a', 'b', 'c'];

/** Region of each of them. */
export const REGIONS: residency.Regions = new Map([
  ['a', 'west'],
  ['b', 'west'],
  ['c', 'east'],
]);

/** A process on the bench: its life ends when it is killed, and its messages with it. */
interface Life {
  readonly address: string;
  readonly handlers: Map<string, ports.PeerHandler>;
  alive: boolean;
}

/** The text of a configuration, as the bench's decoder reads it: its version, or `bad`. */
export function textOf(version: number): string {
  return String(version);
}

/** What every configuration on the bench has beside its version. */
export type Configured = Pick<trafficTypes.TrafficConfiguration, 'routes' | 'services' | 'accounts'>;

function createDecoder(configured: Configured): trafficTypes.DecodeTraffic {
  return (text) => {
    const version = Number(text);
    if (!Number.isInteger(version)) {
      return results.Err(failures.create('badInput', 'It is no number.', 'Send a number.'));
    }
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
    return results.Ok({ version, limits, ...configured });
  };
}

/** An announcement of an instance. */
export function announcementOf(identity: string, sequence: number): instanceTypes.Announcement {
  return instanceBench.announcement(identity, { address: `${identity}:80`, sequence });
}

/** A replica named `b/c4` is in data centre b, one without a slash in a. */
function dataCentreOf(address: string): string {
  return address.includes('/') ? (address.split('/', 1)[0] ?? '') : 'a';
}

/** The bench; see the module comment. */
export class ControlBench {
  readonly time = new virtualTime.VirtualTime();
  readonly seeds: readonly string[];
  /** Pairs of addresses that cannot reach each other. */
  private readonly cuts = new Set<string>();
  private readonly lives = new Map<string, Life>();
  private readonly disks = new Map<string, Disk>();
  private readonly nodes = new Map<string, controlNode.ControlNode>();
  private readonly random: ports.Random;
  private readonly log: ports.Log;
  private readonly decode: trafficTypes.DecodeTraffic;
  /** Replica that sent a configuration last. */
  lastTextFrom = '';
  private readonly textsSent = new Map<string, number>();

  /**
   * @param seeds - addresses of the replicas that all start new
   * @param toleratedLosses - how many of them may be lost at once
   * @param configured - routes, services and accounts of all configurations
   * @param seed - of what is drawn at random
   */
  constructor(
    seeds: readonly string[],
    private readonly toleratedLosses = 1,
    configured: Configured = { routes: [], services: [] },
    seed = 3,
  ) {
    this.random = seededRandom.create(seed);
    this.decode = createDecoder(configured);
    const silent = (): void => undefined;
    this.log = { debug: silent, info: silent, warn: silent, error: silent };
    this.seeds = seeds;
    for (const seed of seeds) {
      this.start(seed, true);
    }
  }

  private transportOf(life: Life): ports.PeerTransport {
    const deliver = (address: string, method: string, parameters: unknown, reply: ports.Reply): void => {
      this.time.after(LATENCY, () => {
        const target = this.lives.get(address);
        if (life.alive && target?.alive === true && !this.isCut(life.address, address)) {
          // Messages travel as JSON: nothing shared may pass.
          target.handlers.get(method)?.(JSON.parse(JSON.stringify(parameters)), (result) => {
            if (JSON.stringify(result).includes('"text"')) {
              this.lastTextFrom = address;
              this.textsSent.set(life.address, this.textsSentTo(life.address) + 1);
            }
            this.time.after(LATENCY, () => {
              if (life.alive && target.alive && !this.isCut(life.address, address)) {
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
          if (open && life.alive) {
            open = false;
            done(result);
          }
        };
        this.time.after(timeout, () => {
          finish(results.Err(failures.create('timeout', 'No answer.', 'Ask again.')));
        });
        deliver(address, method, parameters ?? null, finish);
      },
      notify: (address, method, parameters) => {
        deliver(address, method, parameters, () => undefined);
      },
      serve: (method, handler) => {
        life.handlers.set(method, handler);
      },
    };
  }

  /** Configurations that were sent to an entry. */
  textsSentTo(name: string): number {
    return this.textsSent.get(name) ?? 0;
  }

  private isCut(one: string, other: string): boolean {
    return this.cuts.has([one, other].sort().join(' '));
  }

  private live(address: string): Life {
    const life: Life = { address, handlers: new Map(), alive: true };
    this.lives.set(address, life);
    return life;
  }

  private basePorts(life: Life): ports.BasePorts {
    const silent = (): void => undefined;
    const scheduler: ports.Scheduler = {
      after: (delay, run) =>
        this.time.after(delay, () => {
          if (life.alive) {
            run();
          }
        }),
    };
    const metrics = { count: silent, gauge: silent, timing: silent };
    const { clock } = this.time;
    return { clock, scheduler, random: this.random, peers: this.transportOf(life), log: this.log, metrics };
  }

  /** Starts a replica; on the disk that it had, where there is one. */
  start(address: string, firstStart = false): void {
    const life = this.live(address);
    const disk = this.disks.get(address) ?? new Disk(this.time);
    this.disks.set(address, disk);
    const created = controlNode.create(
      {
        ...defaultConfig.controlDefaults,
        name: address,
        dataCentre: dataCentreOf(address),
        peerAddress: address,
        control: this.seeds,
        mayFound: firstStart,
        toleratedLosses: this.toleratedLosses,
        regions: REGIONS,
      },
      { ...this.basePorts(life), disk, decodeTraffic: this.decode },
    );
    this.nodes.set(address, created.unwrap());
  }

  kill(address: string): void {
    const life = this.lives.get(address);
    if (life !== undefined) {
      life.alive = false;
    }
  }

  loseDisk(address: string): void {
    this.kill(address);
    this.disks.delete(address);
  }

  cut(one: string, other: string): void {
    this.cuts.add([one, other].sort().join(' '));
  }

  heal(): void {
    this.cuts.clear();
  }

  /** A replica that runs; undefined where none does. */
  anyAlive(): string | undefined {
    return this.seeds.find((seed) => this.lives.get(seed)?.alive === true);
  }

  private node(address: string): controlNode.ControlNode {
    const node = this.nodes.get(address);
    if (node === undefined) {
      throw new Error(`nothing was started at ${address}`);
    }
    return node;
  }

  trafficOf(address: string): trafficControl.TrafficControl {
    return this.node(address).services.find('traffic');
  }

  /** Sends a configuration to a replica; true where it is acknowledged within a second. */
  replace(address: string, version: number): boolean {
    let acknowledged = false;
    this.trafficOf(address).replace(textOf(version), (result) => {
      acknowledged = result.ok;
    });
    this.time.advance(1_000);
    return acknowledged;
  }

  /** Orders a replica to evacuate or restore a data centre; true where it is acknowledged within a second. */
  order(address: string, type: agreedTypes.DataCentreCommand['type'], dataCentre: string): boolean {
    let acknowledged = false;
    this.trafficOf(address).orderDataCentre({ type, dataCentre }, (result) => {
      acknowledged = result.ok;
    });
    this.time.advance(1_000);
    return acknowledged;
  }

  /** Data centres that are evacuated to the knowledge of a replica. */
  evacuatedAt(address: string): readonly string[] {
    const { evacuations } = this.node(address).services.find('state');
    return evacuations.dataCentres.map((held) => held.dataCentre);
  }

  /** Reads from a replica; the version, or undefined where it gives none within a second. */
  read(address: string): number | undefined {
    let version: number | undefined;
    this.trafficOf(address).read((result) => {
      version = result.ok ? result.val?.version : undefined;
    });
    this.time.advance(1_000);
    return version;
  }

  /** Names of the voters that the leader counts; empty where nobody leads. */
  voters(): readonly string[] {
    const members = this.nodes.get(this.leader())?.services.find('replica').status().members ?? [];
    return members.filter((member) => member.role === 'voter').map((member) => member.name);
  }

  /** Address of the replica that leads; empty where none does. */
  leader(): string {
    const found = [...this.nodes].find(
      ([address, node]) => this.lives.get(address)?.alive === true && node.services.find('replica').mayLead(),
    );
    return found?.[0] ?? '';
  }

  /** Starts a whole entry; one that ran under its name is gone. */
  startEntry(name: string, upstreams: relayTypes.UpstreamPort): trafficEntry.TrafficEntry {
    this.kill(name);
    const base = this.basePorts(this.live(name));
    const settings: trafficEntry.TrafficEntrySettings = {
      name,
      dataCentre: 'a',
      callerAddress: `${name}:1`,
      peerAddress: name,
      seeds: this.seeds,
      regions: REGIONS,
      warmUpTolerance: warmUpBounds.strictTolerance,
      retries: { ratio: 0.2, slack: 54, window: 10_000 },
    };
    return new trafficEntry.TrafficEntry(settings, { ...base, upstreams, decodeTraffic: this.decode });
  }

  /** An entry that watches control. */
  watch(name: string): {
    readonly taken: trafficTypes.VersionedText[];
    readonly evacuations: agreedTypes.Evacuations[];
    readonly view: instanceView.InstanceView;
    readonly watch: controlWatch.ControlWatch;
  } {
    const life = this.live(name);
    const base = this.basePorts(life);
    const taken: trafficTypes.VersionedText[] = [];
    const evacuations: agreedTypes.Evacuations[] = [];
    const view = new instanceView.InstanceView(() => undefined);
    const watch: controlWatch.ControlWatch = new controlWatch.ControlWatch({
      timers: timerService.create(base.clock, base.scheduler),
      peers: base.peers,
      log: this.log,
      seeds: this.seeds,
      dataCentre: 'a',
      describe: () => ({
        name,
        dataCentre: 'a',
        callerAddress: `${name}:1`,
        peerAddress: name,
        state: 'ready',
        trafficVersion: taken.at(-1)?.version ?? 0,
      }),
      instances: view,
      onTraffic: (traffic) => taken.push(traffic),
      onCoordinator: () => undefined,
      onCases: () => undefined,
      onEvacuations: (news) => evacuations.push(news),
      onReplicaStarted: () => undefined,
    });
    return { taken, evacuations, view, watch };
  }
}
