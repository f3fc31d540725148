/**
 * Helpers for instance announcements: extraction from a record, and identity of incarnations.
 */
import type * as types from './types.js';

/**
 * Extracts the announcement from a record.
 *
 * @param record - an announcement, possibly with further fields
 * @returns only the fields of the announcement, as they are sent between processes
 * @example
 * ```ts
 * announcement.fromRecord(instance);
 * ```
 */
export function fromRecord(record: types.Announcement): types.Announcement {
  const { identity, name, born, service, address, dataCentre, softwareVersion } = record;
  const { slots, state, warmUpLeft, sequence } = record;
  return {
    ...{ identity, name, born, service, address, dataCentre, slots, state, warmUpLeft, sequence },
    ...(softwareVersion !== undefined && { softwareVersion }),
  };
}

/**
 * Returns the identity of one incarnation.
 *
 * State is keyed by identity because a restarted instance keeps its name but counts from 1 with empty memory: keyed by
 * name, it would receive moves of generations that it never ran, and its announcements would be ignored as outdated.
 *
 * @param name - the name of the instance
 * @param born - its start time in Unix milliseconds; 0 if unknown, in which case the name is unique for each start
 * @returns the identity
 * @example
 * ```ts
 * announcement.identityOf('i-7f3a', 1767312000000); // 'i-7f3a@1767312000000'
 * ```
 */
export function identityOf(name: string, born: number): string {
  return born > 0 ? `${name}@${born}` : name;
}

/**
 * Checks whether an announcement contradicts an earlier one of the same identity. An incarnation never changes its
 * service, its address or its software, so a conflicting announcement was sent by another process.
 *
 * @returns true if the later announcement must be ignored
 * @example
 * ```ts
 * announcement.isConflicting(known, { ...known, address: '10.0.0.9:80' }); // true
 * ```
 */
export function isConflicting(known: types.Announcement, announcement: types.Announcement): boolean {
  const { softwareVersion = known.softwareVersion } = announcement;
  return (
    known.service !== announcement.service ||
    known.address !== announcement.address ||
    (known.softwareVersion !== undefined && known.softwareVersion !== softwareVersion)
  );
}
