/**
 * `npm run slopes -- [ways] [traffic] [coordination] [heap] [processes] [claims] [recovery]`: measures how traffic, memory
 * and latency grow with the size of a deployment, the input of docs/CAPACITY.md. Prints tables and updates
 * docs/design/slopes.json; runs all measurements if none is named.
 */
import * as fs from 'node:fs';

import * as controlProcesses from './slopes/controlProcesses.js';
import * as controlTraffic from './slopes/controlTraffic.js';
import * as coordinationTraffic from './slopes/coordinationTraffic.js';
import * as dissemination from './slopes/dissemination.js';
import * as memory from './slopes/memory.js';

const OUTPUT = new URL('../../../docs/design/slopes.json', import.meta.url).pathname;
const MESSAGE_LOSS = 0.1;

function printLine(text: string): void {
  process.stdout.write(`${text}\n`);
}

function printTable(rows: readonly object[]): void {
  const [first] = rows;
  if (first === undefined) {
    return;
  }
  printLine(`| ${Object.keys(first).join(' | ')} |`);
  printLine(
    `|${Object.keys(first)
      .map(() => ' --- |')
      .join('')}`,
  );
  for (const row of rows) {
    const cells = Object.values(row).map((value: unknown) =>
      typeof value === 'number' ? value.toFixed(3) : JSON.stringify(value),
    );
    printLine(`| ${cells.join(' | ')} |`);
  }
  printLine('');
}

function runDissemination(
  strategy: dissemination.Strategy,
  nodes: number,
  upstreams: number,
  cut: dissemination.DisseminationOptions['cut'],
): object {
  const shortDuration = strategy === 'fullTables' ? 4_000 : 10_000;
  const duration = nodes > 8 ? shortDuration : 30_000;
  // With many nodes a partition of a minute heals like one of an hour.
  const cutDuration = cut === 'region' && nodes < 100 ? 3_600_000 : 60_000;
  const options = {
    strategy,
    nodes,
    upstreams,
    loss: MESSAGE_LOSS,
    roundInterval: 2_000,
    renewalInterval: 5_000,
    duration,
    cut,
    cutDuration,
  };
  const figures = dissemination.run(options);
  printLine(`  ${strategy}, ${nodes} nodes, cut ${cut}: done`);
  return {
    way: strategy,
    nodes,
    upstreams,
    cut: cut === 'none' ? 'none' : `${cut} ${cutDuration / 1_000} s`,
    ...figures,
  };
}

/** Compares the strategies at three sizes, without full tables at 360 nodes, whose traffic would be too large. */
function compareDisseminationStrategies(): readonly object[] {
  return [
    runDissemination('fullTables', 8, 14, 'region'),
    runDissemination('stateVectors', 8, 14, 'region'),
    runDissemination('tree', 8, 14, 'region'),
    runDissemination('fullTables', 64, 107, 'none'),
    runDissemination('stateVectors', 64, 107, 'dataCentre'),
    runDissemination('tree', 64, 107, 'dataCentre'),
    runDissemination('stateVectors', 360, 600, 'none'),
    runDissemination('tree', 360, 600, 'none'),
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

const MEASUREMENTS: Readonly<Record<string, () => readonly object[] | Promise<readonly object[]>>> = {
  ways: compareDisseminationStrategies,
  traffic: measureTraffic,
  coordination: () => [coordinationTraffic.measure(8), coordinationTraffic.measure(32)],
  heap: () => [memory.measure()],
  processes: async () => [await controlProcesses.measure(3), await controlProcesses.measure(5)],
  claims: async () => [await controlProcesses.measureClaims()],
  recovery: async () => [await controlProcesses.measureRecovery()],
};

const selected = process.argv.slice(2);
const figures: Record<string, readonly object[]> = {};
for (const [name, measure] of Object.entries(MEASUREMENTS)) {
  if (selected.length === 0 || selected.includes(name)) {
    figures[name] = await measure();
    printTable(figures[name]);
  }
}
const previous = fs.existsSync(OUTPUT) ? (JSON.parse(fs.readFileSync(OUTPUT, 'utf8')) as object) : {};
fs.writeFileSync(OUTPUT, `${JSON.stringify({ ...previous, ...figures }, null, 2)}\n`);
