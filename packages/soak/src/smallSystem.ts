/**
 * Three control replicas and some entries: real processes with loopback addresses, ports and a folder of their own.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as clients from './clients.js';
import * as freePorts from './freePorts.js';
import * as invariantChecker from './invariantChecker.js';
import * as sleep from './sleep.js';
import * as stubInstance from './stubInstance.js';
import * as supervisedProcess from './supervisedProcess.js';

const CONTROL_COUNT = 3;
const PREPARATION_ATTEMPTS = 100;

/** Ports of the processes, and the port of all upstreams. */
export interface SystemPorts extends supervisedProcess.Ports {
  readonly instance: number;
}

/** Waits until a call succeeds. */
export async function until(isDone: () => Promise<boolean>): Promise<void> {
  for (let attempt = 0; attempt < PREPARATION_ATTEMPTS; attempt += 1) {
    if (await isDone()) {
      return;
    }
    await sleep.forMilliseconds(100);
  }
  throw new Error('The system did not start.');
}

/** The processes; see the module comment. */
export class SmallSystem {
  private constructor(
    private readonly folder: string,
    readonly ports: SystemPorts,
    readonly control: readonly supervisedProcess.SupervisedProcess[],
    readonly entries: readonly supervisedProcess.SupervisedProcess[],
  ) {}

  /**
   * Starts the processes.
   *
   * @example
   * ```ts
   * const system = await smallSystem.SmallSystem.start(2, { heapMegabytes: 64 });
   * await system.configure();
   * ```
   */
  static async start(entryCount: number, limits: supervisedProcess.ProcessLimits = {}): Promise<SmallSystem> {
    const [peer = 0, caller = 0, ready = 0, operator = 0, registry = 0, metrics = 0, instance = 0] =
      await freePorts.allocate(7);
    const ports = { peer, caller, ready, operator, registry, metrics, instance };
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-system-'));
    const seeds = Array.from({ length: CONTROL_COUNT }, (_none, index) => `127.0.22.${index + 1}`);
    const start = (role: 'control' | 'entry', count: number): supervisedProcess.SupervisedProcess[] =>
      Array.from(
        { length: count },
        (_none, index) =>
          new supervisedProcess.SupervisedProcess(folder, role, index + 1, ports, seeds, limits),
      );
    return new SmallSystem(folder, ports, start('control', CONTROL_COUNT), start('entry', entryCount));
  }

  /** The first control replica. */
  get firstControl(): supervisedProcess.SupervisedProcess {
    const [first] = this.control;
    if (first === undefined) {
      throw new Error('The system has no control replica.');
    }
    return first;
  }

  /** Address of the first control replica for operators and announcements. */
  get controlAddress(): string {
    return `${this.firstControl.host}:${this.ports.operator}`;
  }

  /** Starts a sound upstream that announces itself. */
  startUpstream(
    identity: string,
    service: stubInstance.StubInstanceOptions['service'],
    host: string,
  ): stubInstance.StubInstance {
    const address = `${host}:${this.ports.instance}`;
    return new stubInstance.StubInstance({
      ...{ identity, service, listenAddress: address, advertisedAddress: address },
      checker: new invariantChecker.InvariantChecker(),
      controlAddresses: () => this.control.map(({ host: control }) => `${control}:${this.ports.operator}`),
    });
  }

  /** Applies the configuration of the tests as soon as control acknowledges it. */
  async configure(): Promise<void> {
    const { host } = this.firstControl;
    const options = { host, port: this.ports.operator, method: 'POST', path: '/-/config/replace' };
    await until(async () => {
      const { status } = await clients.call({ ...options, timeout: 1_000 }, clients.configurationText(1));
      return status === 200;
    });
  }

  /** Ends the processes and deletes what they have written. */
  stop(): void {
    for (const process of [...this.control, ...this.entries]) {
      process.stop();
    }
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}
