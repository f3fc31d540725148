/**
 * An entry's watch over control: it asks every replica that it can find for news, all at the same time, and
 * takes the newest. A leader that is cut off from the others may still reach entries, so no single replica
 * is trusted to know. Two of them tell of news at once, the others within a second; see `openWatches`.
 */
import type * as agreedTypes from '../agreedState/types.js';
import type * as instanceTypes from '../instances/types.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import type * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as quarantineTypes from '../quarantine/types.js';
import type * as trafficTypes from '../traffic/types.js';
import * as rendezvous from '../utils/rendezvous.js';
import * as methods from './methods.js';
import * as trafficFetch from './trafficFetch.js';

/** A watch without an answer for this long has lost its replica: twice the longest time it stays open. */
const WATCH_TIMEOUT: ports.Milliseconds = 1_400;

/**
 * Pause after a watch that failed. After a fault of everything an entry serves nobody before its first answer; three
 * lost replicas cost it twenty small messages a second.
 */
const FAILED_PAUSE: ports.Milliseconds = 120;

/** A replica that neither settings nor news name any more is asked for this long yet. */
const FORGET_AFTER: ports.Milliseconds = 10_000;

/** Until this long after the first answer replicas that started together may not have heard from all entries. */
const COUNT_SETTLES: ports.Milliseconds = 1_500;

/** A leader counts while a replica has named it this recently. */
const LEADER_LIFE: ports.Milliseconds = 900;

/** What the watch is made from. */
export interface ControlWatchOptions {
  readonly timers: timerService.TimerService;
  readonly peers: ports.PeerTransport;
  readonly log: ports.Log;
  readonly seeds: readonly string[];
  readonly dataCentre: string;
  readonly describe: () => methods.EntryNews;
  readonly instances: instanceView.InstanceView;
  /** Takes a configuration in; called with ever higher versions only. */
  readonly onTraffic: (traffic: trafficTypes.VersionedText) => void;
  readonly onCoordinator: (address: string) => void;
  /** Takes in what a replica knows of contents under which upstreams ended. */
  readonly onCases: (cases: readonly quarantineTypes.CaseRecord[]) => void;
  /** Takes in which data centres are evacuated; called with ever higher revisions only. */
  readonly onEvacuations: (evacuations: agreedTypes.Evacuations) => void;
  /** A replica answers for the first time since it started. */
  readonly onReplicaStarted: (address: string) => void;
}

interface Watched {
  namedAt: ports.Milliseconds;
  answering: boolean;
  /** Where the replica is; undefined before its first answer. */
  dataCentre: string | undefined;
  /** Control replicas that it has told of. */
  control: readonly string[];
  /** Entries that it hears from. */
  entryCount: number;
  /** Its start that this entry has heard of; empty before its first answer. */
  epoch: string;
  /** Revision of the cases that it has told of in this epoch. */
  caseRevision: number;
  /** Counts questions, so that the answer to a former one starts no second loop. */
  round: number;
}

function createWatched(namedAt: ports.Milliseconds): Watched {
  return {
    namedAt,
    answering: false,
    dataCentre: undefined,
    control: [],
    entryCount: 0,
    epoch: '',
    caseRevision: 0,
    round: 0,
  };
}

type WatchedReplica = readonly [address: string, watched: Watched];

/** One of the preferred replicas by rendezvous, or of all where none is preferred; empty where there is none. */
function pickFirst(
  key: string,
  replicas: readonly WatchedReplica[],
  isPreferred: (watched: Watched) => boolean,
): string {
  const preferred = replicas.filter(([, watched]) => isPreferred(watched));
  const candidates = preferred.length > 0 ? preferred : replicas;
  const addresses = candidates.map(([address]) => address);
  return rendezvous.pick(key, addresses) ?? '';
}

function nothingNew(position: {
  readonly epoch: string;
  readonly revision: number;
}): instanceTypes.InstanceNews {
  return { ...position, whole: false, records: [], removed: [] };
}

