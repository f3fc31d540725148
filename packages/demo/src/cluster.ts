/**
 * Starts a small deployment as separate processes on loopback, and ends exactly those.
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
 * Loopback address of this process's deployments. Ports are chosen before their daemons bind them; on an address
 * of its own, no other deployment and no outgoing connection of the machine can take one in between.
 */
export const LOOPBACK =
  process.platform === 'linux'
    ? `127.${1 + ((process.pid >> 16) & 127)}.${(process.pid >> 8) & 255}.${process.pid & 255}`
    : '127.0.0.1';

const WORKSPACE = new URL('../../../', import.meta.url).pathname;
const CONTROL_COUNT = 3;
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
  /** Folder of a control replica's agreed state. */
  dataFolder(name: string): string;
  /** Starts a process again that has ended, as it was started. */
  restart(name: string): Member;
  stop(): Promise<void>;
}

/**
 * Finds free ports by binding them for a moment.
 *
 * @param count - how many
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

function local(port: number): string {
  return `${LOOPBACK}:${port}`;
}

/** The example settings of a deployment; addresses, keys and folders are replaced by those of this machine. */
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

/** Starts processes and remembers them. */
class Starter {
  readonly members: Member[] = [];
  private readonly started = new Map<string, () => Member>();
  private readonly folder: string;

  constructor(folder: string) {
    this.folder = folder;
    fs.mkdirSync(folder, { recursive: true });
  }

  settingsFile(name: string, settings: unknown): string {
    const file = path.join(this.folder, `${name}.json`);
    fs.writeFileSync(file, JSON.stringify(settings, null, 2));
    return file;
  }

  dataFolder(name: string): string {
    return path.join(this.folder, 'data', name);
  }

  start(name: string, port: number, module: string, ...rest: readonly string[]): Member {
    this.started.set(name, () => this.start(name, port, module, ...rest));
    const log = fs.openSync(path.join(this.folder, `${name}.log`), 'a');
    const file = new URL(import.meta.resolve(module)).pathname;
    const child = childProcess.spawn(process.execPath, [file, ...rest], { stdio: ['ignore', 'ignore', log] });
    fs.closeSync(log);
    const member = { name, child, port };
    this.members.push(member);
    return member;
  }

  restart(name: string): Member {
    const start = this.started.get(name);
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
 * @param deployment - what to start
 * @param folder - where settings, logs and data go
 * @param controlCount - control replicas; three where absent
 * @returns the running deployment
 * @example
 * ```ts
 * const running = await cluster.start(deployments.tuckshop, '.demo');
 * ```
 */
export async function start(
  deployment: deployments.Deployment,
  folder: string,
  controlCount = CONTROL_COUNT,
): Promise<Cluster> {
  const upstreamCount = deployment.engines.count + deployment.services.count;
  const ports = [...(await freePorts(controlCount * 2 + ENTRY_COUNT * 2 + upstreamCount))];
  const take = (count: number): readonly number[] => ports.splice(0, count);
  const controlPeers = take(controlCount).map(local);
  const operatorAddresses = take(controlCount).map(local);
  const entryPeers = take(ENTRY_COUNT).map(local);
  const entryPorts = take(ENTRY_COUNT);
  const starter = new Starter(folder);
  const centreOf = (position: number): string =>
    deployment.dataCentres[position % deployment.dataCentres.length] ?? '';

  const control = controlPeers.map((peerAddress, position) => {
    const name = `control-${position + 1}`;
    const file = starter.settingsFile(name, {
      control: {
        ...exampleSettings(deployment, 'control-1.json', 'control'),
        name,
        dataCentre: centreOf(position),
        operatorAddress: operatorAddresses[position],
        peerAddress,
        control: controlPeers,
        clusterKey: keys.cluster,
        operatorKeyHash: kumquatfront.trafficResolver.hashKey(keys.operator),
        dataFolder: starter.dataFolder(name),
      },
    });
    return starter.start(name, 0, 'kumquatfront-daemons/control', '--settings', file);
  });
  const entries = entryPorts.map((port, position) => {
    const name = `entry-${position + 1}`;
    const file = starter.settingsFile(name, {
      entry: {
        ...exampleSettings(deployment, 'entry-1.json', 'entry'),
        name,
        dataCentre: centreOf(position),
        callerAddress: local(port),
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
    return starter.start(name, port, 'kumquatfront-daemons/entry', '--settings', file);
  });
  const entryAddresses = entryPorts.map((port) => `http://${local(port)}`);
  const upstream = (kind: 'engine' | 'plainService', pool: string, position: number): Member => {
    const name = `${pool}-${position + 1}`;
    const [port = 0] = take(1);
    const options = {
      kind,
      name,
      port,
      dataCentre: centreOf(position),
      labels: { pool },
      host: LOOPBACK,
      entries: entryAddresses,
      upstreamKey: keys.upstream,
    };
    return starter.start(name, port, 'kumquatfront-stand-ins/upstreamProcess', JSON.stringify(options));
  };
  const engines = Array.from({ length: deployment.engines.count }, (_, position) =>
    upstream('engine', deployment.engines.pool, position),
  );
  const services = Array.from({ length: deployment.services.count }, (_, position) =>
    upstream('plainService', deployment.services.pool, position),
  );
  return {
    control,
    entries,
    engines,
    services,
    operatorAddresses,
    entryAddresses,
    dataFolder: (name) => starter.dataFolder(name),
    restart: (name) => starter.restart(name),
    stop: () => starter.stop(),
  };
}
