/**
 * Lines of our processes' logs: `key=value` pairs, values with other than plain characters as JSON strings.
 */

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
