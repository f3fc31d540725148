/**
 * The origin of a stream: the software that produced its first event. Two versions of a service produce events that do
 * not fit together, so a stream goes on only at its origin.
 */

/** Origin of a stream. */
export interface StreamOrigin {
  readonly service: string;
  /** Software of the upstream, as `software.of` returns it. */
  readonly software: string;
}
