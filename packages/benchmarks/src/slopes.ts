/**
 * `npm run slopes -- [ways] [traffic] [coordination] [heap] [processes]
 * [claims] [recovery]`: what docs/CAPACITY.md is worked out from. Prints tables
 * and writes JSON; without names, all parts.
 */
import * as fs from 'node:fs';

import * as controlProcesses from './slopes/controlProcesses.js';
import * as controlTraffic from './slopes/controlTraffic.js';
import * as coordinationTraffic from './slopes/coordinationTraffic.js';
import * as dissemination from './slopes/dissemination.js';
import * as memory from './slopes/memory.js';

const OUTPUT = new URL('../../../docs/design/slopes.json', import.meta.url).pathname;
const LOSS = 0.1;

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

function table(rows: readonly object[]): void {
  const [first] = rows;
  if (first === undefined) {
    return;
  }
  say(`| ${Object.keys(first).join(' | ')} |`);
  say(
    `|${Object.keys(first)
      .map(() => ' --- |')
      .join('')}`,
  );
  for (const row of rows) {
    const cells = Object.values(row).map((value: unknown) =>
      typeof value === 'number' ? value.toFixed(3) : JSON.stringify(value),
    );
    say(`| ${cells.join(' | ')} |`);
  }
  say('');
}

function disseminate(
  way: dissemination.Way,
  nodes: number,
  upstreams: number,
  cut: dissemination.DisseminationOptions['cut'],
): object {
  const short = way === 'fullTables' ? 4_000 : 10_000;
  const duration = nodes > 8 ? short : 30_000;
  // An hour is what the letter names; with hundreds of nodes a cut of a minute shows the same repair.
  const cutLength = cut === 'region' && nodes < 100 ? 3_600_000 : 60_000;
  const options = {
    way,
    nodes,
    upstreams,
    loss: LOSS,
    round: 2_000,
    renewEvery: 5_000,
    duration,
    cut,
    cutLength,
  };
  const figures = dissemination.run(options);
  say(`  ${way}, ${nodes} nodes, cut ${cut}: done`);
  return {
    way,
    nodes,
    upstreams,
    cut: cut === 'none' ? 'none' : `${cut} ${cutLength / 1_000} s`,
    ...figures,
  };
}

/** The three ways at three sizes; full tables at 360 nodes would send 30 MB a second from each, and are not run. */
function measureWays(): readonly object[] {
  return [
    disseminate('fullTables', 8, 14, 'region'),
    disseminate('stateVectors', 8, 14, 'region'),
    disseminate('tree', 8, 14, 'region'),
    disseminate('fullTables', 64, 107, 'none'),
    disseminate('stateVectors', 64, 107, 'dataCentre'),
    disseminate('tree', 64, 107, 'dataCentre'),
    disseminate('stateVectors', 360, 600, 'none'),
    disseminate('tree', 360, 600, 'none'),
  ];
}

function measureTraffic(): readonly object[] {
  return [
    controlTraffic.measure(3, 8),
    controlTraffic.measure(3, 64),
    controlTraffic.measure(3, 360),
    controlTraffic.measure(5, 64),
  ];
}

const PARTS: Readonly<Record<string, () => readonly object[] | Promise<readonly object[]>>> = {
  ways: measureWays,
  traffic: measureTraffic,
  coordination: () => [coordinationTraffic.measure(8), coordinationTraffic.measure(32)],
  heap: () => [memory.measure()],
  processes: async () => [await controlProcesses.measure(3), await controlProcesses.measure(5)],
  claims: async () => [await controlProcesses.measureClaims()],
  recovery: async () => [await controlProcesses.measureRecovery()],
};

const wanted = process.argv.slice(2);
const figures: Record<string, readonly object[]> = {};
for (const [name, measure] of Object.entries(PARTS)) {
  if (wanted.length === 0 || wanted.includes(name)) {
    figures[name] = await measure();
    table(figures[name]);
  }
}
const before = fs.existsSync(OUTPUT) ? (JSON.parse(fs.readFileSync(OUTPUT, 'utf8')) as object) : {};
fs.writeFileSync(OUTPUT, `${JSON.stringify({ ...before, ...figures }, null, 2)}\n`);
