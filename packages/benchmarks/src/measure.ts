/**
 * `npm run measure`: compares the placement policy with its baselines on the same seeded workloads in virtual time, for
 * both deployments, at several loads and with injected faults. Prints a table and writes docs/design/policy-figures.json.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';

import type * as benchmarkCase from './policy/benchmarkCase.js';
import * as decisionCost from './policy/decisionCost.js';
import * as policies from './policy/policies.js';
import type * as policyRun from './policy/policyRun.js';

const CASE_MODULE = new URL('./policy/benchmarkCase.js', import.meta.url).pathname;
const OUTPUT_FILE = new URL('../../../docs/design/policy-figures.json', import.meta.url).pathname;
const DURATION = 120_000;
const SEED = 1;
const LOAD_FACTORS: readonly number[] = [0.7, 1, 1.5];
const SATURATING_TOKENS_PER_SECOND = 20_000;
const IDLE_TOKENS_PER_SECOND = 60;
const FAULTS: readonly policyRun.InjectedFault[] = ['death', 'freeze', 'reclaim'];
const UPSTREAMS = 600;
/** Safety margin of the memory forecast in standard deviations: fewer favour throughput, more avoid preemptions. */
const HEADROOM = { tuckshop: { deviations: 1.5 }, lankaroute: { deviations: 2 } } as const;
const LONG_TOKEN_SHARE = { tuckshop: 0.9, lankaroute: 0.94 } as const;

type Deployment = benchmarkCase.BenchmarkCaseOptions['deployment'];

interface Row {
  readonly deployment: Deployment;
  readonly load: string;
  readonly policy: string;
  readonly fault: policyRun.InjectedFault;
  readonly figures: policyRun.PolicyFigures;
}

interface PlannedCase {
  readonly load: string;
  readonly options: benchmarkCase.BenchmarkCaseOptions;
}

function runCase(options: benchmarkCase.BenchmarkCaseOptions): Promise<policyRun.PolicyFigures> {
  return new Promise((resolve, reject) => {
    childProcess.execFile(process.execPath, [CASE_MODULE, JSON.stringify(options)], (error, stdout) => {
      if (error === null) {
        resolve(JSON.parse(stdout) as policyRun.PolicyFigures);
      } else {
        reject(new Error(`benchmark case failed: ${JSON.stringify(options)}`, { cause: error }));
      }
    });
  });
}

/** Runs cases in parallel processes, one fewer than the machine has cores. */
async function runCases(cases: readonly PlannedCase[]): Promise<readonly Row[]> {
  const rows: Row[] = [];
  let next = 0;
  const worker = async (): Promise<void> => {
    for (let position = next++; position < cases.length; position = next++) {
      const plannedCase = cases[position];
      if (plannedCase !== undefined) {
        const { deployment, policy, fault } = plannedCase.options;
        rows[position] = {
          deployment,
          policy,
          fault,
          load: plannedCase.load,
          figures: await runCase(plannedCase.options),
        };
      }
    }
  };
  await Promise.all(Array.from({ length: Math.max(1, os.availableParallelism() - 1) }, worker));
  return rows;
}

function planCase(
  deployment: Deployment,
  policy: string,
  load: string,
  tokensPerSecond: number,
  fault: policyRun.InjectedFault = 'none',
): PlannedCase {
  return {
    load,
    options: {
      deployment,
      policy,
      tokensPerSecond,
      duration: DURATION,
      fault,
      seed: SEED,
      headroom: HEADROOM[deployment],
    },
  };
}

/** Capacity in tokens per second, from the highest throughput of any baseline under saturating load. */
async function measureCapacity(deployment: Deployment): Promise<number> {
  const rows = await runCases(
    policies.baselineNames.map((policy) =>
      planCase(deployment, policy, 'full', SATURATING_TOKENS_PER_SECOND),
    ),
  );
  return Math.max(...rows.map((row) => row.figures.longThroughput)) / LONG_TOKEN_SHARE[deployment];
}

function casesFor(deployment: Deployment, capacity: number): readonly PlannedCase[] {
  const names = Object.keys(policies.policies);
  return [
    planCase(deployment, 'policy', 'idle', IDLE_TOKENS_PER_SECOND),
    ...LOAD_FACTORS.flatMap((load) =>
      names.map((policy) => planCase(deployment, policy, `${load}x`, capacity * load)),
    ),
    ...FAULTS.flatMap((fault) =>
      ['policy', 'leastLoaded'].map((policy) => planCase(deployment, policy, '1x', capacity, fault)),
    ),
  ];
}

const COLUMNS: readonly string[] = [
  'deployment',
  'load',
  'fault',
  'policy',
  'stall p50/p99/max',
  'between p50/p99/p99.9',
  'engine step p99',
  'preemptions',
  'wasted tokens',
  'long tokens/s',
  'long wait p50',
  'notRun',
  'interrupted',
];

function cells(row: Row): readonly string[] {
  const { figures } = row;
  const joinRounded = (values: Readonly<Record<string, number>>): string =>
    Object.values(values)
      .map((value) => value.toFixed(0))
      .join('/');
  return [
    row.deployment,
    row.load,
    row.fault,
    row.policy,
    joinRounded(figures.urgentStall),
    joinRounded(figures.betweenTokens),
    figures.engineStep.toFixed(1),
    String(figures.preemptions),
    String(figures.wastedTokens),
    figures.longThroughput.toFixed(0),
    figures.longWait.p50.toFixed(0),
    String(figures.refused),
    String(figures.interrupted),
  ];
}

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

const deployments: readonly Deployment[] = ['tuckshop', 'lankaroute'];
const capacities = await Promise.all(deployments.map(measureCapacity));
const rows: Row[] = [];
for (const [position, deployment] of deployments.entries()) {
  rows.push(...(await runCases(casesFor(deployment, capacities[position] ?? 0))));
}
const costs = [decisionCost.measure(UPSTREAMS, 1), decisionCost.measure(UPSTREAMS, 20)];
printLine(`| ${COLUMNS.join(' | ')} |`);
printLine(`|${COLUMNS.map(() => ' --- |').join('')}`);
for (const row of rows) {
  printLine(`| ${cells(row).join(' | ')} |`);
}
printLine('');
printLine(
  `Capacity, tokens/s: ${deployments.map((name, position) => `${name} ${(capacities[position] ?? 0).toFixed(0)}`).join(', ')}.`,
);
for (const { upstreams, inFlight, urgent, patient } of costs) {
  const costText = `urgent ${urgent.toFixed(1)} us, patient ${patient.toFixed(1)} us`;
  printLine(`One decision with ${upstreams} upstreams and ${inFlight} in flight: ${costText}.`);
}
fs.writeFileSync(
  OUTPUT_FILE,
  `${JSON.stringify({ duration: DURATION, seed: SEED, capacities, costs, rows }, null, 2)}\n`,
);