/** The watch; see the module comment. */
export class ControlWatch {
  private readonly options: ControlWatchOptions;
  private readonly watched = new Map<string, Watched>();
  private seeds: readonly string[];
  private readonly fetch: trafficFetch.TrafficFetch;
  private leader = { term: 0, address: '', namedAt: Number.NEGATIVE_INFINITY };
  private evacuationRevision = 0;
  private firstAnswerAt = Number.POSITIVE_INFINITY;
  /** Address of the replica that tells of everything at once; empty where none answers. */
  private nearest = '';
  /** Address of the one that tells of notices and configurations at once too; empty where only one answers. */
  private second = '';

  constructor(options: ControlWatchOptions) {
    this.options = options;
    this.fetch = new trafficFetch.TrafficFetch({ ...options, preferred: () => this.nearest });
    this.seeds = options.seeds;
    this.addAll(options.seeds);
  }

  /** Replaces the addresses of the settings. */
  setSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
    this.addAll(seeds);
  }

  /**
   * Peer address of the coordinator: the leader, or without one the first replica that answers, which is the
   * same for all entries that see the same replicas. Empty where none answers.
   */
  get coordinator(): string {
    const { timers } = this.options;
    if (timers.now() - this.leader.namedAt < LEADER_LIFE) {
      return this.leader.address;
    }
    const answering = [...this.watched].filter(([, watched]) => watched.answering);
    return answering.map(([address]) => address).sort()[0] ?? '';
  }

  /**
   * This entry as a share of all, by the replica that hears from most; 0 while that is not known yet.
   *
   * A replica that has just started hears from one entry after another. Taken at its word, each of two hundred
   * entries would think that it is one of a few, and use for itself what is meant for all.
   */
  get shareOfEntries(): number {
    const now = this.options.timers.now();
    return now - this.firstAnswerAt < COUNT_SETTLES ? 0 : 1 / Math.max(1, this.entryCount);
  }

  /** Entries that the replica hears from that hears from most; 0 while none answers, or all may have just started. */
  get entryCount(): number {
    const now = this.options.timers.now();
    if (now - this.firstAnswerAt < COUNT_SETTLES) {
      return 0;
    }
    const answering = [...this.watched.values()].filter((watched) => watched.answering);
    return Math.max(0, ...answering.map(({ entryCount }) => entryCount));
  }

  /** Addresses of the replicas that are watched. */
  replicas(): readonly string[] {
    return [...this.watched.keys()];
  }

  /** Asks every replica at once: this entry has something to tell, such as that it stops. */
  tellNow(): void {
    for (const [address, watched] of this.watched) {
      this.ask(address, watched);
    }
  }

  private addAll(addresses: readonly string[]): void {
    const now = this.options.timers.now();
    for (const address of addresses) {
      const known = this.watched.get(address);
      if (known === undefined) {
        const watched = createWatched(now);
        this.watched.set(address, watched);
        this.ask(address, watched);
      } else {
        known.namedAt = now;
      }
    }
  }

  private ask(address: string, watched: Watched): void {
    const { peers, describe, instances } = this.options;
    watched.round += 1;
    const { round } = watched;
    const toldVersion = this.fetch.knownFrom(address);
    const request: methods.WatchRequest = {
      entry: describe(),
      ...instances.positionOf(address),
      toldVersion,
      toldTerm: this.leader.term,
      toldAtOnce: this.toldAtOnceBy(address),
      controlDigest: watched.control.length === 0 ? 0 : methods.digestOf(watched.control),
      caseRevision: watched.caseRevision,
      evacuationRevision: this.evacuationRevision,
    };
    peers.request(address, methods.methods.watch, request, WATCH_TIMEOUT, (result) => {
      this.onAnswer(address, watched, round, result);
    });
  }

  private onAnswer(
    address: string,
    watched: Watched,
    round: number,
    result: results.Result<unknown, failures.Failure>,
  ): void {
    if (result.ok) {
      const answer = result.val as methods.WatchAnswer;
      watched.dataCentre = answer.dataCentre;
      const found = !watched.answering;
      watched.answering = true;
      watched.control = answer.control ?? watched.control;
      this.take(address, watched, answer);
      if (found) {
        this.options.log.info('controlFound', { control: address });
        this.choose();
      }
    } else if (watched.answering) {
      watched.answering = false;
      this.options.log.warn('controlLost', { control: address, reason: result.val.message });
      this.choose();
    }
    if (round !== watched.round) {
      return;
    }
    if (result.ok) {
      this.ask(address, watched);
      return;
    }
    const { timers } = this.options;
    const named = this.seeds.includes(address) || timers.now() - watched.namedAt < FORGET_AFTER;
    if (!named) {
      this.watched.delete(address);
      return;
    }
    timers.after(FAILED_PAUSE, () => {
      if (round === watched.round) {
        this.ask(address, watched);
      }
    });
  }

  private toldAtOnceBy(address: string): methods.ToldAtOnce {
    if (address === this.nearest) {
      return 'instances';
    }
    return address === this.second ? 'notices' : 'leaders';
  }

  /**
   * Chooses the two replicas that tell of news at once: of those that answer, the nearest in this data centre if there
   * is any, the second in another one. Entries spread over several by hashing, so that none of them tells all.
   */
  private choose(): void {
    const { dataCentre, describe } = this.options;
    const { name } = describe();
    const answering = [...this.watched].filter(([, watched]) => watched.answering);
    const nearest = pickFirst(name, answering, (watched) => watched.dataCentre === dataCentre);
    const others = answering.filter(([address]) => address !== nearest);
    const nearestDataCentre = this.watched.get(nearest)?.dataCentre;
    const second = pickFirst(name, others, (watched) => watched.dataCentre !== nearestDataCentre);
    const former = [this.nearest, this.second];
    this.nearest = nearest;
    this.second = second;
    // Their open watches were asked for less.
    if (nearest !== former[0]) {
      this.askAgain(nearest);
    }
    if (!former.includes(second)) {
      this.askAgain(second);
    }
  }

  private askAgain(address: string): void {
    const watched = this.watched.get(address);
    if (watched !== undefined) {
      this.ask(address, watched);
    }
  }

  private take(address: string, watched: Watched, answer: methods.WatchAnswer): void {
    const { instances, timers } = this.options;
    const now = timers.now();
    instances.merge(address, answer.instances ?? nothingNew(instances.positionOf(address)), now);
    watched.entryCount = answer.entryCount;
    this.takeCases(address, watched, answer);
    this.takeEvacuations(answer);
    this.firstAnswerAt = Math.min(this.firstAnswerAt, now);
    // A replica that may be behind is no reason to begin: others could have moved on long ago.
    if (answer.fresh || this.fetch.inForce > 0) {
      this.fetch.hear(address, answer.trafficVersion);
    }
    this.noteLeader(answer, now);
    this.addAll(watched.control);
  }

  /**
   * Cases are taken before a configuration: an entry that starts serves nobody before it knows what is quarantined.
   */
  private takeCases(address: string, watched: Watched, { cases }: methods.WatchAnswer): void {
    const { instances, onCases, onReplicaStarted } = this.options;
    const { epoch } = instances.positionOf(address);
    const started = watched.epoch !== epoch;
    if (started) {
      watched.epoch = epoch;
      watched.caseRevision = 0;
    }
    if (cases !== undefined) {
      watched.caseRevision = Math.max(watched.caseRevision, cases.revision);
      onCases(cases.cases);
    }
    if (started) {
      onReplicaStarted(address);
    }
  }

  /** Like cases, before a configuration. A replica that is behind tells of an older state, which changes nothing. */
  private takeEvacuations({ evacuations }: methods.WatchAnswer): void {
    if (evacuations !== undefined && evacuations.revision > this.evacuationRevision) {
      this.evacuationRevision = evacuations.revision;
      this.options.onEvacuations(evacuations);
    }
  }

  private noteLeader(answer: methods.WatchAnswer, now: number): void {
    const { leaderTerm: term, leaderAddress } = answer;
    if (leaderAddress === '' || term < this.leader.term) {
      return;
    }
    const changed = leaderAddress !== this.leader.address;
    this.leader = { term, address: leaderAddress, namedAt: now };
    if (changed) {
      this.options.log.info('coordinatorChanged', { coordinator: leaderAddress, term });
      this.options.onCoordinator(leaderAddress);
    }
  }
}
