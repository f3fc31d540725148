/**
 * What an instance said, without what its keeper noted besides, and how its incarnations are told apart.
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
  const { identity, name, born, service, address, dataCentre, slots, state, warmUpLeft, sequence } = record;
  return { identity, name, born, service, address, dataCentre, slots, state, warmUpLeft, sequence };
}

/**
 * Identity of one incarnation.
 *
 * Pattern: an instance crashes and starts again under its name, its counts from 1, its memory empty. Taken for the
 * same, it is sent moves of generations that it never had, and its announcements look older than those of the
 * incarnation before, so that it gets no request. Everything here is kept by identity, so that nothing of one
 * incarnation is taken for another's.
 *
 * @param name - what the instance calls itself
 * @param born - its start in Unix milliseconds; 0 where it does not say, and its name is new at each start
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
 * True where an announcement under a known identity cannot be that incarnation's: it never changes its service or
 * its address, so somebody else wrote it.
 *
 * @param known - what was heard before
 * @param announcement - what claims to be the same
 * @returns whether it is to be left out
 * @example
 * ```ts
 * announcement.isForeign(known, { ...known, address: '10.0.0.9:80' }); // true
 * ```
 */
export function isForeign(known: types.Announcement, announcement: types.Announcement): boolean {
  return known.service !== announcement.service || known.address !== announcement.address;
}
