/**
 * Requests of an evening, added up: by service and rank, by cause, and by second. Each attempt stands in exactly one
 * column, so the columns sum to what was asked.
 */
import * as logLine from '../explain/logLine.js';
import * as requestEnding from './requestEnding.js';

/** Attempts by how they ended. */
export type Counts = Record<requestEnding.Ending, number>;

/** One line of the accounts. */
export interface Account {
  readonly name: string;
  readonly asked: number;
  readonly counts: Readonly<Counts>;
}

/** All of them. */
export interface Accounts {
  /** By service and rank, most asked first. */
  readonly kinds: readonly Account[];
  /** By ending and cause, most first. */
  readonly causes: readonly { readonly ending: string; readonly cause: string; readonly count: number }[];
  /** By the second in which they came, in order of time. */
  readonly seconds: readonly Account[];
  readonly asked: number;
}

function emptyCounts(): Counts {
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

function accountsBy(
  endings: readonly requestEnding.RequestEnding[],
  nameOf: (ending: requestEnding.RequestEnding) => string,
): readonly Account[] {
  const accounts = new Map<string, Counts>();
  for (const ending of endings) {
    const counts = accounts.get(nameOf(ending)) ?? emptyCounts();
    counts[ending.ending] += 1;
    accounts.set(nameOf(ending), counts);
  }
  return [...accounts].map(([name, counts]) => ({
    name,
    counts,
    asked: requestEnding.ENDINGS.reduce((sum, ending) => sum + counts[ending], 0),
  }));
}

function kindOf({ service, rank }: requestEnding.RequestEnding): string {
  const name = service === '' ? '(none)' : service;
  return rank === '' ? name : `${name} rank ${rank}`;
}

/** Placed generations without an end, judged by whether their entry has started again since. */
function unended(
  lines: readonly logLine.LogLine[],
  ended: ReadonlySet<string>,
): readonly requestEnding.RequestEnding[] {
  const serviceOf = new Map<string, string>();
  const startsOf = new Map<string, string[]>();
  const lastPlaced = new Map<string, logLine.LogLine>();
  for (const line of lines) {
    const { instance = '', service = '', request = '' } = line.fields;
    if (line.event === 'instanceHeard' || line.event === 'instanceSeen') {
      serviceOf.set(instance, service);
    } else if (line.event === 'started') {
      startsOf.set(line.process, [...(startsOf.get(line.process) ?? []), line.time]);
    } else if (line.event === 'placed' && !ended.has(request)) {
      lastPlaced.set(request, line);
    }
  }
  return [...lastPlaced.values()].map((line) => {
    const { entry = '', engine = '' } = line.fields;
    const restartedAt = startsOf.get(entry)?.find((time) => time > line.time);
    return requestEnding.withoutEnd(line, restartedAt, serviceOf.get(engine) ?? '');
  });
}

function causesOf(endings: readonly requestEnding.RequestEnding[]): Accounts['causes'] {
  const causes = new Map<string, { ending: string; cause: string; count: number }>();
  for (const { ending, cause } of endings) {
    if (cause !== '') {
      const known = causes.get(`${ending} ${cause}`) ?? { ending, cause, count: 0 };
      causes.set(`${ending} ${cause}`, { ...known, count: known.count + 1 });
    }
  }
  return [...causes.values()].sort((left, right) => right.count - left.count);
}

/**
 * Adds up the logs of many processes.
 *
 * @param texts - whole logs, one for each process or mixed
 * @param rules - what counts as late
 * @returns the accounts; nothing asked where no line tells of a request
 * @example
 * ```ts
 * accounts.of([entryLog, controlLog], { firstEvent: 1_800, pause: 180 });
 * ```
 */
export function of(texts: readonly string[], rules: requestEnding.LateRules): Accounts {
  const lines = logLine.readAll(texts);
  const ended = new Map<string, requestEnding.RequestEnding>();
  for (const line of lines) {
    const ending = requestEnding.of(line, rules);
    if (ending !== undefined) {
      ended.set(ending.request, ending);
    }
  }
  const endings = [...ended.values(), ...unended(lines, new Set(ended.keys()))];
  const kinds = accountsBy(endings, kindOf);
  const seconds = accountsBy(endings, (ending) => ending.second);
  return {
    kinds: [...kinds].sort((left, right) => right.asked - left.asked),
    causes: causesOf(endings),
    seconds: [...seconds].sort((left, right) => (left.name < right.name ? -1 : 1)),
    asked: endings.length,
  };
}
