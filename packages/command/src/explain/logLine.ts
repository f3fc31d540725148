/**
 * Lines of our processes' logs: `key=value` pairs, values with other than plain characters as JSON strings.
 */
import * as kumquatfront from 'kumquatfront';

/** One line, read. */
export interface LogLine {
  /** ISO 8601; sorts as text. */
  readonly time: string;
  readonly process: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, string>>;
}

const PAIR = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

function unquote(value: string): string {
  if (!value.startsWith('"')) {
    return value;
  }
  try {
    return JSON.parse(value) as string;
  } catch {
    // A line that was cut off in the middle of a value still tells what it has.
    return value.slice(1);
  }
}

/**
 * Reads a line.
 *
 * @param text - the line; what stands before its first pair is left out
 * @returns the line; undefined where it is none of ours
 * @example
 * ```ts
 * logLine.parse('time=2026-01-01T00:00:00.000Z process=entry-1 level=info event=started');
 * ```
 */
export function parse(text: string): LogLine | undefined {
  const fields: Record<string, string> = {};
  for (const [, key = '', value = ''] of text.matchAll(PAIR)) {
    fields[key] ??= unquote(value);
  }
  const { time, process, event, level, ...rest } = fields;
  if (time === undefined || process === undefined || event === undefined || level === undefined) {
    return undefined;
  }
  return { time, process, event, fields: rest };
}

/** Events of an instance that a line of several may tell of; see the entry's `instancesSeen`. */
const CHANGES = ['found', 'leaving', 'gone', 'replaced'];

/** A line about several instances as one line for each, named `instanceSeen`; any other line as it is. */
function expand(line: LogLine): readonly LogLine[] {
  if (line.event !== 'instancesSeen') {
    return [line];
  }
  const { control = '' } = line.fields;
  return CHANGES.flatMap((change) => {
    const listed = line.fields[change]?.split(' ') ?? [];
    return listed.map((text) => {
      const [instance = '', service = '', address = ''] = text.split(kumquatfront.instanceLog.PART_SEPARATOR);
      return { ...line, event: 'instanceSeen', fields: { control, change, instance, service, address } };
    });
  });
}

/** Orders lines by time without reading it, as ISO 8601 allows. */
export function byTime(left: LogLine, right: LogLine): number {
  return left.time < right.time ? -1 : left.time > right.time ? 1 : 0;
}

/**
 * Reads whole logs.
 *
 * @param texts - one log for each process, or mixed
 * @returns their lines in order of time, those about several instances as one for each
 * @example
 * ```ts
 * logLine.readAll([entryLog, controlLog]);
 * ```
 */
export function readAll(texts: readonly string[]): readonly LogLine[] {
  return texts
    .flatMap((text) => text.split('\n'))
    .map(parse)
    .filter((line) => line !== undefined)
    .flatMap(expand)
    .sort(byTime);
}
