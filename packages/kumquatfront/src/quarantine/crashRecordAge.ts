/**
 * Adjusts the ages in crash records for time spent in transit or in storage.
 */
import type * as ports from '../kernel/ports.js';
import type * as types from './types.js';

/**
 * Adds elapsed time to every age in a crash record.
 *
 * @param record - the crash record as it was created
 * @returns a copy of the record with current ages
 * @example
 * ```ts
 * store.merge(crashRecordAge.advance(record, 250), now);
 * ```
 */
export function advance(record: types.CrashRecord, elapsed: ports.Milliseconds): types.CrashRecord {
  const { voidedAge, imposedAge } = record;
  return {
    ...record,
    crashes: record.crashes.map((crash) => ({ ...crash, age: crash.age + elapsed })),
    ...(voidedAge !== undefined && { voidedAge: voidedAge + elapsed }),
    ...(imposedAge !== undefined && { imposedAge: imposedAge + elapsed }),
  };
}
