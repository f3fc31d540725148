/**
 * An entry's watch on the control replicas: a long poll to every known replica in parallel, of which the newest state
 * wins. No single replica is sufficient, because a leader that is partitioned from the other replicas may still reach
 * entries. Two preferred replicas send updates immediately, the others when the watch closes; see `openWatches`.
 */
import type * as agreedTypes from '../agreedState/types.js';
import type * as slotMessages from '../callSlots/messages.js';
import type * as instanceTypes from '../instances/types.js';
import * as announcementCheck from '../instances/announcementCheck.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import type * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as quarantineTypes from '../quarantine/types.js';
import type * as trafficTypes from '../traffic/types.js';
import * as rendezvousHashing from '../utils/rendezvousHashing.js';
import * as methods from './methods.js';
import * as supersededCheck from './supersededCheck.js';
import * as trafficConfigurationFetcher from './trafficConfigurationFetcher.js';

/** Timeout of a watch request; twice the maximum time a replica keeps a watch open. */
const WATCH_TIMEOUT: ports.Milliseconds = 1_400;

/** Delay before a failed watch is retried; short, because an entry serves no callers before its first answer. */
const RETRY_DELAY: ports.Milliseconds = 120;

/** Time for which a replica is still retried after neither the settings nor another replica lists it. */
const UNLISTED_REPLICA_RETENTION: ports.Milliseconds = 10_000;

/** Time after the first answer during which recently started replicas may not yet know all entries. */
const ENTRY_COUNT_SETTLING_DELAY: ports.Milliseconds = 1_500;

/** Time for which a reported leader remains valid without being reported again. */
const LEADER_TTL: ports.Milliseconds = 900;

/** Settings, dependencies and callbacks of {@link ControlWatch}. */
export interface ControlWatchOptions {
  readonly timers: timerService.TimerService;
  readonly peers: ports.PeerTransport;
  readonly log: ports.Log;
  readonly seeds: readonly string[];
  readonly dataCentre: string;
  readonly entryStatus: () => methods.EntryStatus;
  readonly instances: instanceView.InstanceView;
  /** Time from the acknowledgement of a configuration within which no entry acts on an older one. */
  readonly inForceWithin: ports.Milliseconds;
  /** Called with each new configuration, in increasing order of version. */
  readonly onTraffic: (traffic: trafficTypes.VersionedText) => void;
  /** Called when {@link ControlWatch.isSuperseded} has changed. */
  readonly onSupersededChanged: () => void;
  readonly onCoordinatorChanged: (address: string) => void;
  /** Called with the crash records that a replica sends. */
  readonly onCrashRecords: (records: readonly quarantineTypes.CrashRecord[]) => void;
  /** Called with the records that a replica has of fragile services. */
  readonly onFragileServices: (records: readonly slotMessages.FragilityRecord[]) => void;
  /** Called when the set of evacuated data centres changes, in increasing order of revision. */
  readonly onEvacuations: (evacuations: agreedTypes.Evacuations) => void;
  /** Called with the first answer of a replica since the replica started. */
  readonly onReplicaStarted: (address: string) => void;
}

interface WatchedReplica {
  lastListedAt: ports.Milliseconds;
  isResponding: boolean;
  /** Data centre of the replica; undefined before its first answer. */
  dataCentre: string | undefined;
  /** Addresses of the control replicas that this one last sent. */
  control: readonly string[];
  /** Number of entries that the replica reports. */
  entryCount: number;
  /** Epoch of the replica in its last answer; empty before its first answer. */
  epoch: string;
  /** True if the last answer left out updates that the replica had. */
  awaitsMore: boolean;
  /** Revision of the crash records received from the replica in this epoch. */
  crashRecordRevision: number;
  /** Incremented with each request, so that the answer to a superseded one starts no second request loop. */
  round: number;
}

function createWatchedReplica(lastListedAt: ports.Milliseconds): WatchedReplica {
  return {
    lastListedAt,
    isResponding: false,
    dataCentre: undefined,
    control: [],
    entryCount: 0,
    epoch: '',
    awaitsMore: false,
    crashRecordRevision: 0,
    round: 0,
  };
}

type AddressedReplica = readonly [address: string, watched: WatchedReplica];

/**
 * Picks one of the preferred replicas by rendezvous hashing, or one of all replicas if none is preferred; empty if
 * there are no replicas.
 */
function pickByRendezvous(
  key: string,
  replicas: readonly AddressedReplica[],
  isPreferred: (watched: WatchedReplica) => boolean,
): string {
  const preferred = replicas.filter(([, watched]) => isPreferred(watched));
  const candidates = preferred.length > 0 ? preferred : replicas;
  const addresses = candidates.map(([address]) => address);
  return rendezvousHashing.pick(key, addresses) ?? '';
}

function emptyUpdate(position: {
  readonly epoch: string;
  readonly revision: number;
}): instanceTypes.InstanceUpdate {
  return { ...position, whole: false, records: [], removed: [] };
}

