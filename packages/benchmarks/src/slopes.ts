/**
 * `npm run slopes`: what docs/CAPACITY.md is worked out from. Prints tables and writes JSON.
 */
import * as fs from 'node:fs';

import * as controlProcesses from './slopes/controlProcesses.js';
import * as controlTraffic from './slopes/controlTraffic.js';
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
  const duration = nodes > 100 ? 10_000 : 30_000;
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

const ways: readonly object[] = [
  disseminate('fullTables', 8, 14, 'region'),
  disseminate('stateVectors', 8, 14, 'region'),
  disseminate('tree', 8, 14, 'region'),
  disseminate('fullTables', 64, 107, 'none'),
  disseminate('stateVectors', 64, 107, 'dataCentre'),
  disseminate('tree', 64, 107, 'dataCentre'),
  disseminate('stateVectors', 360, 600, 'none'),
  disseminate('tree', 360, 600, 'none'),
];
table(ways);
const traffic = [
  controlTraffic.measure(3, 8),
  controlTraffic.measure(3, 64),
  controlTraffic.measure(3, 360),
  controlTraffic.measure(5, 64),
];
table(traffic);
const heap = memory.measure();
table([heap]);
const processes = await controlProcesses.measure();
table([processes]);
fs.writeFileSync(OUTPUT, `${JSON.stringify({ ways, traffic, heap, processes }, null, 2)}\n`);
