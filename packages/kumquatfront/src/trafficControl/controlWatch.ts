/**
 * An entry's watch over control: it asks every replica that it can find for news, all at the same time, and
 * takes the newest. A leader that is cut off from the others may still reach entries, so no single replica
 * is trusted to know. One of them, the nearest, tells of every instance at once; see `openWatches`.
 */
import type * as instanceView from '../instances/instanceView.js';
import type * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import type * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
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
}

interface Watched {
  namedAt: ports.Milliseconds;
  answering: boolean;
  /** Where the replica is; undefined before its first answer. */
  dataCentre: string | undefined;
  /** Counts questions, so that the answer to a former one starts no second loop. */
  round: number;
}

/** The watch; see the module comment. */
export class ControlWatch {
  private readonly options: ControlWatchOptions;
  private readonly watched = new Map<string, Watched>();
  private seeds: readonly string[];
  private readonly fetch: trafficFetch.TrafficFetch;
  private leader = { term: 0, address: '', namedAt: Number.NEGATIVE_INFINITY };
  private lastEntryCount = 1;
  /** Address of the replica that tells of every instance at once; empty where none answers. */
  private nearest = '';

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

  /** Entries of the whole system, this one included. */
  get entryCount(): number {
    return Math.max(1, this.lastEntryCount);
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
        const watched: Watched = { namedAt: now, answering: false, dataCentre: undefined, round: 0 };
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
      isNearest: address === this.nearest,
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
      this.take(address, answer);
      if (found) {
        this.options.log.info('controlFound', { control: address });
        this.chooseNearest();
      }
    } else if (watched.answering) {
      watched.answering = false;
      this.options.log.warn('controlLost', { control: address, reason: result.val.message });
      this.chooseNearest();
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

  /**
   * Of the replicas that answer, one in this data centre if there is any. Entries spread over several by hashing, so
   * that none of them tells all. A lost one is replaced at once; until that is noticed the others tell within the
   * time that a watch stays open.
   */
  private chooseNearest(): void {
    const { dataCentre, describe } = this.options;
    const answering = [...this.watched].filter(([, watched]) => watched.answering);
    const near = answering.filter(([, watched]) => watched.dataCentre === dataCentre);
    const candidates = (near.length > 0 ? near : answering).map(([address]) => address);
    const nearest = rendezvous.pick(describe().name, candidates) ?? '';
    if (nearest === this.nearest) {
      return;
    }
    this.nearest = nearest;
    const watched = this.watched.get(nearest);
    if (watched !== undefined) {
      this.ask(nearest, watched);
    }
  }

  private take(address: string, answer: methods.WatchAnswer): void {
    const { instances, timers } = this.options;
    const now = timers.now();
    instances.merge(address, answer.instances, now);
    this.lastEntryCount = answer.entryCount;
    // A replica that may be behind is no reason to begin: others could have moved on long ago.
    if (answer.fresh || this.fetch.inForce > 0) {
      this.fetch.hear(address, answer.trafficVersion);
    }
    this.noteLeader(answer, now);
    this.addAll(answer.control);
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
