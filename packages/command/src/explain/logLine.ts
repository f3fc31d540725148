/**
 * Parses the logs of entries and control replicas: lines of `key=value` pairs, where values with special characters are
 * JSON strings.
 */
import * as kumquatfront from 'kumquatfront';

/** One parsed log line. */
export interface LogLine {
  /** ISO 8601, so that times compare as strings. */
  readonly time: string;
  readonly process: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, string>>;
}

const KEY_VALUE_PAIR = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)/g;

function unquote(value: string): string {
  if (!value.startsWith('"')) {
    return value;
  }
  try {
    return JSON.parse(value) as string;
  } catch {
    // The value of a truncated line has no closing quote; the part that was written is kept.
    return value.slice(1);
  }
}

/**
 * Parses one log line.
 *
 * @param text - the line; text before the first pair is ignored
 * @returns the parsed line, or undefined if it lacks a required field
 * @example
 * ```ts
 * logLine.parse('time=2026-01-01T00:00:00.000Z process=entry-1 level=info event=started');
 * ```
 */
export function parse(text: string): LogLine | undefined {
  const fields: Record<string, string> = {};
  for (const [, key = '', value = ''] of text.matchAll(KEY_VALUE_PAIR)) {
    fields[key] ??= unquote(value);
  }
  const { time, process, event, level, ...rest } = fields;
  if (time === undefined || process === undefined || event === undefined || level === undefined) {
    return undefined;
  }
  return { time, process, event, fields: rest };
}

/** Fields of an `instancesSeen` line, each of which lists the instances with that change. */
const INSTANCE_CHANGES = ['found', 'leaving', 'gone', 'replaced'];

/** Splits an `instancesSeen` line into one `instanceSeen` line per instance; returns other lines unchanged. */
function splitByInstance(line: LogLine): readonly LogLine[] {
  if (line.event !== 'instancesSeen') {
    return [line];
  }
  const { control = '' } = line.fields;
  return INSTANCE_CHANGES.flatMap((change) => {
    const listed = line.fields[change]?.split(' ') ?? [];
    return listed.map((text) => {
      const [instance = '', service = '', address = ''] = text.split(kumquatfront.instanceLog.PART_SEPARATOR);
      return { ...line, event: 'instanceSeen', fields: { control, change, instance, service, address } };
    });
  });
}

/** Comparison function that sorts lines by time. */
export function compareByTime(left: LogLine, right: LogLine): number {
  return left.time < right.time ? -1 : left.time > right.time ? 1 : 0;
}

/**
 * Parses complete logs.
 *
 * @param texts - texts of the logs; a text may mix the lines of several processes
 * @returns the parsed lines in order of time, `instancesSeen` lines split by instance
 * @example
 * ```ts
 * logLine.parseLogs([entryLog, controlLog]);
 * ```
 */
export function parseLogs(texts: readonly string[]): readonly LogLine[] {
  return texts
    .flatMap((text) => text.split('\n'))
    .map(parse)
    .filter((line) => line !== undefined)
    .flatMap(splitByInstance)
    .sort(compareByTime);
}
