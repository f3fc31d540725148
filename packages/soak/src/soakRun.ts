/**
 * Runs one seeded soak: real processes, clients and an operator under sequential and overlapping faults, followed by a
 * phase without faults in which the system must recover.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as kumquatfront from 'kumquatfront';

import * as backPressure from './backPressure.js';
import * as clients from './clients.js';
import * as evacuationCheck from './evacuationCheck.js';
import * as crashingService from './crashingService.js';
import * as invariantChecker from './invariantChecker.js';
import * as lateOrders from './lateOrders.js';
import type * as loopbackProxy from './loopbackProxy.js';
import * as sleep from './sleep.js';
import * as freePorts from './freePorts.js';
import * as supervisedProcess from './supervisedProcess.js';
import * as upstreamCuts from './upstreamCuts.js';
import * as stubInstance from './stubInstance.js';
import * as versionedStreams from './versionedStreams.js';

/** Size and duration of a run. */
export interface SoakOptions {
  readonly seed: number;
  /** Duration of the fault phase. */
  readonly faultSeconds: number;
  readonly entries: number;
  readonly clients: number;
  /** Interval in seconds at which all entries are killed at once during the fault phase; never if absent. */
  readonly herdKillSeconds?: number;
}

/** Result of a run. */
export interface SoakOutcome {
  readonly violations: readonly string[];
  readonly counts: invariantChecker.InvariantChecker['counts'];
  readonly injectedFaults: readonly string[];
  /** Logs of the processes, by process name. */
  readonly logs: ReadonlyMap<string, string>;
}

const CONTROL_COUNT = 3;
const INSTANCES_PER_SERVICE = 3;

/** Data centres of the instances of each service. */
const DATA_CENTRES = ['a', 'b', 'c'];
const RECOVERY_TIMEOUT_MS = 20_000;

/** Time after its kill within which a replica that lost its disk must be a voter again. */
const REPLICA_REPAIR_TIMEOUT_MS = 4_600;

async function allocatePorts(): Promise<supervisedProcess.Ports & { readonly instance: number }> {
  const [peer = 0, caller = 0, ready = 0, operator = 0, registry = 0, metrics = 0, instance = 0] =
    await freePorts.allocate(7);
  return { peer, caller, ready, operator, registry, metrics, instance };
}

/** Processes, stub instances and proxies of one run. */
class SoakEnvironment {
  readonly checker = new invariantChecker.InvariantChecker();
  readonly injectedFaults: string[] = [];
  readonly random: kumquatfront.ports.Random;
  readonly control: supervisedProcess.SupervisedProcess[] = [];
  readonly entries: supervisedProcess.SupervisedProcess[] = [];
  readonly instanceProxies: loopbackProxy.LoopbackProxy[] = [];
  readonly instances: stubInstance.StubInstance[] = [];
  private readonly folder: string;

  constructor(
    options: SoakOptions,
    readonly ports: supervisedProcess.Ports & { readonly instance: number },
  ) {
    this.random = kumquatfront.seededRandom.create(options.seed);
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-soak-'));
    const seeds = Array.from({ length: CONTROL_COUNT }, (_none, index) => `127.0.22.${index + 1}`);
    for (let index = 1; index <= CONTROL_COUNT; index += 1) {
      this.control.push(new supervisedProcess.SupervisedProcess(this.folder, 'control', index, ports, seeds));
    }
    for (let index = 1; index <= options.entries; index += 1) {
      this.entries.push(new supervisedProcess.SupervisedProcess(this.folder, 'entry', index, ports, seeds));
    }
  }

  get processes(): readonly supervisedProcess.SupervisedProcess[] {
    return [...this.control, ...this.entries];
  }

  startInstances(createProxy: (from: string, to: string) => loopbackProxy.LoopbackProxy): void {
    const port = this.ports.instance;
    for (const [position, service] of (['app', 'llm'] as const).entries()) {
      for (let index = 1; index <= INSTANCES_PER_SERVICE; index += 1) {
        const listenAddress = `127.0.25.${position * 10 + index}:${port}`;
        const advertisedAddress = `127.0.26.${position * 10 + index}:${port}`;
        this.instanceProxies.push(createProxy(advertisedAddress, listenAddress));
        const controlAddresses = (): readonly string[] =>
          this.control.map((member) => `${member.host}:${this.ports.operator}`);
        const identity = `${service}-${index}`;
        const dataCentre = DATA_CENTRES[index - 1] ?? 'a';
        this.instances.push(
          new stubInstance.StubInstance({
            identity,
            service,
            dataCentre,
            listenAddress,
            advertisedAddress,
            controlAddresses,
            checker: this.checker,
          }),
        );
      }
    }
  }

