/**
 * `ledger LOGFILE...`: counts requests by how they ended, by service, cause and second.
 */
import * as kumquatfront from 'kumquatfront';

import type * as commandRunner from '../commandRunner.js';
import * as inputFile from '../inputFile.js';
import * as ledgerReport from './ledgerReport.js';
import * as requestEnding from './requestEnding.js';

/** Maximum number of seconds in the table; those with most refused, lost and failed requests are shown. */
const MAXIMUM_WORST_SECONDS = 8;

const COLUMNS = ['ASKED', ...requestEnding.ENDINGS.map((ending) => ending.toUpperCase())];

function toRow({ name, asked, counts }: ledgerReport.EndingTotals): readonly string[] {
  return [name, String(asked), ...requestEnding.ENDINGS.map((ending) => String(counts[ending]))];
}

function countUnserved({ counts }: ledgerReport.EndingTotals): number {
  return counts.refused + counts.lost + counts.failed;
}

function worstSeconds(seconds: readonly ledgerReport.EndingTotals[]): readonly ledgerReport.EndingTotals[] {
  return seconds
    .filter((second) => countUnserved(second) > 0)
    .sort((left, right) => countUnserved(right) - countUnserved(left))
    .slice(0, MAXIMUM_WORST_SECONDS);
}

function toTable(report: ledgerReport.LedgerReport): readonly (readonly string[])[] {
  return [
    ['SERVICE', ...COLUMNS],
    ...report.kinds.map(toRow),
    ['WORST SECOND', ...COLUMNS],
    ...worstSeconds(report.seconds).map(toRow),
    // Ending and cause share the first column: a long cause in another column would widen the columns of counts.
    ['ENDING AND CAUSE', 'COUNT'],
    ...report.causes.map(({ ending, cause, count }) => [`${ending}: ${cause}`, String(count)]),
  ];
}

/**
 * Counts the requests in log files.
 *
 * @param files - paths of the logs of entries and control replicas
 * @param thresholds - times above which an answer counts as late
 * @returns the counts, or `notFound` if no log line describes a request
 * @example
 * ```ts
 * ledger.run(['entry-1.log', 'control-1.log'], { firstEvent: 1_800, pause: 180 });
 * ```
 */
export function run(
  files: readonly string[],
  thresholds: requestEnding.LatenessThresholds,
): kumquatfront.results.Result<commandRunner.CommandOutput, kumquatfront.failures.Failure> {
  return inputFile.readAll(files).andThen((texts) => {
    const report = ledgerReport.create(texts, thresholds);
    if (report.asked === 0) {
      const remedy = 'Give the logs that entries and control replicas write to their standard output.';
      const message = 'No line of these files describes a request.';
      return kumquatfront.results.Err(kumquatfront.failures.create('notFound', message, remedy));
    }
    return kumquatfront.results.Ok({ rows: toTable(report), value: report });
  });
}
