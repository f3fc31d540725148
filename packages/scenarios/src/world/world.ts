/**
 * Simulated deployment on virtual time: control replicas, entries, engines and services. Control and entries run the
 * production code on in-memory ports.
 */
import * as kumquatfront from 'kumquatfront';
import * as standIns from 'kumquatfront-stand-ins';

import * as host from './host.js';
import * as memoryDisk from './memoryDisk.js';
import * as network from './network.js';
import * as virtualOrderPort from './virtualOrderPort.js';
import * as virtualStream from './virtualStream.js';
import * as virtualUpstreams from './virtualUpstreams.js';

/** Options of a simulated deployment. */
export interface WorldOptions {
  readonly seed: number;
  readonly controlNames: readonly string[];
  readonly entryNames: readonly string[];
  readonly dataCentreOf: (name: string) => string;
  readonly network: network.NetworkOptions;
  /** Duration of a disk sync of a control replica in milliseconds; defaults to 1. */
  readonly syncDelay?: number;
  readonly control?: Partial<kumquatfront.controlNode.ControlSettings>;
  readonly entry?: Partial<kumquatfront.entryTypes.EntrySettings>;
  /** Serving policy of the entries; defaults to the policy of the library. */
  readonly createPlacement?: kumquatfront.entryNode.CreatePlacement;
  /** Records a line of the session. */
  readonly record: (line: string) => void;
}

/** Options of a simulated engine. */
export interface VirtualEngineOptions {
  readonly pool: string;
  readonly options: Omit<standIns.engineTypes.EngineOptions, 'name'>;
  readonly reportLag: number;
  readonly checksFencing: boolean;
  /** The engine crashes shortly after it starts a generation of this output length, and restarts later. */
  readonly crashesAtOutputTokens?: number;
  /** Called with the duration of every step. */
  readonly onStep?: (duration: number) => void;
}

interface VirtualReplica {
  readonly host: host.Host;
  readonly disk: memoryDisk.MemoryDisk;
  node: kumquatfront.controlNode.ControlNode | undefined;
}

interface VirtualEntry {
  readonly host: host.Host;
  node: kumquatfront.entryNode.EntryNode | undefined;
}

const SIGNING_KEY = 'scenario-signing-key';
const ANNOUNCEMENT_INTERVAL = 1_000;
const REPORT_INTERVAL = 500;
const ANNOUNCEMENT_LEASE = 4_000;
const CRASH_DELAY = 50;
const RESTART_DELAY = 3_000;
const CACHE_EVENT_LOSS_SHARE = 0.1;
const WEIGHT_LOADS_PER_MINUTE = kumquatfront.defaultConfig.controlDefaults.orders.weightLoadsPerMinute;

/** Simulated deployment. */
export class World {
  readonly time = new kumquatfront.virtualTime.VirtualTime();
  readonly random: kumquatfront.ports.Random;
  readonly network: network.Network;
  readonly controls = new Map<string, VirtualReplica>();
  readonly entries = new Map<string, VirtualEntry>();
  readonly engines = new Map<string, virtualUpstreams.VirtualEngine>();
  readonly services = new Map<string, virtualUpstreams.VirtualService>();
  /** Store from which engines load weights; it counts the loads that it rejects. */
  readonly weightStore = new standIns.weightStoreModel.WeightStoreModel(WEIGHT_LOADS_PER_MINUTE, () =>
    this.time.now(),
  );
  private readonly announcers = new Map<string, standIns.announcer.Announcer>();
  private readonly bootFunctions = new Map<string, () => void>();
  private readonly options: WorldOptions;
  private derivedSeedCount = 0;

  constructor(options: WorldOptions) {
    this.options = options;
    this.random = kumquatfront.seededRandom.create(options.seed);
    this.network = new network.Network(this.time, this.random, options.network);
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
    this.network.hosts.set(name, created);
    return created;
  }

  private basePorts(processHost: host.Host): kumquatfront.ports.BasePorts {
    this.derivedSeedCount += 1;
    return {
      clock: this.time.clock,
      scheduler: processHost.scheduler(),
      random: kumquatfront.seededRandom.create(this.random.next() * 2 ** 31 + this.derivedSeedCount),
      peers: this.network.transportOf(processHost),
      log: this.logOf(processHost),
      metrics: kumquatfront.statsdMetrics.noop,
    };
  }

