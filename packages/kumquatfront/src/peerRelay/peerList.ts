/**
 * Entries through which this entry can send requests, as control lists them, and which of them currently relay.
 */
import type * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import type * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import * as messages from './messages.js';

/** Interval at which the list is renewed although no request needs it, so that it outlives the loss of control. */
const IDLE_REFRESH_INTERVAL: ports.Milliseconds = 15_000;

/** Time after the start at which the list is first read. */
const FIRST_REFRESH_DELAY: ports.Milliseconds = 2_000;

/** Minimum time between two refreshes that requests cause. */
const MINIMUM_REFRESH_INTERVAL: ports.Milliseconds = 250;

const LIST_TIMEOUT: ports.Milliseconds = 300;
const OFFER_TIMEOUT: ports.Milliseconds = 250;

/** Time for which an offer holds. */
const OFFER_TTL: ports.Milliseconds = 1_000;

/** Time for which a peer is passed over that has declined, or that did not answer while there are others. */
const PASS_OVER_TIME: ports.Milliseconds = 500;

/** Rounds of questions for one request. A peer that is slow for a short time may be the only one that relays. */
const MAXIMUM_ROUNDS = 4;

/** Peers that are asked for an offer at a time. */
const OFFERS = 3;

/** Dependencies of {@link PeerList}. */
export interface PeerListOptions {
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly peers: ports.PeerTransport;
  /** Name of this entry. */
  readonly entry: string;
  readonly dataCentre: string;
  /** Peer addresses of the control replicas. */
  readonly replicas: () => readonly string[];
}

interface KnownPeer {
  readonly peer: messages.Peer;
  epoch: string;
  offeredAt: ports.Milliseconds;
  declinedUntil: ports.Milliseconds;
  unansweredUntil: ports.Milliseconds;
  /** Requests of this entry that it relays. */
  openCount: number;
}

/** A peer that relays, and its process. */
export interface ChosenPeer {
  readonly address: string;
  readonly name: string;
  readonly epoch: string;
}

/** Condition on the peers of a request. */
export type IsEligible = (peer: messages.Peer) => boolean;

/** Peers of this entry; see the module comment. */
export class PeerList {
  private readonly options: PeerListOptions;
  private readonly known = new Map<string, KnownPeer>();
  private refreshedAt: ports.Milliseconds = Number.NEGATIVE_INFINITY;
  private waitingForList: (() => void)[] | undefined;

  constructor(options: PeerListOptions) {
    this.options = options;
    const { timers, random } = options;
    timers.after(FIRST_REFRESH_DELAY, () => {
      this.refresh(() => undefined);
    });
    timers.every(
      () => IDLE_REFRESH_INTERVAL * (0.75 + random.next() / 2),
      () => {
        this.refresh(() => undefined);
      },
    );
  }

  /**
   * Chooses a peer that relays.
   *
   * @param done - called with the peer; undefined if none relays
   */
  choose(isEligible: IsEligible, done: (chosen: ChosenPeer | undefined) => void): void {
    this.chooseInRound(1, isEligible, done);
  }

  private chooseInRound(
    round: number,
    isEligible: IsEligible,
    done: (chosen: ChosenPeer | undefined) => void,
  ): void {
    const offered = this.leastUsed(isEligible);
    if (offered !== undefined) {
      done(offered);
      return;
    }
    this.askForOffers(isEligible, (accepted, wasUnanswered) => {
      const mayAskAgain = round === 1 || (wasUnanswered && round < MAXIMUM_ROUNDS);
      if (accepted !== undefined || !mayAskAgain) {
        done(accepted);
        return;
      }
      this.refresh(() => {
        this.chooseInRound(round + 1, isEligible, done);
      });
    });
  }

  /** Some peers for a question that several should answer; asks control first if none is known. */
  sample(count: number, done: (peers: readonly messages.Peer[]) => void): void {
    const pick = (): void => {
      const { random } = this.options;
      const remaining = this.usable(() => true).map(({ peer }) => peer);
      const sampled: messages.Peer[] = [];
      while (sampled.length < count && remaining.length > 0) {
        sampled.push(...remaining.splice(Math.floor(random.next() * remaining.length), 1));
      }
      done(sampled);
    };
    if (this.known.size > 0) {
      pick();
    } else {
      this.refresh(pick);
    }
  }

  /** Records the start of a relayed request; the returned function must be called once, when it ends. */
  open(address: string): () => void {
    const known = this.known.get(address);
    if (known !== undefined) {
      known.openCount += 1;
    }
    return () => {
      if (known !== undefined) {
        known.openCount -= 1;
      }
    };
  }

  /** Records an answer of a peer that relays. */
  recordAnswer(address: string): void {
    const known = this.known.get(address);
    if (known !== undefined && known.offeredAt > Number.NEGATIVE_INFINITY) {
      known.offeredAt = this.options.timers.now();
    }
  }

  /** Passes over a peer that declined a request, or reaches no more than this entry. */
  recordDeclined(address: string, reason: string): void {
    const known = this.known.get(address);
    if (known !== undefined) {
      known.offeredAt = Number.NEGATIVE_INFINITY;
      known.declinedUntil = this.options.timers.now() + PASS_OVER_TIME;
      this.options.log.debug('peerDeclined', { peer: known.peer.name, reason });
    }
  }

