/**
 * Typed failures. Each has a kind that code may branch on and a message that names the remedy.
 */

/** Kinds of failure that parts of the system report to each other and to people. */
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
  /** Further facts for programs, such as the winning version of a race. */
  readonly detail?: Readonly<Record<string, unknown>>;
}

/**
 * Builds a failure.
 *
 * @param kind - the kind that code branches on
 * @param message - what happened
 * @param remedy - what the reader can do about it
 * @param detail - further facts for programs
 * @returns the failure
 * @example
 * ```ts
 * failures.create('notLeader', 'This replica follows.', 'Ask the leader.', { leader: '10.0.0.1:7201' });
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
 * Renders a failure as one sentence for a person.
 *
 * @param failure - the failure
 * @returns its message followed by its remedy
 * @example
 * ```ts
 * failures.describe(failure); // 'This replica follows. Ask the leader. [notLeader]'
 * ```
 */
export function describe(failure: Failure): string {
  return `${failure.message} ${failure.remedy} [${failure.kind}]`;
}

/** An exception that carries a failure; thrown only at start-up, where nothing else can be done. */
export class FailureError extends Error {
  readonly failure: Failure;

  constructor(failure: Failure) {
    super(describe(failure));
    this.name = 'FailureError';
    this.failure = failure;
  }
}
