/**
 * Bounded memory of the origins of streams, for as long as each stream can be taken up.
 */
import type * as ports from '../kernel/ports.js';
import type * as types from './types.js';

interface StoredOrigin {
  /** Undefined if the attempt was recorded with two origins; the stream then belongs to neither. */
  readonly origin: types.StreamOrigin | undefined;
  readonly expiresAt: ports.Milliseconds;
}

/** Origins of streams; see the module comment. */
export class OriginStore {
  private readonly accounts = new Map<string, Map<string, StoredOrigin>>();
  private count = 0;

  /** @param capacity - maximum number of records */
  constructor(private readonly capacity: number) {}

  get size(): number {
    return this.count;
  }

  /** Adds a record, or keeps a known one for longer. */
  add(record: types.OriginRecord, now: ports.Milliseconds): void {
    const { account, attempt, service, software, expiresIn } = record;
    const attempts = this.accounts.get(account) ?? new Map<string, StoredOrigin>();
    this.accounts.set(account, attempts);
    const known = attempts.get(attempt);
    const isContradicted =
      known !== undefined && (known.origin?.service !== service || known.origin.software !== software);
    const expiresAt = Math.max(known?.expiresAt ?? 0, now + expiresIn);
    attempts.delete(attempt);
    attempts.set(attempt, { origin: isContradicted ? undefined : { service, software }, expiresAt });
    if (known === undefined) {
      this.count += 1;
      if (this.count > this.capacity) {
        this.removeOldestOfLargestAccount();
      }
    }
  }

  /** Returns the origin of a stream; undefined if it is not known for certain. */
  find({ account, attempt }: types.StreamKey, now: ports.Milliseconds): types.StreamOrigin | undefined {
    const stored = this.accounts.get(account)?.get(attempt);
    return stored === undefined || stored.expiresAt <= now ? undefined : stored.origin;
  }

  /** All records that are still valid. */
  records(now: ports.Milliseconds): readonly types.OriginRecord[] {
    const records: types.OriginRecord[] = [];
    for (const [account, attempts] of this.accounts) {
      for (const [attempt, { origin, expiresAt }] of attempts) {
        if (origin !== undefined && expiresAt > now) {
          records.push({ account, attempt, ...origin, expiresIn: expiresAt - now });
        }
      }
    }
    return records;
  }

  removeExpired(now: ports.Milliseconds): void {
    for (const [account, attempts] of this.accounts) {
      for (const [attempt, { expiresAt }] of attempts) {
        if (expiresAt <= now) {
          this.remove(account, attempts, attempt);
        }
      }
    }
  }

  /** Makes room at the cost of the account that has most records, so that none displaces those of others. */
  private removeOldestOfLargestAccount(): void {
    let largest: readonly [account: string, attempts: Map<string, StoredOrigin>] | undefined;
    for (const candidate of this.accounts) {
      if (largest === undefined || candidate[1].size > largest[1].size) {
        largest = candidate;
      }
    }
    const [oldest] = largest?.[1].keys() ?? [];
    if (largest !== undefined && oldest !== undefined) {
      this.remove(...largest, oldest);
    }
  }

  private remove(account: string, attempts: Map<string, StoredOrigin>, attempt: string): void {
    attempts.delete(attempt);
    this.count -= 1;
    if (attempts.size === 0) {
      this.accounts.delete(account);
    }
  }
}