  /** Prefers other peers to one that did not answer. */
  recordUnanswered(address: string, reason: string): void {
    const known = this.known.get(address);
    if (known !== undefined) {
      known.offeredAt = Number.NEGATIVE_INFINITY;
      known.unansweredUntil = this.options.timers.now() + PASS_OVER_TIME;
      this.options.log.info('peerUnanswered', { peer: known.peer.name, reason });
    }
  }

  /** Peers that have not declined; those that did not answer only if there are no others. */
  private usable(isEligible: IsEligible): KnownPeer[] {
    const now = this.options.timers.now();
    const eligible = [...this.known.values()].filter(
      ({ peer, declinedUntil }) => now >= declinedUntil && isEligible(peer),
    );
    const answering = eligible.filter(({ unansweredUntil }) => now >= unansweredUntil);
    return answering.length > 0 ? answering : eligible;
  }

  /** Of two random peers with a current offer, the one that relays fewer requests of this entry. */
  private leastUsed(isEligible: IsEligible): ChosenPeer | undefined {
    const { timers, random } = this.options;
    const offered = this.usable(isEligible).filter(({ offeredAt }) => timers.now() - offeredAt < OFFER_TTL);
    const draw = (): KnownPeer | undefined => offered[Math.floor(random.next() * offered.length)];
    const [first, second] = [draw(), draw()];
    if (first === undefined || second === undefined) {
      return undefined;
    }
    const { peer, epoch } = second.openCount < first.openCount ? second : first;
    return { address: peer.address, name: peer.name, epoch };
  }

  /** Asks some peers for an offer, and calls back with the first that relays, or when none does. */
  private askForOffers(
    isEligible: IsEligible,
    done: (accepted: ChosenPeer | undefined, wasUnanswered: boolean) => void,
  ): void {
    const { peers, random, entry } = this.options;
    const remaining = this.usable(isEligible);
    const asked: KnownPeer[] = [];
    while (asked.length < OFFERS && remaining.length > 0) {
      asked.push(...remaining.splice(Math.floor(random.next() * remaining.length), 1));
    }
    let unanswered = asked.length;
    let wasUnanswered = false;
    let isDone = false;
    const finish = (accepted: ChosenPeer | undefined): void => {
      if (!isDone) {
        isDone = true;
        done(accepted, wasUnanswered);
      }
    };
    if (unanswered === 0) {
      finish(undefined);
    }
    for (const known of asked) {
      peers.request(known.peer.address, messages.methods.offer, { entry }, OFFER_TIMEOUT, (result) => {
        unanswered -= 1;
        wasUnanswered ||= result.err;
        const chosen = this.applyOffer(known, result);
        if (chosen !== undefined) {
          finish(chosen);
        } else if (unanswered === 0) {
          finish(undefined);
        }
      });
    }
  }

  private applyOffer(
    known: KnownPeer,
    result: results.Result<unknown, failures.Failure>,
  ): ChosenPeer | undefined {
    const { address, name } = known.peer;
    if (result.err) {
      this.recordUnanswered(address, result.val.message);
      return undefined;
    }
    const { epoch, declined } = result.val as messages.Offer;
    if (declined !== undefined) {
      this.recordDeclined(address, declined);
      return undefined;
    }
    known.epoch = epoch;
    known.offeredAt = this.options.timers.now();
    return { address, name, epoch };
  }

  /** Asks control for the list, unless that was done just now. */
  private refresh(done: () => void): void {
    const { timers } = this.options;
    if (this.waitingForList !== undefined) {
      this.waitingForList.push(done);
      return;
    }
    if (timers.now() - this.refreshedAt < MINIMUM_REFRESH_INTERVAL) {
      done();
      return;
    }
    this.refreshedAt = timers.now();
    this.waitingForList = [done];
    const replicas = [...this.options.replicas()];
    this.askReplicas(replicas, () => {
      const waiting = this.waitingForList ?? [];
      this.waitingForList = undefined;
      for (const callback of waiting) {
        callback();
      }
    });
  }

  /** Asks the replicas in random order until one answers. */
  private askReplicas(remaining: string[], done: () => void): void {
    const { peers, random, entry, dataCentre } = this.options;
    const [replica] = remaining.splice(Math.floor(random.next() * remaining.length), 1);
    if (replica === undefined) {
      done();
      return;
    }
    const request: messages.PeersRequest = { entry, dataCentre };
    peers.request(replica, messages.methods.peers, request, LIST_TIMEOUT, (result) => {
      if (result.ok) {
        this.replaceList((result.val as messages.PeersAnswer).peers);
        done();
      } else {
        this.askReplicas(remaining, done);
      }
    });
  }

  private replaceList(listed: readonly messages.Peer[]): void {
    const addresses = new Set(listed.map(({ address }) => address));
    for (const [address, { openCount }] of this.known) {
      if (!addresses.has(address) && openCount === 0) {
        this.known.delete(address);
      }
    }
    for (const peer of listed) {
      if (!this.known.has(peer.address)) {
        this.known.set(peer.address, {
          peer,
          epoch: '',
          offeredAt: Number.NEGATIVE_INFINITY,
          declinedUntil: Number.NEGATIVE_INFINITY,
          unansweredUntil: Number.NEGATIVE_INFINITY,
          openCount: 0,
        });
      }
    }
  }
}
