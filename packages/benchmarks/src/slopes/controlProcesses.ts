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

import * as processCost from '../processCost.js';

/** Milliseconds. */
export interface Quantiles {
  readonly p50: number;
  readonly p99: number;
}

/** Latency of calls through an entry, without and with a claim, one at a time and many at once. */
export interface ClaimLatency {
  readonly withoutClaim: Quantiles;
  readonly withClaim: Quantiles;
  readonly withoutClaimParallel: Quantiles;
  readonly withClaimParallel: Quantiles;
}

/** Milliseconds of recoveries. */
export interface Recovery {
  /** From kill -9 of the leader until a change is accepted again, several times. */
  readonly newLeader: readonly number[];
  /** From the start of a replica that missed so many changes until its state equals the others'. */
  readonly catchUp500: number;
  readonly catchUp5000: number;
}

/** Figures of the processes. */
export interface ControlProcesses {
  readonly changesPerSecond: number;
  readonly changeLatency: Quantiles;
  /** Latency of one change at a time. */
  readonly loneLatency: Quantiles;
  /** Share of a core that each idle replica takes. */
  readonly idleCpu: readonly number[];
  /** Processor milliseconds of the leader for one change. */
  readonly leaderCpuPerChange: number;
  readonly residentMegabytes: readonly number[];
  readonly entryIdleCpu: number;
  readonly entryResidentMegabytes: number;
}

const IDLE = 10_000;
const CALLS = 300;
const LEADER_KILLS = 5;
const RECOVERY_LIMIT = 60_000;
const PARALLEL = 32;
const PARALLEL_CHANGES = 1_500;
const LONE_CHANGES = 200;
const { clock, scheduler } = kumquatfront.systemTime;

function quantiles(values: readonly number[]): Quantiles {
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

function createClient(running: demo.cluster.Cluster): command.operatorClient.OperatorClient {
  return new command.operatorClient.OperatorClient({
    control: running.operatorAddresses,
    key: demo.cluster.keys.operator,
    random: kumquatfront.seededRandom.createUnpredictable(),
    time: kumquatfront.systemTime,
  });
}

async function measureRunning(running: demo.cluster.Cluster): Promise<ControlProcesses> {
  const pids = running.control.map((member) => member.child.pid ?? 0);
  const entryPid = running.entries[0]?.child.pid ?? 0;
  const before = [...pids, entryPid].map(processCost.cpuSeconds);
  await new Promise<void>((resolve) => {
    scheduler.after(IDLE, resolve);
  });
  const idle = [...pids, entryPid].map(
    (pid, position) => (processCost.cpuSeconds(pid) - (before[position] ?? 0)) / (IDLE / 1_000),
  );
  const client = createClient(running);
  const status = (await client.status()).unwrap();
  const leader = status.replicas.find((replica) => replica.replica.role === 'leader')?.name;
  const leaderPid = running.control.find((member) => member.name === leader)?.child.pid ?? 0;
  const lone = await changeMany(client, 0, LONE_CHANGES, 1);
  const cpuBefore = processCost.cpuSeconds(leaderPid);
  const startedAt = clock.now();
  const latencies = await changeMany(client, LONE_CHANGES, PARALLEL_CHANGES, PARALLEL);
  const seconds = (clock.now() - startedAt) / 1_000;
  const leaderCpu = processCost.cpuSeconds(leaderPid) - cpuBefore;
  await client.close();
  return {
    changesPerSecond: PARALLEL_CHANGES / seconds,
    changeLatency: quantiles(latencies),
    loneLatency: quantiles(lone),
    idleCpu: idle.slice(0, -1),
    entryIdleCpu: idle.at(-1) ?? 0,
    leaderCpuPerChange: (leaderCpu * 1_000) / PARALLEL_CHANGES,
    residentMegabytes: pids.map(processCost.residentMegabytes),
    entryResidentMegabytes: processCost.residentMegabytes(entryPid),
  };
}

async function withDeployment<Result>(
  controlCount: number,
  services: number,
  run: (running: demo.cluster.Cluster) => Promise<Result>,
): Promise<Result> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kumquatfront-'));
  const deployment = {
    ...demo.deployments.tuckshop,
    engines: { pool: 'ledger-llm', count: 0 },
    services: { pool: 'tuckshop-app', count: services },
  };
  const running = await demo.cluster.start(deployment, folder, controlCount);
  try {
    await demo.configuring.apply(running, path.resolve(deployment.configurationFile));
    return await run(running);
  } finally {
    await running.stop();
    fs.rmSync(folder, { recursive: true, force: true });
  }
}

