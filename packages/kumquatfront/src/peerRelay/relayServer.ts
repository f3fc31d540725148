/**
 * Relays requests of other entries over the connections of this one, never those of a third, so that none goes in a circle.
 * Events are kept until the other entry acknowledges them by asking for the next ones; a request without further
 * questions is cancelled.
 */
import type * as heldMemoryTypes from '../heldMemory/types.js';
import type * as ports from '../kernel/ports.js';
import * as results from '../kernel/results.js';
import type * as timerService from '../kernel/timerService.js';
import type * as relayTypes from '../relay/types.js';
import * as flowControl from '../flowControl/flowControl.js';
import * as maximum from '../utils/maximum.js';
import * as messages from './messages.js';
import * as unacknowledgedEvents from './unacknowledgedEvents.js';

/** Time for which a question for events is kept open. */
const WAIT_FOR_EVENTS: ports.Milliseconds = 300;

/** Time after an answer without another question after which a request is cancelled. */
const ABANDONED_AFTER: ports.Milliseconds = 1_500;

/** Time for which a complete response is kept, in case its last answer was lost. */
const COMPLETE_RETENTION: ports.Milliseconds = 4_000;

/** Time for which the number of a request is kept; messages that were held up arrive earlier. */
const NUMBER_RETENTION: ports.Milliseconds = 30_000;

const EXPIRY_INTERVAL: ports.Milliseconds = 500;

/** Requests that are relayed at a time. */
const MAXIMUM_OPEN = 1_000;

/** Unacknowledged bytes of one stream above which its upstream waits; a stream that is read in time has far less. */
const STREAM_WINDOW = 256 * 1024;

/** The same of a plain answer, which waits for a round trip after each such part of it. */
const PLAIN_WINDOW = 2 * 1024 * 1024;

/** Bytes of one response that the other entry has not acknowledged; more than the largest plain answer. */
const MAXIMUM_UNACKNOWLEDGED_BYTES = 8 * 1024 * 1024;

/** Bytes of all responses that the other entries have not acknowledged; above it, the largest is given up. */
const MAXIMUM_TOTAL_BYTES = 16 * 1024 * 1024;

/** Dependencies of {@link RelayServer}. */
export interface RelayServerOptions {
  readonly timers: timerService.TimerService;
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  readonly peers: ports.PeerTransport;
  /** Identifies this process. */
  readonly epoch: string;
  /** Upstreams over the connections of this entry, with the checks that hold for all sends. */
  readonly upstreams: relayTypes.UpstreamPort;
  /** Reason for which this entry relays nothing now; undefined if it relays. */
  readonly declineReason: () => messages.DeclineReason | undefined;
}

/** A request that was relayed, or must not be relayed any more. */
interface Relayed {
  exchange: relayTypes.UpstreamExchange | undefined;
  /** Unacknowledged bytes above which the upstream waits. */
  readonly window: number;
  /** Pauses the upstream while the other entry does not acknowledge. */
  readonly flow: flowControl.FlowControl;
  readonly unacknowledged: unacknowledgedEvents.UnacknowledgedEvents;
  isComplete: boolean;
  /** The entry that asks takes nothing more for now. */
  isHeld: boolean;
  /** Waiting events will be answered in the next iteration. */
  isAnswerPlanned: boolean;
  /** The open question for events. */
  waiting: ((answer: messages.RelayAnswer) => void) | undefined;
  cancelWait: ports.Cancel;
  lastAskedAt: ports.Milliseconds;
}

/** How a request ended: its response is `lost`, or was given up for lack of memory, or because it was `unread`. */
type EndState = 'lost' | 'givenUp' | 'unread';

/** Number of a past request, which may also have been `void`ed before it arrived. */
interface PastNumber {
  readonly state: 'void' | EndState;
  readonly at: ports.Milliseconds;
}

function lostAnswer(state: EndState): messages.RelayAnswer {
  return { state: 'lost', ...(state !== 'lost' && { [state]: true }) };
}

/** Relays for other entries; see the module comment. */
export class RelayServer {
  private readonly options: RelayServerOptions;
  private readonly open = new Map<string, Relayed>();
  private readonly past = new Map<string, PastNumber>();
  private totalBytes = 0;
  private reportGrowth: (growth: heldMemoryTypes.Held) => void = () => undefined;

