/**
 * Compares three strategies to disseminate the state of upstreams to all entries, in virtual time: full tables to every
 * node, state vectors with a few random peers (the product's directory), and a tree by data centre. Updates, network,
 * loss and partitions are the same for all.
 */
import * as kumquatfront from 'kumquatfront';
import * as scenarios from 'kumquatfront-scenarios';

/** Dissemination strategies. */
export type Strategy = 'fullTables' | 'stateVectors' | 'tree';

/** Options of a simulation; times in milliseconds. */
export interface DisseminationOptions {
  readonly strategy: Strategy;
  readonly nodes: number;
  readonly upstreams: number;
  readonly loss: number;
  readonly roundInterval: number;
  readonly renewalInterval: number;
  readonly duration: number;
  /** Network partition: `dataCentre` isolates one data centre, `region` half of them, until the partition heals. */
  readonly cut: 'none' | 'dataCentre' | 'region';
  readonly cutDuration: number;
}

/** Results of a simulation; traffic per second. */
export interface DisseminationFigures {
  readonly bytesPerNode: number;
  readonly messagesPerNode: number;
  readonly busiestBytes: number;
  /** Share of the upstreams that a node knows: mean over nodes and time, and minimum over both. */
  readonly known: number;
  readonly knownWorst: number;
  /** Milliseconds until 99% and all of the nodes know that an upstream is draining; -1 on timeout. */
  readonly leave99: number;
  readonly leave100: number;
  /** Processor milliseconds per node and virtual second. */
  readonly cpuPerNode: number;
  /** Milliseconds from the end of the partition until all nodes know all upstreams; -1 on timeout, 0 without one. */
  readonly healed: number;
}

const DATA_CENTRES = 6;
const LEASE_RENEWALS = 6;
const SAMPLES = 10;
const PROPAGATION_TIMEOUT = 30_000;
const TIME_STEP = 50;

/** A node that receives updates and keeps a table of upstreams. */
interface Node {
  applyUpdate(update: kumquatfront.directoryTypes.UpstreamUpdate): void;
  readonly table: kumquatfront.upstreamTable.UpstreamTable;
}

interface Message {
  readonly items: readonly {
    readonly news: kumquatfront.directoryTypes.UpstreamUpdate;
    readonly at: number;
  }[];
}

/** Node of the full table and tree strategies: pushes the latest update of each upstream to its targets every round. */
class PushNode implements Node {
  readonly table = new kumquatfront.upstreamTable.UpstreamTable();
  private readonly known = new Map<
    string,
    { news: kumquatfront.directoryTypes.UpstreamUpdate; at: number }
  >();
  private unsent = new Map<string, { news: kumquatfront.directoryTypes.UpstreamUpdate; at: number }>();
  private readonly timers: kumquatfront.timerService.TimerService;
  private readonly peers: kumquatfront.ports.PeerTransport;

  constructor(
    timers: kumquatfront.timerService.TimerService,
    peers: kumquatfront.ports.PeerTransport,
    round: () => number,
    targets: () => readonly string[],
    /** Whether each round sends all known updates or only those received since the last one. */
    private readonly sendsAll: boolean,
  ) {
    this.timers = timers;
    this.peers = peers;
    peers.serve('push', (parameters) => {
      for (const { news, at } of (parameters as Message).items) {
        this.merge(news, at);
      }
    });
    timers.every(round, () => {
      this.send(targets());
    });
  }

  private merge(update: kumquatfront.directoryTypes.UpstreamUpdate, at: number): void {
    if (update.type !== 'announce') {
      return;
    }
    const now = this.timers.now();
    if (this.table.applyAnnouncement(update.announcement, now - at, now)) {
      this.known.set(update.announcement.name, { news: update, at });
      this.unsent.set(update.announcement.name, { news: update, at });
    }
  }

  applyUpdate(update: kumquatfront.directoryTypes.UpstreamUpdate): void {
    this.merge(update, this.timers.now());
  }

  private send(targets: readonly string[]): void {
    const items = [...(this.sendsAll ? this.known : this.unsent).values()];
    this.unsent = new Map();
    this.table.expire(this.timers.now());
    if (items.length === 0) {
      return;
    }
    for (const target of targets) {
      this.peers.notify(target, 'push', { items });
    }
  }
}

