/**
 * Types of the relays between callers and upstreams. A generation is one run of a request on one engine; its
 * tokens are numbered from 0.
 */
import type * as relayTypes from '../relay/types.js';

/** Name and address of an upstream. */
export interface UpstreamTarget {
  readonly name: string;
  readonly address: string;
}

/** A generation request as sent to an engine. */
export interface EngineRequest {
  readonly generation: string;
  /** Path of the OpenAI-style call, such as `/v1/completions`. */
  readonly path: string;
  /** JSON text of the body; `stream` is always true. */
  readonly body: string;
  /** 0 is served before 1. */
  readonly priority: number;
}

/**
 * Why a connection to an engine ended before the generation was complete. `neverSent`: no byte of the request
 * can have reached the engine. `broken`: the connection closed before the end of the stream.
 * `unknownGeneration`: the engine does not have the generation to resume. `refused`: the engine declined to
 * run the request. `invalid`: the engine rejected the request as malformed.
 */
export type ConnectionFailure = 'neverSent' | 'broken' | 'unknownGeneration' | 'refused' | 'invalid';

/** Receives the events of one connection to an engine. */
export interface GenerationListener {
  /** The engine has accepted the request or the resumption. */
  onAccepted(): void;
  /** One token; `data` is the text of the event, forwarded unchanged. */
  onToken(generation: string, index: number, data: string): void;
  /** The process does not read the connection for a reason of its own, or reads it again. */
  onHeld?(isHeld: boolean): void;
  /** The generation is complete, with this many tokens. */
  onCompleted(generation: string, count: number): void;
  onFailed(reason: ConnectionFailure, detail: string): void;
}

/** A connection to an engine. */
export interface GenerationConnection {
  /** Stops reading and reporting; a few tokens that were read with the last one may still be reported. */
  pause(): void;
  resume(): void;
  /** Closes the connection; the engine retains the generation for a limited time. */
  close(): void;
}

/** Starts, resumes and cancels generations on engines. */
export interface GenerationPort {
  start(target: UpstreamTarget, request: EngineRequest, listener: GenerationListener): GenerationConnection;
  resume(
    target: UpstreamTarget,
    generation: string,
    fromIndex: number,
    listener: GenerationListener,
  ): GenerationConnection;
  /** Cancels a generation; with `ifUnread` only if no connection is reading it. */
  cancel(target: UpstreamTarget, generation: string, ifUnread: boolean): void;
}

/**
 * Outcome reported to a caller whose request failed. `notRun`: the request was certainly not run.
 * `outcomeUnknown`: it cannot be determined whether it ran. `interrupted`: it ran but did not complete.
 * `invalid`: the request itself is at fault.
 */
export type RefusalKind = 'notRun' | 'outcomeUnknown' | 'interrupted' | 'invalid';

/** Why a request failed, and when and where to retry. */
export interface Refusal {
  readonly kind: RefusalKind;
  readonly status: number;
  readonly message: string;
  readonly remedy: string;
  /** Milliseconds after which to retry; absent if a retry cannot succeed. */
  readonly retryAfter?: number;
  /** Addresses of other entries to retry at. */
  readonly entries?: readonly string[];
}

/** The connection of a caller that is sent tokens as they arrive. */
export interface CallerConnection {
  /** Bytes that the caller has taken; they never fall. */
  readonly takenBytes: () => number;
  /** Closes the connection without the end of the stream. */
  readonly abort: () => void;
}

/** Sends the events of a stream to its caller. */
export interface GenerationCaller {
  /** Undefined for a caller that waits for no token, whose `sendToken` never requests a pause. */
  readonly connection?: CallerConnection | undefined;
  /** The request has a generation; with `resumeToken` the caller can resume it at any entry. */
  sendAccepted(resumeToken: string): void;
  /** Sends one token; false requests a pause until `StreamHandle.onDrain` is called, or the end of a caller that takes nothing. */
  sendToken(resumeToken: string, index: number, data: string): boolean;
  /** Discards all tokens sent so far; a new generation begins at index 0. */
  sendRestart(resumeToken: string): void;
  complete(count: number): void;
  refuse(refusal: Refusal): void;
}

/** Handle through which the caller's connection controls a running stream. */
export interface StreamHandle {
  /** Names the request in logs; empty if it was refused at once. */
  readonly requestId: string;
  /** The caller's connection accepts more tokens. */
  onDrain(): void;
  /** The caller's connection closed; the caller may resume at another entry within `resumeGrace`. */
  onCallerDisconnect(): void;
  /** The answer cannot be held until it is complete: its generation is cancelled, and the caller is refused with the reason. */
  giveUpAnswer(reason: string): void;
}

/** Timeouts and retry limits of relays; times are milliseconds. */
export interface RelaySettings {
  /** Idle time after which the relay resumes on a new connection. */
  readonly stallTimeout: number;
  /** Time an engine has to accept a request or a resumption. */
  readonly openTimeout: number;
  /** Time a generation is retained after its caller disconnected. */
  readonly resumeGrace: number;
  /** Time without a token after which a generation is abandoned although its engine accepts connections. */
  readonly silenceLimit: number;
  /** Delay before a resumption, multiplied by the number of attempts without progress. */
  readonly resumePause: number;
  /** Resumptions without a new token after which an engine counts as failed. */
  readonly resumeLimit: number;
  /** Maximum number of generations of one request. */
  readonly generationLimit: number;
}

/** Checks whether an upstream's address accepts connections; sends no data. */
export type CheckUpstream = (
  address: string,
  done: (result: relayTypes.ConnectionCheckResult) => void,
) => void;

/** A call to a service that answers without streaming. */
export interface ServiceCall {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  /** Forwarded to the service, so that it can detect duplicates itself. */
  readonly idempotencyKey: string;
}

/** The answer of a service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
  /** Set if neither a length nor chunks stated that the body is whole. */
  readonly endsWithConnection?: true;
}

/** Receives the result of a call; exactly one of the two methods is called. */
export interface ServiceListener {
  onAnswer(answer: ServiceAnswer): void;
  /** `neverSent` only if no byte of the call can have reached the service. */
  onFailed(reason: 'neverSent' | 'broken' | 'timeout'): void;
}

/** Sends calls to services. Implementations never retry a call. */
export interface ServicePort {
  call(target: UpstreamTarget, call: ServiceCall, timeout: number, listener: ServiceListener): void;
}

/** Sends the result of a service call to its caller. */
export interface ServiceCaller {
  /** `isReplay` marks a recorded answer of an earlier call with the same Idempotency-Key. */
  respond(answer: ServiceAnswer, isReplay: boolean): void;
  refuse(refusal: Refusal): void;
}