  private logOf(processHost: host.Host): kumquatfront.ports.Log {
    const write = (level: string) => (event: string, fields?: kumquatfront.ports.LogFields) => {
      this.record(`${processHost.name} ${kumquatfront.keyValueLog.format(level, event, fields)}`);
    };
    return { debug: () => undefined, info: write('info'), warn: write('warn'), error: write('error') };
  }

  private addControl(name: string): void {
    const replica: VirtualReplica = {
      host: this.createHost(name),
      disk: new memoryDisk.MemoryDisk(this.options.syncDelay ?? 1),
      node: undefined,
    };
    this.controls.set(name, replica);
    const boot = (): void => {
      replica.host.boot();
      const base = this.basePorts(replica.host);
      const created = kumquatfront.controlNode.create(
        {
          ...kumquatfront.defaultConfig.controlDefaults,
          ...this.options.control,
          name,
          dataCentre: replica.host.dataCentre,
          peerAddress: name,
          control: this.options.controlNames,
        },
        { ...base, disk: replica.disk.portFor(base.scheduler), orders: this.orderPortOf(replica.host) },
      );
      if (created.err) {
        this.record(`${name} does not start: ${created.val.message}`);
        replica.host.kill();
        replica.node = undefined;
        return;
      }
      replica.node = created.val;
    };
    this.bootFunctions.set(name, boot);
    boot();
  }

  private orderPortOf(processHost: host.Host): kumquatfront.orderTypes.OrderPort {
    return virtualOrderPort.create(processHost, {
      time: this.time,
      network: this.network,
      engineOf: (name) => this.engines.get(name),
      weightStore: this.weightStore,
      record: (text) => {
        this.record(text);
      },
    });
  }

  private addEntry(name: string): void {
    const entry: VirtualEntry = { host: this.createHost(name), node: undefined };
    this.entries.set(name, entry);
    const boot = (): void => {
      entry.host.boot();
      const settings: kumquatfront.entryTypes.EntrySettings = {
        ...kumquatfront.defaultConfig.entryDefaults,
        ...this.options.entry,
        name,
        dataCentre: entry.host.dataCentre,
        callerAddress: `http://${name}`,
        peerAddress: name,
        entries: this.options.entryNames,
        control: this.options.controlNames,
        signingKey: SIGNING_KEY,
        upstreamKeyHash: '',
      };
      const entryPorts = {
        ...this.basePorts(entry.host),
        engines: virtualUpstreams.createGenerationPort(this.network, entry.host, (engine) =>
          this.engines.get(engine),
        ),
        services: virtualUpstreams.createServicePort(
          this.network,
          entry.host,
          (service) => this.services.get(service),
          this.time,
        ),
        checkUpstream: virtualUpstreams.createUpstreamCheck(this.network, entry.host),
        orders: this.orderPortOf(entry.host),
        onDrainRequest: () => undefined,
      };
      entry.node = kumquatfront.entryNode.create(settings, entryPorts, this.options.createPlacement);
    };
    this.bootFunctions.set(name, boot);
    boot();
  }

  /** Adds and starts an engine. */
  addEngine(name: string, engineOptions: VirtualEngineOptions): void {
    const processHost = this.createHost(name);
    const create = (): standIns.engineModel.EngineModel =>
      new standIns.engineModel.EngineModel(
        { name, ...engineOptions.options },
        { now: () => this.time.now(), after: (delay, run) => processHost.scheduler().after(delay, run) },
        engineOptions.onStep,
      );
    const engine: virtualUpstreams.VirtualEngine = {
      host: processHost,
      model: create(),
      orderReceiver: new standIns.orderReceiver.OrderReceiver(engineOptions.checksFencing),
      onStart: (request) => {
        if (request.outputTokens === engineOptions.crashesAtOutputTokens) {
          this.scheduleCrash(name);
        }
      },
    };
    this.engines.set(name, engine);
    const boot = (): void => {
      processHost.boot();
      engine.model = create();
      const { model } = engine;
      this.startAnnouncer(
        processHost,
        engineOptions.pool,
        'engine',
        engineOptions.options,
        engineOptions.reportLag,
        model,
      );
    };
    this.bootFunctions.set(name, boot);
    boot();
  }

  private scheduleCrash(name: string): void {
    const { incarnation } = this.hostOf(name);
    this.time.after(CRASH_DELAY, () => {
      if (this.hostOf(name).incarnation === incarnation) {
        this.record(`-- ${name} ends under what it runs`);
        this.kill(name);
        this.time.after(RESTART_DELAY, () => {
          this.boot(name);
        });
      }
    });
  }

