/**
 * A small world on virtual time: control replicas, entries, engines, services and callers, all running the
 * code that runs on VMs, over ports in memory.
 */
import * as kumquatfront from 'kumquatfront';
import * as standIns from 'kumquatfront-stand-ins';

import * as host from './host.js';
import * as memoryDisk from './memoryDisk.js';
import * as network from './network.js';
import * as virtualCaller from './virtualCaller.js';
import * as virtualOrders from './virtualOrders.js';
import * as virtualUpstreams from './virtualUpstreams.js';

/** How a world is made. */
export interface WorldOptions {
  readonly seed: number;
  readonly controlNames: readonly string[];
  readonly entryNames: readonly string[];
  readonly dataCentreOf: (name: string) => string;
  readonly network: network.NetworkOptions;
  /** Milliseconds a sync of a control replica's disk takes; 1 where absent. */
  readonly syncDelay?: number;
  readonly control?: Partial<kumquatfront.controlNode.ControlSettings>;
  readonly entry?: Partial<kumquatfront.entryTypes.EntrySettings>;
  /** The serving policy of the entries; the product's own where absent. */
  readonly createPlacement?: kumquatfront.entryNode.CreatePlacement;
  /** Lines of the session. */
  readonly record: (line: string) => void;
}

/** An upstream's own settings. */
export interface EngineWish {
  readonly pool: string;
  readonly options: Omit<standIns.engineTypes.EngineOptions, 'name'>;
  readonly reportLag: number;
  readonly checksFencing: boolean;
  /** The engine ends under generations of so many tokens, and is back seconds later. */
  readonly endsUnderTokens?: number;
  /** Told the duration of every step, for measurements. */
  readonly onStep?: (duration: number) => void;
}

interface ControlSlot {
  readonly host: host.Host;
  readonly disk: memoryDisk.MemoryDisk;
  node: kumquatfront.controlNode.ControlNode | undefined;
}

interface EntrySlot {
  readonly host: host.Host;
  node: kumquatfront.entryNode.EntryNode | undefined;
}

const SIGNING_KEY = 'scenario-signing-key';
const ANNOUNCE_EVERY = 1_000;
const REPORT_EVERY = 500;
const LEASE = 4_000;
/** From the begin of a generation to the end of an engine under it, and on to its next start. */
const ENDS_AFTER = 50;
const BACK_AFTER = 3_000;
const CACHE_LOSS = 0.1;
const WEIGHT_LOADS_PER_MINUTE = kumquatfront.defaultConfig.controlDefaults.orders.weightLoadsPerMinute;

/** The world; see the module comment. */
export class World {
  readonly time = new kumquatfront.virtualTime.VirtualTime();
  readonly random: kumquatfront.ports.Random;
  readonly net: network.Network;
  readonly controls = new Map<string, ControlSlot>();
  readonly entries = new Map<string, EntrySlot>();
  readonly engines = new Map<string, virtualUpstreams.VirtualEngine>();
  readonly services = new Map<string, virtualUpstreams.VirtualService>();
  /** The store that engines load weights from; loads beyond its rate are refused and counted. */
  readonly weightStore = new standIns.weightStoreModel.WeightStoreModel(WEIGHT_LOADS_PER_MINUTE, () =>
    this.time.now(),
  );
  private readonly announcers = new Map<string, standIns.announcer.Announcer>();
  private readonly boots = new Map<string, () => void>();
  private readonly options: WorldOptions;
  private seeds = 0;

  constructor(options: WorldOptions) {
    this.options = options;
    this.random = kumquatfront.seededRandom.create(options.seed);
    this.net = new network.Network(this.time, this.random, options.network);
    for (const name of options.controlNames) {
      this.addControl(name);
    }
    for (const name of options.entryNames) {
      this.addEntry(name);
    }
  }

  record(text: string): void {
    this.options.record(`${(this.time.now() / 1000).toFixed(3).padStart(9)} ${text}`);
  }

  private createHost(name: string): host.Host {
    const created = new host.Host(name, this.options.dataCentreOf(name), this.time);
    this.net.hosts.set(name, created);
    return created;
  }

  private basePorts(own: host.Host): kumquatfront.ports.BasePorts {
    this.seeds += 1;
    return {
      clock: this.time.clock,
      scheduler: own.scheduler(),
      random: kumquatfront.seededRandom.create(this.random.next() * 2 ** 31 + this.seeds),
      peers: this.net.transportOf(own),
      log: this.logOf(own),
      metrics: kumquatfront.statsdMetrics.silent,
    };
  }

