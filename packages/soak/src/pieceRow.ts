/**
 * Rows of the table that `npm run measure:pieces` prints.
 */
import type * as keptCalls from './keptCalls.js';
import type * as pieceKinds from './pieceKinds.js';
import * as processLives from './processLives.js';

/** The head of the table. */
export const HEADER = [
  '| Kind | Ends at each entry | Fatal error | Warnings of the lives that ended | Lines of the last one | Peak MB | Plain calls of others | Streams of others |',
  '| --- | --- | --- | --- | --- | --- | --- | --- |',
].join('\n');

function list(counts: ReadonlyMap<string, number>): string {
  const parts = [...counts].map(([text, count]) => `${text} ${count}`);
  return parts.length === 0 ? '-' : parts.join(', ');
}

function callsOf({ answered, refused, cut, lostKept, lostNew, unreachable }: keptCalls.KeptCounts): string {
  const failed = `${cut} cut, ${lostKept} + ${lostNew} lost, ${unreachable} unreachable`;
  return `${answered} answered, ${refused} refused, ${failed}`;
}

/**
 * Returns the row of a kind. Values of several entries are separated by `;`.
 *
 * Lost calls are those on kept and on new connections. Warnings of the lives that did not end follow in brackets.
 *
 * @example
 * ```ts
 * pieceRow.of('sound', results); // | sound | 0; 0 | - | - | - | 90; 91 | ...
 * ```
 */
export function of(name: string, results: readonly pieceKinds.EntryResult[]): string {
  const lives = results.flatMap(({ log }) => processLives.of(log));
  const ended = lives.filter(({ fatalText }) => fatalText !== undefined);
  const others = lives.filter(({ fatalText }) => fatalText === undefined);
  const ends = results.map(({ exits }) => exits).join('; ');
  const peaks = results.map(({ peakMegabytes }) => Math.round(peakMegabytes)).join('; ');
  const warnings = `${list(processLives.sumOfWarnings(ended))} (${list(processLives.sumOfWarnings(others))})`;
  const plain = results.map((result) => callsOf(result.plain)).join('; ');
  const streams = results.map((result) => callsOf(result.streams)).join('; ');
  const cells = [name, ends, list(processLives.fatalTexts(lives)), warnings];
  return `| ${[...cells, ended.at(-1)?.lineCount ?? '-', peaks, plain, streams].join(' | ')} |`;
}
