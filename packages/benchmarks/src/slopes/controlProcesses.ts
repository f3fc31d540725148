/**
 * Measures control replicas as real processes that sync to disk: throughput and latency of changes, processor time and
 * memory, the latency that a claim adds, and recovery after a crash.
 */
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

import * as kumquatfront from 'kumquatfront';
import * as command from 'kumquatfront-command';
import * as demo from 'kumquatfront-demo';

import * as processUsage from '../processUsage.js';

/** Quantiles in milliseconds. */
export interface Quantiles {
  readonly p50: number;
  readonly p99: number;
}

/** Latency of calls through an entry, without and with a claim, sequential and concurrent. */
export interface ClaimLatency {
  readonly withoutClaim: Quantiles;
  readonly withClaim: Quantiles;
  readonly withoutClaimParallel: Quantiles;
  readonly withClaimParallel: Quantiles;
}

/** Recovery times in milliseconds. */
export interface Recovery {
  /** From SIGKILL of the leader until a change is accepted again, one value per repetition. */
  readonly newLeader: readonly number[];
  /** From the restart of a replica that missed 500 or 5000 changes until all replicas have the same state; -1 on timeout. */
  readonly catchUp500: number;
  readonly catchUp5000: number;
}

/** Results for the control replicas and one entry. */
export interface ControlProcesses {
  readonly changesPerSecond: number;
  readonly changeLatency: Quantiles;
  /** Latency of one change at a time. */
  readonly loneLatency: Quantiles;
  /** Share of a core that each idle replica uses. */
  readonly idleCpu: readonly number[];
  /** Processor milliseconds of the leader per change. */
  readonly leaderCpuPerChange: number;
  readonly residentMegabytes: readonly number[];
  readonly entryIdleCpu: number;
  readonly entryResidentMegabytes: number;
}

const IDLE_DURATION = 10_000;
const CALL_COUNT = 300;
const LEADER_KILLS = 5;
const RECOVERY_TIMEOUT = 60_000;
const CONCURRENCY = 32;
const CONCURRENT_CHANGES = 1_500;
const SEQUENTIAL_CHANGES = 200;
const { clock, scheduler } = kumquatfront.systemTime;

function quantiles(values: readonly number[]): Quantiles {
  const sorted = [...values].sort((left, right) => left - right);
  const at = (share: number): number => sorted[Math.floor((sorted.length - 1) * share)] ?? 0;
  return { p50: at(0.5), p99: at(0.99) };
}

async function applyChanges(
  client: command.operatorClient.OperatorClient,
  from: number,
  count: number,
  concurrency: number,
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
  await Promise.all(Array.from({ length: concurrency }, worker));
  return latencies;
}

function createClient(cluster: demo.cluster.Cluster): command.operatorClient.OperatorClient {
  return new command.operatorClient.OperatorClient({
    control: cluster.operatorAddresses,
    key: demo.cluster.keys.operator,
    random: kumquatfront.seededRandom.createUnpredictable(),
    time: kumquatfront.systemTime,
  });
}

async function measureCluster(cluster: demo.cluster.Cluster): Promise<ControlProcesses> {
  const pids = cluster.control.map((member) => member.child.pid ?? 0);
  const entryPid = cluster.entries[0]?.child.pid ?? 0;
  const before = [...pids, entryPid].map(processUsage.cpuSeconds);
  await new Promise<void>((resolve) => {
    scheduler.after(IDLE_DURATION, resolve);
  });
  const idle = [...pids, entryPid].map(
    (pid, position) => (processUsage.cpuSeconds(pid) - (before[position] ?? 0)) / (IDLE_DURATION / 1_000),
  );
  const client = createClient(cluster);
  const status = (await client.status()).unwrap();
  const leader = status.replicas.find((replica) => replica.replica.role === 'leader')?.name;
  const leaderPid = cluster.control.find((member) => member.name === leader)?.child.pid ?? 0;
  const sequential = await applyChanges(client, 0, SEQUENTIAL_CHANGES, 1);
  const cpuBefore = processUsage.cpuSeconds(leaderPid);
  const startedAt = clock.now();
  const latencies = await applyChanges(client, SEQUENTIAL_CHANGES, CONCURRENT_CHANGES, CONCURRENCY);
  const seconds = (clock.now() - startedAt) / 1_000;
  const leaderCpu = processUsage.cpuSeconds(leaderPid) - cpuBefore;
  await client.close();
  return {
    changesPerSecond: CONCURRENT_CHANGES / seconds,
    changeLatency: quantiles(latencies),
    loneLatency: quantiles(sequential),
    idleCpu: idle.slice(0, -1),
    entryIdleCpu: idle.at(-1) ?? 0,
    leaderCpuPerChange: (leaderCpu * 1_000) / CONCURRENT_CHANGES,
    residentMegabytes: pids.map(processUsage.residentMegabytes),
    entryResidentMegabytes: processUsage.residentMegabytes(entryPid),
  };
}

