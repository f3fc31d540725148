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
import * as messages from './messages.js';

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
  /** Events that are not acknowledged. */
  events: messages.RelayEvent[];
  /** Number of the first of them. */
  from: number;
  bytes: number;
  isComplete: boolean;
  /** The open question for events. */
  waiting: ((answer: messages.RelayAnswer) => void) | undefined;
  cancelWait: ports.Cancel;
  lastAskedAt: ports.Milliseconds;
}

/** Number of a past request: it was `void`ed before it arrived, or it is `lost`. */
interface PastNumber {
  readonly state: 'void' | 'lost';
  readonly at: ports.Milliseconds;
}

/** Relays for other entries; see the module comment. */
export class RelayServer {
  private readonly options: RelayServerOptions;
  private readonly open = new Map<string, Relayed>();
  private readonly past = new Map<string, PastNumber>();
  private totalBytes = 0;

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
    for (const { events } of this.open.values()) {
      pieces += events.length;
    }
    return { bytes: this.totalBytes, pieces };
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
    const relayed: Relayed = {
      exchange: undefined,
      events: [],
      from: 0,
      bytes: 0,
      isComplete: false,
      waiting: undefined,
      cancelWait: () => undefined,
      lastAskedAt: timers.now(),
    };
    this.open.set(id, relayed);
    this.wait(relayed, answer);
    const decoded = messages.decodeCall(call, timers.now());
    relayed.exchange = this.options.upstreams.send(decoded, this.listenerOf(id, relayed));
  }

  private listenerOf(id: string, relayed: Relayed): relayTypes.ExchangeListener {
    const add = (event: messages.RelayEvent): void => {
      if (!relayed.isComplete && this.open.get(id) === relayed) {
        this.addEvent(id, relayed, event);
      }
    };
    return {
      head: (head) => {
        add({ kind: 'head', head });
      },
      data: (bytes) => {
        add({ kind: 'data', bytes: Buffer.from(bytes).toString('base64') });
      },
      end: () => {
        add({ kind: 'end' });
      },
      failed: (failure, reason) => {
        add({ kind: 'failed', failure, reason });
      },
    };
  }

  private addEvent(id: string, relayed: Relayed, event: messages.RelayEvent): void {
    relayed.events.push(event);
    relayed.isComplete = event.kind === 'end' || event.kind === 'failed';
    const size = event.kind === 'data' ? event.bytes.length : 0;
    relayed.bytes += size;
    this.totalBytes += size;
    // The first events are answered together: the head of a plain answer comes with its body.
    this.options.timers.after(0, () => {
      this.answerWaiting(relayed);
    });
    if (relayed.bytes > MAXIMUM_UNACKNOWLEDGED_BYTES) {
      this.giveUp(id, relayed);
    } else if (this.totalBytes > MAXIMUM_TOTAL_BYTES) {
      const [[largestId, largest] = [id, relayed]] = [...this.open].sort(
        ([, one], [, other]) => other.bytes - one.bytes,
      );
      this.giveUp(largestId, largest);
    }
  }

  private giveUp(id: string, { bytes }: Relayed): void {
    this.options.log.warn('relayTooSlow', { relay: id, bytes, held: this.totalBytes });
    this.close(id);
  }

  private onEventsAsked(
    { id, epoch, from }: messages.EventsRequest,
    answer: (answer: messages.RelayAnswer) => void,
  ): void {
    if (epoch !== this.options.epoch) {
      answer({ state: 'lost' });
      return;
    }
    const relayed = this.open.get(id);
    if (relayed === undefined) {
      const isLost = this.past.get(id)?.state === 'lost';
      this.recordPast(id, isLost ? 'lost' : 'void');
      answer({ state: isLost ? 'lost' : 'unknown' });
      return;
    }
    const acknowledged = relayed.events.splice(0, Math.max(0, from - relayed.from));
    relayed.from += acknowledged.length;
    const size = acknowledged.reduce(
      (sum, event) => sum + (event.kind === 'data' ? event.bytes.length : 0),
      0,
    );
    relayed.bytes -= size;
    this.totalBytes -= size;
    this.wait(relayed, answer);
    this.answerWaiting(relayed);
  }

  /** Keeps a question open and answers the previous one, whose answer is not awaited any more. */
  private wait(relayed: Relayed, answer: (answer: messages.RelayAnswer) => void): void {
    const { timers } = this.options;
    relayed.waiting?.({ state: 'open', from: relayed.from, events: [] });
    relayed.cancelWait();
    relayed.lastAskedAt = timers.now();
    relayed.waiting = answer;
    relayed.cancelWait = timers.after(WAIT_FOR_EVENTS, () => {
      this.answerWaiting(relayed, true);
    });
  }

  private answerWaiting(relayed: Relayed, isLate = false): void {
    const { waiting, events, from } = relayed;
    if (waiting === undefined || (events.length === 0 && !isLate)) {
      return;
    }
    relayed.waiting = undefined;
    relayed.cancelWait();
    relayed.lastAskedAt = this.options.timers.now();
    waiting({ state: 'open', from, events: [...events] });
  }

  private close(id: string, reason?: 'silent'): void {
    const relayed = this.open.get(id);
    if (relayed === undefined) {
      this.recordPast(id, this.past.get(id)?.state ?? 'void');
      return;
    }
    this.open.delete(id);
    this.totalBytes -= relayed.bytes;
    this.recordPast(id, 'lost');
    relayed.cancelWait();
    relayed.waiting?.({ state: 'lost' });
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
