/**
 * Splits the log of a process that is restarted into its lives, and tells how each of them ended.
 */

/** What a process has written between its start and its end. */
export interface ProcessLife {
  /** The text of the fatal error; undefined if there is none. */
  readonly fatalText: string | undefined;
  /** Lines of the log after the one that tells the start, without those of the fatal error. */
  readonly lineCount: number;
  /** Events of level `warn` and `error` among them, with how often each was written. */
  readonly warnings: ReadonlyMap<string, number>;
}

const STARTED = /\bevent=started\b/;
const FATAL = /^FATAL ERROR: (.+?)(?: - JavaScript heap out of memory)?$/;
const LOG_LINE = /\blevel=(\w+) event=(\w+)/;

function lifeOf(lines: readonly string[]): ProcessLife {
  const warnings = new Map<string, number>();
  let fatalText: string | undefined;
  let lineCount = 0;
  for (const line of lines) {
    fatalText ??= FATAL.exec(line)?.[1];
    const [, level, event] = LOG_LINE.exec(line) ?? [];
    lineCount += event === undefined ? 0 : 1;
    if (event !== undefined && (level === 'warn' || level === 'error')) {
      warnings.set(event, (warnings.get(event) ?? 0) + 1);
    }
  }
  return { fatalText, lineCount, warnings };
}

/**
 * Returns the lives of a process in the order of its log.
 *
 * @param log - standard output and standard error of all its starts
 * @example
 * ```ts
 * const [first] = processLives.of(entry.log);
 * first?.fatalText; // 'Reached heap limit Allocation failed'
 * ```
 */
export function of(log: string): readonly ProcessLife[] {
  const lives: string[][] = [];
  for (const line of log.split('\n')) {
    if (STARTED.test(line)) {
      lives.push([]);
    } else {
      lives.at(-1)?.push(line);
    }
  }
  return lives.map(lifeOf);
}

/** Adds up how often each event was written. */
export function sumOfWarnings(lives: readonly ProcessLife[]): ReadonlyMap<string, number> {
  const sum = new Map<string, number>();
  for (const [event, count] of lives.flatMap(({ warnings }) => [...warnings])) {
    sum.set(event, (sum.get(event) ?? 0) + count);
  }
  return sum;
}

/** Counts the lives that ended by each fatal error. */
export function fatalTexts(lives: readonly ProcessLife[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { fatalText } of lives) {
    if (fatalText !== undefined) {
      counts.set(fatalText, (counts.get(fatalText) ?? 0) + 1);
    }
  }
  return counts;
}
