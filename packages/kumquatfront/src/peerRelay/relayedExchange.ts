/**
 * One request that this entry sends through another, which only holds the connection to the upstream. A request that may
 * have arrived is never sent again: the peer is asked for it, and declines from then on what it does not know.
 */
import type * as failures from '../kernel/failures.js';
import type * as ports from '../kernel/ports.js';
import type * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as relayTypes from '../relay/types.js';
import * as messages from './messages.js';
import type * as peerList from './peerList.js';

/** Timeout of a message; more than a peer waits for events. */
const MESSAGE_TIMEOUT: ports.Milliseconds = 600;

const CANCELLATION_TIMEOUT: ports.Milliseconds = 150;

/** Delay before a peer that did not answer is asked again. */
const REPEAT_DELAY: ports.Milliseconds = 30;

/** Time without an answer after which the connection to the upstream counts as lost; the peer has then closed it. */
const CONTACT_TIMEOUT: ports.Milliseconds = 1_800;

/**
 * Failures to connect within this time are tried through another peer, which may reach what this one does not. After a
 * slow one too little time is left.
 */
export const QUICK_FAILURE: ports.Milliseconds = 100;

/** Delay of the next question while nothing is taken, to a peer that answers at once; less than it waits for one. */
const HOLD_INTERVAL: ports.Milliseconds = 300;

/** Peers through which one request is tried; each but the last has declined it. */
const MAXIMUM_PEERS = 3;

/** Dependencies of a relayed exchange. */
export interface RelayedExchangeOptions {
  readonly timers: timerService.TimerService;
  readonly random: ports.Random;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly peers: ports.PeerTransport;
  readonly peerList: peerList.PeerList;
  /** Name of this entry. */
  readonly entry: string;
  /** Called when the upstream has answered through a peer. */
  readonly onReached: (identity: string) => void;
}

/** One relayed request; see the module comment. */
export class RelayedExchange implements relayTypes.UpstreamExchange {
  private readonly options: RelayedExchangeOptions;
  private readonly call: relayTypes.UpstreamCall;
  private readonly listener: relayTypes.ExchangeListener;
  private readonly startedAt: ports.Milliseconds;
  private readonly triedPeers = new Set<string>();
  private id = '';
  private peer: peerList.ChosenPeer | undefined;
  /** Number of the next event. */
  private next = 0;
  private sentAt: ports.Milliseconds = 0;
  private lastAnswerAt: ports.Milliseconds = 0;
  private ended = false;
  /** Number of the last question; answers to earlier ones are not awaited any more. */
  private question = 0;
  private isPaused = false;
  /** Whether the last question states that nothing is taken. */
  private isHolding = false;
  private closePeer: () => void = () => undefined;

  /**
   * @param startedAt - time at which `call` was created, from which its time left counts
   */
  constructor(
    options: RelayedExchangeOptions,
    call: relayTypes.UpstreamCall,
    listener: relayTypes.ExchangeListener,
    startedAt: ports.Milliseconds,
  ) {
    this.options = options;
    this.call = call;
    this.listener = listener;
    this.startedAt = startedAt;
  }

  /** Sends the request through the first peer that accepts it. */
  start(): void {
    this.tryNextPeer('no other entry can relay the request');
  }

  /** Cancels the request at the peer. */
  readonly cancel: relayTypes.CancelExchange = (reason) => {
    if (this.ended) {
      return;
    }
    this.end();
    if (this.peer !== undefined) {
      this.sendCancellation(this.peer.address, { id: this.id, silent: reason === 'silent' });
    }
  };

  /** Takes no more of the response until `resume`; what the last answer holds is still passed on. */
  readonly pause = (): void => {
    this.isPaused = true;
  };

  /** Takes more of the response. */
  readonly resume = (): void => {
    this.isPaused = false;
    if (this.isHolding) {
      this.askForEvents();
    }
  };

  /** Repeats a cancellation until it has arrived: the run would go on beside the one that replaces it. */
  private sendCancellation(address: string, request: messages.CancelRequest): void {
    const { peers, timers } = this.options;
    const startedAt = timers.now();
    const send = (): void => {
      peers.request(address, messages.methods.cancel, request, CANCELLATION_TIMEOUT, (result) => {
        if (result.err && timers.now() - startedAt < CONTACT_TIMEOUT) {
          timers.after(REPEAT_DELAY, send);
        }
      });
    };
    send();
  }

  private end(): void {
    this.ended = true;
    this.closePeer();
  }

  private fail(failure: relayTypes.ExchangeFailure, reason: string): void {
    this.end();
    this.listener.failed(failure, reason);
  }

  /** Fails asynchronously, like a connection, since no peer may be known when the request starts. */
  private failAsNotSent(reason: string): void {
    this.options.timers.after(0, () => {
      if (!this.ended) {
        this.fail('notSent', reason);
      }
    });
  }

  private tryNextPeer(reason: string): void {
    if (this.triedPeers.size >= MAXIMUM_PEERS) {
      this.failAsNotSent(reason);
      return;
    }
    const { dataCentres } = this.call;
    const isEligible: peerList.IsEligible = ({ address, dataCentre }) =>
      !this.triedPeers.has(address) && (dataCentres?.includes(dataCentre) ?? true);
    this.options.peerList.choose(isEligible, (chosen) => {
      if (this.ended) {
        return;
      }
      if (chosen === undefined) {
        this.failAsNotSent(reason);
      } else {
        this.sendThrough(chosen);
      }
    });
  }

