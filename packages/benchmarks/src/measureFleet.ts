/**
 * `npm run measure:fleet`: simulates the fleets of `fleetCases` in virtual time and prints the share of the value that
 * callers received and the outcomes of long requests.
 */
import * as fleetCases from './fleet/fleetCases.js';
import type * as fleetScorer from './fleet/fleetScorer.js';
import * as fleetRun from './fleet/fleetRun.js';

/** Each fleet is simulated once per seed; the table shows the mean. */
const SEEDS: readonly number[] = [1, 2, 3];

const COLUMNS = [
  'FLEET',
  'EARNED',
  'LATE REFUSALS',
  'SECOND REFUSALS',
  'LONG IN TIME',
  'LATE',
  'PAUSED',
  'REFUSED',
  'LOST',
];

function percentage(value: number): string {
  return (100 * value).toFixed(1);
}

function tableRow(name: string, runs: readonly fleetScorer.FleetFigures[]): readonly string[] {
  const mean = (select: (figures: fleetScorer.FleetFigures) => number): number =>
    runs.reduce((sum, figures) => sum + select(figures), 0) / runs.length;
  const longShare = (select: (figures: fleetScorer.ClassFigures) => number): string =>
    percentage(mean(({ long }) => select(long) / long.requested));
  return [
    name,
    percentage(mean((figures) => figures.earned)),
    percentage(mean((figures) => figures.lateRefusals)),
    percentage(mean((figures) => figures.secondRefusals)),
    longShare((long) => long.inTime),
    longShare((long) => long.lateFirst),
    longShare((long) => long.paused),
    longShare((long) => long.refused),
    longShare((long) => long.lost),
  ];
}

const rows: (readonly string[])[] = [COLUMNS];
for (const [name, fleet] of Object.entries(fleetCases)) {
  rows.push(
    tableRow(
      name,
      SEEDS.map((seed) => fleetRun.simulate({ ...fleet, seed })),
    ),
  );
}
const widths = COLUMNS.map((_column, index) => Math.max(...rows.map((row) => row[index]?.length ?? 0)));
for (const row of rows) {
  process.stdout.write(
    `${row
      .map((cell, index) => cell.padEnd((widths[index] ?? 0) + 2))
      .join('')
      .trimEnd()}\n`,
  );
}
