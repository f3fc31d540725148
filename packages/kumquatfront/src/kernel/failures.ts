/**
 * Typed failures: a kind for programs, and a message and a remedy for people.
 */

/** Kinds of failure, for programs to branch on. */
export type FailureKind =
  | 'badInput'
  | 'unauthorized'
  | 'notFound'
  | 'conflict'
  | 'ambiguous'
  | 'notLeader'
  | 'noQuorum'
  | 'stale'
  | 'timeout'
  | 'unreachable'
  | 'draining'
  | 'overloaded'
  | 'corrupt'
  | 'tooLarge';

/** A failure: what went wrong, and what the reader can do about it. */
export interface Failure {
  readonly kind: FailureKind;
  /** What happened, in one sentence. */
  readonly message: string;
  /** What to do about it, in one sentence. */
  readonly remedy: string;
  /** Details for programs, such as the current version after a conflict. */
  readonly detail?: Readonly<Record<string, unknown>>;
}

/**
 * Creates a failure.
 *
 * @param kind - the kind that code branches on
 * @param remedy - what the reader can do about it
 * @example
 * ```ts
 * failures.create('notLeader', 'This replica is not the leader.', 'Send the request to the leader.', { leader: '10.0.0.1:7201' });
 * ```
 */
export function create(
  kind: FailureKind,
  message: string,
  remedy: string,
  detail?: Readonly<Record<string, unknown>>,
): Failure {
  return detail === undefined ? { kind, message, remedy } : { kind, message, remedy, detail };
}

/**
 * Formats a failure for people.
 *
 * @returns message, remedy and kind
 * @example
 * ```ts
 * failures.describe(failure); // 'This replica is not the leader. Send the request to the leader. [notLeader]'
 * ```
 */
export function describe(failure: Failure): string {
  return `${failure.message} ${failure.remedy} [${failure.kind}]`;
}

/** Exception with a failure; thrown only at start-up, where no caller can handle a result. */
export class FailureError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(describe(failure));
    this.name = 'FailureError';
    this.failure = failure;
  }
}
