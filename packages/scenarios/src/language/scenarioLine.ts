/**
 * Parser of scenario lines: a verb, words, and `name=value` options.
 */

/** Parsed line. */
export interface Line {
  readonly number: number;
  readonly text: string;
  readonly verb: string;
  readonly words: readonly string[];
  readonly options: Readonly<Record<string, string>>;
}

/** Error in a scenario, with the line that caused it. */
export class ScenarioError extends Error {
  constructor(line: Line, message: string) {
    super(`line ${line.number}: ${line.text}: ${message}`);
    this.name = 'ScenarioError';
  }
}

/**
 * Parses the text of a scenario; `#` starts a comment.
 *
 * @param text - text of the scenario
 * @returns the lines
 * @example
 * ```ts
 * scenarioLine.parse('engine e1 memory=4000\nadvance 2s');
 * ```
 */
export function parse(text: string): readonly Line[] {
  const lines: Line[] = [];
  for (const [position, raw] of text.split('\n').entries()) {
    const content = raw.replace(/#.*$/, '').trim();
    if (content === '') {
      continue;
    }
    const parts = content.split(/\s+/);
    const options: Record<string, string> = {};
    const words: string[] = [];
    for (const part of parts) {
      const equals = part.indexOf('=');
      if (equals > 0) {
        options[part.slice(0, equals)] = part.slice(equals + 1);
      } else {
        words.push(part);
      }
    }
    const [verb = '', ...rest] = words;
    lines.push({ number: position + 1, text: content, verb, words: rest, options });
  }
  return lines;
}

/**
 * Returns a word of a line.
 *
 * @param position - index of the word after the verb
 * @returns the word
 * @example
 * ```ts
 * const host = scenarioLine.word(current, 0);
 * ```
 */
export function word(line: Line, position: number): string {
  const found = line.words[position];
  if (found === undefined) {
    throw new ScenarioError(line, `word ${position + 1} after the verb is missing`);
  }
  return found;
}

/**
 * Returns the word that follows another, as in `at entry-1`.
 *
 * @param before - preceding word
 * @returns the word; undefined if `before` does not occur
 * @example
 * ```ts
 * const entry = scenarioLine.wordAfter(current, 'at');
 * ```
 */
export function wordAfter(line: Line, before: string): string | undefined {
  const position = line.words.indexOf(before);
  return position < 0 ? undefined : line.words[position + 1];
}

/**
 * Returns a numeric option.
 *
 * @param name - name of the option
 * @param fallback - value if the option is absent
 * @example
 * ```ts
 * const memory = scenarioLine.numberOption(current, 'memory', 6000);
 * ```
 */
export function numberOption(line: Line, name: string, fallback: number): number {
  const text = line.options[name];
  return text === undefined ? fallback : Number(text);
}

const UNITS: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 };

/**
 * Parses a duration such as `500ms`, `2s` or `1h`.
 *
 * @param line - line for the error message
 * @returns milliseconds
 * @example
 * ```ts
 * scenarioLine.parseDuration(current, '2s'); // 2000
 * ```
 */
export function parseDuration(line: Line, text: string): number {
  const [, count = '', unit = ''] = /^(\d+)(ms|s|m|h)$/.exec(text) ?? [];
  const factor = UNITS[unit];
  if (factor === undefined) {
    throw new ScenarioError(line, `"${text}" is not a duration; use a form such as 500ms, 2s, 5m or 1h`);
  }
  return Number(count) * factor;
}
