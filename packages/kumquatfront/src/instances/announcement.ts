/**
 * What an instance said, without what its keeper noted besides.
 */
import type * as types from './types.js';

/**
 * Takes the announcement out of a record.
 *
 * @param record - an announcement, perhaps with further fields
 * @returns the announcement alone, as it goes between processes
 * @example
 * ```ts
 * announcement.of(instance);
 * ```
 */
export function of(record: types.Announcement): types.Announcement {
  const { identity, service, address, dataCentre, slots, state, warmUpLeft, sequence } = record;
  return { identity, service, address, dataCentre, slots, state, warmUpLeft, sequence };
}
