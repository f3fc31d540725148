/**
 * `npm run measure:fleet`: what callers of crowded fleets earn, on stand-in engines and virtual time, as a table.
 */
import * as fleetCases from './fleet/fleetCases.js';
import type * as fleetLedger from './fleet/fleetLedger.js';
import * as fleetRun from './fleet/fleetRun.js';

/** Plays of each fleet; what they show differs by two or three in a hundred from seed to seed. */
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

function inHundred(value: number): string {
  return (100 * value).toFixed(1);
}

function rowOf(name: string, runs: readonly fleetLedger.FleetFigures[]): readonly string[] {
  const mean = (of: (figures: fleetLedger.FleetFigures) => number): number =>
    runs.reduce((sum, figures) => sum + of(figures), 0) / runs.length;
  const shareOfLong = (of: (figures: fleetLedger.ClassFigures) => number): string =>
    inHundred(mean(({ long }) => of(long) / long.asked));
  return [
    name,
    inHundred(mean((figures) => figures.earned)),
    inHundred(mean((figures) => figures.lateRefusals)),
    inHundred(mean((figures) => figures.secondRefusals)),
    shareOfLong((long) => long.inTime),
    shareOfLong((long) => long.lateFirst),
    shareOfLong((long) => long.paused),
    shareOfLong((long) => long.refused),
    shareOfLong((long) => long.lost),
  ];
}

const rows: (readonly string[])[] = [COLUMNS];
for (const [name, fleet] of Object.entries(fleetCases)) {
  rows.push(
    rowOf(
      name,
      SEEDS.map((seed) => fleetRun.play({ ...fleet, seed })),
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
