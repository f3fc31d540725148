/**
 * The demonstration: a deployment in small as separate processes; reports stream while urgent calls go on,
 * an engine and an entry are killed in between. Ends with status 0 only when the promises held.
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
const ENGINE_KILL_AT = 4_000;
const ENTRY_KILL_AT = 7_000;

const { scheduler } = kumquatfront.systemTime;

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => {
    scheduler.after(milliseconds, resolve);
  });
}

async function runsOf(member: cluster.Member): Promise<Record<string, number>> {
  const response = await undici.request(`http://${cluster.LOOPBACK}:${member.port}/stand-in/runs`);
  return (await response.body.json()) as Record<string, number>;
}

/** Actions that ran more than once, over all services together. */
async function doubledActions(
  services: readonly cluster.Member[],
  keys: readonly string[],
): Promise<readonly string[]> {
  const runs = await Promise.all(services.map(runsOf));
  return keys.filter((key) => runs.reduce((sum, counts) => sum + (counts[key] ?? 0), 0) > 1);
}

function quantile(values: readonly number[], share: number): string {
  const sorted = [...values].sort((left, right) => left - right);
  const value = sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
  return value === undefined ? 'none' : `${value.toFixed(0)} ms`;
}

function report(results: readonly trafficModule.CallerResult[], figures: trafficModule.Figures): void {
  say('');
  for (const result of results) {
    say(`  ${result.caller.padEnd(28)} ${result.whole} of ${result.sent} whole  ${result.note}`);
    for (const fault of result.faults.slice(0, 5)) {
      say(`      fault: ${fault}`);
    }
  }
  const { urgentStalls, betweenTokens } = figures;
  say('');
  say(
    `  stall of urgent calls:  p50 ${quantile(urgentStalls, 0.5)}, p99 ${quantile(urgentStalls, 0.99)}, max ${quantile(urgentStalls, 1)}`,
  );
  say(
    `  between tokens:         p50 ${quantile(betweenTokens, 0.5)}, p99 ${quantile(betweenTokens, 0.99)}, max ${quantile(betweenTokens, 1)}`,
  );
}

async function faults(running: cluster.Cluster): Promise<void> {
  await pause(ENGINE_KILL_AT);
  const [engine] = running.engines;
  say(`Killing engine ${engine?.name ?? ''}.`);
  engine?.child.kill('SIGKILL');
  await pause(ENTRY_KILL_AT - ENGINE_KILL_AT);
  const [entry] = running.entries;
  say(`Killing entry ${entry?.name ?? ''}.`);
  entry?.child.kill('SIGKILL');
}

async function preemptions(engines: readonly cluster.Member[]): Promise<number> {
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
  const configured = await configuring.apply(running, path.resolve(deployment.configurationFile));
  say(`Applied ${configured.objects} objects; accepted as version ${configured.version}.`);
  say(`In force at ${configured.inForceAt} of ${running.entries.length} entries.`);
  const traffic = new trafficModule.Traffic(running.entryAddresses, deployment);
  const keys: string[] = [];
  let over = false;
  const isOver = (): boolean => over;
  const { accounts } = deployment.longTraffic;
  const long = Promise.all(
    Array.from({ length: LONG_CALLERS }, (_, position) =>
      traffic.long(accounts[position % accounts.length] ?? '', LONG_TOKENS),
    ),
  );
  const background = Promise.all([traffic.short(isOver), traffic.reads(isOver), traffic.acts(isOver, keys)]);
  await faults(running);
  const longResults = await long;
  over = true;
  const results = [...longResults, ...(await background)];
  report(results, traffic.figures);
  const doubled = await doubledActions(running.services, keys);
  say(`  preemptions:            ${await preemptions(running.engines)}`);
  say(`  actions run twice:      ${doubled.length}`);
  await traffic.close();
  return doubled.length === 0 && results.every((result) => result.faults.length === 0);
}

async function main(): Promise<number> {
  const name = process.argv[2] ?? 'tuckshop';
  const deployment = deployments.byName[name];
  if (deployment === undefined) {
    say(`There is no deployment "${name}". Use one of ${Object.keys(deployments.byName).join(', ')}.`);
    return 2;
  }
  const folder = path.resolve('.demo', name);
  fs.rmSync(folder, { recursive: true, force: true });
  say(
    `Starting ${deployment.name} in small: 3 control, 4 entries, ${deployment.engines.count} engines, ${deployment.services.count} services.`,
  );
  const running = await cluster.start(deployment, folder);
  try {
    const held = await run(running, deployment);
    say(held ? 'The promises held.' : 'A promise was broken; see the faults above.');
    return held ? 0 : 1;
  } finally {
    await running.stop();
  }
}

process.exitCode = await main();