/**
 * Starts replicas and four entries, measures, and ends them.
 *
 * @param controlCount - control replicas
 * @returns the figures
 * @example
 * ```ts
 * const figures = await controlProcesses.measure(3);
 * ```
 */
export async function measure(controlCount: number): Promise<ControlProcesses> {
  return withDeployment(controlCount, 0, measureRunning);
}

async function callMany(
  client: kumquatfront.callerClient.CallerClient,
  method: 'GET' | 'POST',
  name: string,
  parallel: number,
): Promise<Quantiles> {
  const latencies: number[] = [];
  let next = 0;
  const worker = async (): Promise<void> => {
    while (next < CALLS) {
      const key = `${name}-${next++}`;
      const startedAt = clock.now();
      await client.call('tuckshop', method, '/measured', '{}', method === 'POST' ? key : undefined);
      latencies.push(clock.now() - startedAt);
    }
  };
  await Promise.all(Array.from({ length: parallel }, worker));
  return quantiles(latencies);
}

/**
 * Measures what a claim adds to a call to a plain service.
 *
 * @returns the latencies
 * @example
 * ```ts
 * const latency = await controlProcesses.measureClaims();
 * ```
 */
export async function measureClaims(): Promise<ClaimLatency> {
  return withDeployment(3, 1, async (running) => {
    const client = new kumquatfront.callerClient.CallerClient(
      {
        entries: running.entryAddresses.slice(0, 1),
        key: 'demo-key-canteen',
        labels: '',
        silenceLimit: 5_000,
        deadline: 20_000,
        restart: false,
      },
      kumquatfront.systemTime,
    );
    await callMany(client, 'POST', 'warm', 1);
    const figures = {
      withoutClaim: await callMany(client, 'GET', 'lone', 1),
      withClaim: await callMany(client, 'POST', 'lone', 1),
      withoutClaimParallel: await callMany(client, 'GET', 'parallel', PARALLEL),
      withClaimParallel: await callMany(client, 'POST', 'parallel', PARALLEL),
    };
    await client.close();
    return figures;
  });
}

async function killed(member: demo.cluster.Member): Promise<void> {
  const gone = new Promise((resolve) => member.child.once('exit', resolve));
  member.child.kill('SIGKILL');
  await gone;
}

async function leaderOf(
  client: command.operatorClient.OperatorClient,
  members: readonly demo.cluster.Member[],
): Promise<demo.cluster.Member | undefined> {
  const status = (await client.status()).unwrap();
  const name = status.replicas.find(({ replica }) => replica.role === 'leader' && replica.fresh)?.name;
  return members.find((member) => member.name === name);
}

async function untilEqual(client: command.operatorClient.OperatorClient, replicas: number): Promise<number> {
  const startedAt = clock.now();
  for (;;) {
    const status = await client.status();
    const states = status.ok ? status.val.replicas.map((replica) => replica.digest) : [];
    if (states.length === replicas && new Set(states).size === 1) {
      return clock.now() - startedAt;
    }
    if (clock.now() - startedAt > RECOVERY_LIMIT) {
      return -1;
    }
  }
}

/**
 * Measures recoveries of three replicas.
 *
 * @returns milliseconds
 * @example
 * ```ts
 * const recovery = await controlProcesses.measureRecovery();
 * ```
 */
export async function measureRecovery(): Promise<Recovery> {
  return withDeployment(3, 0, async (running) => {
    const client = createClient(running);
    let members = [...running.control];
    const newLeader: number[] = [];
    for (let round = 0; round < LEADER_KILLS; round += 1) {
      const leader = await leaderOf(client, members);
      if (leader === undefined) {
        continue;
      }
      await killed(leader);
      const [latency = 0] = await changeMany(client, round, 1, 1);
      newLeader.push(latency);
      const again = running.restart(leader.name);
      members = members.map((member) => (member.name === leader.name ? again : member));
      await untilEqual(client, members.length);
    }
    const catchUp = async (from: number, count: number): Promise<number> => {
      const leader = await leaderOf(client, members);
      const follower = members.find((member) => member !== leader);
      if (follower === undefined) {
        return -1;
      }
      await killed(follower);
      await changeMany(client, from, count, PARALLEL);
      const again = running.restart(follower.name);
      members = members.map((member) => (member.name === follower.name ? again : member));
      return untilEqual(client, members.length);
    };
    const catchUp500 = await catchUp(1_000, 500);
    const catchUp5000 = await catchUp(2_000, 5_000);
    await client.close();
    return { newLeader, catchUp500, catchUp5000 };
  });
}
