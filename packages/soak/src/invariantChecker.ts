/**
 * Records the answers that clients received and the requests that instances executed, and checks the delivery
 * invariants: no duplicate execution, no false "not run", no foreign or truncated answer, no stale read.
 */

/** Outcome of a client's attempt. */
export interface AttemptOutcome {
  readonly identity: string;
  readonly kind: 'payment' | 'lookUp' | 'stream';
  /** 0 if the connection broke before a status was received. */
  readonly status: number;
  readonly body: string;
  /** True if the framing of the answer marked it as complete. */
  readonly complete: boolean;
}

/** Response body of an attempt; it contains the attempt's identity, so that a client can recognize a foreign answer. */
export function bodyOf(identity: string): string {
  return `answer to ${identity} ${'.'.repeat(identity.charCodeAt(0) * 3)}`;
}

/** Number of events in a complete stream. */
export const STREAM_EVENTS = 40;

/** One server-sent event of a stream. */
export function eventOf(identity: string, index: number): string {
  return `id: ${index}\ndata: ${identity} ${index}\n\n`;
}

/** Statuses that assert that the request was not executed. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);

/** Collects the history of one soak run and reports violations of the invariants. */
export class InvariantChecker {
  readonly violations: string[] = [];
  readonly counts = { sent: 0, served: 0, refused: 0, failed: 0 };
  private readonly executions = new Map<string, number>();
  private readonly refusals = new Map<string, { readonly status: number; readonly at: number }>();
  private newestAcknowledged = 0;

  /** Records that an instance started to execute an attempt. */
  recordExecution(identity: string, idempotent: boolean): void {
    const count = (this.executions.get(identity) ?? 0) + 1;
    this.executions.set(identity, count);
    if (count > 1 && !idempotent) {
      this.violations.push(`${identity} is not idempotent and ran ${count} times`);
    }
    const refusal = this.refusals.get(identity);
    if (refusal !== undefined) {
      const kind = idempotent ? 'idempotent' : 'not idempotent';
      const delay = Math.round(performance.now() - refusal.at);
      const answered = `${identity} (${kind}) was answered ${refusal.status} (not run)`;
      this.violations.push(`${answered}, but was executed ${delay} ms afterwards`);
    }
  }

  /** Records the outcome of a client's attempt. */
  recordOutcome(outcome: AttemptOutcome): void {
    this.counts.sent += 1;
    const { identity, status, body, complete, kind } = outcome;
    if (status >= 200 && status < 300) {
      this.counts.served += complete ? 1 : 0;
      this.counts.failed += complete ? 0 : 1;
      this.checkBody(outcome);
    } else if (NOT_RUN_STATUSES.has(status)) {
      this.counts.refused += 1;
      this.refusals.set(identity, { status, at: performance.now() });
      if (this.executions.has(identity) && kind !== 'lookUp') {
        this.violations.push(`${identity} was answered ${status} (not run), but has run`);
      }
    } else {
      this.counts.failed += 1;
      if (status === 404 || status === 401) {
        this.violations.push(
          `${identity} is a valid request, but was answered ${status}: ${body.slice(0, 120)}`,
        );
      }
    }
  }

  private checkBody({ identity, kind, body, complete }: AttemptOutcome): void {
    const expected =
      kind === 'stream'
        ? Array.from({ length: STREAM_EVENTS }, (_none, index) => eventOf(identity, index + 1)).join('')
        : bodyOf(identity);
    if (complete && body !== expected) {
      this.violations.push(
        `${identity} received a complete answer that is not its own: ${body.slice(0, 120)}`,
      );
    } else if (!expected.startsWith(body)) {
      this.violations.push(
        `${identity} received data that is not a prefix of its answer: ${body.slice(-120)}`,
      );
    }
  }

  /** Records that an operator's configuration version was acknowledged. */
  recordAcknowledgedVersion(version: number): void {
    this.newestAcknowledged = Math.max(this.newestAcknowledged, version);
  }

  get newestAcknowledgedVersion(): number {
    return this.newestAcknowledged;
  }

  /** Checks a configuration read against the newest version that was acknowledged when the read was sent. */
  recordRead(version: number, acknowledgedBefore: number): void {
    if (version < acknowledgedBefore) {
      this.violations.push(`a read returned version ${version} after ${acknowledgedBefore} was acknowledged`);
    }
  }
}
