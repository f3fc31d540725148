/**
 * Ages of cases that are on their way or kept for a while.
 */
import type * as ports from '../kernel/ports.js';
import type * as types from './types.js';

/**
 * A case some time after it was recorded.
 *
 * @param record - the case as it was recorded
 * @param time - how long ago that was
 * @returns the same case with ages that hold now
 * @example
 * ```ts
 * ledger.merge(caseAge.after(record, 250), now);
 * ```
 */
export function after(record: types.CaseRecord, time: ports.Milliseconds): types.CaseRecord {
  const { voidedAge, imposedAge } = record;
  return {
    ...record,
    crashes: record.crashes.map(({ instance, age }) => ({ instance, age: age + time })),
    ...(voidedAge !== undefined && { voidedAge: voidedAge + time }),
    ...(imposedAge !== undefined && { imposedAge: imposedAge + time }),
  };
}
