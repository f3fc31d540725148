/**
 * Counts requests by service and rank, by cause, and by second. Each attempt is counted under exactly one ending, so the
 * counts of all endings add up to the number of attempts.
 */
import * as logLine from '../explain/logLine.js';
import * as requestEnding from './requestEnding.js';

/** Number of attempts for each ending. */
export type EndingCounts = Record<requestEnding.Ending, number>;

/** Counts of one group of attempts, such as a service or a second. */
export interface EndingTotals {
  readonly name: string;
  /** Number of attempts. */
  readonly asked: number;
  readonly counts: Readonly<EndingCounts>;
}

/** Counts of all attempts in the logs. */
export interface LedgerReport {
  /** By service and rank, most attempts first. */
  readonly kinds: readonly EndingTotals[];
  /** By ending and cause, most frequent first. */
  readonly causes: readonly { readonly ending: string; readonly cause: string; readonly count: number }[];
  /** By the second in which the attempts arrived, in order of time. */
  readonly seconds: readonly EndingTotals[];
  readonly asked: number;
}

function emptyCounts(): EndingCounts {
  return {
    answered: 0,
    late: 0,
    failed: 0,
    refused: 0,
    lost: 0,
    timedOut: 0,
    callerLeft: 0,
    notOwed: 0,
    open: 0,
  };
}

function totalsBy(
  endings: readonly requestEnding.RequestEnding[],
  nameOf: (ending: requestEnding.RequestEnding) => string,
): readonly EndingTotals[] {
  const countsByName = new Map<string, EndingCounts>();
  for (const ending of endings) {
    const counts = countsByName.get(nameOf(ending)) ?? emptyCounts();
    counts[ending.ending] += 1;
    countsByName.set(nameOf(ending), counts);
  }
  return [...countsByName].map(([name, counts]) => ({
    name,
    counts,
    asked: requestEnding.ENDINGS.reduce((sum, ending) => sum + counts[ending], 0),
  }));
}

function kindName({ service, rank }: requestEnding.RequestEnding): string {
  const name = service === '' ? '(none)' : service;
  return rank === '' ? name : `${name} rank ${rank}`;
}

/** Placed generations without a final log line: lost if their entry has restarted since, else still open. */
function unfinishedRequests(
  lines: readonly logLine.LogLine[],
  ended: ReadonlySet<string>,
): readonly requestEnding.RequestEnding[] {
  const serviceByInstance = new Map<string, string>();
  const startTimesByProcess = new Map<string, string[]>();
  const lastPlaced = new Map<string, logLine.LogLine>();
  for (const line of lines) {
    const { instance = '', service = '', request = '' } = line.fields;
    if (line.event === 'instanceHeard' || line.event === 'instanceSeen') {
      serviceByInstance.set(instance, service);
    } else if (line.event === 'started') {
      startTimesByProcess.set(line.process, [...(startTimesByProcess.get(line.process) ?? []), line.time]);
    } else if (line.event === 'placed' && !ended.has(request)) {
      lastPlaced.set(request, line);
    }
  }
  return [...lastPlaced.values()].map((line) => {
    const { entry = '', engine = '' } = line.fields;
    const restartedAt = startTimesByProcess.get(entry)?.find((time) => time > line.time);
    return requestEnding.fromPlacement(line, restartedAt, serviceByInstance.get(engine) ?? '');
  });
}

function countCauses(endings: readonly requestEnding.RequestEnding[]): LedgerReport['causes'] {
  const causes = new Map<string, { ending: string; cause: string; count: number }>();
  for (const { ending, cause } of endings) {
    if (cause !== '') {
      const previous = causes.get(`${ending} ${cause}`) ?? { ending, cause, count: 0 };
      causes.set(`${ending} ${cause}`, { ...previous, count: previous.count + 1 });
    }
  }
  return [...causes.values()].sort((left, right) => right.count - left.count);
}

/**
 * Counts the attempts in the logs of several processes.
 *
 * @param texts - texts of the logs; a text may mix the lines of several processes
 * @param thresholds - times above which an answer counts as late
 * @returns the counts; all are zero if no line describes a request
 * @example
 * ```ts
 * ledgerReport.create([entryLog, controlLog], { firstEvent: 1_800, pause: 180 });
 * ```
 */
export function create(texts: readonly string[], thresholds: requestEnding.LatenessThresholds): LedgerReport {
  const lines = logLine.parseLogs(texts);
  const ended = new Map<string, requestEnding.RequestEnding>();
  for (const line of lines) {
    const ending = requestEnding.fromLogLine(line, thresholds);
    if (ending !== undefined) {
      ended.set(ending.request, ending);
    }
  }
  const endings = [...ended.values(), ...unfinishedRequests(lines, new Set(ended.keys()))];
  const totalsByKind = totalsBy(endings, kindName);
  const totalsBySecond = totalsBy(endings, (ending) => ending.second);
  return {
    kinds: [...totalsByKind].sort((left, right) => right.asked - left.asked),
    causes: countCauses(endings),
    seconds: [...totalsBySecond].sort((left, right) => (left.name < right.name ? -1 : 1)),
    asked: endings.length,
  };
}