/** Simulated nodes, their network and the upstreams that announce themselves to random nodes. */
class DisseminationSimulation {
  readonly time = new kumquatfront.virtualTime.VirtualTime();
  readonly net: scenarios.network.Network;
  readonly nodes = new Map<string, Node>();
  private readonly random = kumquatfront.seededRandom.create(11);
  private readonly options: DisseminationOptions;
  private readonly names: readonly string[];
  private readonly sequences = new Map<string, number>();
  private readonly drainingUpstreams = new Set<string>();

  constructor(options: DisseminationOptions) {
    this.options = options;
    this.net = new scenarios.network.Network(this.time, this.random, {
      withinDataCentre: 0.5,
      betweenDataCentres: 1.5,
      loss: options.loss,
    });
    this.net.countBytes = true;
    this.names = Array.from({ length: options.nodes }, (_, position) => `n${position}`);
    for (const [position, name] of this.names.entries()) {
      this.addNode(name, `c${position % DATA_CENTRES}`);
    }
    for (let position = 0; position < options.upstreams; position += 1) {
      this.addUpstream(`u${position}`);
    }
  }

  private addNode(name: string, dataCentre: string): void {
    const host = new scenarios.host.Host(name, dataCentre, this.time);
    this.net.hosts.set(name, host);
    host.boot();
    const timers = kumquatfront.timerService.create(this.time.clock, host.scheduler());
    const peers = this.net.transportOf(host);
    const { roundInterval, strategy } = this.options;
    const jitteredInterval = (): number => roundInterval * (0.75 + this.random.next() / 2);
    if (strategy === 'stateVectors') {
      this.nodes.set(name, this.createDirectoryNode(name, dataCentre, timers, peers));
    } else if (strategy === 'fullTables') {
      this.nodes.set(name, new PushNode(timers, peers, jitteredInterval, () => this.peersOf(name), true));
    } else {
      this.nodes.set(
        name,
        new PushNode(timers, peers, jitteredInterval, () => this.treeTargets(name, dataCentre), false),
      );
    }
  }

  private createDirectoryNode(
    name: string,
    dataCentre: string,
    timers: kumquatfront.timerService.TimerService,
    peers: kumquatfront.ports.PeerTransport,
  ): Node {
    const noOperation = (): void => undefined;
    const presence: kumquatfront.directoryTypes.EntryPresence = {
      name,
      dataCentre,
      callerAddress: `http://${name}`,
      peerAddress: name,
      state: 'serving',
      inFlight: 0,
      configurationVersion: 1,
    };
    return new kumquatfront.directory.Directory({
      ...{ name, peerAddress: name, incarnation: 1, seeds: this.peersOf(name).slice(0, 3) },
      settings: {
        ...kumquatfront.defaultConfig.entryDefaults.directory,
        round: this.options.roundInterval,
        fanout: 1,
        presenceLease: 60_000,
        keepFor: 60_000,
      },
      timers,
      random: this.random,
      peers,
      log: { debug: noOperation, info: noOperation, warn: noOperation, error: noOperation },
      presence: () => presence,
    });
  }

  private peersOf(name: string): readonly string[] {
    return this.names.filter((other) => other !== name);
  }

  /** A member sends to the hub of its data centre; the hub sends to its members and to the other hubs. */
  private treeTargets(name: string, dataCentre: string): readonly string[] {
    const position = Number(dataCentre.slice(1));
    const hub = `n${position}`;
    if (name !== hub) {
      return [hub];
    }
    const members = this.names.filter(
      (other) => this.net.hosts.get(other)?.dataCentre === dataCentre && other !== name,
    );
    const hubs = Array.from({ length: DATA_CENTRES }, (_, centre) => `n${centre}`).filter(
      (other) => other !== name,
    );
    return [...members, ...hubs.filter((other) => this.net.hosts.has(other))];
  }

  private addUpstream(name: string): void {
    const { renewalInterval } = this.options;
    const renew = (): void => {
      this.announce(name, this.names[Math.floor(this.random.next() * this.names.length)] ?? '');
      this.time.after(renewalInterval, renew);
    };
    this.time.after(this.random.next() * renewalInterval, renew);
  }

  private announce(name: string, node: string): void {
    const sequence = (this.sequences.get(name) ?? 0) + 1;
    this.sequences.set(name, sequence);
    const announcement: kumquatfront.directoryTypes.Announcement = {
      name,
      incarnation: 1,
      sequence,
      address: 'http://10.0.0.1:8000',
      kind: 'engine',
      labels: { pool: 'llm', model: 'm' },
      dataCentre: 'c0',
      memoryTokens: 16_000,
      slots: 32,
      lease: this.options.renewalInterval * LEASE_RENEWALS,
      leaving: this.drainingUpstreams.has(name),
    };
    this.nodes.get(node)?.applyUpdate({ type: 'announce', announcement });
  }

