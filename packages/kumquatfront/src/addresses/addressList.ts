/**
 * Orders the entry addresses offered to a caller by preference.
 */
import type * as directory from '../directory/types.js';
import type * as ports from '../kernel/ports.js';

/** An entry address in the response to a caller. */
export interface EntryAddress {
  readonly address: string;
  readonly dataCentre: string;
}

const RANK_OWN_DATA_CENTRE = 0;
const RANK_OTHER_DATA_CENTRE = 1;
const RANK_STALE = 2;

function rankOf(entry: directory.EntryPresence, dataCentre: string): number {
  if (entry.state === 'stale') {
    return RANK_STALE;
  }
  return entry.dataCentre === dataCentre ? RANK_OWN_DATA_CENTRE : RANK_OTHER_DATA_CENTRE;
}

/**
 * Orders the entries for one caller: entries of the preferred data centre first, then by a random order
 * weighted towards less loaded entries. Draining entries are left out; stale ones are included only if no entry
 * is serving.
 * The order is random because callers cache it, and a fixed order would send all of them to the same entry.
 *
 * @param entries - entries with a valid lease
 * @param dataCentre - preferred data centre
 * @returns addresses in order of preference
 * @example
 * ```ts
 * addressList.orderByPreference(directory.entries(), 'perth-1', ports.random);
 * ```
 */
export function orderByPreference(
  entries: readonly directory.EntryPresence[],
  dataCentre: string,
  random: ports.Random,
): readonly EntryAddress[] {
  const notDraining = entries.filter((entry) => entry.state !== 'draining');
  const serving = notDraining.filter((entry) => entry.state === 'serving');
  const candidates = serving.length > 0 ? serving : notDraining;
  const ranked = candidates.map((entry) => ({
    entry,
    rank: rankOf(entry, dataCentre),
    // Exponential sort key: entries with fewer requests in flight tend to get smaller keys.
    key: -Math.log(1 - random.next()) * (1 + entry.inFlight),
  }));
  ranked.sort((left, right) => left.rank - right.rank || left.key - right.key);
  return ranked.map(({ entry }) => ({ address: entry.callerAddress, dataCentre: entry.dataCentre }));
}
