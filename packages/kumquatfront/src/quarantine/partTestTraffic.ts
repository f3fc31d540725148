/**
 * Traffic for tests of parts of prompts that crash engines: sound requests, and requests with a part that crashes whatever
 * begins to write on it. No two requests are alike.
 */
import * as seededRandom from '../adapters/seededRandom.js';
import type * as ports from '../kernel/ports.js';
import * as crashTestHarness from './crashTestHarness.js';

/** Part that all requests share. */
export const FIRST_PART = 'first';

/** A stream of requests with the same parts. */
export interface Stream {
  readonly parts: readonly string[];
  readonly perSecond: number;
  /** Time after the start of the traffic at which it begins and ends. */
  readonly from?: ports.Milliseconds;
  readonly until?: ports.Milliseconds;
  readonly account?: string;
}

/** Content of a request; it tells its parts, and which of a stream it is. */
export function contentOf(parts: readonly string[], index: number): string {
  return `${parts.join('+')} #${index}`;
}

/** True if the content has a part. */
export function hasPart(content: string, part: string): boolean {
  return content.split(' ')[0]?.split('+').includes(part) === true;
}

/** Effect of a request: it crashes its engine if it has one of the parts. */
export function crashingParts(...crashing: readonly string[]): (content: string) => crashTestHarness.Effect {
  return (content) => (crashing.some((part) => hasPart(content, part)) ? 'crashes' : 'served');
}

/** Sends streams of requests to random entries for some time. */
export function send(
  harness: crashTestHarness.CrashTestHarness,
  streams: readonly Stream[],
  length: ports.Milliseconds,
): void {
  const random = seededRandom.create(17);
  for (const { parts, perSecond, from = 0, until = length, account } of streams) {
    const count = Math.floor(((until - from) / 1_000) * perSecond);
    for (let index = 0; index < count; index += 1) {
      harness.time.after(from + ((index + random.next()) * 1_000) / perSecond, () => {
        const { entryNames } = harness;
        const entry = entryNames[Math.floor(random.next() * entryNames.length)] ?? '';
        harness.sendRequest(entry, 'llm', contentOf(parts, index), undefined, account, parts);
      });
    }
  }
  harness.time.advance(length);
}

/** Times at which requests with a part reached an engine. */
export function arrivalsWith(
  harness: crashTestHarness.CrashTestHarness,
  part: string,
): readonly ports.Milliseconds[] {
  return harness.upstreams.arrivals.filter(({ content }) => hasPart(content, part)).map(({ at }) => at);
}

/** Times of crashes that a part caused. */
export function crashesBy(
  harness: crashTestHarness.CrashTestHarness,
  part: string,
): readonly ports.Milliseconds[] {
  return harness.upstreams.crashes.filter(({ content }) => hasPart(content, part)).map(({ at }) => at);
}

/** Share of the attempts of a stream, begun in a time, that were served. */
export function servedShare(
  harness: crashTestHarness.CrashTestHarness,
  parts: readonly string[],
  from: ports.Milliseconds,
  to: ports.Milliseconds,
): number {
  const attempts = harness.attempts.filter(
    ({ content, startedAt }) =>
      content.split(' ')[0] === parts.join('+') && startedAt >= from && startedAt < to,
  );
  return attempts.filter(({ outcome }) => outcome === 'served').length / attempts.length;
}
