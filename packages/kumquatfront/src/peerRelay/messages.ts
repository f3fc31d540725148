/**
 * Messages by which an entry that does not reach an upstream sends requests through another entry, and their encoding.
 * Times are in milliseconds.
 */
import * as announcement from '../instances/announcement.js';
import type * as instanceTypes from '../instances/types.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as relayTypes from '../relay/types.js';
import type * as originTypes from '../streamOrigins/types.js';

/** RPC method names. */
export const methods = {
  /** Served by control: entries that may relay. */
  peers: 'relay.peers',
  /** Asks an entry whether it currently relays. */
  offer: 'relay.offer',
  /** Sends a request, and waits for the first events of its response. */
  send: 'relay.send',
  /** Waits for further events, and acknowledges those before. */
  events: 'relay.events',
  cancel: 'relay.cancel',
  /** Asks an entry whether an address accepts connections. */
  check: 'relay.check',
  copy: 'relay.copy',
} as const;

/** An entry that may relay. */
export interface Peer {
  readonly name: string;
  /** `ip:port` */
  readonly address: string;
  readonly dataCentre: string;
}

/** Asks control for entries that may relay for an entry. */
export interface PeersRequest {
  readonly entry: string;
  readonly dataCentre: string;
}

/** Entries that may relay; those of the data centre of the entry come first. */
export interface PeersAnswer {
  readonly peers: readonly Peer[];
}

/** Why an entry does not relay a request; it has then not been sent. */
export type DeclineReason = 'draining' | 'notReady' | 'cutOff' | 'overloaded' | 'restarted' | 'void';

/** Answer to an offer request. */
export interface Offer {
  /** Differs after each start of the process. */
  readonly epoch: string;
  /** Absent if the entry relays. */
  readonly declined?: DeclineReason;
}

/** A request as one entry sends it to another. */
export interface RelayedCall {
  readonly request: Omit<relayTypes.TrafficRequest, 'body' | 'key' | 'arrivedAt'> & {
    /** Base64. */
    readonly body: string;
  };
  readonly instance: instanceTypes.Announcement;
  readonly timeLeft: ports.Milliseconds;
  /** Absent from entries of earlier releases. */
  readonly isStream?: boolean;
  readonly account?: string;
  readonly urgency?: number;
  readonly lastEvent?: string;
  readonly copy?: relayTypes.MemoryCopy;
  readonly origin?: originTypes.StreamOrigin;
  readonly dataCentres?: readonly string[];
}

/** Sends a request through an entry. */
export interface SendRequest {
  /** Unique for each request. */
  readonly id: string;
  /** Name of the sending entry, for the log. */
  readonly entry: string;
  /** Process that the request is for; another one declines it. */
  readonly epoch: string;
  readonly call: RelayedCall;
}

/** One event of the response; `end` and `failed` are the last. */
export type RelayEvent =
  | {
      readonly kind: 'head';
      /** Entries of earlier releases send no framing. */
      readonly head: Omit<relayTypes.ResponseHead, 'framing'> & { readonly framing?: relayTypes.BodyFraming };
    }
  /** Base64. */
  | { readonly kind: 'data'; readonly bytes: string }
  | { readonly kind: 'end' }
  | { readonly kind: 'failed'; readonly failure: relayTypes.ExchangeFailure; readonly reason: string };

/** Asks for the events from a number on. */
export interface EventsRequest {
  readonly id: string;
  readonly epoch: string;
  readonly from: number;
  /**
   * True while the entry that asks takes nothing more: the answer has no events, and the question only tells that it lives. Earlier
   * releases do not know it, and answer with events, which are then not acknowledged.
   */
  readonly hold?: boolean;
}

