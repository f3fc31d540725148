/**
 * A system of real processes with lowered limits, of which one is sent requests by hostile clients.
 */
import * as crypto from 'node:crypto';
import * as fs from 'node:fs';

import * as platform from 'kumquatfront-platform';

import * as clients from './clients.js';
import * as hostileClients from './hostileClients.js';
import * as smallSystem from './smallSystem.js';
import type * as stubInstance from './stubInstance.js';
import type * as supervisedProcess from './supervisedProcess.js';

const BYTES_PER_MEGABYTE = 1_048_576;

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
    private readonly processes: smallSystem.SmallSystem,
    private readonly entry: supervisedProcess.SupervisedProcess,
    private readonly upstream: stubInstance.StubInstance,
  ) {}

  /** Starts the processes and waits until the entry serves an ordinary request. */
  static async start(): Promise<HostileSystem> {
    const processes = await smallSystem.SmallSystem.start(1, {
      heapMegabytes: HEAP_MEGABYTES,
      settings: { capacity: LIMITS },
    });
    const [entry] = processes.entries;
    if (entry === undefined) {
      throw new Error('The system has no entry.');
    }
    const upstream = processes.startUpstream('sound', 'app', '127.0.25.1');
    const system = new HostileSystem(processes, entry, upstream);
    await processes.configure();
    await smallSystem.until(async () => (await system.callEntry()) === 200);
    return system;
  }

  /** Host and port of a listener. */
  addressOf(listener: Listener): { readonly host: string; readonly port: number } {
    const { caller, ready, metrics, operator, registry } = this.processes.ports;
    const port = {
      ...{ callers: caller, ready, metrics, controlMetrics: metrics },
      ...{ operators: operator, registry },
    }[listener];
    return { host: this.processOf(listener).host, port };
  }

  private processOf(listener: Listener): supervisedProcess.SupervisedProcess {
    const isControl = listener === 'operators' || listener === 'registry' || listener === 'controlMetrics';
    return isControl ? this.processes.firstControl : this.entry;
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
    this.processes.stop();
    this.upstream.close();
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
