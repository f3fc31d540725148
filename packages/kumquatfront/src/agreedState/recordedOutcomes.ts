/**
 * Bounds the heap that recorded answers take. A claim without its answer still prevents a second run, so that dropping one costs its
 * caller the answer to a repeated call, and replicas that differ in what they dropped run nothing twice.
 */
import * as maximum from '../utils/maximum.js';
import type * as types from './types.js';

/** Heap of all recorded bodies. The largest alone, 16,384 characters for each of 20,000 claims, would be 340 MB of heap. */
const MAXIMUM_BYTES = 16 * 1_048_576;

/** Answers of one client account; the first is the oldest. */
interface AccountOutcomes {
  bytes: number;
  readonly sizes: Map<string, number>;
}

/** A text takes one byte for a character, or two if one of its characters needs them. */
function heapBytesOf(text: string): number {
  return /[\u0100-\uffff]/.test(text) ? 2 * text.length : text.length;
}

/** Sizes of the recorded answers of all client accounts; see the module comment. */
export class RecordedOutcomes {
  private readonly accounts = new Map<string, AccountOutcomes>();
  private bytes = 0;

  /**
   * Adds the answer of a claim.
   *
   * @param key - key of the claim, unique over all accounts
   * @returns keys of claims whose answers must be dropped: the oldest of the account that holds the most
   * @example
   * ```ts
   * for (const dropped of outcomes.add(account, key, outcome)) forgetOutcome(dropped);
   * ```
   */
  add(account: string, key: string, outcome: types.RecordedOutcome): readonly string[] {
    const size = heapBytesOf(outcome.body) + heapBytesOf(outcome.contentType);
    const own = this.accounts.get(account) ?? { bytes: 0, sizes: new Map<string, number>() };
    this.accounts.set(account, own);
    own.sizes.set(key, size);
    own.bytes += size;
    this.bytes += size;
    return this.dropExcess();
  }

  private dropExcess(): readonly string[] {
    const dropped: string[] = [];
    while (this.bytes > MAXIMUM_BYTES) {
      const [account, largest] = maximum.by(this.accounts, ([, { bytes }]) => bytes) ?? [];
      const [oldest] = largest?.sizes.keys() ?? [];
      if (account === undefined || oldest === undefined) {
        break;
      }
      this.remove(account, oldest);
      dropped.push(oldest);
    }
    return dropped;
  }

  /** Removes the answer of a claim; does nothing if it has none. */
  remove(account: string, key: string): void {
    const own = this.accounts.get(account);
    const size = own?.sizes.get(key);
    if (own === undefined || size === undefined) {
      return;
    }
    own.sizes.delete(key);
    own.bytes -= size;
    this.bytes -= size;
    if (own.sizes.size === 0) {
      this.accounts.delete(account);
    }
  }
}