  private sendThrough(peer: peerList.ChosenPeer): void {
    const { timers, random, log, metrics, peers, peerList: list, entry } = this.options;
    const { call } = this;
    const now = timers.now();
    this.triedPeers.add(peer.address);
    this.closePeer();
    this.closePeer = list.open(peer.address);
    this.peer = peer;
    this.id = random.identity();
    this.next = 0;
    this.sentAt = now;
    this.lastAnswerAt = now;
    log.info('attemptRelayed', {
      request: call.request.identity,
      upstream: call.instance.identity,
      peer: peer.name,
      relay: this.id,
    });
    metrics.count('relay.through_peer');
    this.isHolding = false;
    const { id } = this;
    const question = this.nextQuestion();
    const timeLeft = call.timeLeft - (now - this.startedAt);
    const request: messages.SendRequest = {
      ...{ id, entry, epoch: peer.epoch },
      call: messages.encodeCall(call, timeLeft, now),
    };
    peers.request(peer.address, messages.methods.send, request, MESSAGE_TIMEOUT, (result) => {
      this.onResult(question, result);
    });
  }

  private nextQuestion(): number {
    this.question += 1;
    return this.question;
  }

  private askForEvents(): void {
    const { peer, id, next: from, isPaused: hold } = this;
    if (this.ended || peer === undefined) {
      return;
    }
    this.isHolding = hold;
    const question = this.nextQuestion();
    const request: messages.EventsRequest = { id, epoch: peer.epoch, from, ...(hold && { hold }) };
    this.options.peers.request(peer.address, messages.methods.events, request, MESSAGE_TIMEOUT, (result) => {
      this.onResult(question, result);
    });
  }

  private onResult(question: number, result: results.Result<unknown, failures.Failure>): void {
    const { peer } = this;
    if (this.ended || question !== this.question || peer === undefined) {
      return;
    }
    const { timers, peerList: list } = this.options;
    const now = timers.now();
    if (result.ok) {
      this.lastAnswerAt = now;
      list.recordAnswer(peer.address);
      this.onAnswer(peer, result.val as messages.RelayAnswer);
    } else if (now - this.lastAnswerAt >= CONTACT_TIMEOUT) {
      list.recordUnanswered(peer.address, result.val.message);
      this.fail('broken', `contact with the relaying entry was lost: ${result.val.message}`);
    } else {
      this.askLater(REPEAT_DELAY);
    }
  }

  private askLater(delay: ports.Milliseconds): void {
    const { question } = this;
    this.options.timers.after(delay, () => {
      if (question === this.question) {
        this.askForEvents();
      }
    });
  }

  private onAnswer(peer: peerList.ChosenPeer, answer: messages.RelayAnswer): void {
    switch (answer.state) {
      case 'open':
        this.onEvents(answer.from, answer.events);
        break;
      case 'declined':
        this.onDeclined(peer, answer.reason);
        break;
      case 'unknown':
        if (this.next === 0) {
          this.onDeclined(peer, 'the message was lost');
        } else {
          this.fail('broken', 'the relaying entry has closed the connection to the upstream');
        }
        break;
      case 'lost':
        if (answer.givenUp === true) {
          this.fail('givenUp', 'the relaying entry gave the response up for lack of memory');
        } else if (answer.unread === true) {
          this.fail('unread', 'the relaying entry gave the response up, because too much of it was not read');
        } else {
          this.fail('broken', 'the relaying entry no longer has the response');
        }
        break;
    }
  }

  private onDeclined(peer: peerList.ChosenPeer, reason: string): void {
    this.options.peerList.recordDeclined(peer.address, reason);
    this.tryNextPeer(`no other entry can relay the request: ${reason}`);
  }

  private onEvents(from: number, events: readonly messages.RelayEvent[]): void {
    if (this.isHolding) {
      // A peer of an earlier release sends events nevertheless: it keeps them until they are acknowledged.
      this.askLater(events.length === 0 ? 0 : HOLD_INTERVAL);
      return;
    }
    const { id } = this;
    for (const event of events.slice(this.next - from)) {
      this.next += 1;
      this.onEvent(event);
      if (this.ended || id !== this.id) {
        return;
      }
    }
    this.askForEvents();
  }

  private onEvent(event: messages.RelayEvent): void {
    const { listener } = this;
    switch (event.kind) {
      case 'head':
        this.options.onReached(this.call.instance.identity);
        listener.head({ ...event.head, framing: event.head.framing ?? 'length', relayed: true });
        break;
      case 'data':
        listener.data(Buffer.from(event.bytes, 'base64'));
        break;
      case 'end':
        this.end();
        listener.end();
        break;
      case 'failed':
        this.onFailed(event.failure, event.reason);
        break;
    }
  }

  private onFailed(failure: relayTypes.ExchangeFailure, reason: string): void {
    const wasQuick = this.options.timers.now() - this.sentAt < QUICK_FAILURE;
    if (failure === 'notSent' && wasQuick) {
      this.tryNextPeer(`neither this entry nor another could connect: ${reason}`);
    } else {
      this.fail(failure, reason);
    }
  }
}
