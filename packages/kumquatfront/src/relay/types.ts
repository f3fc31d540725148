/**
 * Requests that entries relay as they are: what callers ask, what upstreams are sent, and the ports between.
 * Times are milliseconds.
 */
import type * as backPressureTypes from '../backPressure/types.js';
import type * as instanceView from '../instances/instanceView.js';
import type * as ports from '../kernel/ports.js';

/** A header as it was received. */
export type Header = readonly [name: string, value: string];

/** What a caller says of a generation that it asks for; sizes are tokens. */
export interface GenerationDemand {
  readonly promptTokens: number;
  readonly outputLimit: number;
  /** 0 where the caller gave none. */
  readonly lengthHint: number;
  /** Names of the prompt's parts, as the caller gave them; empty where it gave none. */
  readonly prompt: string;
}

/** One attempt of a caller, read in whole. */
export interface TrafficRequest {
  /** New for each attempt of a caller. */
  readonly identity: string;
  readonly host: string;
  /** Path with its query, as it was sent. */
  readonly path: string;
  readonly method: string;
  /** Headers that go to the upstream unchanged. */
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  /** Key of a client account; undefined where none was sent. */
  readonly key?: string;
  /** How long the caller waits, from `arrivedAt`; undefined where it did not say. */
  readonly patience?: ports.Milliseconds;
  readonly arrivedAt: ports.Milliseconds;
  /** Last event of a stream that the caller has; undefined where it begins. */
  readonly lastEvent?: string;
  readonly generation?: GenerationDemand;
}

/** A copy of a generation's memory from which it may go on. */
export interface MemoryCopy {
  /** Address of the engine that made the copy: `ip:port`. */
  readonly address: string;
  readonly handle: string;
}

/** One request to one upstream. */
export interface UpstreamCall {
  readonly request: TrafficRequest;
  readonly instance: instanceView.Instance;
  readonly timeLeft: ports.Milliseconds;
  /** Name of the client account; undefined where keys are not asked for. */
  readonly account?: string;
  /** 0 is the most urgent; undefined for what is no generation. */
  readonly urgency?: number;
  readonly lastEvent?: string;
  readonly copy?: MemoryCopy;
  /** Data centres in which the request may run; undefined where any will do. */
  readonly dataCentres?: readonly string[];
}

/** The beginning of an upstream's answer. */
export interface UpstreamHead {
  readonly status: number;
  /** True where the upstream states that it did not run the request. */
  readonly notRun: boolean;
  /** True where the answer carries the identity of the request that was sent, or none. */
  readonly belongs: boolean;
  /** True where the answer is an upstream's own, signed as such. */
  readonly signed: boolean;
  /** Headers for the caller. */
  readonly headers: readonly Header[];
  /** Requests running and waiting at the upstream, where it says so. */
  readonly load?: { readonly running: number; readonly waiting: number };
  /** What it says about being sent more; undefined where the answer says nothing about the upstream that was meant. */
  readonly signals?: backPressureTypes.UpstreamSignals;
}

/**
 * How an exchange ended without a whole answer; `notSent` means that the upstream cannot have seen it, `quarantined`
 * that it was not sent because upstreams end under its content, `withheld` that it was not sent because its upstream is
 * to get nothing at this moment.
 */
export type ExchangeFailure = 'notSent' | 'broken' | 'garbled' | 'quarantined' | 'withheld';

/** Hears of one exchange. `end` or `failed` is called last, once, unless the exchange is cancelled. */
export interface ExchangeListener {
  readonly head: (head: UpstreamHead) => void;
  readonly data: (bytes: Uint8Array) => void;
  /** The answer is whole. */
  readonly end: () => void;
  readonly failed: (failure: ExchangeFailure, reason: string) => void;
}

/** Cancels an exchange: its connection closes at once. `silent` says that its upstream had stopped answering. */
export type CancelExchange = (why?: 'silent') => void;

/** What a try to connect to an upstream shows; `unknown` where nothing comes back, as behind a cut. */
export type ConnectionSign = 'accepted' | 'refused' | 'unknown';

/** How a copy of a generation's memory ended. */
export type CopyResult =
  | { readonly state: 'copied'; readonly handle: string }
  /** No such run: it has ended, or not begun. */
  | { readonly state: 'noRun' }
  /** The copy was not made; the handle is there where the source stopped and keeps the memory. */
  | { readonly state: 'noRoom'; readonly handle?: string }
  | { readonly state: 'failed'; readonly reason: string };

/** Speaks to upstreams. */
export interface UpstreamPort {
  readonly send: (call: UpstreamCall, listener: ExchangeListener) => CancelExchange;
  /** Tries whether anything listens at an address, `ip:port`; sends nothing. */
  readonly check: (address: string, done: (sign: ConnectionSign) => void) => void;
  /** Copies a generation's memory; with `stop` the source ends its run first. */
  readonly copyMemory: (
    source: instanceView.Instance,
    target: instanceView.Instance,
    request: string,
    stop: boolean,
    done: (result: CopyResult) => void,
  ) => void;
  /** Frees a copy that nobody will use. */
  readonly dropCopy: (copy: MemoryCopy) => void;
}

/** Why a request is refused, or given up. */
export type RefusalReason =
  | 'noConfiguration'
  | 'noRoute'
  | 'unknownKey'
  | 'overloaded'
  | 'noUpstream'
  | 'quarantined'
  | 'draining'
  | 'timeoutNotRun'
  | 'timeoutUnknown'
  | 'outcomeUnknown';

/** A refusal. All reasons but `timeoutUnknown` and `outcomeUnknown` mean that the request has not run. */
export interface Refusal {
  readonly reason: RefusalReason;
  readonly message: string;
  /** When to come back; undefined where coming back does not help. */
  readonly retryAfter?: ports.Milliseconds;
}

/** Answers a caller. Exactly one of `refuse`, `whole` or `begin` is called first. */
export interface CallerPort {
  readonly refuse: (refusal: Refusal) => void;
  /** Hands a whole answer over. */
  readonly whole: (head: UpstreamHead, body: Uint8Array) => void;
  /** Begins a stream. */
  readonly begin: (head: UpstreamHead) => void;
  readonly write: (bytes: Uint8Array) => void;
  /** Ends a stream as complete. */
  readonly end: () => void;
  /** Breaks a stream off so that the caller sees that it is incomplete. */
  readonly abort: () => void;
  /** Calls back when the caller went away before its answer was whole. */
  readonly onGone: (gone: () => void) => void;
}
