/**
 * Bounds the heap that recorded answers take. A claim without its answer still prevents a second run, so that dropping one costs its
 * caller the answer to a repeated call, and replicas that differ in what they dropped run nothing twice.
 */
import type * as types from './types.js';

/** Heap of all recorded bodies. The largest alone, 16,384 characters for each of 20,000 claims, would be 340 MB of heap. */
const MAXIMUM_BYTES = 16 * 1_048_576;

/** Answers of one client account. */
interface AccountOutcomes {
  bytes: number;
  /** Sizes by claim, in the order of the claims; 0 until an answer is recorded. */
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
   * Adds a claim that may get an answer. Claims are added in their order, which a snapshot keeps, so that all replicas drop the same answers.
   */
  open(account: string, key: string): void {
    const own = this.accounts.get(account) ?? { bytes: 0, sizes: new Map<string, number>() };
    this.accounts.set(account, own);
    own.sizes.set(key, 0);
  }

  /**
   * Adds the answer of a claim that was opened.
   *
   * @param key - key of the claim, unique over all accounts
   * @returns keys of claims whose answers must be dropped: that of the oldest claim of the account that holds the most
   * @example
   * ```ts
   * for (const dropped of outcomes.add(account, key, outcome)) forgetOutcome(dropped);
   * ```
   */
  add(account: string, key: string, outcome: types.RecordedOutcome): readonly string[] {
    const size = heapBytesOf(outcome.body) + heapBytesOf(outcome.contentType);
    const own = this.accounts.get(account);
    if (own === undefined) {
      return [];
    }
    own.sizes.set(key, size);
    own.bytes += size;
    this.bytes += size;
    return this.dropExcess();
  }

  private dropExcess(): readonly string[] {
    const dropped: string[] = [];
    while (this.bytes > MAXIMUM_BYTES) {
      const account = this.largestAccount();
      const oldest = this.oldestAnswer(account);
      if (oldest === undefined) {
        break;
      }
      this.remove(account, oldest);
      dropped.push(oldest);
    }
    return dropped;
  }

  /** The account that holds the most; of several, the first by name. */
  private largestAccount(): string {
    let largest = '';
    let most = 0;
    for (const [account, { bytes }] of this.accounts) {
      if (bytes > most || (bytes === most && account < largest)) {
        largest = account;
        most = bytes;
      }
    }
    return largest;
  }

  private oldestAnswer(account: string): string | undefined {
    for (const [key, size] of this.accounts.get(account)?.sizes ?? []) {
      if (size > 0) {
        return key;
      }
    }
    return undefined;
  }

  /** Removes a claim, which gets no answer any more or loses its own; does nothing if it is not known. */
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