  pickRandom<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.random.next() * items.length)];
    if (item === undefined) {
      throw new Error('cannot pick from an empty list');
    }
    return item;
  }

  /** Kills all entries at once, again and again; each is restarted like any process that exits. */
  async killEntriesTogether(interval: number, endsAt: number): Promise<void> {
    for (;;) {
      await sleep.forMilliseconds(interval);
      if (Date.now() >= endsAt) {
        return;
      }
      this.injectedFaults.push('kill of all entries');
      for (const entry of this.entries) {
        entry.signal('SIGKILL');
      }
    }
  }

  /** Injects one random fault and reverts it after a random duration. */
  async injectFault(): Promise<void> {
    const duration = 200 + this.random.next() * 1_800;
    const kind = this.pickRandom([
      'kill',
      'freeze',
      'term',
      'cut',
      'runnerLink',
      'loseDisk',
      'hup',
      'reset',
    ] as const);
    const target = this.pickRandom(this.processes);
    const state = this.pickRandom(['delayed', 'silent', 'forwardOnly', 'backwardOnly', 'refused'] as const);
    this.injectedFaults.push(`${kind} ${target.name} ${state} ${Math.round(duration)}`);
    switch (kind) {
      case 'kill':
        target.signal('SIGKILL');
        break;
      case 'freeze':
        target.signal('SIGSTOP');
        await sleep.forMilliseconds(duration);
        target.signal('SIGCONT');
        break;
      case 'term':
        target.signal('SIGTERM');
        await sleep.forMilliseconds(duration);
        target.signal('SIGKILL');
        break;
      case 'cut':
        target.proxy.state = state;
        await sleep.forMilliseconds(duration);
        target.proxy.heal();
        break;
      case 'runnerLink': {
        const proxy = this.pickRandom(this.instanceProxies);
        proxy.state = state;
        await sleep.forMilliseconds(duration);
        proxy.heal();
        break;
      }
      case 'loseDisk':
        await this.loseDisk();
        break;
      case 'hup':
        target.signal('SIGHUP');
        break;
      case 'reset':
        target.proxy.reset();
        break;
    }
  }

  private diskLossInProgress = false;

  /** Loses one disk at a time, as three replicas tolerate a single loss. */
  private async loseDisk(): Promise<void> {
    if (this.diskLossInProgress) {
      return;
    }
    this.diskLossInProgress = true;
    await this.waitUntilReplicasUpToDate();
    this.pickRandom(this.control).loseDisk();
    // The next loss may follow as soon as the repair timeout has passed.
    await sleep.forMilliseconds(REPLICA_REPAIR_TIMEOUT_MS);
    await this.waitUntilReplicasUpToDate();
    this.diskLossInProgress = false;
  }

  /** Waits until every control replica answers a read, and so has applied all acknowledged changes. */
  private async waitUntilReplicasUpToDate(): Promise<void> {
    const endsAt = Date.now() + RECOVERY_TIMEOUT_MS;
    while (Date.now() < endsAt) {
      const answers = await Promise.all(this.control.map((member) => this.answersReads(member.host)));
      if (answers.every((answer) => answer)) {
        return;
      }
      await sleep.forMilliseconds(200);
    }
  }

  private async answersReads(host: string): Promise<boolean> {
    const { operator } = this.ports;
    const result = await clients.call({ host, port: operator, path: '/-/config/fetch', timeout: 1_000 }, '');
    return result.status === 200;
  }

  async stop(): Promise<void> {
    for (const instance of this.instances) {
      instance.close();
    }
    for (const member of this.processes) {
      member.stop();
    }
    for (const proxy of this.instanceProxies) {
      proxy.close();
    }
    await sleep.forMilliseconds(300);
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Polls a condition until it holds; false on timeout. */
async function waitUntil(condition: () => Promise<boolean>): Promise<boolean> {
  const endsAt = Date.now() + RECOVERY_TIMEOUT_MS;
  while (Date.now() < endsAt) {
    if (await condition()) {
      return true;
    }
    await sleep.forMilliseconds(150);
  }
  return false;
}

/** Waits until the clients have been served more than 20 further requests; false on timeout. */
async function waitForServedRequests(environment: SoakEnvironment): Promise<boolean> {
  const servedBefore = environment.checker.counts.served;
  return waitUntil(() => Promise.resolve(environment.checker.counts.served > servedBefore + 20));
}

/**
 * Executes one soak run.
 *
 * @param createProxy - creates a proxy between two addresses
 * @returns the violations found, with the logs of the processes
 * @example
 * ```ts
 * const outcome = await soakRun.run({ seed: 7, faultSeconds: 8, entries: 2, clients: 6 }, createProxy);
 * ```
 */
export async function run(
  options: SoakOptions,
  createProxy: (from: string, to: string) => loopbackProxy.LoopbackProxy,
): Promise<SoakOutcome> {
  const environment = new SoakEnvironment(options, await allocatePorts());
  environment.startInstances(createProxy);
  const controlHosts = environment.control.map((member) => member.host);
  const entryHosts = environment.entries.map((member) => member.host);
  const operator = new clients.Operator(
    controlHosts,
    environment.ports.operator,
    environment.random,
    environment.checker,
  );
  const { violations } = environment.checker;
  if (!(await waitUntil(() => operator.replaceConfiguration()))) {
    violations.push('the first configuration was never acknowledged');
  }
  // Entries refuse requests until they have received the configuration, which is valid, so clients may start at once.
  const callers = Array.from(
    { length: options.clients },
    () => new clients.Client(entryHosts, environment.ports.caller, environment.random, environment.checker),
  );
  if (!(await waitForServedRequests(environment))) {
    violations.push('no request was served before the fault phase');
  }
  const crashing = new crashingService.CrashingService({
    entries: entryHosts,
    callerPort: environment.ports.caller,
    instancePort: environment.ports.instance,
    controlAddresses: () => controlHosts.map((host) => `${host}:${environment.ports.operator}`),
    checker: environment.checker,
    random: kumquatfront.seededRandom.create(options.seed + 1_000_000),
  });
  const streams = new versionedStreams.VersionedStreams({
    entries: environment.entries,
    callerPort: environment.ports.caller,
    instancePort: environment.ports.instance,
    controlAddresses: () => controlHosts.map((host) => `${host}:${environment.ports.operator}`),
    checker: environment.checker,
    random: kumquatfront.seededRandom.create(options.seed + 3_000_000),
  });
  const { checker, instances } = environment;
  const evacuation = new evacuationCheck.EvacuationCheck({ operator, checker, instances, waitUntil });
  const cuts = new upstreamCuts.UpstreamCuts({
    entries: environment.entries,
    callerPort: environment.ports.caller,
    random: kumquatfront.seededRandom.create(options.seed + 2_000_000),
    checker,
  });
  const orders = new lateOrders.LateOrders({
    ...{
      control: environment.control,
      operatorPort: environment.ports.operator,
      instances,
      checker,
      waitUntil,
    },
    random: kumquatfront.seededRandom.create(options.seed + 4_000_000),
  });
  await evacuation.begin();
  void operator.run();
  const cutsEnded = cuts.run();
  const ordersEnded = orders.run();
  const endsAt = Date.now() + options.faultSeconds * 1_000;
  const pendingFaults: Promise<void>[] = [];
  if (options.herdKillSeconds !== undefined) {
    pendingFaults.push(environment.killEntriesTogether(options.herdKillSeconds * 1_000, endsAt));
  }
  while (Date.now() < endsAt) {
    pendingFaults.push(environment.injectFault());
    await sleep.forMilliseconds(200 + environment.random.next() * 900);
  }
  cuts.stop();
  orders.stop();
  await Promise.all([...pendingFaults, cutsEnded, ordersEnded, streams.endFaults()]);
  operator.stop();
  if (!(await waitUntil(() => operator.replaceConfiguration()))) {
    violations.push('no configuration was acknowledged after the fault phase');
  }
  if (!(await waitUntil(() => operator.readConfiguration()))) {
    violations.push('no read was answered after the fault phase');
  }
  if (!(await waitForServedRequests(environment))) {
    violations.push('no request was served after the fault phase');
  }
  await orders.check();
  await evacuation.check();
  await cuts.check();
  await streams.check();
  streams.stop();
  await backPressure.check({ checker, instances, entryCount: entryHosts.length, waitUntil });
  await crashing.checkQuarantine();
  await crashing.checkPartQuarantine();
  crashing.stop();
  for (const caller of callers) {
    caller.stop();
  }
  await sleep.forMilliseconds(500);
  for (const member of environment.processes) {
    if (member.unexpectedExits > 0) {
      violations.push(`${member.name} exited unexpectedly ${member.unexpectedExits} times`);
    }
  }
  const logs = new Map(environment.processes.map((member) => [member.name, member.log]));
  await environment.stop();
  return { violations, counts: environment.checker.counts, injectedFaults: environment.injectedFaults, logs };
}