/** Keeps a watch open at every known control replica and applies the answers. */
export class ControlWatch {
  private readonly options: ControlWatchOptions;
  private readonly watched = new Map<string, WatchedReplica>();
  private seeds: readonly string[];
  private readonly fetcher: trafficConfigurationFetcher.TrafficConfigurationFetcher;
  private leader = { term: 0, address: '', reportedAt: Number.NEGATIVE_INFINITY };
  private readonly supersededCheck: supersededCheck.SupersededCheck;
  private evacuationRevision = 0;
  private firstAnswerAt = Number.POSITIVE_INFINITY;
  /** Address of the replica that sends all updates immediately; empty if no replica responds. */
  private nearest = '';
  /**
   * Address of the replica that also sends termination notices, crash records and configurations immediately; empty if
   * fewer than two respond.
   */
  private backup = '';

  constructor(options: ControlWatchOptions) {
    this.options = options;
    this.supersededCheck = new supersededCheck.SupersededCheck(options);
    this.fetcher = new trafficConfigurationFetcher.TrafficConfigurationFetcher({
      ...options,
      preferredReplica: () => this.nearest,
      onTraffic: (traffic) => {
        options.onTraffic(traffic);
        this.supersededCheck.onInForce(traffic.version);
      },
    });
    this.seeds = options.seeds;
    this.watchAll(options.seeds);
  }

  /** Replaces the seed addresses and watches the new ones. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
    this.watchAll(seeds);
  }

  /**
   * Peer address of the coordinator: the leader, or without one the responding replica with the lowest address, which
   * is the same for all entries that reach the same replicas. Empty if no replica responds.
   */
  get coordinator(): string {
    const { timers } = this.options;
    if (timers.now() - this.leader.reportedAt < LEADER_TTL) {
      return this.leader.address;
    }
    const responding = [...this.watched].filter(([, watched]) => watched.isResponding);
    return responding.map(([address]) => address).sort()[0] ?? '';
  }

  /**
   * Highest entry count that a replica reports; 0 while the counts have not settled, or if no majority of the known
   * replicas responds. A minority may know few of the entries.
   */
  get entryCount(): number {
    const now = this.options.timers.now();
    if (now - this.firstAnswerAt < ENTRY_COUNT_SETTLING_DELAY) {
      return 0;
    }
    const responding = [...this.watched.values()].filter((watched) => watched.isResponding);
    if (responding.length <= this.watched.size / 2) {
      return 0;
    }
    return Math.max(0, ...responding.map(({ entryCount }) => entryCount));
  }

  /** True if the entry must not act on its configuration; see `supersededCheck`. */
  get isSuperseded(): boolean {
    return this.supersededCheck.isSuperseded;
  }

  /** Version of the configuration in force; 0 before the first. */
  get versionInForce(): number {
    return this.fetcher.versionInForce;
  }

  /** Addresses of the watched replicas. */
  replicas(): readonly string[] {
    return [...this.watched.keys()];
  }

  /** Sends this entry's status to every replica immediately, for example when the entry starts to drain. */
  reportStatusNow(): void {
    for (const [address, watched] of this.watched) {
      this.sendWatch(address, watched);
    }
  }

  private watchAll(addresses: readonly string[]): void {
    const now = this.options.timers.now();
    for (const address of addresses) {
      const known = this.watched.get(address);
      if (known === undefined) {
        const watched = createWatchedReplica(now);
        this.watched.set(address, watched);
        this.sendWatch(address, watched);
      } else {
        known.lastListedAt = now;
      }
    }
  }

  private sendWatch(address: string, watched: WatchedReplica): void {
    const { peers, entryStatus, instances } = this.options;
    watched.round += 1;
    const { round } = watched;
    const knownVersion = this.fetcher.knownVersion(address);
    const request: methods.WatchRequest = {
      entry: entryStatus(),
      ...instances.positionOf(address),
      ...(watched.awaitsMore && { awaitsMore: true }),
      toldVersion: knownVersion,
      toldTerm: this.leader.term,
      toldAtOnce: this.immediateUpdatesFrom(address),
      controlDigest: watched.control.length === 0 ? 0 : rendezvousHashing.digestOf(watched.control),
      caseRevision: watched.crashRecordRevision,
      evacuationRevision: this.evacuationRevision,
    };
    peers.request(address, methods.methods.watch, request, WATCH_TIMEOUT, (result) => {
      this.onAnswer(address, watched, round, result);
    });
  }

  private onAnswer(
    address: string,
    watched: WatchedReplica,
    round: number,
    result: results.Result<unknown, failures.Failure>,
  ): void {
    if (result.ok) {
      const answer = result.val as methods.WatchAnswer;
      watched.dataCentre = answer.dataCentre;
      const isNewlyResponding = !watched.isResponding;
      watched.isResponding = true;
      watched.control = answer.control ?? watched.control;
      this.applyAnswer(address, watched, answer);
      if (isNewlyResponding) {
        this.options.log.info('controlFound', { control: address });
        this.choosePreferredReplicas();
      }
    } else if (watched.isResponding) {
      watched.isResponding = false;
      this.options.log.warn('controlLost', { control: address, reason: result.val.message });
      this.choosePreferredReplicas();
    }
    if (round !== watched.round) {
      return;
    }
    if (result.ok) {
      this.sendWatch(address, watched);
      return;
    }
    const { timers } = this.options;
    const isListed =
      this.seeds.includes(address) || timers.now() - watched.lastListedAt < UNLISTED_REPLICA_RETENTION;
    if (!isListed) {
      this.watched.delete(address);
      return;
    }
    timers.after(RETRY_DELAY, () => {
      if (round === watched.round) {
        this.sendWatch(address, watched);
      }
    });
  }

