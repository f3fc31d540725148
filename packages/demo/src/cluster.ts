/**
 * Starts a small deployment as separate processes on loopback, and stops them.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as path from 'node:path';

import * as kumquatfront from 'kumquatfront';

import type * as deployments from './deployments.js';

/** Keys of the demonstration. */
export const keys = {
  cluster: 'demo-cluster-key-0001',
  signing: 'demo-signing-key-0001',
  upstream: 'demo-upstream-key',
  operator: 'demo-operator-key',
} as const;

/**
 * Loopback address of this process's deployments. Ports are allocated before the daemons bind them; an address per
 * process prevents other deployments and outgoing connections from taking a port in between.
 */
export const LOOPBACK =
  process.platform === 'linux'
    ? `127.${1 + ((process.pid >> 16) & 127)}.${(process.pid >> 8) & 255}.${process.pid & 255}`
    : '127.0.0.1';

const WORKSPACE = new URL('../../../', import.meta.url).pathname;
const DEFAULT_CONTROL_COUNT = 3;
const ENTRY_COUNT = 4;

/** One process of the deployment. */
export interface Member {
  readonly name: string;
  readonly child: childProcess.ChildProcess;
  readonly port: number;
}

/** A running deployment. */
export interface Cluster {
  readonly control: readonly Member[];
  readonly entries: readonly Member[];
  readonly engines: readonly Member[];
  readonly services: readonly Member[];
  readonly operatorAddresses: readonly string[];
  readonly entryAddresses: readonly string[];
  /** Folder with the agreed state of a control replica. */
  dataFolder(name: string): string;
  /** Restarts an exited process with its original arguments. */
  restart(name: string): Member;
  stop(): Promise<void>;
}

/**
 * Finds free ports by binding them temporarily.
 *
 * @param count - number of ports
 * @returns the ports
 * @example
 * ```ts
 * const [port] = await cluster.freePorts(1);
 * ```
 */
export async function freePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise<net.Server>((resolve) => {
          const server = net.createServer();
          server.listen(0, LOOPBACK, () => {
            resolve(server);
          });
        }),
    ),
  );
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise<void>((resolve) => {
          server.close(() => {
            resolve();
          });
        }),
    ),
  );
  return ports;
}

function loopbackAddress(port: number): string {
  return `${LOOPBACK}:${port}`;
}

/** Example settings of a deployment, without metrics; callers override addresses, keys and folders. */
function exampleSettings(
  deployment: deployments.Deployment,
  file: string,
  role: 'entry' | 'control',
): object {
  const folder = path.dirname(path.resolve(WORKSPACE, deployment.configurationFile));
  const settings = JSON.parse(fs.readFileSync(path.join(folder, file), 'utf8')) as Readonly<
    Record<string, object>
  >;
  return { ...settings[role], metrics: {} };
}

/** Starts, restarts and stops the processes of a deployment. */
class ProcessLauncher {
  readonly members: Member[] = [];
  private readonly startFunctions = new Map<string, () => Member>();
  private readonly folder: string;

  constructor(folder: string) {
    this.folder = folder;
    fs.mkdirSync(folder, { recursive: true });
  }

  writeSettingsFile(name: string, settings: unknown): string {
    const file = path.join(this.folder, `${name}.json`);
    fs.writeFileSync(file, JSON.stringify(settings, null, 2));
    return file;
  }

  dataFolder(name: string): string {
    return path.join(this.folder, 'data', name);
  }

  start(name: string, port: number, module: string, ...rest: readonly string[]): Member {
    this.startFunctions.set(name, () => this.start(name, port, module, ...rest));
    const log = fs.openSync(path.join(this.folder, `${name}.log`), 'a');
    const file = new URL(import.meta.resolve(module)).pathname;
    const child = childProcess.spawn(process.execPath, [file, ...rest], { stdio: ['ignore', 'ignore', log] });
    fs.closeSync(log);
    const member = { name, child, port };
    this.members.push(member);
    return member;
  }

  restart(name: string): Member {
    const start = this.startFunctions.get(name);
    if (start === undefined) {
      throw new Error(`There is no process ${name}.`);
    }
    return start();
  }