  /** Adds and starts a plain service. */
  addService(name: string, pool: string, delay: number): void {
    const processHost = this.createHost(name);
    this.services.set(name, { host: processHost, model: new standIns.serviceModel.ServiceModel(), delay });
    const boot = (): void => {
      processHost.boot();
      this.startAnnouncer(processHost, pool, 'plainService', { memoryTokens: 0, slots: 0 }, 0, undefined);
    };
    this.bootFunctions.set(name, boot);
    boot();
  }

  private startAnnouncer(
    processHost: host.Host,
    pool: string,
    kind: kumquatfront.directoryTypes.UpstreamKind,
    size: { readonly memoryTokens: number; readonly slots: number },
    reportLag: number,
    model: standIns.engineModel.EngineModel | undefined,
  ): void {
    const idle = { running: 0, waiting: 0, usedTokens: 0 };
    const announcer = new standIns.announcer.Announcer({
      announcement: {
        name: processHost.name,
        incarnation: this.time.clock.wall(),
        address: `http://${processHost.name}`,
        kind,
        labels: { pool },
        dataCentre: processHost.dataCentre,
        memoryTokens: size.memoryTokens,
        slots: size.slots,
        lease: ANNOUNCEMENT_LEASE,
      },
      timers: kumquatfront.timerService.create(this.time.clock, processHost.scheduler()),
      random: this.random,
      announcementInterval: ANNOUNCEMENT_INTERVAL,
      reportInterval: REPORT_INTERVAL,
      reportLag,
      cacheEventLossShare: CACHE_EVENT_LOSS_SHARE,
      load: () => model?.load() ?? idle,
      cacheChanges: () => model?.drainCacheChanges() ?? { added: [], removed: [] },
      isFrozen: () => processHost.isFrozen,
      post: (update) => {
        this.postUpdate(processHost, update);
      },
    });
    this.announcers.set(processHost.name, announcer);
  }

  /** Delivers an update of an upstream to a random reachable entry. */
  private postUpdate(processHost: host.Host, update: kumquatfront.directoryTypes.UpstreamUpdate): void {
    const reachable = [...this.entries.values()].filter(
      (entry) =>
        entry.host.isUp && !entry.host.isFrozen && !this.network.isCut(processHost.name, entry.host.name),
    );
    const entry = reachable[Math.floor(this.random.next() * reachable.length)];
    if (entry !== undefined) {
      this.network.deliver(processHost.name, entry.host.name, () => {
        entry.node?.applyUpdate(update);
      });
    }
  }

  /** Sends the termination notice of an upstream. */
  sendTerminationNotice(name: string): void {
    this.announcers.get(name)?.sendTerminationNotice();
  }

  hostOf(name: string): host.Host {
    const found = this.network.hosts.get(name);
    if (found === undefined) {
      throw new Error(`Unknown host ${name}; known hosts: ${[...this.network.hosts.keys()].join(', ')}.`);
    }
    return found;
  }

  /** Kills a process; with `torn`, half of its first unsynced write stays on the disk. */
  kill(name: string, torn = false): void {
    this.hostOf(name).kill();
    this.controls.get(name)?.disk.crash(torn);
  }

  boot(name: string): void {
    this.bootFunctions.get(name)?.();
  }

  freeze(name: string): void {
    this.hostOf(name).freeze();
    this.engines.get(name)?.model.freeze();
  }

  thaw(name: string): void {
    this.hostOf(name).thaw();
    this.engines.get(name)?.model.thaw();
  }

  /** Cuts the links of a host to all other hosts. */
  isolate(name: string): void {
    for (const other of this.network.hosts.keys()) {
      if (other !== name) {
        this.network.cut(name, other);
      }
    }
  }

  /** Running control replicas that may act as leader. */
  leaders(): readonly string[] {
    const replicas = [...this.controls.entries()];
    return replicas
      .filter(([, replica]) => replica.host.isUp && replica.node?.services.find('replica').mayLead() === true)
      .map(([name]) => name);
  }

  /** Entries that have been started. */
  reachableEntries(): readonly virtualStream.ReachableEntry[] {
    return [...this.entries.values()].flatMap((entry) =>
      entry.node === undefined ? [] : [{ host: entry.host, node: entry.node }],
    );
  }

  /** Dependencies of simulated callers. */
  callerEnvironment(): virtualStream.CallerEnvironment {
    return {
      time: this.time,
      network: this.network,
      entries: () => this.reachableEntries(),
      record: (text) => {
        this.record(text);
      },
    };
  }
}
