/**
 * The origin of a stream: the software that produced its first event. Two versions of a service produce events that do
 * not fit together, so a stream goes on only at its origin.
 */
import type * as ports from '../kernel/ports.js';

/** Origin of a stream. */
export interface StreamOrigin {
  readonly service: string;
  /** Software of the upstream, as `software.of` returns it. */
  readonly software: string;
}

/** Names a stream: the attempt that brought its first event, and the client account that sent it. */
export interface StreamKey {
  /** Empty if no API key is required. */
  readonly account: string;
  /** Set by the caller, so that two accounts may use the same. */
  readonly attempt: string;
}

/** The origin of a stream, as processes keep it for each other. */
export interface OriginRecord extends StreamKey, StreamOrigin {
  /** Time for which it is still kept. */
  readonly expiresIn: ports.Milliseconds;
}

/**
 * Result of a search for an origin.
 *
 * - `unknown`: every process that would keep the origin has answered, and none has it.
 * - `unreachable`: a process that may have it did not answer.
 */
export type FoundOrigin =
  | { readonly state: 'known'; readonly origin: StreamOrigin }
  | { readonly state: 'unknown' }
  | { readonly state: 'unreachable' };