  private nodeShare(known: (node: Node) => boolean, nodeNames: readonly string[]): number {
    return (
      nodeNames.filter((name) => {
        const node = this.nodes.get(name);
        return node !== undefined && known(node);
      }).length / nodeNames.length
    );
  }

  private measureLeavePropagation(): { readonly leave99: number; readonly leave100: number } {
    const name = 'u0';
    this.drainingUpstreams.add(name);
    this.announce(name, this.names[0] ?? '');
    let leave99 = -1;
    const startedAt = this.time.now();
    while (this.time.now() - startedAt < PROPAGATION_TIMEOUT) {
      this.time.advance(TIME_STEP);
      const informedShare = this.nodeShare((node) => node.table.get(name)?.leaving !== false, this.names);
      leave99 = leave99 < 0 && informedShare >= 0.99 ? this.time.now() - startedAt : leave99;
      if (informedShare === 1) {
        return { leave99, leave100: this.time.now() - startedAt };
      }
    }
    return { leave99, leave100: -1 };
  }

  private isCut(dataCentre: string): boolean {
    return this.options.cut === 'region'
      ? dataCentre === 'c0' || dataCentre === 'c1' || dataCentre === 'c2'
      : dataCentre === 'c0';
  }

  private measureHealing(): number {
    if (this.options.cut === 'none') {
      return 0;
    }
    const hosts = [...this.net.hosts.values()];
    for (const left of hosts.filter((host) => this.isCut(host.dataCentre))) {
      for (const right of hosts.filter((host) => !this.isCut(host.dataCentre))) {
        this.net.cut(left.name, right.name);
      }
    }
    this.time.advance(this.options.cutDuration);
    this.net.heal();
    const startedAt = this.time.now();
    while (this.time.now() - startedAt < PROPAGATION_TIMEOUT) {
      this.time.advance(TIME_STEP);
      if (this.nodeShare((node) => node.table.all().length >= this.options.upstreams, this.names) === 1) {
        return this.time.now() - startedAt;
      }
    }
    return -1;
  }

  /** Advances the simulation and periodically samples the share of unexpired upstreams that each node knows. */
  private sampleCoverage(duration: number): { readonly known: number; readonly knownWorst: number } {
    const shares: number[] = [];
    for (let sample = 0; sample < SAMPLES; sample += 1) {
      this.time.advance(duration / SAMPLES);
      const now = this.time.now();
      for (const node of this.nodes.values()) {
        const unexpired = node.table.all().filter((record) => record.expiresAt > now).length;
        shares.push(unexpired / this.options.upstreams);
      }
    }
    const known = shares.reduce((sum, share) => sum + share, 0) / shares.length;
    return { known, knownWorst: Math.min(...shares) };
  }

  run(): DisseminationFigures {
    const { duration, nodes, renewalInterval } = this.options;
    this.time.advance(renewalInterval * 4 + this.options.roundInterval * 4);
    this.net.sent.clear();
    const cpuBefore = process.cpuUsage();
    const coverage = this.sampleCoverage(duration);
    const cpu = process.cpuUsage(cpuBefore);
    const sent = [...this.net.sent.values()];
    const seconds = duration / 1_000;
    const perNode = (values: readonly number[]): number =>
      values.reduce((sum, value) => sum + value, 0) / nodes / seconds;
    const figures = {
      bytesPerNode: perNode(sent.map((counter) => counter.bytes)),
      messagesPerNode: perNode(sent.map((counter) => counter.messages)),
      busiestBytes: Math.max(...sent.map((counter) => counter.bytes)) / seconds,
      cpuPerNode: (cpu.user + cpu.system) / 1_000 / nodes / seconds,
    };
    return { ...figures, ...coverage, ...this.measureLeavePropagation(), healed: this.measureHealing() };
  }
}

/**
 * Simulates one strategy.
 *
 * @param options - strategy, size, loss and partition
 * @returns the results
 * @example
 * ```ts
 * dissemination.run({ strategy: 'tree', nodes: 64, upstreams: 100, loss: 0.1, roundInterval: 500, renewalInterval: 2000, duration: 10_000, cut: 'none', cutDuration: 0 });
 * ```
 */
export function run(options: DisseminationOptions): DisseminationFigures {
  return new DisseminationSimulation(options).run();
}
