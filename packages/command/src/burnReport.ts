/**
 * How fast the error budgets of the objectives burn: the share of bad calls in a window over the share that
 * the objective allows. A burn of 1 uses the budget up exactly; 14 in an hour is worth waking somebody.
 */
import type * as kumquatfront from 'kumquatfront';

/** Burn of one objective in one window. */
export interface WindowBurn {
  readonly window: string;
  readonly good: number;
  readonly bad: number;
  readonly burn: number;
}

/** Burn of one objective. */
export interface ObjectiveBurn {
  readonly name: string;
  readonly objective: kumquatfront.configurationTypes.ObjectiveBody;
  readonly windows: readonly WindowBurn[];
  /** Burn by minute over the longest plotted window, oldest first. */
  readonly series: readonly { readonly minute: number; readonly burn: number }[];
}

const MINUTE = 60_000;
const WINDOWS: Readonly<Record<string, number>> = { '5m': 5, '1h': 60, '6h': 360, '24h': 1_440 };
const PLOTTED_MINUTES = 60;

type Counts = ReadonlyMap<number, kumquatfront.burnRecorder.BurnCount>;

/** Adds up the counts of all entries. */
function merge(all: readonly kumquatfront.burnRecorder.BurnCounts[], name: string): Counts {
  const merged = new Map<number, kumquatfront.burnRecorder.BurnCount>();
  for (const counts of all) {
    for (const [minute, count] of Object.entries(counts[name] ?? {})) {
      const sum = merged.get(Number(minute)) ?? { good: 0, bad: 0 };
      merged.set(Number(minute), { good: sum.good + count.good, bad: sum.bad + count.bad });
    }
  }
  return merged;
}

function burnOf(good: number, bad: number, share: number): number {
  const total = good + bad;
  return total === 0 ? 0 : bad / total / (1 - share);
}

function windowBurn(counts: Counts, window: string, minutes: number, now: number, share: number): WindowBurn {
  let good = 0;
  let bad = 0;
  for (const [minute, count] of counts) {
    if (minute > now - minutes) {
      good += count.good;
      bad += count.bad;
    }
  }
  return { window, good, bad, burn: burnOf(good, bad, share) };
}

/**
 * Makes the report.
 *
 * @param objectives - the configured objectives
 * @param all - the counts of each entry
 * @param wall - milliseconds since 1970
 * @returns the burn of each objective
 * @example
 * ```ts
 * const report = burnReport.create(objectives, counts, clock.wall());
 * ```
 */
export function create(
  objectives: readonly kumquatfront.configurationTypes.ConfigurationObject[],
  all: readonly kumquatfront.burnRecorder.BurnCounts[],
  wall: number,
): readonly ObjectiveBurn[] {
  const now = Math.floor(wall / MINUTE);
  const report: ObjectiveBurn[] = [];
  for (const object of objectives) {
    if (object.kind !== 'objective') {
      continue;
    }
    const counts = merge(all, object.name);
    const { share } = object.body;
    const windows = Object.entries(WINDOWS).map(([window, minutes]) =>
      windowBurn(counts, window, minutes, now, share),
    );
    const series = Array.from({ length: PLOTTED_MINUTES }, (_, position) => {
      const minute = now - PLOTTED_MINUTES + 1 + position;
      const { good, bad } = counts.get(minute) ?? { good: 0, bad: 0 };
      return { minute, burn: burnOf(good, bad, share) };
    });
    report.push({ name: object.name, objective: object.body, windows, series });
  }
  return report;
}

/**
 * The report as rows of a table.
 *
 * @param report - the report
 * @returns the rows
 * @example
 * ```ts
 * table.render(burnReport.rows(report));
 * ```
 */
export function rows(report: readonly ObjectiveBurn[]): readonly (readonly string[])[] {
  const windows = Object.keys(WINDOWS);
  return [
    ['OBJECTIVE', 'MEASURE', 'THRESHOLD', 'SHARE', ...windows.map((window) => `BURN ${window}`), 'CALLS 24h'],
    ...report.map(({ name, objective, windows: burns }) => [
      name,
      `${objective.urgency} ${objective.measure}`,
      `${objective.threshold} ms`,
      String(objective.share),
      ...burns.map((window) => window.burn.toFixed(2)),
      String((burns.at(-1)?.good ?? 0) + (burns.at(-1)?.bad ?? 0)),
    ]),
  ];
}
