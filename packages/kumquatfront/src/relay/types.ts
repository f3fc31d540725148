/**
 * Types of the request relay: requests of callers, calls to upstreams, and the ports to both.
 * Times are in milliseconds.
 */
import type * as backPressureTypes from '../backPressure/types.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';
import type * as originTypes from '../streamOrigins/types.js';

/** An HTTP header as received. */
export type Header = readonly [name: string, value: string];

/** Size hints that a caller sends with a generation request, in tokens. */
export interface GenerationDemand {
  readonly promptTokens: number;
  readonly outputLimit: number;
  /** Expected output length; 0 if the caller sent none. */
  readonly lengthHint: number;
  /** Identifiers of the prompt's segments as sent by the caller; empty if it sent none. */
  readonly prompt: string;
}

/** One request of a caller, with its body fully read. */
export interface TrafficRequest {
  /** Unique for each attempt of a caller. */
  readonly identity: string;
  readonly host: string;
  /** Path and query string as received. */
  readonly path: string;
  readonly method: string;
  /** Headers that are forwarded to the upstream unchanged. */
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** API key of the client account; undefined if none was sent. */
  readonly key?: string;
  /** Timeout of the caller, counted from `arrivedAt`; undefined if it sent none. */
  readonly callerTimeout?: ports.Milliseconds;
  readonly arrivedAt: ports.Milliseconds;
  /** Identifier of the last event that the caller received; undefined for a new stream. */
  readonly lastEvent?: string;
  /** Identity of the attempt that brought the first event of the stream that the caller takes up. */
  readonly resumes?: string;
  readonly generation?: GenerationDemand;
  /** Identifiers of the parts of the prompt that other requests may share, in order; absent if none is known. */
  readonly sharedParts?: readonly string[];
}

/** A copy of a generation's memory from which another engine can resume it. */
export interface MemoryCopy {
  /** Address of the engine that created the copy, as `ip:port`. */
  readonly address: string;
  readonly handle: string;
}

/** One attempt to send a request to an upstream. */
export interface UpstreamCall {
  readonly request: TrafficRequest;
  readonly instance: instanceView.Instance;
  readonly timeLeft: ports.Milliseconds;
  /** True if the answer is an event stream. */
  readonly isStream: boolean;
  /** Name of the client account; undefined if no API key is required. */
  readonly account?: string;
  /** 0 is the most urgent; undefined for requests other than generations. */
  readonly urgency?: number;
  readonly lastEvent?: string;
  readonly copy?: MemoryCopy;
  /** Origin of a stream that has events; undefined for a request that begins anew, wherever it runs. */
  readonly origin: originTypes.StreamOrigin | undefined;
  /** Data centres in which the request may run; undefined if it may run in any. */
  readonly dataCentres?: readonly string[];
}

/**
 * How a response tells where its body ends (RFC 9112, section 6.3): by a length, by its last chunk, or only by the end of
 * its connection.
 */
export type BodyFraming = 'length' | 'chunked' | 'connection';

/** Status, headers and signals of an upstream's response. */
export interface ResponseHead {
  readonly status: number;
  /** True if the upstream states that it did not run the request. */
  readonly notRun: boolean;
  /** True if the response carries the identity of this request or no identity. */
  readonly matchesRequest: boolean;
  /** True if the response carries a valid signature of an upstream. */
  readonly signed: boolean;
  readonly framing: BodyFraming;
  /** Headers that are forwarded to the caller. */
  readonly headers: readonly Header[];
  /** Load as the upstream reports it, with values that may be implausible; undefined if it reports none. */
  readonly load?: {
    readonly running: number;
    readonly waiting: number;
    /** Requests that it runs at the same time; undefined if it reports none. */
    readonly slots?: number;
    /** How long work currently takes, where 1 is normal; undefined if it reports none. */
    readonly slowdown?: number;
  };
  /** True if the response came through another entry, which adds to its time. */
  readonly relayed?: boolean;
  /** Back-pressure signals; undefined if the response carries none for the addressed upstream. */
  readonly signals?: backPressureTypes.UpstreamSignals;
}

/**
 * Why an exchange ended without a complete response:
 *
 * - `notSent`: the upstream cannot have received the request.
 * - `broken`: the connection failed after the request was sent.
 * - `garbled`: the response was invalid.
 * - `givenUp`: an entry has given the response up for lack of memory; the failure does not count against the upstream.
 * - `unread`: the relaying entry has given the response up, since this entry had not read it; the failure does not count against the upstream.
 * - `quarantined`: not sent, because its content crashes upstreams.
 * - `withheld`: not sent, because the upstream is temporarily excluded, runs other software than began the stream, or the
 *   request has a part that HTTP cannot represent; the failure does not count against the upstream.
 */