async function withCluster<Result>(
  controlCount: number,
  services: number,
  run: (cluster: demo.cluster.Cluster) => Promise<Result>,
): Promise<Result> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-'));
  const deployment = {
    ...demo.deployments.tuckshop,
    engines: { pool: 'ledger-llm', count: 0 },
    services: { pool: 'tuckshop-app', count: services },
  };
  const cluster = await demo.cluster.start(deployment, folder, controlCount);
  try {
    await demo.configuring.apply(cluster, path.resolve(deployment.configurationFile));
    return await run(cluster);
  } finally {
    await cluster.stop();
    fs.rmSync(folder, { recursive: true, force: true });
  }
}

/**
 * Starts a cluster, measures it idle and under changes, and stops it.
 *
 * @param controlCount - number of control replicas
 * @returns the results
 * @example
 * ```ts
 * const figures = await controlProcesses.measure(3);
 * ```
 */
export async function measure(controlCount: number): Promise<ControlProcesses> {
  return withCluster(controlCount, 0, measureCluster);
}

async function measureCalls(
  client: kumquatfront.callerClient.CallerClient,
  method: 'GET' | 'POST',
  name: string,
  concurrency: number,
): Promise<Quantiles> {
  const latencies: number[] = [];
  let next = 0;
  const worker = async (): Promise<void> => {
    while (next < CALL_COUNT) {
      const key = `${name}-${next++}`;
      const startedAt = clock.now();
      await client.call('tuckshop', method, '/measured', '{}', method === 'POST' ? key : undefined);
      latencies.push(clock.now() - startedAt);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, worker));
  return quantiles(latencies);
}

/**
 * Measures the latency that a claim adds to a call to a service.
 *
 * @returns the latencies without and with a claim
 * @example
 * ```ts
 * const latency = await controlProcesses.measureClaims();
 * ```
 */
export async function measureClaims(): Promise<ClaimLatency> {
  return withCluster(3, 1, async (cluster) => {
    const client = new kumquatfront.callerClient.CallerClient(
      {
        entries: cluster.entryAddresses.slice(0, 1),
        key: 'demo-key-canteen',
        labels: '',
        idleTimeout: 5_000,
        deadline: 20_000,
        allowRestart: false,
      },
      kumquatfront.systemTime,
    );
    await measureCalls(client, 'POST', 'warm', 1);
    const figures = {
      withoutClaim: await measureCalls(client, 'GET', 'lone', 1),
      withClaim: await measureCalls(client, 'POST', 'lone', 1),
      withoutClaimParallel: await measureCalls(client, 'GET', 'parallel', CONCURRENCY),
      withClaimParallel: await measureCalls(client, 'POST', 'parallel', CONCURRENCY),
    };
    await client.close();
    return figures;
  });
}

async function killMember(member: demo.cluster.Member): Promise<void> {
  const exited = new Promise((resolve) => member.child.once('exit', resolve));
  member.child.kill('SIGKILL');
  await exited;
}

async function findLeader(
  client: command.operatorClient.OperatorClient,
  members: readonly demo.cluster.Member[],
): Promise<demo.cluster.Member | undefined> {
  const status = (await client.status()).unwrap();
  const name = status.replicas.find(({ replica }) => replica.role === 'leader' && replica.fresh)?.name;
  return members.find((member) => member.name === name);
}

async function measureConvergence(
  client: command.operatorClient.OperatorClient,
  replicas: number,
): Promise<number> {
  const startedAt = clock.now();
  for (;;) {
    const status = await client.status();
    const states = status.ok ? status.val.replicas.map((replica) => replica.digest) : [];
    if (states.length === replicas && new Set(states).size === 1) {
      return clock.now() - startedAt;
    }
    if (clock.now() - startedAt > RECOVERY_TIMEOUT) {
      return -1;
    }
  }
}

/**
 * Measures how fast three replicas recover from the crash of a leader and of a follower.
 *
 * @returns recovery times in milliseconds
 * @example
 * ```ts
 * const recovery = await controlProcesses.measureRecovery();
 * ```
 */
export async function measureRecovery(): Promise<Recovery> {
  return withCluster(3, 0, async (cluster) => {
    const client = createClient(cluster);
    let members = [...cluster.control];
    const newLeader: number[] = [];
    for (let round = 0; round < LEADER_KILLS; round += 1) {
      const leader = await findLeader(client, members);
      if (leader === undefined) {
        continue;
      }
      await killMember(leader);
      const [latency = 0] = await applyChanges(client, round, 1, 1);
      newLeader.push(latency);
      const restarted = cluster.restart(leader.name);
      members = members.map((member) => (member.name === leader.name ? restarted : member));
      await measureConvergence(client, members.length);
    }
    const measureCatchUp = async (from: number, count: number): Promise<number> => {
      const leader = await findLeader(client, members);
      const follower = members.find((member) => member !== leader);
      if (follower === undefined) {
        return -1;
      }
      await killMember(follower);
      await applyChanges(client, from, count, CONCURRENCY);
      const restarted = cluster.restart(follower.name);
      members = members.map((member) => (member.name === follower.name ? restarted : member));
      return measureConvergence(client, members.length);
    };
    const catchUp500 = await measureCatchUp(1_000, 500);
    const catchUp5000 = await measureCatchUp(2_000, 5_000);
    await client.close();
    return { newLeader, catchUp500, catchUp5000 };
  });
}