  constructor(options: RelayServerOptions) {
    this.options = options;
    const { peers, timers } = options;
    peers.serve(messages.methods.offer, (_parameters, reply) => {
      reply(results.Ok(this.offer()));
    });
    peers.serve(messages.methods.send, (parameters, reply) => {
      this.onSend(parameters as messages.SendRequest, (answer) => {
        reply(results.Ok(answer));
      });
    });
    peers.serve(messages.methods.events, (parameters, reply) => {
      this.onEventsAsked(parameters as messages.EventsRequest, (answer) => {
        reply(results.Ok(answer));
      });
    });
    peers.serve(messages.methods.cancel, (parameters, reply) => {
      const { id, silent } = parameters as messages.CancelRequest;
      this.close(id, silent ? 'silent' : undefined);
      reply(results.Ok(null));
    });
    peers.serve(messages.methods.copy, (parameters, reply) => {
      this.onCopy(parameters as messages.CopyRequest, reply);
    });
    timers.every(
      () => EXPIRY_INTERVAL,
      () => {
        this.expire();
      },
    );
  }

  /** Events that other entries have not acknowledged. */
  held(): heldMemoryTypes.Held {
    let pieces = 0;
    for (const { unacknowledged } of this.open.values()) {
      pieces += unacknowledged.pieces;
    }
    return { bytes: this.totalBytes, pieces };
  }

  private findLargest(): [string, Relayed] | undefined {
    return maximum.by(this.open, ([, { unacknowledged }]) => unacknowledged.size);
  }

  /** The response of which most is not acknowledged. */
  largest(): heldMemoryTypes.LargestHeld | undefined {
    const largest = this.findLargest();
    if (largest === undefined) {
      return undefined;
    }
    const [id, { unacknowledged }] = largest;
    const { size: bytes, pieces } = unacknowledged;
    return {
      held: { bytes, pieces },
      fields: { relay: id, bytes },
      giveUp: () => {
        this.close(id, undefined, 'givenUp');
      },
    };
  }

  /** Sets what is called each time more is held. */
  onGrowth(callback: (growth: heldMemoryTypes.Held) => void): void {
    this.reportGrowth = callback;
  }

  private declineReason(): messages.DeclineReason | undefined {
    if (this.open.size >= MAXIMUM_OPEN || this.totalBytes >= MAXIMUM_TOTAL_BYTES) {
      return 'overloaded';
    }
    return this.options.declineReason();
  }

  private offer(): messages.Offer {
    const declined = this.declineReason();
    return { epoch: this.options.epoch, ...(declined !== undefined && { declined }) };
  }

  private onSend(
    { id, entry, epoch, call }: messages.SendRequest,
    answer: (answer: messages.RelayAnswer) => void,
  ): void {
    const { timers, log, metrics } = this.options;
    const reason =
      epoch !== this.options.epoch ? 'restarted' : this.past.has(id) ? 'void' : this.declineReason();
    if (reason !== undefined) {
      log.info('relayDeclined', { request: call.request.identity, entry, reason });
      this.recordPast(id, 'void');
      answer({ state: 'declined', reason });
      return;
    }
    log.info('relayed', {
      request: call.request.identity,
      entry,
      upstream: call.instance.identity,
      relay: id,
    });
    metrics.count('relay.for_peer');
    const decoded = messages.decodeCall(call, timers.now());
    const relayed: Relayed = {
      exchange: undefined,
      window: decoded.isStream ? STREAM_WINDOW : PLAIN_WINDOW,
      flow: new flowControl.FlowControl({ now: () => timers.now() }),
      unacknowledged: new unacknowledgedEvents.UnacknowledgedEvents(),
      isComplete: false,
      isHeld: false,
      isAnswerPlanned: false,
      waiting: undefined,
      cancelWait: () => undefined,
      lastAskedAt: timers.now(),
    };
    this.open.set(id, relayed);
    this.wait(relayed, answer);
    const exchange = this.options.upstreams.send(decoded, this.listenerOf(id, relayed));
    relayed.exchange = exchange;
    relayed.flow.attach(exchange);
  }

  private listenerOf(id: string, relayed: Relayed): relayTypes.ExchangeListener {
    const ifOpen = (run: () => void): void => {
      if (!relayed.isComplete && this.open.get(id) === relayed) {
        this.change(relayed, run);
        this.onAdded(id, relayed);
      }
    };
    const add = (event: messages.RelayEvent): void => {
      ifOpen(() => {
        relayed.unacknowledged.add(event);
        relayed.isComplete = event.kind === 'end' || event.kind === 'failed';
      });
    };
    return {
      head: (head) => {
        add({ kind: 'head', head });
      },
      data: (bytes) => {
        ifOpen(() => {
          relayed.unacknowledged.addBytes(bytes);
        });
      },
      end: () => {
        add({ kind: 'end' });
      },
      failed: (failure, reason) => {
        add({ kind: 'failed', failure, reason });
      },
    };
  }

  /** Changes what a request holds, and counts it with that of all. */
  private change(relayed: Relayed, run: () => void): void {
    const before = relayed.unacknowledged.size;
    run();
    const growth = relayed.unacknowledged.size - before;
    this.totalBytes += growth;
    if (growth > 0) {
      this.reportGrowth({ bytes: growth, pieces: 0 });
    }
  }

