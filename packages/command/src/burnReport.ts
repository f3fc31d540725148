/**
 * Computes error budget burn rates: the share of bad calls in a window divided by the share that the objective allows.
 * A burn rate of 1 uses the budget up exactly.
 */
import type * as kumquatfront from 'kumquatfront';

/** Burn rate of one objective over one time window. */
export interface WindowBurn {
  readonly window: string;
  readonly good: number;
  readonly bad: number;
  readonly burn: number;
}

/** Burn rates of one objective. */
export interface ObjectiveBurn {
  readonly name: string;
  readonly objective: kumquatfront.configurationTypes.ObjectiveBody;
  readonly windows: readonly WindowBurn[];
  /** Burn rate per minute over the plotted period, oldest first. */
  readonly series: readonly { readonly minute: number; readonly burn: number }[];
}

const MINUTE = 60_000;
const WINDOW_MINUTES: Readonly<Record<string, number>> = { '5m': 5, '1h': 60, '6h': 360, '24h': 1_440 };
const PLOTTED_MINUTES = 60;

type CountsByMinute = ReadonlyMap<number, kumquatfront.burnRecorder.BurnCount>;

/** Sums the counts of all entries for one objective, by minute. */
function mergeCounts(
  countsByEntry: readonly kumquatfront.burnRecorder.BurnCounts[],
  name: string,
): CountsByMinute {
  const merged = new Map<number, kumquatfront.burnRecorder.BurnCount>();
  for (const counts of countsByEntry) {
    for (const [minute, count] of Object.entries(counts[name] ?? {})) {
      const sum = merged.get(Number(minute)) ?? { good: 0, bad: 0 };
      merged.set(Number(minute), { good: sum.good + count.good, bad: sum.bad + count.bad });
    }
  }
  return merged;
}

function burnRate(good: number, bad: number, share: number): number {
  const total = good + bad;
  return total === 0 ? 0 : bad / total / (1 - share);
}

function burnInWindow(
  counts: CountsByMinute,
  window: string,
  minutes: number,
  now: number,
  share: number,
): WindowBurn {
  let good = 0;
  let bad = 0;
  for (const [minute, count] of counts) {
    if (minute > now - minutes) {
      good += count.good;
      bad += count.bad;
    }
  }
  return { window, good, bad, burn: burnRate(good, bad, share) };
}

/**
 * Computes the burn rates of all objectives.
 *
 * @param countsByEntry - good and bad calls by objective and minute, one item per entry
 * @param wallTime - current time in milliseconds since the Unix epoch
 * @example
 * ```ts
 * const report = burnReport.create(objectives, counts, clock.wall());
 * ```
 */
export function create(
  objectives: readonly kumquatfront.configurationTypes.ConfigurationObject[],
  countsByEntry: readonly kumquatfront.burnRecorder.BurnCounts[],
  wallTime: number,
): readonly ObjectiveBurn[] {
  const now = Math.floor(wallTime / MINUTE);
  const report: ObjectiveBurn[] = [];
  for (const object of objectives) {
    if (object.kind !== 'objective') {
      continue;
    }
    const counts = mergeCounts(countsByEntry, object.name);
    const { share } = object.body;
    const windows = Object.entries(WINDOW_MINUTES).map(([window, minutes]) =>
      burnInWindow(counts, window, minutes, now, share),
    );
    const series = Array.from({ length: PLOTTED_MINUTES }, (_, position) => {
      const minute = now - PLOTTED_MINUTES + 1 + position;
      const { good, bad } = counts.get(minute) ?? { good: 0, bad: 0 };
      return { minute, burn: burnRate(good, bad, share) };
    });
    report.push({ name: object.name, objective: object.body, windows, series });
  }
  return report;
}

/**
 * Formats the report as table rows.
 *
 * @param report - the report
 * @returns the header row and one row per objective
 * @example
 * ```ts
 * table.render(burnReport.rows(report));
 * ```
 */
export function rows(report: readonly ObjectiveBurn[]): readonly (readonly string[])[] {
  const windows = Object.keys(WINDOW_MINUTES);
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
