/**
 * Control as real processes with real syncs: changes a second, their latency, processor time, and the added
 * latency of a claim.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as kumquatfront from 'kumquatfront';
import * as command from 'kumquatfront-command';
import * as demo from 'kumquatfront-demo';

/** Figures of the processes. */
export interface ControlProcesses {
  readonly changesPerSecond: number;
  readonly changeLatency: { readonly p50: number; readonly p99: number };
  /** Latency of one change at a time. */
  readonly loneLatency: { readonly p50: number; readonly p99: number };
  /** Share of a core that each idle replica takes. */
  readonly idleCpu: readonly number[];
  /** Processor milliseconds of the leader for one change. */
  readonly leaderCpuPerChange: number;
  readonly residentMegabytes: readonly number[];
  readonly entryIdleCpu: number;
  readonly entryResidentMegabytes: number;
}

const IDLE = 10_000;
const PARALLEL = 32;
const PARALLEL_CHANGES = 1_500;
const LONE_CHANGES = 200;
const TICKS_PER_SECOND = 100;
const PAGE = 4_096;
const { clock, scheduler } = kumquatfront.systemTime;

function cpuSeconds(pid: number): number {
  const fields = fs.readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

function residentMegabytes(pid: number): number {
  const pages = Number(fs.readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return (pages * PAGE) / 1e6;
}

function quantiles(values: readonly number[]): { readonly p50: number; readonly p99: number } {
  const sorted = [...values].sort((left, right) => left - right);
  const at = (share: number): number => sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
  return { p50: at(0.5), p99: at(0.99) };
}

async function changeMany(
  client: command.operatorClient.OperatorClient,
  from: number,
  count: number,
  parallel: number,
): Promise<readonly number[]> {
  const latencies: number[] = [];
  let next = from;
  const worker = async (): Promise<void> => {
    while (next < from + count) {
      const name = `market-${next++}`;
      const startedAt = clock.now();
      await client.put({ kind: 'market', name, body: { labels: { region: name } } }, 0);
      latencies.push(clock.now() - startedAt);
    }
  };
  await Promise.all(Array.from({ length: parallel }, worker));
  return latencies;
}

async function measureRunning(running: demo.cluster.Cluster): Promise<ControlProcesses> {
  const pids = running.control.map((member) => member.child.pid ?? 0);
  const entryPid = running.entries[0]?.child.pid ?? 0;
  const before = [...pids, entryPid].map(cpuSeconds);
  await new Promise<void>((resolve) => {
    scheduler.after(IDLE, resolve);
  });
  const idle = [...pids, entryPid].map(
    (pid, position) => (cpuSeconds(pid) - (before[position] ?? 0)) / (IDLE / 1_000),
  );
  const client = new command.operatorClient.OperatorClient({
    control: running.operatorAddresses,
    key: demo.cluster.keys.operator,
    random: kumquatfront.seededRandom.createUnpredictable(),
    time: kumquatfront.systemTime,
  });
  const status = (await client.status()).unwrap();
  const leader = status.replicas.find((replica) => replica.replica.role === 'leader')?.name;
  const leaderPid = running.control.find((member) => member.name === leader)?.child.pid ?? 0;
  const lone = await changeMany(client, 0, LONE_CHANGES, 1);
  const cpuBefore = cpuSeconds(leaderPid);
  const startedAt = clock.now();
  const latencies = await changeMany(client, LONE_CHANGES, PARALLEL_CHANGES, PARALLEL);
  const seconds = (clock.now() - startedAt) / 1_000;
  const leaderCpu = cpuSeconds(leaderPid) - cpuBefore;
  await client.close();
  return {
    changesPerSecond: PARALLEL_CHANGES / seconds,
    changeLatency: quantiles(latencies),
    loneLatency: quantiles(lone),
    idleCpu: idle.slice(0, -1),
    entryIdleCpu: idle.at(-1) ?? 0,
    leaderCpuPerChange: (leaderCpu * 1_000) / PARALLEL_CHANGES,
    residentMegabytes: pids.map(residentMegabytes),
    entryResidentMegabytes: residentMegabytes(entryPid),
  };
}

/**
 * Starts three replicas and four entries, measures, and ends them.
 *
 * @returns the figures
 * @example
 * ```ts
 * const figures = await controlProcesses.measure();
 * ```
 */
export async function measure(): Promise<ControlProcesses> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-'));
  const deployment = {
    ...demo.deployments.tuckshop,
    engines: { pool: 'ledger-llm', count: 0 },
    services: { pool: 'tuckshop-app', count: 0 },
  };
  const running = await demo.cluster.start(deployment, folder);
  try {
    await demo.configuring.apply(running, path.resolve(deployment.configurationFile));
    return await measureRunning(running);
  } finally {
    await running.stop();
    fs.rmSync(folder, { recursive: true, force: true });
  }
}
