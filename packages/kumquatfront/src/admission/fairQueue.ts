/**
 * A bounded queue that is fair between client accounts. Uses deficit round robin (Shreedhar and Varghese, 1995)
 * with tokens as the cost, so that large accounts cannot starve small ones.
 */

/** A queued item. */
export interface QueueItem<Value> {
  readonly account: string;
  /** Expected cost in tokens. */
  readonly cost: number;
  /** Time at which the item was enqueued, in milliseconds. */
  readonly enqueuedAt: number;
  readonly value: Value;
}

/** Maximum number of queued items. */
export interface QueueBounds {
  readonly perAccount: number;
  readonly total: number;
}

interface AccountQueue<Value> {
  readonly items: QueueItem<Value>[];
  deficit: number;
}

/** Tokens credited to an account of weight 1 in each round. */
const QUANTUM = 1_000;

/**
 * A deficit round robin queue; see the module comment.
 *
 * @example
 * ```ts
 * const queue = new fairQueue.FairQueue<Request>(() => ({ perAccount: 100, total: 400 }), () => 1);
 * queue.push({ account: 'school-1', cost: 1800, enqueuedAt: 0, value: request });
 * queue.peek(0)?.value;
 * ```
 */
export class FairQueue<Value> {
  private readonly bounds: () => QueueBounds;
  private readonly weightOf: (account: string) => number;
  private readonly accounts = new Map<string, AccountQueue<Value>>();
  /** Accounts with queued items, in round robin order. */
  private roundRobin: string[] = [];
  private count = 0;

  constructor(bounds: () => QueueBounds, weightOf: (account: string) => number) {
    this.bounds = bounds;
    this.weightOf = weightOf;
  }

  get size(): number {
    return this.count;
  }

  /** Enqueues an item; returns false if a bound is reached. */
  push(item: QueueItem<Value>): boolean {
    const queue = this.accounts.get(item.account) ?? { items: [], deficit: 0 };
    if (this.count >= this.bounds().total || queue.items.length >= this.bounds().perAccount) {
      return false;
    }
    if (queue.items.length === 0) {
      this.accounts.set(item.account, queue);
      this.roundRobin.push(item.account);
    }
    queue.items.push(item);
    this.count += 1;
    return true;
  }

  /**
   * Returns the next item without removing it. An item queued for longer than `agingThreshold` takes precedence
   * over the round robin order, so that an expensive request does not starve behind cheap ones.
   */
  peek(now: number, agingThreshold = Number.POSITIVE_INFINITY): QueueItem<Value> | undefined {
    const aged = this.oldest();
    if (aged !== undefined && now - aged.enqueuedAt > agingThreshold) {
      return aged;
    }
    return this.nextByDeficit();
  }

  private oldest(): QueueItem<Value> | undefined {
    let oldest: QueueItem<Value> | undefined;
    for (const queue of this.accounts.values()) {
      const [head] = queue.items;
      if (head !== undefined && (oldest === undefined || head.enqueuedAt < oldest.enqueuedAt)) {
        oldest = head;
      }
    }
    return oldest;
  }

  private nextByDeficit(): QueueItem<Value> | undefined {
    while (this.roundRobin.length > 0) {
      const account = this.roundRobin[0] ?? '';
      const queue = this.accounts.get(account);
      const head = queue?.items[0];
      if (queue === undefined || head === undefined) {
        this.roundRobin.shift();
        this.accounts.delete(account);
        continue;
      }
      if (queue.deficit >= head.cost) {
        return head;
      }
      queue.deficit += QUANTUM * this.weightOf(account);
      this.roundRobin.push(this.roundRobin.shift() ?? account);
    }
    return undefined;
  }

  /** Removes an item; its cost is charged to the account only if it was served. */
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
      this.roundRobin = this.roundRobin.filter((account) => account !== item.account);
    }
  }

  /** Returns all queued items, grouped by account. */
  items(): readonly QueueItem<Value>[] {
    return [...this.accounts.values()].flatMap((queue) => queue.items);
  }
}
