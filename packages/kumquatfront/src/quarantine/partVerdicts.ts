/**
 * Verdicts on parts of prompts, from the crashes of upstreams that had begun no answer on them.
 *
 * A part that crashes engines shares each crash with harmless parts: those before and after it in the same request, and those
 * of requests that ran beside it. A harmless part is cleared by the next event of any request that has it. What no event
 * has cleared yet is told apart by trials: single requests that either crash one more upstream, or clear a part.
 */
import type * as ports from '../kernel/ports.js';

/** Crash of an upstream while a request with a part waited there for its first event. */
export interface PartCrash {
  readonly at: ports.Milliseconds;
  /** Digest of the request that ran. */
  readonly content: string;
}

/**
 * - `quarantined`: the part explains all crashes since its first one, and no event has shown it harmless shortly before.
 * - `trial`: another cause is likely as well; single requests decide.
 */
export type PartState = 'quarantined' | 'trial';

/** Verdict on one part. */
export interface PartVerdict {
  readonly state: PartState;
  /** Parts that were there at exactly the same crashes: only a request that has them all is known to crash. */
  readonly companions: readonly string[];
  /** Time from which a single request may show that the part is harmless by now. */
  readonly nextTrialAt: ports.Milliseconds;
}

/** Crashes of one part by upstream instance, and when it was quarantined by the replicated log. */
export interface PartRecord {
  readonly crashes: ReadonlyMap<string, PartCrash>;
  /** Time of the last event of a request with the part; negative infinity if none is known. */
  readonly harmlessAt: ports.Milliseconds;
  readonly quarantinedAt: ports.Milliseconds;
  readonly imposed: boolean;
}

/** Crashes at different times that a verdict needs. */
export const INCIDENTS_NEEDED = 3;

/** Crashes at different times after which a part is quarantined although other upstreams crashed as well. */
const INCIDENTS_DESPITE_OTHERS = 4;

/** The same numbers for a part that was harmless shortly before. */
const INCIDENTS_IF_RECENTLY_HARMLESS = 6;
const INCIDENTS_DESPITE_RECENTLY_HARMLESS = 8;

/** A part with an event within this time before its first crash was harmless shortly before. */
const RECENTLY_HARMLESS: ports.Milliseconds = 60_000;

/** Upstreams that crash within this time may have a common cause outside of requests, such as a rack that fails. */
const COMMON_CAUSE_WINDOW: ports.Milliseconds = 100;

/** Crashes count together within this time. */
const EVIDENCE_WINDOW: ports.Milliseconds = 120_000;

/** Time from the last crash to the next trial of a quarantined part, and its growth with each trial that crashed. */
const FIRST_TRIAL_DELAY: ports.Milliseconds = 30_000;
const FIRST_TRIAL_DELAY_IF_RECENTLY_HARMLESS: ports.Milliseconds = 2_000;
const TRIAL_DELAY_GROWTH = 6;
const MAXIMUM_TRIAL_DELAY: ports.Milliseconds = 3_600_000;

/** Time after a verdict in which runs that had been sent before it may still crash. */
const SETTLING_TIME: ports.Milliseconds = 5_000;

/** Number of crashes, where those at the same time count as one. */
function incidentsOf(crashes: Iterable<PartCrash>): number {
  const times = [...crashes].map(({ at }) => at).sort((left, right) => left - right);
  const recent = times.filter((at) => at > (times.at(-1) ?? 0) - EVIDENCE_WINDOW);
  let incidents = 0;
  let startedAt = Number.NEGATIVE_INFINITY;
  for (const at of recent) {
    if (at - startedAt > COMMON_CAUSE_WINDOW) {
      incidents += 1;
      startedAt = at;
    }
  }
  return incidents;
}

function isRecentlyHarmless(crashes: Iterable<PartCrash>, harmlessAt: ports.Milliseconds): boolean {
  return Math.min(...[...crashes].map(({ at }) => at)) - harmlessAt < RECENTLY_HARMLESS;
}

/**
 * Decides whether crashes give a part a verdict. Repetitions of one request do not: their cause may be all of it.
 *
 * @param harmlessAt - time of the last event of a request with the part; negative infinity if none is known
 * @returns true if the part is on trial or quarantined
 * @example
 * ```ts
 * partVerdicts.areEvidence(stored.crashes.values(), stored.voidedAt);
 * ```
 */
