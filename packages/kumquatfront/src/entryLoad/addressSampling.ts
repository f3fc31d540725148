/**
 * Draws the entries that a look-up returns. Callers pick one of them at random, so that an entry gets callers in
 * proportion to the probability with which it is included.
 */
import type * as ports from '../kernel/ports.js';

/** An item and its weight, above 0. */
export interface Weighted<Item> {
  readonly item: Item;
  readonly weight: number;
}

/** What a selection depends on. */
export interface SelectionRequest<Item> {
  /** Entries of the caller's data centre. */
  readonly local: readonly Weighted<Item>[];
  readonly remote: readonly Weighted<Item>[];
  /** Maximum number of addresses that the caller accepts. */
  readonly limit: number;
  /** Minimum number of addresses, if that many entries exist. */
  readonly minimum: number;
  /** Number of remote addresses in an unweighted list, which holds all local entries. */
  readonly usualRemote: number;
  /** Largest share of local addresses that the capacity of the data centre allows. */
  readonly localShare: number;
}

function shuffled<Item>(items: readonly Item[], random: ports.Random): Item[] {
  const result = [...items];
  for (let last = result.length - 1; last > 0; last -= 1) {
    const other = Math.floor(random.next() * (last + 1));
    [result[last], result[other]] = [result[other] as Item, result[last] as Item];
  }
  return result;
}

/** Inclusion probabilities proportional to weight; items that would exceed 1 are certain. */
function inclusionProbabilities(weights: readonly number[], count: number): readonly number[] {
  const certain = new Set<number>();
  for (;;) {
    const total = weights.reduce((sum, weight, index) => (certain.has(index) ? sum : sum + weight), 0);
    const scale = (count - certain.size) / total;
    const exceeding = weights.flatMap((weight, index) =>
      !certain.has(index) && weight * scale >= 1 ? [index] : [],
    );
    if (exceeding.length === 0) {
      return weights.map((weight, index) => (certain.has(index) ? 1 : weight * scale));
    }
    for (const index of exceeding) {
      certain.add(index);
    }
  }
}

/**
 * Draws items without replacement, so that each is included with a probability proportional to its weight (systematic
 * sampling in random order).
 *
 * @param items - items with weights above 0
 * @param count - number of items to draw
 * @param random - source of random numbers
 * @returns the drawn items; all items if there are not more than `count`
 * @example
 * ```ts
 * addressSampling.draw([{ item: 'e1', weight: 1 }, { item: 'e2', weight: 3.3 }], 1, random);
 * ```
 */
export function draw<Item>(
  items: readonly Weighted<Item>[],
  count: number,
  random: ports.Random,
): readonly Item[] {
  if (count <= 0) {
    return [];
  }
  if (count >= items.length) {
    return items.map(({ item }) => item);
  }
  const ordered = shuffled(items, random);
  const probabilities = inclusionProbabilities(
    ordered.map(({ weight }) => weight),
    count,
  );
  const drawn: Item[] = [];
  let threshold = random.next();
  let cumulated = 0;
  for (const [index, { item }] of ordered.entries()) {
    cumulated += probabilities[index] ?? 0;
    if (cumulated > threshold && drawn.length < count) {
      drawn.push(item);
      threshold += 1;
    }
  }
  return drawn;
}

/** Largest number of items of which none must be certain to be included, so that inclusion is proportional to weight. */
function proportionalCount(items: readonly Weighted<unknown>[]): number {
  const weights = items.map(({ weight }) => weight);
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return Math.floor(total / Math.max(...weights) + 1e-9);
}

function roundRandomly(value: number, random: ports.Random): number {
  return Math.floor(value + random.next());
}

/**
 * Selects entries for a caller. The share of remote addresses is that of an unweighted list, or more if the data centre
 * is short of capacity.
 *
 * @param request - entries with weights, and bounds of the list
 * @param random - source of random numbers
 * @returns the selected entries, those of the caller's data centre first
 * @example
 * ```ts
 * addressSampling.select({ local, remote, limit: 64, minimum: 8, usualRemote: 4, localShare: 1 }, random);
 * ```
 */
export function select<Item>(request: SelectionRequest<Item>, random: ports.Random): readonly Item[] {
  const { local, remote, limit, minimum, usualRemote } = request;
  if (local.length === 0) {
    return draw(remote, Math.min(limit, Math.max(minimum, usualRemote)), random);
  }
  const usualLocalCount = Math.max(1, Math.min(local.length, limit - Math.min(usualRemote, remote.length)));
  const usualShare = usualLocalCount / (usualLocalCount + usualRemote);
  const localShare = remote.length === 0 ? 1 : Math.min(usualShare, request.localShare);
  const fittingCount = Math.max(1, Math.floor(limit * localShare), minimum - remote.length);
  // A short list in which one entry is certain is less than proportional, but callers need addresses to fail over to.
  const wantedCount = Math.max(
    proportionalCount(local),
    Math.ceil(minimum * localShare),
    minimum - remote.length,
  );
  const localCount = Math.min(wantedCount, local.length, fittingCount, limit);
  const sharedCount = roundRandomly((localCount * (1 - localShare)) / localShare, random);
  const remoteCount = Math.max(1, sharedCount, minimum - localCount);
  return [
    ...draw(local, localCount, random),
    ...draw(remote, Math.min(remoteCount, limit - localCount), random),
  ];
}