export type ExchangeFailure =
  'notSent' | 'broken' | 'garbled' | 'givenUp' | 'unread' | 'quarantined' | 'withheld';

/** Callbacks of one exchange. Unless it is cancelled, either `end` or `failed` is called once, as the last. */
export interface ExchangeListener {
  readonly head: (head: ResponseHead) => void;
  readonly data: (bytes: Uint8Array) => void;
  /** This entry does not read the response for a reason of its own, which is no silence of the upstream, or reads it again. */
  readonly held?: (isHeld: boolean) => void;
  /** The response is complete. */
  readonly end: () => void;
  readonly failed: (failure: ExchangeFailure, reason: string) => void;
}

/** Cancels an exchange and closes its connection. `silent` states that the upstream was unresponsive. */
export type CancelExchange = (reason?: 'silent') => void;

/** Controls an exchange that was sent. */
export interface UpstreamExchange {
  readonly cancel: CancelExchange;
  /** Stops reading the response until `resume`; what has been read is still passed on. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Reads the rest of the response at no pace but that of its upstream; nothing if absent. */
  readonly readToEnd?: (() => void) | undefined;
}

/** Result of a connection attempt; `unknown` if there is no reply, as in a network partition. */
export type ConnectionCheckResult = 'accepted' | 'refused' | 'unknown';

/** Result of copying a generation's memory. */
export type CopyResult =
  | { readonly state: 'copied'; readonly handle: string }
  /** The source has no such run: it has finished or not started. */
  | { readonly state: 'noRun' }
  /** The target lacks free memory; `handle` is set if the source has stopped and retains its memory. */
  | { readonly state: 'noRoom'; readonly handle?: string }
  | { readonly state: 'failed'; readonly reason: string };

/** Outbound port to upstreams. */
export interface UpstreamPort {
  readonly send: (call: UpstreamCall, listener: ExchangeListener) => UpstreamExchange;
  /** Tests whether an address (`ip:port`) accepts connections, without sending data. */
  readonly check: (address: string, done: (result: ConnectionCheckResult) => void) => void;
  /**
   * Reads when the process at an address (`ip:port`) was started, as a Unix time in milliseconds; undefined if it does not tell. `done` is
   * called after the return. Absent if no upstream tells.
   */
  readonly readStartTime?: (address: string, done: (born: number | undefined) => void) => void;
  /** Copies a generation's memory; with `stop`, the source stops its run first. */
  readonly copyMemory: (
    source: instanceView.Instance,
    target: instanceView.Instance,
    request: string,
    stop: boolean,
    done: (result: CopyResult) => void,
  ) => void;
  /** Releases an unneeded copy. */
  readonly releaseCopy: (copy: MemoryCopy) => void;
}

/** Why a request was refused or ended without a response. */
export type RefusalReason =
  | 'noConfiguration'
  | 'supersededConfiguration'
  | 'noRoute'
  | 'unknownKey'
  | 'overloaded'
  | 'noUpstream'
  | 'quarantined'
  /** No process has the origin of the stream that the caller takes up. */
  | 'originUnknown'
  /** No upstream runs the software that began the stream. */
  | 'softwareGone'
  | 'draining'
  | 'timeoutNotRun'
  | 'timeoutUnknown'
  | 'outcomeUnknown';

/** A refusal. Every reason except `timeoutUnknown` and `outcomeUnknown` guarantees that the request did not run. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly message: string;
  /** Delay before a retry; undefined if a retry cannot succeed. */
  readonly retryAfter?: ports.Milliseconds;
  /** True if the caller's connection is closed, so that a retry reaches another entry. */
  readonly closesConnection?: boolean;
}

/** Sends the response to a caller. Exactly one of `refuse`, `respond` or `begin` is called first. */
export interface CallerPort {
  readonly refuse: (refusal: Refusal) => void;
  /** Sends a complete response. */
  readonly respond: (head: ResponseHead, body: Uint8Array) => void;
  /** Starts a streamed response. */
  readonly begin: (head: ResponseHead) => void;
  /** Sends a part of a streamed response; false if the caller cannot take more until it has drained. */
  readonly write: (bytes: Uint8Array) => boolean;
  /** Registers a callback for a caller that takes more again, after a write with the result false. */
  readonly onDrain: (callback: () => void) => void;
  /** Bytes that the connection of the caller has taken so far; they never fall. */
  readonly takenBytes: () => number;
  /** Completes a streamed response. */
  readonly end: () => void;
  /** Aborts a streamed response so that the caller can detect that it is incomplete. */
  readonly abort: () => void;
  /** Registers a callback for a caller that disconnects before its response is complete. */
  readonly onDisconnect: (callback: () => void) => void;
}
