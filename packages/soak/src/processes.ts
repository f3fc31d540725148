/**
 * The real programs as processes on loopback addresses of their own, each behind a proxy for its peers.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';

import * as loopbackProxy from './loopbackProxy.js';

const PROGRAM = url.fileURLToPath(import.meta.resolve('kumquatfront-platform/program'));
const RESTART_MS = 150;
const LOG_KEPT = 400_000;

/** Ports, the same on every address. */
export interface Ports {
  readonly peer: number;
  readonly caller: number;
  readonly ready: number;
  readonly operator: number;
  readonly registry: number;
  readonly metrics: number;
}

/** One program that is started again whenever it ends. */
export class SupervisedProcess {
  readonly name: string;
  /** Where the process itself listens. */
  readonly host: string;
  readonly proxy: loopbackProxy.LoopbackProxy;
  log = '';
  /** Ends that nobody asked for. */
  unaskedEnds = 0;
  private logAtStart = 0;
  private later: object | undefined;
  private child: childProcess.ChildProcess | undefined;
  private readonly settingsFile: string;
  private readonly dataFolder: string;
  private asked = false;
  private stopped = false;

  constructor(
    folder: string,
    role: 'entry' | 'control',
    index: number,
    ports: Ports,
    seeds: readonly string[],
  ) {
    this.name = `${role}-${index}`;
    const net = role === 'control' ? 21 : 23;
    this.host = `127.0.${net}.${index}`;
    const proxyHost = `127.0.${net + 1}.${index}`;
    this.proxy = new loopbackProxy.LoopbackProxy(`${proxyHost}:${ports.peer}`, `${this.host}:${ports.peer}`);
    this.dataFolder = path.join(folder, this.name);
    this.settingsFile = path.join(folder, `${this.name}.json`);
    const settings = {
      name: this.name,
      role,
      dataCentre: 'a',
      address: proxyHost,
      listenAddress: this.host,
      peerPort: ports.peer,
      seeds: seeds.map((seed) => `${seed}:${ports.operator}`),
      firstStart: true,
      toleratedLosses: 1,
      dataFolder: role === 'control' ? this.dataFolder : '',
      callerAddress: `${this.host}:${ports.caller}`,
      readinessAddress: `${this.host}:${ports.ready}`,
      operatorAddress: `${this.host}:${ports.operator}`,
      registryAddress: `${this.host}:${ports.registry}`,
      metricsPort: ports.metrics,
      addressLifeSeconds: 1,
      stopGraceSeconds: 4,
      retries: { ratio: 0.2, slack: 50, windowSeconds: 10 },
    };
    this.write(settings);
    this.start();
    this.later = { ...settings, firstStart: false };
  }

  private write(settings: object): void {
    fs.writeFileSync(this.settingsFile, JSON.stringify(settings));
  }

  private start(): void {
    const child = childProcess.spawn(process.execPath, ['--max-old-space-size=90', PROGRAM], {
      env: { ...process.env, KUMQUATFRONT_CONFIG: this.settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.logAtStart = this.log.length;
    const keep = (bytes: Buffer): void => {
      // Only the very first start founds a system; whoever starts again may only join.
      if (this.later !== undefined && bytes.includes('event=started')) {
        this.write(this.later);
        this.later = undefined;
      }
      this.log += bytes.toString();
      const tooLong = Math.max(0, this.log.length - LOG_KEPT);
      this.log = this.log.slice(tooLong);
      this.logAtStart = Math.max(0, this.logAtStart - tooLong);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    child.on('exit', () => {
      this.unaskedEnds += this.asked ? 0 : 1;
      this.asked = false;
      if (!this.stopped) {
        setTimeout(() => {
          this.start();
        }, RESTART_MS);
      }
    });
  }

  /** Sends a signal to this process alone, by its id. */
  signal(signal: NodeJS.Signals): void {
    // Before any code of the program runs, this signal ends every process; nothing can be promised then.
    if (signal === 'SIGHUP' && !this.log.slice(this.logAtStart).includes('event=started')) {
      return;
    }
    this.asked = this.asked || signal === 'SIGKILL' || signal === 'SIGTERM';
    this.child?.kill(signal);
  }

  /** Loses its disk: killed, and its folder is empty when it starts again. */
  loseDisk(): void {
    this.signal('SIGKILL');
    fs.rmSync(this.dataFolder, { recursive: true, force: true });
  }

  stop(): void {
    this.stopped = true;
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    this.proxy.close();
  }
}
