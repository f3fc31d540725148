/**
 * Three ways to tell every entry about upstreams, on virtual time with small stand-ins: full tables to
 * everybody, state vectors with a few random peers (the product's directory), and a tree by data centre. Only
 * the way differs: the same news, network, loss and cuts.
 */
import * as kumquatfront from 'kumquatfront';
import * as scenarios from 'kumquatfront-scenarios';

/** The ways that are weighed. */
export type Way = 'fullTables' | 'stateVectors' | 'tree';

/** What a run is made from; times in milliseconds. */
export interface DisseminationOptions {
  readonly way: Way;
  readonly nodes: number;
  readonly upstreams: number;
  readonly loss: number;
  readonly round: number;
  readonly renewEvery: number;
  readonly duration: number;
  /** `dataCentre`: one is cut off and comes back; `region`: half of them are. */
  readonly cut: 'none' | 'dataCentre' | 'region';
  readonly cutLength: number;
}

/** Figures of a run. */
export interface DisseminationFigures {
  readonly bytesPerNode: number;
  readonly messagesPerNode: number;
  readonly busiestBytes: number;
  /** Share of the upstreams that a node knows, on average over nodes and time, and at the worst node and time. */
  readonly known: number;
  readonly knownWorst: number;
  /** Milliseconds until 99% and all of the nodes in reach know that an upstream leaves; -1 where never. */
  readonly leave99: number;
  readonly leave100: number;
  /** Processor milliseconds for one node and virtual second. */
  readonly cpuPerNode: number;
  /** Milliseconds after the cut until all nodes know the same upstreams; -1 where never, 0 without a cut. */
  readonly healed: number;
}

const DATA_CENTRES = 6;
const LEASE_RENEWALS = 6;
const SAMPLES = 10;
const LEAVE_LIMIT = 30_000;
const STEP = 50;

/** One node: something that takes news and knows which upstreams leave. */
interface Node {
  takeNews(news: kumquatfront.directoryTypes.UpstreamNews): void;
  readonly table: kumquatfront.upstreamTable.UpstreamTable;
}

interface Message {
  readonly items: readonly { readonly news: kumquatfront.directoryTypes.UpstreamNews; readonly at: number }[];
}

/** A node of the two simple ways: it keeps the newest news of each upstream. */
class SimpleNode implements Node {
  readonly table = new kumquatfront.upstreamTable.UpstreamTable();
  private readonly known = new Map<string, { news: kumquatfront.directoryTypes.UpstreamNews; at: number }>();
  private fresh = new Map<string, { news: kumquatfront.directoryTypes.UpstreamNews; at: number }>();
  private readonly timers: kumquatfront.timerService.TimerService;
  private readonly peers: kumquatfront.ports.PeerTransport;

  constructor(
    timers: kumquatfront.timerService.TimerService,
    peers: kumquatfront.ports.PeerTransport,
    round: () => number,
    /** Where to send each round: what is fresh, or everything that is known. */
    targets: () => readonly string[],
    private readonly whole: boolean,
  ) {
    this.timers = timers;
    this.peers = peers;
    peers.serve('push', (parameters) => {
      for (const { news, at } of (parameters as Message).items) {
        this.absorb(news, at);
      }
    });
    timers.every(round, () => {
      this.send(targets());
    });
  }

  private absorb(news: kumquatfront.directoryTypes.UpstreamNews, at: number): void {
    if (news.type !== 'announce') {
      return;
    }
    const now = this.timers.now();
    if (this.table.announce(news.announcement, now - at, now)) {
      this.known.set(news.announcement.name, { news, at });
      this.fresh.set(news.announcement.name, { news, at });
    }
  }

  takeNews(news: kumquatfront.directoryTypes.UpstreamNews): void {
    this.absorb(news, this.timers.now());
  }

  private send(targets: readonly string[]): void {
    const items = [...(this.whole ? this.known : this.fresh).values()];
    this.fresh = new Map();
    this.table.expire(this.timers.now());
    if (items.length === 0) {
      return;
    }
    for (const target of targets) {
      this.peers.notify(target, 'push', { items });
    }
  }
}

