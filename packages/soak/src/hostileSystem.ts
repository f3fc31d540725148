/**
 * A system of real processes with lowered limits, of which one is sent requests by hostile clients.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as platform from 'kumquatfront-platform';

import * as clients from './clients.js';
import * as freePorts from './freePorts.js';
import * as hostileClients from './hostileClients.js';
import * as invariantChecker from './invariantChecker.js';
import * as sleep from './sleep.js';
import * as stubInstance from './stubInstance.js';
import * as supervisedProcess from './supervisedProcess.js';

const BYTES_PER_MEGABYTE = 1_048_576;
const CONTROL_COUNT = 3;
const PREPARATION_ATTEMPTS = 100;

/** Limits of the machine in the settings of each process of the tests. */
export const LIMITS = { memoryMegabytes: 160, descriptors: 400 } as const;

/** Size of the JavaScript heap of each process of the tests, in megabytes. */
const HEAP_MEGABYTES = 64;

/** A listening address of the system. */
export type Listener = 'callers' | 'ready' | 'metrics' | 'controlMetrics' | 'operators' | 'registry';

/** What a process has used. */
export interface ResourceUse {
  readonly isSameProcess: boolean;
  /** Peak of its memory together with the bytes that have arrived for it and are not read. */
  readonly peakMegabytes: number;
  readonly peakDescriptors: number;
  /** Status of an ordinary request while the hostile connections are open. */
  readonly ordinaryStatus: number;
}

function unreadBytes(port: number): number {
  const suffix = `:${port.toString(16).toUpperCase().padStart(4, '0')}`;
  return fs
    .readFileSync('/proc/net/tcp', 'utf8')
    .split('\n')
    .map((line) => line.trim().split(/\s+/))
    .filter(([, local = '']) => local.endsWith(suffix))
    .reduce((sum, fields) => sum + Number.parseInt(fields[4]?.split(':')[1] ?? '0', 16), 0);
}

/** Samples the memory and the descriptors of a process. */
export class ResourceProbe {
  peakBytes = 0;
  peakDescriptors = 0;

  constructor(
    private readonly processId: number,
    private readonly port: number,
  ) {}

  sample(): void {
    try {
      const status = fs.readFileSync(`/proc/${this.processId}/status`, 'utf8');
      const kilobytes = (field: string): number =>
        Number(new RegExp(`${field}:\\s*(\\d+)`).exec(status)?.[1] ?? 0);
      const present = kilobytes('VmRSS') * 1_024 + unreadBytes(this.port);
      this.peakBytes = Math.max(this.peakBytes, present, kilobytes('VmHWM') * 1_024);
      const descriptors = fs.readdirSync(`/proc/${this.processId}/fd`).length;
      this.peakDescriptors = Math.max(this.peakDescriptors, descriptors);
    } catch {
      // The process is gone, which its identifier shows.
    }
  }

  get peakMegabytes(): number {
    return this.peakBytes / BYTES_PER_MEGABYTE;
  }
}

/** Three control replicas, an entry and an upstream. */
export class HostileSystem {
  private constructor(
    private readonly folder: string,
    private readonly ports: supervisedProcess.Ports,
    private readonly control: readonly supervisedProcess.SupervisedProcess[],
    private readonly entry: supervisedProcess.SupervisedProcess,
    private readonly upstream: stubInstance.StubInstance,
  ) {}

  /** Starts the processes and waits until the entry serves an ordinary request. */
  static async start(): Promise<HostileSystem> {
    const [peer = 0, caller = 0, ready = 0, operator = 0, registry = 0, metrics = 0, instance = 0] =
      await freePorts.allocate(7);
    const ports = { peer, caller, ready, operator, registry, metrics };
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-hostile-'));
    const seeds = Array.from({ length: CONTROL_COUNT }, (_none, index) => `127.0.22.${index + 1}`);
    const start = (role: 'control' | 'entry', index: number): supervisedProcess.SupervisedProcess =>
      new supervisedProcess.SupervisedProcess(folder, role, index, ports, seeds, {
        heapMegabytes: HEAP_MEGABYTES,
        settings: { capacity: LIMITS },
      });
    const control = seeds.map((_seed, index) => start('control', index + 1));
    const entry = start('entry', 1);
    const address = `127.0.25.1:${instance}`;
    const upstreamOptions = { identity: 'sound', listenAddress: address, advertisedAddress: address };
    const upstream = new stubInstance.StubInstance({
      ...upstreamOptions,
      service: 'app',
      checker: new invariantChecker.InvariantChecker(),
      controlAddresses: () => control.map(({ host }) => `${host}:${operator}`),
    });
    const system = new HostileSystem(folder, ports, control, entry, upstream);
    await system.prepare();
    return system;
  }

