/**
 * Visits queued requests so that the account furthest below its share goes first. A placed request counts at once: the
 * next one is of the account that is then furthest below its share.
 */

/** A queued request with the keys that determine the order. */
export interface OrderedRequest {
  readonly service: string;
  readonly account: string;
  /** Requests of different classes are never compared by share: rank, then in time before late. */
  readonly orderClass: string;
}

interface AccountQueue<Item> {
  readonly account: string;
  readonly items: { readonly item: Item; readonly position: number }[];
}

/** Sort key of an account at a service; lowest first. */
export type ShareKeyOf = (service: string, account: string) => number;

/** What happens to a request when it is visited. */
export interface Visitor<Item> {
  /** Returns true if the request was placed; `competes` if requests of several accounts are in its class. */
  readonly attempt: (item: Item, competes: boolean) => boolean;
  /** Called for a request that still waits after a later one of another account was placed because of the shares. */
  readonly overtaken: (item: Item) => void;
}

/**
 * Visits requests. Among those of one class and service, the account with the lowest key goes first; requests of one
 * account, and all requests where only one account waits, keep their order.
 *
 * @param items - requests, sorted by class and then by their order without shares
 * @example
 * ```ts
 * shareOrder.visit(sorted, (service, account) => shares.furthestBelowShare(service, account), visitor);
 * ```
 */
export function visit<Item extends OrderedRequest>(
  items: readonly Item[],
  keyOf: ShareKeyOf,
  visitor: Visitor<Item>,
): void {
  const groups = new Map<string, Item[]>();
  for (const item of items) {
    const name = `${item.orderClass} ${item.service}`;
    const group = groups.get(name);
    if (group === undefined) {
      groups.set(name, [item]);
    } else {
      group.push(item);
    }
  }
  for (const group of groups.values()) {
    visitGroup(group, keyOf, visitor);
  }
}

function visitGroup<Item extends OrderedRequest>(
  group: readonly Item[],
  keyOf: ShareKeyOf,
  visitor: Visitor<Item>,
): void {
  const queues = new Map<string, AccountQueue<Item>>();
  for (const [position, item] of group.entries()) {
    const queue = queues.get(item.account) ?? { account: item.account, items: [] };
    queue.items.push({ item, position });
    queues.set(item.account, queue);
  }
  if (queues.size === 1) {
    group.forEach((item) => visitor.attempt(item, false));
    return;
  }
  const service = group[0]?.service ?? '';
  const keyed = [...queues.values()].map((queue) => ({ queue, key: keyOf(service, queue.account), next: 0 }));
  keyed.sort(compare);
  for (let first = keyed.shift(); first !== undefined; first = keyed.shift()) {
    const { queue, next } = first;
    const candidate = queue.items[next];
    if (candidate === undefined) {
      continue;
    }
    const isPlaced = visitor.attempt(candidate.item, true);
    if (isPlaced) {
      reportOvertaken(keyed, candidate.position, visitor);
    }
    const key = isPlaced ? keyOf(service, queue.account) : first.key;
    const remaining = { queue, key, next: next + 1 };
    const index = keyed.findIndex((other) => compare(other, remaining) > 0);
    keyed.splice(index < 0 ? keyed.length : index, 0, remaining);
  }
}

interface KeyedQueue<Item> {
  readonly queue: AccountQueue<Item>;
  readonly key: number;
  /** Index of the next item to visit. */
  readonly next: number;
}

/** Lowest key first; among equal keys, the order without shares. */
function compare<Item>(left: KeyedQueue<Item>, right: KeyedQueue<Item>): number {
  return left.key - right.key || nextPosition(left) - nextPosition(right);
}

function nextPosition<Item>({ queue, next }: KeyedQueue<Item>): number {
  return queue.items[next]?.position ?? Number.MAX_SAFE_INTEGER;
}

/** Reports unvisited requests of other accounts that would have come before the placed one. */
function reportOvertaken<Item>(
  waiting: readonly KeyedQueue<Item>[],
  position: number,
  visitor: Visitor<Item>,
): void {
  for (const { queue, next } of waiting) {
    for (const other of queue.items.slice(next)) {
      if (other.position < position) {
        visitor.overtaken(other.item);
      }
    }
  }
}
