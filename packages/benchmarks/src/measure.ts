/**
 * `npm run measure`: the policy against its baselines on the same seeded workloads, on virtual time, both
 * deployments, at several loads and with faults. Prints a table and writes JSON beside it.
 */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as os from 'node:os';

import type * as caseTypes from './policy/case.js';
import * as decisionCost from './policy/decisionCost.js';
import * as policies from './policy/policies.js';
import type * as policyRun from './policy/policyRun.js';

const CASE = new URL('./policy/case.js', import.meta.url).pathname;
const OUTPUT = new URL('../../../docs/design/policy-figures.json', import.meta.url).pathname;
const DURATION = 120_000;
const SEED = 1;
const LOADS: readonly number[] = [0.7, 1, 1.5];
const SATURATING = 20_000;
const IDLE = 60;
const FAULTS: readonly policyRun.MeasuredFault[] = ['death', 'freeze', 'reclaim'];
const UPSTREAMS = 600;
/** What each user weighs decides how cautious its forecast is: throughput, or preemptions. */
const HEADROOM = { tuckshop: { deviations: 1.5 }, lankaroute: { deviations: 2 } } as const;
const LONG_SHARE = { tuckshop: 0.9, lankaroute: 0.94 } as const;

type Deployment = caseTypes.CaseOptions['deployment'];

interface Row {
  readonly deployment: Deployment;
  readonly load: string;
  readonly policy: string;
  readonly fault: policyRun.MeasuredFault;
  readonly figures: policyRun.PolicyFigures;
}

interface PlannedCase {
  readonly load: string;
  readonly options: caseTypes.CaseOptions;
}

function runCase(options: caseTypes.CaseOptions): Promise<policyRun.PolicyFigures> {
  return new Promise((resolve, reject) => {
    childProcess.execFile(process.execPath, [CASE, JSON.stringify(options)], (error, stdout) => {
      if (error === null) {
        resolve(JSON.parse(stdout) as policyRun.PolicyFigures);
      } else {
        reject(new Error(`case ${JSON.stringify(options)} failed`, { cause: error }));
      }
    });
  });
}

/** Runs cases side by side, no more than the machine has cores for. */
async function runAll(cases: readonly PlannedCase[]): Promise<readonly Row[]> {
  const rows: Row[] = [];
  let next = 0;
  const worker = async (): Promise<void> => {
    for (let position = next++; position < cases.length; position = next++) {
      const planned = cases[position];
      if (planned !== undefined) {
        const { deployment, policy, fault } = planned.options;
        rows[position] = {
          deployment,
          policy,
          fault,
          load: planned.load,
          figures: await runCase(planned.options),
        };
      }
    }
  };
  await Promise.all(Array.from({ length: Math.max(1, os.availableParallelism() - 1) }, worker));
  return rows;
}

function planned(
  deployment: Deployment,
  policy: string,
  load: string,
  tokensPerSecond: number,
  fault: policyRun.MeasuredFault = 'none',
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

/** Capacity: what the best baseline brings through when more is offered than can be served. */
async function capacityOf(deployment: Deployment): Promise<number> {
  const rows = await runAll(
    policies.baselineNames.map((policy) => planned(deployment, policy, 'full', SATURATING)),
  );
  return Math.max(...rows.map((row) => row.figures.longThroughput)) / LONG_SHARE[deployment];
}

function casesFor(deployment: Deployment, capacity: number): readonly PlannedCase[] {
  const names = Object.keys(policies.policies);
  return [
    planned(deployment, 'policy', 'idle', IDLE),
    ...LOADS.flatMap((load) =>
      names.map((policy) => planned(deployment, policy, `${load}x`, capacity * load)),
    ),
    ...FAULTS.flatMap((fault) =>
      ['policy', 'leastLoaded'].map((policy) => planned(deployment, policy, '1x', capacity, fault)),
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
  const list = (values: Readonly<Record<string, number>>): string =>
    Object.values(values)
      .map((value) => value.toFixed(0))
      .join('/');
  return [
    row.deployment,
    row.load,
    row.fault,
    row.policy,
    list(figures.urgentStall),
    list(figures.betweenTokens),
    figures.engineStep.toFixed(1),
    String(figures.preemptions),
    String(figures.wastedTokens),
    figures.longThroughput.toFixed(0),
    figures.longWait.p50.toFixed(0),
    String(figures.refused),
    String(figures.interrupted),
  ];
}

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

const deployments: readonly Deployment[] = ['tuckshop', 'lankaroute'];
const capacities = await Promise.all(deployments.map(capacityOf));
const rows: Row[] = [];
for (const [position, deployment] of deployments.entries()) {
  rows.push(...(await runAll(casesFor(deployment, capacities[position] ?? 0))));
}
const costs = [decisionCost.measure(UPSTREAMS, 1), decisionCost.measure(UPSTREAMS, 20)];
say(`| ${COLUMNS.join(' | ')} |`);
say(`|${COLUMNS.map(() => ' --- |').join('')}`);
for (const row of rows) {
  say(`| ${cells(row).join(' | ')} |`);
}
say('');
say(
  `Capacity, tokens/s: ${deployments.map((name, position) => `${name} ${(capacities[position] ?? 0).toFixed(0)}`).join(', ')}.`,
);
for (const { upstreams, inFlight, urgent, patient } of costs) {
  const each = `urgent ${urgent.toFixed(1)} us, patient ${patient.toFixed(1)} us`;
  say(`One decision with ${upstreams} upstreams and ${inFlight} in flight: ${each}.`);
}
fs.writeFileSync(
  OUTPUT,
  `${JSON.stringify({ duration: DURATION, seed: SEED, capacities, costs, rows }, null, 2)}\n`,
);