  async stop(): Promise<void> {
    for (const { child } of this.members) {
      if (child.exitCode === null && child.signalCode === null) {
        child.kill('SIGKILL');
        await new Promise((resolve) => child.once('exit', resolve));
      }
    }
  }
}

/**
 * Starts a deployment: control replicas, four entries, its engines and services.
 *
 * @param folder - folder for settings, logs and data
 * @param controlCount - number of control replicas; three by default
 * @example
 * ```ts
 * const running = await cluster.start(deployments.tuckshop, '.demo');
 * ```
 */
export async function start(
  deployment: deployments.Deployment,
  folder: string,
  controlCount = DEFAULT_CONTROL_COUNT,
): Promise<Cluster> {
  const upstreamCount = deployment.engines.count + deployment.services.count;
  const ports = [...(await freePorts(controlCount * 2 + ENTRY_COUNT * 2 + upstreamCount))];
  const takePorts = (count: number): readonly number[] => ports.splice(0, count);
  const controlPeers = takePorts(controlCount).map(loopbackAddress);
  const operatorAddresses = takePorts(controlCount).map(loopbackAddress);
  const entryPeers = takePorts(ENTRY_COUNT).map(loopbackAddress);
  const entryPorts = takePorts(ENTRY_COUNT);
  const launcher = new ProcessLauncher(folder);
  const dataCentreOf = (position: number): string =>
    deployment.dataCentres[position % deployment.dataCentres.length] ?? '';

  const control = controlPeers.map((peerAddress, position) => {
    const name = `control-${position + 1}`;
    const file = launcher.writeSettingsFile(name, {
      control: {
        ...exampleSettings(deployment, 'control-1.json', 'control'),
        name,
        dataCentre: dataCentreOf(position),
        operatorAddress: operatorAddresses[position],
        peerAddress,
        control: controlPeers,
        clusterKey: keys.cluster,
        operatorKeyHash: kumquatfront.trafficResolver.hashKey(keys.operator),
        dataFolder: launcher.dataFolder(name),
      },
    });
    return launcher.start(name, 0, 'kumquatfront-daemons/control', '--settings', file);
  });
  const entries = entryPorts.map((port, position) => {
    const name = `entry-${position + 1}`;
    const file = launcher.writeSettingsFile(name, {
      entry: {
        ...exampleSettings(deployment, 'entry-1.json', 'entry'),
        name,
        dataCentre: dataCentreOf(position),
        callerAddress: loopbackAddress(port),
        peerAddress: entryPeers[position],
        entries: entryPeers,
        control: controlPeers,
        clusterKey: keys.cluster,
        signingKey: keys.signing,
        upstreamKeyHash: kumquatfront.trafficResolver.hashKey(keys.upstream),
        addressLife: 2_000,
        relay: { stallTimeout: 1_500 },
      },
    });
    return launcher.start(name, port, 'kumquatfront-daemons/entry', '--settings', file);
  });
  const entryAddresses = entryPorts.map((port) => `http://${loopbackAddress(port)}`);
  const startUpstream = (kind: 'engine' | 'plainService', pool: string, position: number): Member => {
    const name = `${pool}-${position + 1}`;
    const [port = 0] = takePorts(1);
    const options = {
      kind,
      name,
      port,
      dataCentre: dataCentreOf(position),
      labels: { pool },
      host: LOOPBACK,
      entries: entryAddresses,
      upstreamKey: keys.upstream,
    };
    return launcher.start(name, port, 'kumquatfront-stand-ins/upstreamProcess', JSON.stringify(options));
  };
  const engines = Array.from({ length: deployment.engines.count }, (_, position) =>
    startUpstream('engine', deployment.engines.pool, position),
  );
  const services = Array.from({ length: deployment.services.count }, (_, position) =>
    startUpstream('plainService', deployment.services.pool, position),
  );
  return {
    control,
    entries,
    engines,
    services,
    operatorAddresses,
    entryAddresses,
    dataFolder: (name) => launcher.dataFolder(name),
    restart: (name) => launcher.restart(name),
    stop: () => launcher.stop(),
  };
}
