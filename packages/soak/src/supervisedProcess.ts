/**
 * Runs an entry or a control replica as a child process on its own loopback address, with a proxy in front of its peer
 * port, and restarts it when it exits.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';

import * as linkCut from './linkCut.js';
import * as loopbackProxy from './loopbackProxy.js';

const PROGRAM_FILE = url.fileURLToPath(import.meta.resolve('kumquatfront-platform/program'));
const LINK_CUT_FILE = url.fileURLToPath(new URL('./linkCut.js', import.meta.url));

/** Hosts of the upstreams and of the proxies in front of them. */
const UPSTREAM_HOSTS = '127.0.25.,127.0.26.';

const RESTART_DELAY_MS = 150;
/** Limits of the heap in the deploy file, in megabytes. */
const DEFAULT_HEAP_MEGABYTES = 90;
const YOUNG_HEAP_MEGABYTES = 8;
const MAXIMUM_LOG_LENGTH = 2_000_000;

/** Ports; the same on every loopback address. */
export interface Ports {
  readonly peer: number;
  readonly caller: number;
  readonly ready: number;
  readonly operator: number;
  readonly registry: number;
  readonly metrics: number;
}

/** Limits of one process that differ from those of the others. */
export interface ProcessLimits {
  /** Size of the JavaScript heap, in megabytes. */
  readonly heapMegabytes?: number;
  /** Fields of the settings file that replace or extend the usual ones. */
  readonly settings?: object;
  /** Further options of Node.js. */
  readonly nodeOptions?: readonly string[];
  /** Options of the heap by role, in place of those of the deploy file of this tree. */
  readonly heapOptions?: Readonly<Record<'entry' | 'control', readonly string[]>>;
  /** The program, if it is not the one of this tree. */
  readonly programFile?: string;
}

/** A child process that is restarted whenever it exits. */
export class SupervisedProcess {
  readonly name: string;
  /** Address that the process binds. */
  readonly host: string;
  readonly proxy: loopbackProxy.LoopbackProxy;
  log = '';
  /** Number of exits that were not caused by a signal of the soak. */
  unexpectedExits = 0;
  private logLengthAtStart = 0;
  private settingsAfterFirstStart: object | undefined;
  private child: childProcess.ChildProcess | undefined;
  private readonly settingsFile: string;
  private readonly dataFolder: string;
  private readonly cutFile: string;
  private exitExpected = false;
  private stopped = false;

  constructor(
    folder: string,
    private readonly role: 'entry' | 'control',
    index: number,
    ports: Ports,
    seeds: readonly string[],
    private readonly limits: ProcessLimits = {},
  ) {
    this.name = `${role}-${index}`;
    const net = role === 'control' ? 21 : 23;
    this.host = `127.0.${net}.${index}`;
    const proxyHost = `127.0.${net + 1}.${index}`;
    this.proxy = new loopbackProxy.LoopbackProxy(`${proxyHost}:${ports.peer}`, `${this.host}:${ports.peer}`);
    this.dataFolder = path.join(folder, this.name);
    this.settingsFile = path.join(folder, `${this.name}.json`);
    this.cutFile = path.join(folder, `${this.name}.cut`);
    this.setUpstreamCut('');
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
      ...this.limits.settings,
    };
    this.writeSettings(settings);
    this.start();
    this.settingsAfterFirstStart = { ...settings, firstStart: false };
  }

  private writeSettings(settings: object): void {
    fs.writeFileSync(this.settingsFile, JSON.stringify(settings));
  }

  private start(): void {
    const { heapMegabytes = DEFAULT_HEAP_MEGABYTES, nodeOptions: furtherOptions = [] } = this.limits;
    const heapOptions = this.limits.heapOptions?.[this.role] ?? [
      `--max-old-space-size=${heapMegabytes}`,
      `--max-semi-space-size=${YOUNG_HEAP_MEGABYTES}`,
    ];
    const nodeOptions = [...heapOptions, ...furtherOptions, '--import', LINK_CUT_FILE];
    const { programFile = PROGRAM_FILE } = this.limits;
    const child = childProcess.spawn(process.execPath, [...nodeOptions, programFile], {
      env: {
        ...process.env,
        KUMQUATFRONT_CONFIG: this.settingsFile,
        [linkCut.FILE_VARIABLE]: this.cutFile,
        [linkCut.HOSTS_VARIABLE]: UPSTREAM_HOSTS,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.logLengthAtStart = this.log.length;
    const appendLog = (bytes: Buffer): void => {
      // Only the first start may bootstrap the cluster; a restarted process must join it.
      if (this.settingsAfterFirstStart !== undefined && bytes.includes('event=started')) {
        this.writeSettings(this.settingsAfterFirstStart);
        this.settingsAfterFirstStart = undefined;
      }
      this.log += bytes.toString();
      const excess = Math.max(0, this.log.length - MAXIMUM_LOG_LENGTH);
      this.log = this.log.slice(excess);
      this.logLengthAtStart = Math.max(0, this.logLengthAtStart - excess);
    };
    child.stdout.on('data', appendLog);
    child.stderr.on('data', appendLog);
    child.on('exit', () => {
      this.unexpectedExits += this.exitExpected ? 0 : 1;
      this.exitExpected = false;
      if (!this.stopped) {
        setTimeout(() => {
          // A process started after the end of the run would never be killed, and would keep the soak from ending.
          if (!this.stopped) {
            this.start();
          }
        }, RESTART_DELAY_MS);
      }
    });
  }

  /** Identifier of the running child process; undefined before the first start. */
  get processId(): number | undefined {
    return this.child?.pid;
  }

  /** Peak of the resident memory of the child process, as the kernel counts it. */
  get peakBytes(): number {
    const status = fs.readFileSync(`/proc/${String(this.child?.pid)}/status`, 'utf8');
    return Number(/VmHWM:\s*(\d+)/.exec(status)?.[1] ?? 0) * 1_024;
  }

  /** Sends a signal to the child process. */
  signal(signal: NodeJS.Signals): void {
    // Until the program installs its handler, SIGHUP terminates the process by default.
    if (signal === 'SIGHUP' && !this.log.slice(this.logLengthAtStart).includes('event=started')) {
      return;
    }
    this.exitExpected = this.exitExpected || signal === 'SIGKILL' || signal === 'SIGTERM';
    this.child?.kill(signal);
  }

  /** Cuts the links of the process to all upstreams; an empty form restores them. */
  setUpstreamCut(form: linkCut.CutForm | ''): void {
    // Renamed into place: the process must not read a file that is half written.
    const newFile = `${this.cutFile}.new`;
    fs.writeFileSync(newFile, form);
    fs.renameSync(newFile, this.cutFile);
  }

  /** Simulates a disk loss: kills the process and deletes its data folder before the restart. */
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