  private logOf(own: host.Host): kumquatfront.ports.Log {
    const write = (level: string) => (event: string, fields?: kumquatfront.ports.LogFields) => {
      this.record(`${own.name} ${kumquatfront.keyValueLog.format(level, event, fields)}`);
    };
    return { debug: () => undefined, info: write('info'), warn: write('warn'), error: write('error') };
  }

  private addControl(name: string): void {
    const slot: ControlSlot = {
      host: this.createHost(name),
      disk: new memoryDisk.MemoryDisk(this.options.syncDelay ?? 1),
      node: undefined,
    };
    this.controls.set(name, slot);
    const boot = (): void => {
      slot.host.boot();
      const base = this.basePorts(slot.host);
      const opened = kumquatfront.controlNode.create(
        {
          ...kumquatfront.defaultConfig.controlDefaults,
          ...this.options.control,
          name,
          dataCentre: slot.host.dataCentre,
          peerAddress: name,
          control: this.options.controlNames,
        },
        { ...base, disk: slot.disk.portFor(base.scheduler), orders: this.ordersOf(slot.host) },
      );
      if (opened.err) {
        this.record(`${name} does not start: ${opened.val.message}`);
        slot.host.kill();
        slot.node = undefined;
        return;
      }
      slot.node = opened.val;
    };
    this.boots.set(name, boot);
    boot();
  }

  private ordersOf(own: host.Host): kumquatfront.orderTypes.OrderPort {
    return virtualOrders.create(own, {
      time: this.time,
      network: this.net,
      engineOf: (name) => this.engines.get(name),
      weightStore: this.weightStore,
      record: (text) => {
        this.record(text);
      },
    });
  }

  private addEntry(name: string): void {
    const slot: EntrySlot = { host: this.createHost(name), node: undefined };
    this.entries.set(name, slot);
    const boot = (): void => {
      slot.host.boot();
      const settings: kumquatfront.entryTypes.EntrySettings = {
        ...kumquatfront.defaultConfig.entryDefaults,
        ...this.options.entry,
        name,
        dataCentre: slot.host.dataCentre,
        callerAddress: `http://${name}`,
        peerAddress: name,
        entries: this.options.entryNames,
        control: this.options.controlNames,
        signingKey: SIGNING_KEY,
        upstreamKeyHash: '',
      };
      const outside = {
        ...this.basePorts(slot.host),
        engines: virtualUpstreams.createEngines(this.net, slot.host, (engine) => this.engines.get(engine)),
        services: virtualUpstreams.createServices(
          this.net,
          slot.host,
          (service) => this.services.get(service),
          this.time,
        ),
        checkUpstream: virtualUpstreams.createCheck(this.net, slot.host),
        orders: this.ordersOf(slot.host),
        onDrainRequest: () => undefined,
      };
      slot.node = kumquatfront.entryNode.create(settings, outside, this.options.createPlacement);
    };
    this.boots.set(name, boot);
    boot();
  }

  /** Adds an engine and starts it. */
  addEngine(name: string, wish: EngineWish): void {
    const own = this.createHost(name);
    const create = (): standIns.engineModel.EngineModel =>
      new standIns.engineModel.EngineModel(
        { name, ...wish.options },
        { now: () => this.time.now(), after: (delay, run) => own.scheduler().after(delay, run) },
        wish.onStep,
      );
    const slot: virtualUpstreams.VirtualEngine = {
      host: own,
      model: create(),
      orders: new standIns.orderBook.OrderBook(wish.checksFencing),
      onStart: (order) => {
        if (order.outputTokens === wish.endsUnderTokens) {
          this.endSoon(name);
        }
      },
    };
    this.engines.set(name, slot);
    const boot = (): void => {
      own.boot();
      slot.model = create();
      const { model } = slot;
      this.announce(own, wish.pool, 'engine', wish.options, wish.reportLag, model);
    };
    this.boots.set(name, boot);
    boot();
  }

  private endSoon(name: string): void {
    const { currentLife } = this.hostOf(name);
    this.time.after(ENDS_AFTER, () => {
      if (this.hostOf(name).currentLife === currentLife) {
        this.record(`-- ${name} ends under what it runs`);
        this.kill(name);
        this.time.after(BACK_AFTER, () => {
          this.boot(name);
        });
      }
    });
  }