  private immediateUpdatesFrom(address: string): methods.ImmediateUpdates {
    if (address === this.nearest) {
      return 'instances';
    }
    return address === this.backup ? 'notices' : 'leaders';
  }

  /**
   * Chooses the two replicas that send updates immediately from those that respond: the nearest in this data centre if
   * there is one, the backup in another. Hashing by entry name distributes the entries over the replicas.
   */
  private choosePreferredReplicas(): void {
    const { dataCentre, entryStatus } = this.options;
    const { name } = entryStatus();
    const responding = [...this.watched].filter(([, watched]) => watched.isResponding);
    const nearest = pickByRendezvous(name, responding, (watched) => watched.dataCentre === dataCentre);
    const others = responding.filter(([address]) => address !== nearest);
    const nearestDataCentre = this.watched.get(nearest)?.dataCentre;
    const backup = pickByRendezvous(name, others, (watched) => watched.dataCentre !== nearestDataCentre);
    const previous = [this.nearest, this.backup];
    this.nearest = nearest;
    this.backup = backup;
    // The open watches at these replicas were requested with fewer immediate updates.
    if (nearest !== previous[0]) {
      this.renewWatch(nearest);
    }
    if (!previous.includes(backup)) {
      this.renewWatch(backup);
    }
  }

  private renewWatch(address: string): void {
    const watched = this.watched.get(address);
    if (watched !== undefined) {
      this.sendWatch(address, watched);
    }
  }

  private applyAnswer(address: string, watched: WatchedReplica, answer: methods.WatchAnswer): void {
    const { instances, timers, log } = this.options;
    const now = timers.now();
    const update = answer.instances ?? emptyUpdate(instances.positionOf(address));
    const records = announcementCheck.usableRecords(update.records, address, log);
    instances.merge(address, { ...update, records }, now);
    watched.entryCount = answer.entryCount;
    const hasMoreCrashRecords = answer.cases?.hasMore === true;
    watched.awaitsMore =
      hasMoreCrashRecords || answer.instances?.hasMore === true || answer.instances?.listing !== undefined;
    this.applyCrashRecords(address, watched, answer);
    this.applyEvacuations(answer);
    if (answer.fragile !== undefined) {
      this.options.onFragileServices(answer.fragile);
    }
    this.firstAnswerAt = Math.min(this.firstAnswerAt, now);
    // An entry must not start on the configuration of a stale replica, which others may have superseded, nor before it
    // knows all quarantined contents.
    if ((answer.fresh && !hasMoreCrashRecords) || this.fetcher.versionInForce > 0) {
      this.fetcher.recordVersion(address, answer.trafficVersion);
    }
    this.supersededCheck.onAnswer(answer.trafficVersion, answer.trafficAge);
    this.recordLeader(answer, now);
    this.watchAll(watched.control);
  }

  /** Runs before a configuration is applied: a starting entry must know the quarantined contents before it serves. */
  private applyCrashRecords(address: string, watched: WatchedReplica, { cases }: methods.WatchAnswer): void {
    const { instances, onCrashRecords, onReplicaStarted } = this.options;
    const { epoch } = instances.positionOf(address);
    const hasRestarted = watched.epoch !== epoch;
    if (hasRestarted) {
      watched.epoch = epoch;
      watched.crashRecordRevision = 0;
    }
    if (cases !== undefined) {
      watched.crashRecordRevision = Math.max(watched.crashRecordRevision, cases.revision);
      onCrashRecords(cases.cases);
    }
    if (hasRestarted) {
      onReplicaStarted(address);
    }
  }

  /** Runs before a configuration is applied. An older revision, sent by a stale replica, is ignored. */
  private applyEvacuations({ evacuations }: methods.WatchAnswer): void {
    if (evacuations !== undefined && evacuations.revision > this.evacuationRevision) {
      this.evacuationRevision = evacuations.revision;
      this.options.onEvacuations(evacuations);
    }
  }

  private recordLeader(answer: methods.WatchAnswer, now: number): void {
    const { leaderTerm: term, leaderAddress } = answer;
    if (leaderAddress === '' || term < this.leader.term) {
      return;
    }
    const changed = leaderAddress !== this.leader.address;
    this.leader = { term, address: leaderAddress, reportedAt: now };
    if (changed) {
      this.options.log.info('coordinatorChanged', { coordinator: leaderAddress, term });
      this.options.onCoordinatorChanged(leaderAddress);
    }
  }
}
