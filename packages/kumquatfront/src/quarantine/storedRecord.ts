/**
 * Crash record of one cause as a process keeps it, with the times of its own clock.
 */
import type * as ports from '../kernel/ports.js';
import type * as partVerdicts from './partVerdicts.js';
import type * as types from './types.js';

/** A crash record; see the module comment. */
export interface StoredRecord {
  readonly content: string;
  /** Crashes by instance. */
  readonly crashes: Map<string, partVerdicts.PartCrash>;
  /** Crashes up to this time are void. */
  voidedAt: ports.Milliseconds;
  quarantinedAt: ports.Milliseconds | undefined;
  /** Time at which a quarantine from the replicated log was applied; negative infinity if never. */
  imposedAt: ports.Milliseconds;
  /** Number of expired quarantines. */
  lapses: number;
  revision: number;
  changedAt: ports.Milliseconds;
}

/**
 * Creates a record without crashes.
 *
 * @example
 * ```ts
 * records.set(cause, storedRecord.create(cause, now));
 * ```
 */
export function create(content: string, now: ports.Milliseconds): StoredRecord {
  return {
    content,
    crashes: new Map(),
    voidedAt: Number.NEGATIVE_INFINITY,
    quarantinedAt: undefined,
    imposedAt: Number.NEGATIVE_INFINITY,
    lapses: 0,
    revision: 0,
    changedAt: now,
  };
}

/**
 * State whose change counts as a change of the record; excludes times, which shift slightly with each transfer.
 *
 * @example
 * ```ts
 * JSON.stringify(storedRecord.comparableStateOf(stored));
 * ```
 */
export function comparableStateOf(stored: StoredRecord): unknown {
  const { crashes, quarantinedAt, lapses } = stored;
  const runs = [...crashes].map(([instance, crash]) => [instance, crash.content]);
  return [runs.sort(), quarantinedAt !== undefined, lapses];
}

/**
 * Time of the last crash, or a least time if that is later.
 *
 * @example
 * ```ts
 * storedRecord.latestCrashOf(stored, stored.imposedAt);
 * ```
 */
export function latestCrashOf({ crashes }: StoredRecord, least: ports.Milliseconds): ports.Milliseconds {
  return Math.max(least, ...[...crashes.values()].map(({ at }) => at));
}

/**
 * The record for other processes, with ages in place of times.
 *
 * @example
 * ```ts
 * storedRecord.toCrashRecord(stored, now);
 * ```
 */
export function toCrashRecord(stored: StoredRecord, now: ports.Milliseconds): types.CrashRecord {
  const { content, crashes, voidedAt, imposedAt, lapses } = stored;
  return {
    content,
    crashes: [...crashes].map(([instance, crash]) => ({
      instance,
      age: Math.round(now - crash.at),
      ...(crash.content !== '' && { content: crash.content }),
    })),
    ...(Number.isFinite(voidedAt) && { voidedAge: Math.round(now - voidedAt) }),
    ...(imposedAt > voidedAt && { imposedAge: Math.round(now - imposedAt) }),
    lapses,
  };
}