  private onAdded(id: string, relayed: Relayed): void {
    this.planAnswer(relayed);
    const { size } = relayed.unacknowledged;
    relayed.flow.recordWrite(size <= relayed.window);
    if (size > MAXIMUM_UNACKNOWLEDGED_BYTES) {
      this.giveUp(id, relayed);
    } else if (this.totalBytes > MAXIMUM_TOTAL_BYTES) {
      this.giveUp(...(this.findLargest() ?? [id, relayed]));
    }
  }

  /** The first events are answered together: the head of a plain answer comes with its body. */
  private planAnswer(relayed: Relayed): void {
    if (!relayed.isAnswerPlanned) {
      relayed.isAnswerPlanned = true;
      this.options.timers.after(0, () => {
        relayed.isAnswerPlanned = false;
        this.answerWaiting(relayed);
      });
    }
  }

  private giveUp(id: string, { unacknowledged }: Relayed): void {
    const { size: bytes } = unacknowledged;
    this.options.log.warn('relayTooSlow', { relay: id, bytes, held: this.totalBytes });
    this.close(id, undefined, 'unread');
  }

  private onEventsAsked(
    { id, epoch, from, hold = false }: messages.EventsRequest,
    answer: (answer: messages.RelayAnswer) => void,
  ): void {
    if (epoch !== this.options.epoch) {
      answer({ state: 'lost' });
      return;
    }
    const relayed = this.open.get(id);
    if (relayed === undefined) {
      const state = this.past.get(id)?.state ?? 'void';
      this.recordPast(id, state);
      answer(state === 'void' ? { state: 'unknown' } : lostAnswer(state));
      return;
    }
    this.change(relayed, () => {
      relayed.unacknowledged.acknowledge(from);
    });
    relayed.isHeld = hold;
    this.wait(relayed, answer);
    if (relayed.unacknowledged.size <= relayed.window) {
      relayed.flow.recordDrain();
    }
    this.answerWaiting(relayed);
  }

  /** Keeps a question open and answers the previous one, whose answer is not awaited any more. */
  private wait(relayed: Relayed, answer: (answer: messages.RelayAnswer) => void): void {
    const { timers } = this.options;
    relayed.waiting?.({ state: 'open', from: relayed.unacknowledged.from, events: [] });
    relayed.cancelWait();
    relayed.lastAskedAt = timers.now();
    relayed.waiting = answer;
    relayed.cancelWait = timers.after(WAIT_FOR_EVENTS, () => {
      this.answerWaiting(relayed, true);
    });
  }

  private answerWaiting(relayed: Relayed, isLate = false): void {
    const { waiting, unacknowledged, isHeld } = relayed;
    if (waiting === undefined || ((isHeld || unacknowledged.count === 0) && !isLate)) {
      return;
    }
    relayed.waiting = undefined;
    relayed.cancelWait();
    relayed.lastAskedAt = this.options.timers.now();
    this.change(relayed, () => {
      waiting({ state: 'open', from: unacknowledged.from, events: isHeld ? [] : unacknowledged.send() });
    });
  }

  private close(id: string, reason?: 'silent', state: EndState = 'lost'): void {
    const relayed = this.open.get(id);
    if (relayed === undefined) {
      this.recordPast(id, this.past.get(id)?.state ?? 'void');
      return;
    }
    this.open.delete(id);
    this.totalBytes -= relayed.unacknowledged.size;
    this.recordPast(id, state);
    relayed.cancelWait();
    relayed.waiting?.(lostAnswer(state));
    if (!relayed.isComplete) {
      relayed.exchange?.cancel(reason);
    }
  }

  private recordPast(id: string, state: PastNumber['state']): void {
    this.past.set(id, { state, at: this.options.timers.now() });
  }

  private expire(): void {
    const now = this.options.timers.now();
    for (const [id, { isComplete, waiting, lastAskedAt }] of this.open) {
      const limit = isComplete ? COMPLETE_RETENTION : ABANDONED_AFTER;
      if (waiting === undefined && now - lastAskedAt > limit) {
        if (!isComplete) {
          this.options.log.info('relayAbandoned', { relay: id });
        }
        this.close(id);
      }
    }
    for (const [id, { at }] of this.past) {
      if (now - at > NUMBER_RETENTION) {
        this.past.delete(id);
      }
    }
  }

  private onCopy({ source, target, request, stop }: messages.CopyRequest, reply: ports.Reply): void {
    const now = this.options.timers.now();
    const from = messages.decodeInstance(source, now);
    const to = messages.decodeInstance(target, now);
    this.options.upstreams.copyMemory(from, to, request, stop, (result) => {
      reply(results.Ok(result));
    });
  }
}
