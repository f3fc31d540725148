/**
 * Streams between an upstream and a caller. A generation is one run of a request on one engine; its tokens
 * are numbered from 0.
 */
import type * as relayTypes from '../relay/types.js';

/** Where an upstream is. */
export interface UpstreamTarget {
  readonly name: string;
  readonly address: string;
}

/** What an engine is asked to generate. */
export interface GenerationOrder {
  readonly generation: string;
  /** Path of the OpenAI-style call, such as `/v1/completions`. */
  readonly path: string;
  /** JSON text of the body; `stream` is always true. */
  readonly body: string;
  /** 0 goes before 1. */
  readonly priority: number;
}

/**
 * Why a connection to an engine ended early. `neverSent`: no byte of the request can have arrived.
 * `broken`: the connection ended before the stream did. `unknownGeneration`: the engine does not know what
 * is to be resumed. `refused`: the engine answered that it does not take the request. `invalid`: the engine
 * found the request itself at fault.
 */
export type ConnectionFailure = 'neverSent' | 'broken' | 'unknownGeneration' | 'refused' | 'invalid';

/** What an engine tells about one connection. */
export interface GenerationListener {
  /** The engine has accepted the request or the resumption. */
  opened(): void;
  /** One token; `data` is the event's text, passed on as it is. */
  token(generation: string, index: number, data: string): void;
  /** The generation is whole, with this many tokens. */
  ended(generation: string, count: number): void;
  failed(reason: ConnectionFailure, detail: string): void;
}

/** A connection to an engine. */
export interface GenerationConnection {
  pause(): void;
  resume(): void;
  /** Closes the connection; the engine keeps the generation for a while. */
  close(): void;
}

/** Engines as a relay sees them. */
export interface GenerationPort {
  start(target: UpstreamTarget, order: GenerationOrder, listener: GenerationListener): GenerationConnection;
  resume(
    target: UpstreamTarget,
    generation: string,
    fromIndex: number,
    listener: GenerationListener,
  ): GenerationConnection;
  /** Cancels a generation; with `ifUnread` only where nobody reads it any more. */
  cancel(target: UpstreamTarget, generation: string, ifUnread: boolean): void;
}

/**
 * What a caller is told when its request did not end well. `notRun`: it was certainly not run.
 * `outcomeUnknown`: nobody can know whether it ran. `interrupted`: it ran and broke off.
 */
export type RefusalKind = 'notRun' | 'outcomeUnknown' | 'interrupted' | 'invalid';

/** A refusal; given at once, with when and where to come back. */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly status: number;
  readonly message: string;
  readonly remedy: string;
  /** Milliseconds after which it is worth coming back; absent where repeating does not help. */
  readonly retryAfter?: number;
  /** Addresses of other entries to go to. */
  readonly entries?: readonly string[];
}

/** The caller's side of a stream. */
export interface GenerationCaller {
  /** The request has a generation; `resumeToken` lets the caller go on at any entry. */
  accepted(resumeToken: string): void;
  /** One token; false asks to pause until `drained` is called. */
  token(resumeToken: string, index: number, data: string): boolean;
  /** All tokens so far are void; a new generation begins at index 0. */
  restarted(resumeToken: string): void;
  ended(count: number): void;
  refused(refusal: Refusal): void;
}

/** A stream in flight, as its caller's connection handles it. */
export interface StreamHandle {
  /** The caller can take more. */
  drained(): void;
  /** The caller's connection is gone; it may resume elsewhere for a while. */
  callerGone(): void;
}

/** Timing of relays, in milliseconds. */
export interface RelaySettings {
  /** Silence after which the engine is asked again on a new connection. */
  readonly stallTimeout: number;
  /** Time an engine has to accept a request or a resumption. */
  readonly openTimeout: number;
  /** Time a generation is kept for a caller that went away. */
  readonly resumeGrace: number;
  /** Silence after which a generation is given up though its engine answers. */
  readonly silenceLimit: number;
  /** Pause before a resumption, times the number of tries. */
  readonly resumePause: number;
  /** Resumptions without a new token after which an engine counts as dead. */
  readonly resumeLimit: number;
  /** Generations of one request at most. */
  readonly generationLimit: number;
}

/** Tries whether anything listens at an upstream's address; sends nothing. */
export type CheckUpstream = (address: string, done: (sign: relayTypes.ConnectionSign) => void) => void;

/** A call to a plain service. */
export interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  /** Passed on to the service, so that it can find doubles itself. */
  readonly idempotencyKey: string;
}

/** The answer of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** What comes of a call; exactly one of the two is called. */
export interface ServiceListener {
  answered(answer: ServiceAnswer): void;
  /** `neverSent` only where no byte of the call can have arrived. */
  failed(reason: 'neverSent' | 'broken' | 'timeout'): void;
}

/** Plain services as a relay sees them. It never repeats a call by itself. */
export interface ServicePort {
  call(target: UpstreamTarget, call: ServiceCall, timeout: number, listener: ServiceListener): void;
}

/** The caller's side of a call to a plain service. */
export interface ServiceCaller {
  answered(answer: ServiceAnswer, repeated: boolean): void;
  refused(refusal: Refusal): void;
}
