/**
 * A stand-in for a plain service: it counts how often each call ran.
 */

/** The service. */
export class ServiceModel {
  /** Runs of each call, by its idempotency key, or by its path where it has none. */
  readonly runs = new Map<string, number>();

  /** Runs a call and returns the body of its answer. */
  run(method: string, path: string, idempotencyKey: string): string {
    const name = idempotencyKey === '' ? path : idempotencyKey;
    const count = (this.runs.get(name) ?? 0) + 1;
    this.runs.set(name, count);
    return JSON.stringify({ method, path, key: idempotencyKey, ran: count });
  }

  /** Calls that ran more than once under one key. */
  doubled(keys: readonly string[]): readonly string[] {
    return keys.filter((key) => (this.runs.get(key) ?? 0) > 1);
  }
}
