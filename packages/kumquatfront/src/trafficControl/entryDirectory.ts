/**
 * Directory of the entries that watch a control replica, and selection of the entries returned to callers.
 */
import * as addressSampling from '../entryLoad/addressSampling.js';
import * as dataCentreDemand from '../entryLoad/dataCentreDemand.js';
import * as entryWeights from '../entryLoad/entryWeights.js';
import type * as ports from '../kernel/ports.js';
import type * as methods from './methods.js';

/** Time since its last watch request after which an entry is withheld from callers. */
const ENTRY_LEASE: ports.Milliseconds = 2_000;

/**
 * Number of entries of other data centres returned to a caller, so that it can fail over without a new lookup. Kept
 * low because callers choose at random, and each of these entries attracts calls across data centres.
 */
const REMOTE_ADDRESSES = 4;

/** Minimum number of entries returned to a caller, if that many exist; a data centre may have only a few. */
const MINIMUM_ADDRESSES = 8;

/**
 * Least capacity of a data centre as a share of the strengths of its entries. Its pressure sends callers elsewhere by
 * itself; without this bound, the weights that the same pressure reduces would do so a second time.
 */
const MINIMUM_CAPACITY_SHARE = 0.4;

/** Entries that are named to an entry that looks for others to send requests through. */
const PEERS = 8;

/** Maximum number of entries in one log line. */
const MAXIMUM_LOGGED_ENTRIES = 20;

/**
 * Formats names of entries for a log line, whose length it bounds.
 *
 * @param names - names of entries
 * @returns the first names, separated by spaces
 * @example
 * ```ts
 * entryDirectory.formatNames(['e1', 'e2']); // 'e1 e2'
 * ```
 */
export function formatNames(names: readonly string[]): string {
  return names.slice(0, MAXIMUM_LOGGED_ENTRIES).join(' ');
}

interface KnownEntry {
  readonly status: methods.EntryStatus;
  readonly lastSeenAt: ports.Milliseconds;
}

/** Optional dependencies of {@link EntryDirectory}. */
export interface EntryDirectoryOptions {
  /** False if entries are always drawn uniformly; true by default. */
  readonly usesWeights?: boolean;
}

/** Entries known to one control replica, by name. */
export class EntryDirectory {
  private readonly random: ports.Random;
  private readonly entries = new Map<string, KnownEntry>();
  private readonly usesWeights: boolean;
  private readonly weights = new entryWeights.EntryWeights();
  private readonly demand = new dataCentreDemand.DataCentreDemand();

  constructor(random: ports.Random, options: EntryDirectoryOptions = {}) {
    this.random = random;
    this.usesWeights = options.usesWeights ?? true;
  }

  get size(): number {
    return this.entries.size;
  }

  /** Names of all known entries. */
  names(): readonly string[] {
    return [...this.entries.keys()];
  }

  /** Peer addresses of all known entries. */
  peerAddresses(): readonly string[] {
    return [...this.entries.values()].map(({ status }) => status.peerAddress);
  }

  /** Records the status of an entry; returns true if the entry is new. */
  recordStatus(status: methods.EntryStatus, now: ports.Milliseconds): boolean {
    const isNew = !this.entries.has(status.name);
    this.entries.set(status.name, { status, lastSeenAt: now });
    if (this.usesWeights) {
      this.weights.record(status, now);
    }
    return isNew;
  }

  /** Names of the entries whose last reported configuration is older than a version. */
  namesBehind(version: number): readonly string[] {
    const older = [...this.entries].filter(([, { status }]) => status.trafficVersion < version);
    return older.map(([name]) => name);
  }

  /** Entries with a reduced weight, if they have changed since the last report. */
  takeWeightReport(now: ports.Milliseconds): readonly string[] | undefined {
    return this.weights.takeReport(now);
  }

  /** Removes entries whose lease has expired; returns their names. */
  expire(now: ports.Milliseconds): readonly string[] {
    const expired = [...this.entries].filter(([, entry]) => now - entry.lastSeenAt > ENTRY_LEASE);
    for (const [name] of expired) {
      this.entries.delete(name);
      this.weights.remove(name, now);
    }
    return expired.map(([name]) => name);
  }

