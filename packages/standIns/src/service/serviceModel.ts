/**
 * Simulates a plain service and counts how often each call ran.
 */

/** Simulated service. */
export class ServiceModel {
  /** Number of runs of each call, by idempotency key, or by path for calls without a key. */
  readonly runCounts = new Map<string, number>();

  /** Runs a call and returns the response body. */
  run(method: string, path: string, idempotencyKey: string): string {
    const name = idempotencyKey === '' ? path : idempotencyKey;
    const count = (this.runCounts.get(name) ?? 0) + 1;
    this.runCounts.set(name, count);
    return JSON.stringify({ method, path, key: idempotencyKey, ran: count });
  }

  /** Keys of calls that ran more than once. */
  duplicateRuns(keys: readonly string[]): readonly string[] {
    return keys.filter((key) => (this.runCounts.get(key) ?? 0) > 1);
  }
}
