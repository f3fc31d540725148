/**
 * The demonstration: a small deployment as separate processes. An engine and an entry are killed while long answers
 * stream and urgent requests continue. Exits with status 0 only if no delivery guarantee was violated.
 */
import * as fs from 'node:fs';
import * as path from 'node:path';

import * as kumquatfront from 'kumquatfront';
import * as undici from 'undici';

import * as cluster from './cluster.js';
import * as configuring from './configuring.js';
import * as deployments from './deployments.js';
import * as trafficModule from './traffic.js';

const LONG_TOKENS = 500;
const LONG_CALLERS = 4;
const ENGINE_KILL_TIME = 4_000;
const ENTRY_KILL_TIME = 7_000;

const { scheduler } = kumquatfront.systemTime;

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    scheduler.after(milliseconds, resolve);
  });
}

async function fetchExecutions(member: cluster.Member): Promise<Record<string, number>> {
  const response = await undici.request(`http://${cluster.LOOPBACK}:${member.port}/stand-in/runs`);
  return (await response.body.json()) as Record<string, number>;
}

/** Idempotency keys whose action was executed more than once, over all services. */
async function findDuplicateExecutions(
  services: readonly cluster.Member[],
  keys: readonly string[],
): Promise<readonly string[]> {
  const executions = await Promise.all(services.map(fetchExecutions));
  return keys.filter((key) => executions.reduce((sum, counts) => sum + (counts[key] ?? 0), 0) > 1);
}

function quantile(values: readonly number[], share: number): string {
  const sorted = [...values].sort((left, right) => left - right);
  const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
  return value === undefined ? 'none' : `${value.toFixed(0)} ms`;
}

function printReport(
  results: readonly trafficModule.CallerResult[],
  measurements: trafficModule.TrafficMeasurements,
): void {
  printLine('');
  for (const result of results) {
    printLine(`  ${result.caller.padEnd(28)} ${result.complete} of ${result.sent} complete  ${result.note}`);
    for (const violation of result.violations.slice(0, 5)) {
      printLine(`      violation: ${violation}`);
    }
  }
  const { urgentLatencies, interTokenLatencies } = measurements;
  printLine('');
  printLine(
    `  urgent call latency:    p50 ${quantile(urgentLatencies, 0.5)}, p99 ${quantile(urgentLatencies, 0.99)}, max ${quantile(urgentLatencies, 1)}`,
  );
  printLine(
    `  inter-token latency:    p50 ${quantile(interTokenLatencies, 0.5)}, p99 ${quantile(interTokenLatencies, 0.99)}, max ${quantile(interTokenLatencies, 1)}`,
  );
}

async function injectFaults(running: cluster.Cluster): Promise<void> {
  await pause(ENGINE_KILL_TIME);
  const [engine] = running.engines;
  printLine(`Killing engine ${engine?.name ?? ''}.`);
  engine?.child.kill('SIGKILL');
  await pause(ENTRY_KILL_TIME - ENGINE_KILL_TIME);
  const [entry] = running.entries;
  printLine(`Killing entry ${entry?.name ?? ''}.`);
  entry?.child.kill('SIGKILL');
}

async function countPreemptions(engines: readonly cluster.Member[]): Promise<number> {
  let sum = 0;
  for (const engine of engines) {
    if (engine.child.exitCode === null && engine.child.signalCode === null) {
      const response = await undici.request(`http://${cluster.LOOPBACK}:${engine.port}/stand-in/counts`);
      sum += ((await response.body.json()) as { preemptions: number }).preemptions;
    }
  }
  return sum;
}

async function run(running: cluster.Cluster, deployment: deployments.Deployment): Promise<boolean> {
  const applied = await configuring.apply(running, path.resolve(deployment.configurationFile));
  printLine(`Applied ${applied.objects} objects; accepted as version ${applied.version}.`);
  printLine(`In force at ${applied.entriesInForce} of ${running.entries.length} entries.`);
  const traffic = new trafficModule.Traffic(running.entryAddresses, deployment);
  const keys: string[] = [];
  let stopped = false;
  const isStopped = (): boolean => stopped;
  const { accounts } = deployment.longTraffic;
  const longAnswers = Promise.all(
    Array.from({ length: LONG_CALLERS }, (_, position) =>
      traffic.streamLongAnswer(accounts[position % accounts.length] ?? '', LONG_TOKENS),
    ),
  );
  const background = Promise.all([
    traffic.sendShortPrompts(isStopped),
    traffic.sendReads(isStopped),
    traffic.sendActions(isStopped, keys),
  ]);
  await injectFaults(running);
  const longResults = await longAnswers;
  stopped = true;
  const results = [...longResults, ...(await background)];
  printReport(results, traffic.measurements);
  const duplicated = await findDuplicateExecutions(running.services, keys);
  printLine(`  preemptions:            ${await countPreemptions(running.engines)}`);
  printLine(`  duplicate actions:      ${duplicated.length}`);
  await traffic.close();
  return duplicated.length === 0 && results.every((result) => result.violations.length === 0);
}

async function main(): Promise<number> {
  const name = process.argv[2] ?? 'tuckshop';
  const deployment = deployments.byName[name];
  if (deployment === undefined) {
    printLine(`There is no deployment "${name}". Use one of ${Object.keys(deployments.byName).join(', ')}.`);
    return 2;
  }
  const folder = path.resolve('.demo', name);
  fs.rmSync(folder, { recursive: true, force: true });
  printLine(
    `Starting ${deployment.name} at reduced size: 3 control replicas, 4 entries, ${deployment.engines.count} engines, ${deployment.services.count} services.`,
  );
  const running = await cluster.start(deployment, folder);
  try {
    const passed = await run(running, deployment);
    printLine(
      passed
        ? 'All delivery guarantees held.'
        : 'A delivery guarantee was violated; see the violations above.',
    );
    return passed ? 0 : 1;
  } finally {
    await running.stop();
  }
}

process.exitCode = await main();