export function areEvidence(crashes: Iterable<PartCrash>, harmlessAt: ports.Milliseconds): boolean {
  const known = [...crashes];
  const needed = isRecentlyHarmless(known, harmlessAt) ? INCIDENTS_IF_RECENTLY_HARMLESS : INCIDENTS_NEEDED;
  return new Set(known.map(({ content }) => content)).size > 1 && incidentsOf(known) >= needed;
}

function isSubset(left: ReadonlyMap<string, unknown>, right: ReadonlyMap<string, unknown>): boolean {
  return [...left.keys()].every((instance) => right.has(instance));
}

/**
 * Verdicts on all parts that have evidence against them. They depend on the records alone, so that all processes come to
 * the same ones in whatever order records arrive.
 *
 * @param records - records of parts with evidence against them, by key
 * @param allCrashes - times of all known crashes, by instance
 * @returns verdicts by key; a part whose crashes another part explains has none
 * @example
 * ```ts
 * const verdicts = partVerdicts.evaluate(records, crashTimes);
 * ```
 */
export function evaluate(
  records: ReadonlyMap<string, PartRecord>,
  allCrashes: ReadonlyMap<string, ports.Milliseconds>,
): ReadonlyMap<string, PartVerdict> {
  const verdicts = new Map<string, PartVerdict>();
  for (const [key, record] of records) {
    const others = [...records].filter(([other]) => other !== key);
    const { crashes } = record;
    const isExplained = others.some(
      ([, other]) => crashes.size < other.crashes.size && isSubset(crashes, other.crashes),
    );
    if (isExplained && !record.imposed) {
      continue;
    }
    const companions = others
      .filter(([, other]) => crashes.size === other.crashes.size && isSubset(crashes, other.crashes))
      .map(([other]) => other);
    const isSure = incidentsOf(crashes.values()) >= incidentsNeeded(record, others, allCrashes);
    verdicts.set(key, {
      state: record.imposed || isSure ? 'quarantined' : 'trial',
      companions: record.imposed ? [] : companions,
      nextTrialAt: nextTrialAt(record),
    });
  }
  return verdicts;
}

function incidentsNeeded(
  record: PartRecord,
  others: readonly (readonly [string, PartRecord])[],
  allCrashes: ReadonlyMap<string, ports.Milliseconds>,
): number {
  if (isRecentlyHarmless(record.crashes.values(), record.harmlessAt)) {
    return INCIDENTS_DESPITE_RECENTLY_HARMLESS;
  }
  return hasOtherCrashes(record, others, allCrashes) ? INCIDENTS_DESPITE_OTHERS : INCIDENTS_NEEDED;
}

/** True if upstreams crashed, between the first crash and the last, that neither the part nor any other explains. */
function hasOtherCrashes(
  { crashes }: PartRecord,
  others: readonly (readonly [string, PartRecord])[],
  allCrashes: ReadonlyMap<string, ports.Milliseconds>,
): boolean {
  const times = [...crashes.values()].map(({ at }) => at);
  const first = Math.min(...times);
  const last = Math.max(...times);
  for (const [instance, at] of allCrashes) {
    const isBetween = at >= first && at <= last && !crashes.has(instance);
    if (isBetween && !others.some(([, other]) => other.crashes.has(instance))) {
      return true;
    }
  }
  return false;
}

function nextTrialAt({ crashes, harmlessAt, quarantinedAt }: PartRecord): ports.Milliseconds {
  const times = [...crashes.values()].map(({ at }) => at);
  const failedTrials = incidentsOf(
    [...crashes.values()].filter(({ at }) => at > quarantinedAt + SETTLING_TIME),
  );
  const firstDelay = isRecentlyHarmless(crashes.values(), harmlessAt)
    ? FIRST_TRIAL_DELAY_IF_RECENTLY_HARMLESS
    : FIRST_TRIAL_DELAY;
  const delay = Math.min(firstDelay * TRIAL_DELAY_GROWTH ** failedTrials, MAXIMUM_TRIAL_DELAY);
  return Math.max(quarantinedAt, ...times) + delay;
}