  /** Adds a plain service and starts it. */
  addService(name: string, pool: string, delay: number): void {
    const own = this.createHost(name);
    this.services.set(name, { host: own, model: new standIns.serviceModel.ServiceModel(), delay });
    const boot = (): void => {
      own.boot();
      this.announce(own, pool, 'plainService', { memoryTokens: 0, slots: 0 }, 0, undefined);
    };
    this.boots.set(name, boot);
    boot();
  }

  private announce(
    own: host.Host,
    pool: string,
    kind: kumquatfront.directoryTypes.UpstreamKind,
    size: { readonly memoryTokens: number; readonly slots: number },
    reportLag: number,
    model: standIns.engineModel.EngineModel | undefined,
  ): void {
    const idle = { running: 0, waiting: 0, usedTokens: 0 };
    const announcer = new standIns.announcer.Announcer({
      announcement: {
        name: own.name,
        incarnation: this.time.clock.wall(),
        address: `http://${own.name}`,
        kind,
        labels: { pool },
        dataCentre: own.dataCentre,
        memoryTokens: size.memoryTokens,
        slots: size.slots,
        lease: LEASE,
      },
      timers: kumquatfront.timerService.create(this.time.clock, own.scheduler()),
      random: this.random,
      announceEvery: ANNOUNCE_EVERY,
      reportEvery: REPORT_EVERY,
      reportLag,
      cacheLoss: CACHE_LOSS,
      load: () => model?.load() ?? idle,
      cacheChanges: () => model?.takeCacheChanges() ?? { added: [], removed: [] },
      isFrozen: () => own.isFrozen,
      post: (news) => {
        this.postNews(own, news);
      },
    });
    this.announcers.set(own.name, announcer);
  }

  /** An upstream posts to an entry that answers. */
  private postNews(own: host.Host, news: kumquatfront.directoryTypes.UpstreamNews): void {
    const reachable = [...this.entries.values()].filter(
      (entry) => entry.host.isUp && !entry.host.isFrozen && !this.net.isCut(own.name, entry.host.name),
    );
    const entry = reachable[Math.floor(this.random.next() * reachable.length)];
    if (entry !== undefined) {
      this.net.deliver(own.name, entry.host.name, () => {
        entry.node?.takeNews(news);
      });
    }
  }

  /** An upstream says that it leaves. */
  leave(name: string): void {
    this.announcers.get(name)?.leave();
  }

  hostOf(name: string): host.Host {
    const found = this.net.hosts.get(name);
    if (found === undefined) {
      throw new Error(`There is no host ${name}; known: ${[...this.net.hosts.keys()].join(', ')}.`);
    }
    return found;
  }

  /** Kills a process; with `torn`, its last unsynced write is half on the disk. */
  kill(name: string, torn = false): void {
    this.hostOf(name).kill();
    this.controls.get(name)?.disk.crash(torn);
  }

  boot(name: string): void {
    this.boots.get(name)?.();
  }

  freeze(name: string): void {
    this.hostOf(name).freeze();
    this.engines.get(name)?.model.freeze();
  }

  thaw(name: string): void {
    this.hostOf(name).thaw();
    this.engines.get(name)?.model.thaw();
  }

  /** Cuts a host from every other one. */
  isolate(name: string): void {
    for (const other of this.net.hosts.keys()) {
      if (other !== name) {
        this.net.cut(name, other);
      }
    }
  }

  /** Control replicas that lead and may act. */
  leaders(): readonly string[] {
    const slots = [...this.controls.entries()];
    return slots
      .filter(([, slot]) => slot.host.isUp && slot.node?.services.find('replica').mayLead() === true)
      .map(([name]) => name);
  }

  /** Running entries, as callers reach them. */
  reachableEntries(): readonly virtualCaller.ReachableEntry[] {
    return [...this.entries.values()].flatMap((slot) =>
      slot.node === undefined ? [] : [{ host: slot.host, node: slot.node }],
    );
  }

  /** What callers need of the world. */
  callerWorld(): virtualCaller.CallerWorld {
    return {
      time: this.time,
      net: this.net,
      entries: () => this.reachableEntries(),
      record: (text) => {
        this.record(text);
      },
    };
  }
}
