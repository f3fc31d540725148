/**
 * Which entries a caller should use, preferred first.
 */
import type * as directory from '../directory/types.js';
import type * as ports from '../kernel/ports.js';

/** One address in the answer to a caller. */
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
 * Orders the entries for one caller: those of the data centre first, less busy ones more often first, and
 * never one that drains. Stale entries come last, and only where nothing better is left. The order is random within its weight: callers keep an answer for a while,
 * and a strict order would send all of them to the same entry until they ask again.
 *
 * @param entries - entries with a lease
 * @param dataCentre - data centre to prefer
 * @param random - where the order comes from
 * @returns addresses, preferred first
 * @example
 * ```ts
 * addressList.order(directory.entries(), 'perth-1', ports.random);
 * ```
 */
export function order(
  entries: readonly directory.EntryPresence[],
  dataCentre: string,
  random: ports.Random,
): readonly EntryAddress[] {
  const usable = entries.filter((entry) => entry.state !== 'draining');
  const serving = usable.filter((entry) => entry.state === 'serving');
  const offered = serving.length > 0 ? serving : usable;
  const keyed = offered.map((entry) => ({
    entry,
    rank: rankOf(entry, dataCentre),
    // Weighted random order: the key of the item with the larger weight is smaller more often.
    key: -Math.log(1 - random.next()) * (1 + entry.inFlight),
  }));
  keyed.sort((left, right) => left.rank - right.rank || left.key - right.key);
  return keyed.map(({ entry }) => ({ address: entry.callerAddress, dataCentre: entry.dataCentre }));
}
