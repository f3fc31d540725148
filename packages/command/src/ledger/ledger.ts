/**
 * `ledger LOGFILE...`: what was asked on an evening and how it ended, by service, cause and second.
 */
import * as kumquatfront from 'kumquatfront';

import type * as commandRunner from '../commandRunner.js';
import * as inputFile from '../inputFile.js';
import * as accounts from './accounts.js';
import * as requestEnding from './requestEnding.js';

/** Seconds that the table shows: those in which most was refused, lost or failed. */
const WORST_SECONDS = 8;

const COLUMNS = ['ASKED', ...requestEnding.ENDINGS.map((ending) => ending.toUpperCase())];

function rowOf({ name, asked, counts }: accounts.Account): readonly string[] {
  return [name, String(asked), ...requestEnding.ENDINGS.map((ending) => String(counts[ending]))];
}

function unserved({ counts }: accounts.Account): number {
  return counts.refused + counts.lost + counts.failed;
}

function worstOf(seconds: readonly accounts.Account[]): readonly accounts.Account[] {
  return seconds
    .filter((second) => unserved(second) > 0)
    .sort((left, right) => unserved(right) - unserved(left))
    .slice(0, WORST_SECONDS);
}

function table(sums: accounts.Accounts): readonly (readonly string[])[] {
  return [
    ['SERVICE', ...COLUMNS],
    ...sums.kinds.map(rowOf),
    ['WORST SECOND', ...COLUMNS],
    ...worstOf(sums.seconds).map(rowOf),
    // The cause stands in the first column, which is wide already: in another it would push all numbers apart.
    ['ENDING AND CAUSE', 'COUNT'],
    ...sums.causes.map(({ ending, cause, count }) => [`${ending}: ${cause}`, String(count)]),
  ];
}

/**
 * Adds up an evening.
 *
 * @param files - logs of entries and control
 * @param rules - what counts as late
 * @returns the accounts; `notFound` where no log tells of a request
 * @example
 * ```ts
 * ledger.run(['entry-1.log', 'control-1.log'], { firstEvent: 1_800, pause: 180 });
 * ```
 */
export function run(
  files: readonly string[],
  rules: requestEnding.LateRules,
): kumquatfront.results.Result<commandRunner.Shown, kumquatfront.failures.Failure> {
  return inputFile.readAll(files).andThen((texts) => {
    const sums = accounts.of(texts, rules);
    if (sums.asked === 0) {
      const remedy = 'Give the logs that entries and control write to their standard output.';
      const message = 'No line of these files tells of a request.';
      return kumquatfront.results.Err(kumquatfront.failures.create('notFound', message, remedy));
    }
    return kumquatfront.results.Ok({ rows: table(sums), value: sums });
  });
}