  /** Host and port of a listener. */
  addressOf(listener: Listener): { readonly host: string; readonly port: number } {
    const { caller, ready, metrics, operator, registry } = this.ports;
    const port = {
      ...{ callers: caller, ready, metrics, controlMetrics: metrics },
      ...{ operators: operator, registry },
    }[listener];
    return { host: this.processOf(listener).host, port };
  }

  private processOf(listener: Listener): supervisedProcess.SupervisedProcess {
    const [firstControl = this.entry] = this.control;
    const isControl = listener === 'operators' || listener === 'registry' || listener === 'controlMetrics';
    return isControl ? firstControl : this.entry;
  }

  private async prepare(): Promise<void> {
    const { host, port } = this.addressOf('operators');
    const configure = { host, port, method: 'POST', path: '/-/config/replace', timeout: 1_000 };
    await this.until(async () => (await clients.call(configure, clients.configurationText(1))).status);
    await this.until(() => this.callEntry());
  }

  private async until(call: () => Promise<number>): Promise<void> {
    for (let attempt = 0; attempt < PREPARATION_ATTEMPTS; attempt += 1) {
      if ((await call()) === 200) {
        return;
      }
      await sleep.forMilliseconds(100);
    }
    throw new Error('The system did not start.');
  }

  private async callEntry(timeout = 2_000): Promise<number> {
    const { host, port } = this.addressOf('callers');
    const headers = ordinaryHeaders(timeout);
    const options = { host, port, method: 'POST', path: '/payment/x', agent: false, timeout, headers };
    const result = await clients.call(options, 'x');
    return result.complete ? result.status : 0;
  }

  /** Sends one ordinary request to a listener. */
  async callOnce(listener: Listener, timeout: number): Promise<number> {
    if (listener === 'callers') {
      return this.callEntry(timeout);
    }
    const path = {
      ready: '/-/readyz',
      metrics: '/metrics',
      controlMetrics: '/metrics',
      operators: '/-/config/fetch',
      registry: '/-/lookup?name=soak.example&zone=a&region=a',
    }[listener];
    const result = await clients.call({ ...this.addressOf(listener), path, agent: false, timeout }, '');
    return result.complete ? result.status : 0;
  }

  /** Lets a crowd send to a listener, and measures the process meanwhile. */
  async attack(
    listener: Listener,
    crowd: Omit<hostileClients.CrowdOptions, 'host' | 'port'>,
    ordinaryTimeout: number,
  ): Promise<ResourceUse> {
    const target = this.processOf(listener);
    const { processId = 0 } = target;
    const address = this.addressOf(listener);
    const probe = new ResourceProbe(processId, address.port);
    const hostile = new hostileClients.HostileCrowd({ ...crowd, ...address });
    try {
      await hostile.sendAll(() => {
        probe.sample();
      });
      const ordinaryStatus = await this.callOnce(listener, ordinaryTimeout);
      probe.sample();
      return {
        isSameProcess: target.processId === processId && target.unexpectedExits === 0,
        peakMegabytes: probe.peakMegabytes,
        peakDescriptors: probe.peakDescriptors,
        ordinaryStatus,
      };
    } finally {
      hostile.close();
    }
  }

  stop(): void {
    for (const process of [...this.control, this.entry]) {
      process.stop();
    }
    this.upstream.close();
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

function ordinaryHeaders(timeLeft: number): Record<string, string> {
  return {
    Host: 'soak.example',
    Authorization: 'Token key',
    [platform.httpNames.headers.attempt]: crypto.randomUUID(),
    [platform.httpNames.headers.timeLeft]: String(timeLeft),
  };
}
