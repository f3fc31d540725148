/**
 * A bounded queue that is fair between client accounts: deficit round robin after Shreedhar and Varghese
 * (1995), with tokens as the cost, so that a few large accounts do not push the small ones out.
 */

/** What waits. */
export interface QueueItem<Value> {
  readonly account: string;
  /** Expected cost in tokens. */
  readonly cost: number;
  /** Time at which it began to wait, milliseconds. */
  readonly since: number;
  readonly value: Value;
}

/** Bounds of a queue, in items. */
export interface QueueBounds {
  readonly perAccount: number;
  readonly total: number;
}

interface AccountQueue<Value> {
  readonly items: QueueItem<Value>[];
  deficit: number;
}

const QUANTUM = 1_000;

/**
 * The queue.
 *
 * @example
 * ```ts
 * const queue = new fairQueue.FairQueue<Request>(() => ({ perAccount: 100, total: 400 }), () => 1);
 * queue.push({ account: 'school-1', cost: 1800, since: 0, value: request });
 * queue.peek(0)?.value;
 * ```
 */
export class FairQueue<Value> {
  private readonly bounds: () => QueueBounds;
  private readonly weightOf: (account: string) => number;
  private readonly accounts = new Map<string, AccountQueue<Value>>();
  /** Accounts with waiting items, in the order of their turns. */
  private turns: string[] = [];
  private count = 0;

  constructor(bounds: () => QueueBounds, weightOf: (account: string) => number) {
    this.bounds = bounds;
    this.weightOf = weightOf;
  }

  get size(): number {
    return this.count;
  }

  /** Adds an item; false where a bound is hit, so that the caller can be told at once. */
  push(item: QueueItem<Value>): boolean {
    const queue = this.accounts.get(item.account) ?? { items: [], deficit: 0 };
    if (this.count >= this.bounds().total || queue.items.length >= this.bounds().perAccount) {
      return false;
    }
    if (queue.items.length === 0) {
      this.accounts.set(item.account, queue);
      this.turns.push(item.account);
    }
    queue.items.push(item);
    this.count += 1;
    return true;
  }

  /**
   * The item whose turn it is, left in place. One that has waited longer than `agedAfter` goes first
   * whatever the turns say: a small account's long request would otherwise starve behind cheap ones.
   */
  peek(now: number, agedAfter = Number.POSITIVE_INFINITY): QueueItem<Value> | undefined {
    const aged = this.oldest();
    if (aged !== undefined && now - aged.since > agedAfter) {
      return aged;
    }
    return this.nextByTurn();
  }

  private oldest(): QueueItem<Value> | undefined {
    let oldest: QueueItem<Value> | undefined;
    for (const queue of this.accounts.values()) {
      const [head] = queue.items;
      if (head !== undefined && (oldest === undefined || head.since < oldest.since)) {
        oldest = head;
      }
    }
    return oldest;
  }

  private nextByTurn(): QueueItem<Value> | undefined {
    while (this.turns.length > 0) {
      const account = this.turns[0] ?? '';
      const queue = this.accounts.get(account);
      const head = queue?.items[0];
      if (queue === undefined || head === undefined) {
        this.turns.shift();
        this.accounts.delete(account);
        continue;
      }
      if (queue.deficit >= head.cost) {
        return head;
      }
      queue.deficit += QUANTUM * this.weightOf(account);
      this.turns.push(this.turns.shift() ?? account);
    }
    return undefined;
  }

  /** Takes an item out, whether its turn came or its caller went away. */
  remove(item: QueueItem<Value>, served: boolean): void {
    const queue = this.accounts.get(item.account);
    const position = queue?.items.indexOf(item) ?? -1;
    if (queue === undefined || position < 0) {
      return;
    }
    queue.items.splice(position, 1);
    this.count -= 1;
    if (served) {
      queue.deficit -= item.cost;
    }
    if (queue.items.length === 0) {
      this.accounts.delete(item.account);
      this.turns = this.turns.filter((account) => account !== item.account);
    }
  }

  /** Every waiting item, account by account. */
  items(): readonly QueueItem<Value>[] {
    return [...this.accounts.values()].flatMap((queue) => queue.items);
  }
}