/**
 * State of a relayed request.
 *
 * - `open`: the events from a number on, none if nothing has happened for a while.
 * - `declined`: it was not sent.
 * - `unknown`: it has not arrived, and would be declined now; it was not sent.
 * - `lost`: it may have been sent, and its response is gone, as after a restart of the entry; `givenUp` if that entry gave it up for
 *   lack of memory, `unread` if because too much of it was not acknowledged. Neither says anything about the upstream. Earlier
 *   releases do not know these fields.
 */
export type RelayAnswer =
  | { readonly state: 'open'; readonly from: number; readonly events: readonly RelayEvent[] }
  | { readonly state: 'declined'; readonly reason: DeclineReason }
  | { readonly state: 'unknown' }
  | { readonly state: 'lost'; readonly givenUp?: boolean; readonly unread?: boolean };

/** Cancels a relayed request. */
export interface CancelRequest {
  readonly id: string;
  /** True if the upstream was unresponsive. */
  readonly silent: boolean;
}

/** Asks whether an address accepts connections. */
export interface CheckRequest {
  readonly address: string;
}

/** Result of a check; `unknown` also if the entry that checked reaches no other upstream either. */
export interface CheckAnswer {
  readonly result: relayTypes.ConnectionCheckResult;
}

/** Copies the memory of a generation. */
export interface CopyRequest {
  readonly source: instanceTypes.Announcement;
  readonly target: instanceTypes.Announcement;
  readonly request: string;
  readonly stop: boolean;
}

/**
 * Encodes a call. The API key stays at the entry that has checked it.
 *
 * @param call - call to an upstream
 * @param timeLeft - time left when it is sent
 * @example
 * ```ts
 * messages.encodeCall(call, call.timeLeft, timers.now());
 * ```
 */
export function encodeCall(
  call: relayTypes.UpstreamCall,
  timeLeft: ports.Milliseconds,
  now: ports.Milliseconds,
): RelayedCall {
  const { request, instance, isStream, account, urgency, lastEvent, copy, origin, dataCentres } = call;
  const { identity, host, path, method, headers, body, callerTimeout, generation, sharedParts } = request;
  return {
    request: {
      ...{ identity, host, path, method, headers, callerTimeout, generation, sharedParts },
      lastEvent: request.lastEvent,
      resumes: request.resumes,
      body: Buffer.from(body).toString('base64'),
    },
    instance: encodeInstance(instance, now),
    ...{ timeLeft, isStream, account, urgency, lastEvent, copy, origin, dataCentres },
  };
}

/**
 * Encodes an instance, whose warm-up ends at a time of this process.
 *
 * @param instance - instance in the view of this entry
 * @returns the encoded instance
 * @example
 * ```ts
 * messages.encodeInstance(instance, timers.now());
 * ```
 */
export function encodeInstance(
  instance: instanceView.Instance,
  now: ports.Milliseconds,
): instanceTypes.Announcement {
  return { ...announcement.fromRecord(instance), warmUpLeft: Math.max(0, instance.coldUntil - now) };
}

/**
 * Decodes an instance.
 *
 * @param sent - instance as it was sent
 * @returns the instance by the clock of this process
 * @example
 * ```ts
 * messages.decodeInstance(request.source, timers.now());
 * ```
 */
export function decodeInstance(
  sent: instanceTypes.Announcement,
  now: ports.Milliseconds,
): instanceView.Instance {
  return { ...sent, firstSeenAt: now, coldUntil: now + sent.warmUpLeft };
}

/**
 * Decodes a call.
 *
 * @param sent - call as it was sent
 * @returns the call for the upstream port of this process
 * @example
 * ```ts
 * upstreams.send(messages.decodeCall(request.call, timers.now()), listener);
 * ```
 */
export function decodeCall(sent: RelayedCall, now: ports.Milliseconds): relayTypes.UpstreamCall {
  const { request, instance, isStream = request.generation !== undefined, origin, ...rest } = sent;
  return {
    ...rest,
    isStream,
    origin,
    request: { ...request, body: Buffer.from(request.body, 'base64'), arrivedAt: now },
    instance: decodeInstance(instance, now),
  };
}