  /**
   * Selects entries for a caller: those of its data centre, and a few of others.
   *
   * Entries are sampled at random for each caller, so that no few entries carry the remote calls of all data centres.
   * They are sampled by weight where their capacities differ or one of them is under high pressure, else uniformly.
   *
   * @param mayPass - true for data centres through which the caller's request bodies may pass
   */
  choose(
    dataCentre: string,
    limit: number,
    now: ports.Milliseconds,
    mayPass: (dataCentre: string) => boolean = () => true,
  ): readonly methods.EntryStatus[] {
    const ready = [...this.entries.values()]
      .filter((entry) => entry.status.state === 'ready' && now - entry.lastSeenAt <= ENTRY_LEASE)
      .map((entry) => entry.status);
    const allowed = ready.filter((entry) => mayPass(entry.dataCentre));
    // If no entry is allowed, any entry can still refuse the call with a reason, unlike an empty list.
    const usable = allowed.length > 0 ? allowed : ready;
    const local = usable.filter((entry) => entry.dataCentre === dataCentre);
    const remote = usable.filter((entry) => entry.dataCentre !== dataCentre);
    if (this.usesWeights) {
      if (local.length > 0) {
        this.demand.countLookup(dataCentre, now);
      }
      if (this.weights.areNeeded(usable.map(({ name }) => name))) {
        return this.chooseByWeight(dataCentre, local, remote, limit, now);
      }
    }
    const chosenLocal = this.sample(local, limit - Math.min(REMOTE_ADDRESSES, remote.length));
    const remoteCount = Math.max(REMOTE_ADDRESSES, MINIMUM_ADDRESSES - chosenLocal.length);
    return [...chosenLocal, ...this.sample(remote, Math.min(remoteCount, limit - chosenLocal.length))];
  }

  /**
   * Entries through which another one may send requests: ready ones that reach upstreams, drawn at random, half of them
   * in its data centre if there are as many. A cut often affects a complete data centre.
   */
  peersFor(entry: string, dataCentre: string, now: ports.Milliseconds): readonly methods.EntryStatus[] {
    const usable = [...this.entries.values()]
      .filter((known) => known.status.state === 'ready' && now - known.lastSeenAt <= ENTRY_LEASE)
      .map((known) => known.status)
      .filter((status) => status.name !== entry && status.cutOff !== true);
    const local = usable.filter((status) => status.dataCentre === dataCentre);
    const remote = usable.filter((status) => status.dataCentre !== dataCentre);
    const localCount = Math.max(Math.ceil(PEERS / 2), PEERS - remote.length);
    const chosenLocal = this.sample(local, localCount);
    return [...chosenLocal, ...this.sample(remote, PEERS - chosenLocal.length)];
  }

  private chooseByWeight(
    dataCentre: string,
    local: readonly methods.EntryStatus[],
    remote: readonly methods.EntryStatus[],
    limit: number,
    now: ports.Milliseconds,
  ): readonly methods.EntryStatus[] {
    const weigh = (entry: methods.EntryStatus): addressSampling.Weighted<methods.EntryStatus> => ({
      item: entry,
      weight: this.weights.weightOf(entry.name, now),
    });
    const weighedLocal = local.map(weigh);
    const weighedRemote = remote.map(weigh);
    const weightSums = new Map<string, number>();
    const strengthSums = new Map<string, number>();
    for (const { item, weight } of [...weighedLocal, ...weighedRemote]) {
      const { name, dataCentre: place } = item;
      weightSums.set(place, (weightSums.get(place) ?? 0) + weight);
      strengthSums.set(place, (strengthSums.get(place) ?? 0) + this.weights.strengthOf(name));
    }
    const capacities = new Map(
      [...weightSums].map(([place, sum]) => [
        place,
        Math.max(sum, MINIMUM_CAPACITY_SHARE * (strengthSums.get(place) ?? 0)),
      ]),
    );
    const spare = new Map(
      [...capacities.keys()].map((name) => [name, this.demand.spareShare(name, capacities, now)]),
    );
    const pressure = this.weights.meanPressure(local.map(({ name }) => name));
    return addressSampling.select(
      {
        local: weighedLocal,
        remote: weighedRemote.map(({ item, weight }) => ({
          item,
          weight: weight * (spare.get(item.dataCentre) ?? 1),
        })),
        limit,
        minimum: MINIMUM_ADDRESSES,
        usualRemote: REMOTE_ADDRESSES,
        localShare: this.demand.localShare(dataCentre, capacities, pressure, now),
      },
      this.random,
    );
  }

  /** Draws items from a list uniformly at random, without replacement. */
  private sample<Item>(items: readonly Item[], count: number): readonly Item[] {
    const remaining = [...items];
    const sampled: Item[] = [];
    while (sampled.length < count && remaining.length > 0) {
      sampled.push(...remaining.splice(Math.floor(this.random.next() * remaining.length), 1));
    }
    return sampled;
  }
}