/** The nodes and what announces itself to them. */
class Bench {
  readonly time = new kumquatfront.virtualTime.VirtualTime();
  readonly net: scenarios.network.Network;
  readonly nodes = new Map<string, Node>();
  private readonly random = kumquatfront.seededRandom.create(11);
  private readonly options: DisseminationOptions;
  private readonly names: readonly string[];
  private readonly sequences = new Map<string, number>();
  private readonly left = new Set<string>();

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
    const { round, way } = this.options;
    const jittered = (): number => round * (0.75 + this.random.next() / 2);
    if (way === 'stateVectors') {
      this.nodes.set(name, this.productNode(name, dataCentre, timers, peers));
    } else if (way === 'fullTables') {
      this.nodes.set(name, new SimpleNode(timers, peers, jittered, () => this.others(name), true));
    } else {
      this.nodes.set(
        name,
        new SimpleNode(timers, peers, jittered, () => this.treeTargets(name, dataCentre), false),
      );
    }
  }

  private productNode(
    name: string,
    dataCentre: string,
    timers: kumquatfront.timerService.TimerService,
    peers: kumquatfront.ports.PeerTransport,
  ): Node {
    const silent = (): void => undefined;
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
      ...{ name, peerAddress: name, incarnation: 1, seeds: this.others(name).slice(0, 3) },
      settings: {
        ...kumquatfront.defaultConfig.entryDefaults.directory,
        round: this.options.round,
        fanout: 1,
        presenceLease: 60_000,
        keepFor: 60_000,
      },
      timers,
      random: this.random,
      peers,
      log: { debug: silent, info: silent, warn: silent, error: silent },
      presence: () => presence,
    });
  }

  private others(name: string): readonly string[] {
    return this.names.filter((other) => other !== name);
  }

  /** A member tells the first node of its data centre; that one tells its members and the other first nodes. */
  private treeTargets(name: string, dataCentre: string): readonly string[] {
    const position = Number(dataCentre.slice(1));
    const relay = `n${position}`;
    if (name !== relay) {
      return [relay];
    }
    const members = this.names.filter(
      (other) => this.net.hosts.get(other)?.dataCentre === dataCentre && other !== name,
    );
    const relays = Array.from({ length: DATA_CENTRES }, (_, centre) => `n${centre}`).filter(
      (other) => other !== name,
    );
    return [...members, ...relays.filter((other) => this.net.hosts.has(other))];
  }

  private addUpstream(name: string): void {
    const { renewEvery } = this.options;
    const renew = (): void => {
      this.post(name, this.names[Math.floor(this.random.next() * this.names.length)] ?? '');
      this.time.after(renewEvery, renew);
    };
    this.time.after(this.random.next() * renewEvery, renew);
  }

  private post(name: string, node: string): void {
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
      lease: this.options.renewEvery * LEASE_RENEWALS,
      leaving: this.left.has(name),
    };
    this.nodes.get(node)?.takeNews({ type: 'announce', announcement });
  }

  private share(known: (node: Node) => boolean, among: readonly string[]): number {
    return (
      among.filter((name) => {
        const node = this.nodes.get(name);
        return node !== undefined && known(node);
      }).length / among.length
    );
  }

  private leaveTimes(): { readonly leave99: number; readonly leave100: number } {
    const name = 'u0';
    this.left.add(name);
    this.post(name, this.names[0] ?? '');
    let leave99 = -1;
    const startedAt = this.time.now();
    while (this.time.now() - startedAt < LEAVE_LIMIT) {
      this.time.advance(STEP);
      const share = this.share((node) => node.table.get(name)?.leaving !== false, this.names);
      leave99 = leave99 < 0 && share >= 0.99 ? this.time.now() - startedAt : leave99;
      if (share === 1) {
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

  private healTime(): number {
    if (this.options.cut === 'none') {
      return 0;
    }
    const hosts = [...this.net.hosts.values()];
    for (const left of hosts.filter((host) => this.isCut(host.dataCentre))) {
      for (const right of hosts.filter((host) => !this.isCut(host.dataCentre))) {
        this.net.cut(left.name, right.name);
      }
    }
    this.time.advance(this.options.cutLength);
    this.net.heal();
    const startedAt = this.time.now();
    while (this.time.now() - startedAt < LEAVE_LIMIT) {
      this.time.advance(STEP);
      if (this.share((node) => node.table.all().length >= this.options.upstreams, this.names) === 1) {
        return this.time.now() - startedAt;
      }
    }
    return -1;
  }

  /** Runs for a while and looks now and then at how much each node knows. */
  private sampleKnowledge(duration: number): { readonly known: number; readonly knownWorst: number } {
    const shares: number[] = [];
    for (let sample = 0; sample < SAMPLES; sample += 1) {
      this.time.advance(duration / SAMPLES);
      const now = this.time.now();
      for (const node of this.nodes.values()) {
        const leased = node.table.all().filter((record) => record.expiresAt > now).length;
        shares.push(leased / this.options.upstreams);
      }
    }
    const known = shares.reduce((sum, share) => sum + share, 0) / shares.length;
    return { known, knownWorst: Math.min(...shares) };
  }

  run(): DisseminationFigures {
    const { duration, nodes, renewEvery } = this.options;
    this.time.advance(renewEvery * 4 + this.options.round * 4);
    this.net.sent.clear();
    const cpuBefore = process.cpuUsage();
    const knowledge = this.sampleKnowledge(duration);
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
    return { ...figures, ...knowledge, ...this.leaveTimes(), healed: this.healTime() };
  }
}

/**
 * Runs one way.
 *
 * @param options - way, size, loss and cut
 * @returns its figures
 * @example
 * ```ts
 * dissemination.run({ way: 'tree', nodes: 64, upstreams: 100, loss: 0.1, round: 500, renewEvery: 2000, duration: 10_000, cut: 'none', cutLength: 0 });
 * ```
 */
export function run(options: DisseminationOptions): DisseminationFigures {
  return new Bench(options).run();
}
