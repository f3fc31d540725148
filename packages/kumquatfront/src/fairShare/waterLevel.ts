/**
 * Weighted max-min division of a capacity: an account that asks for less than its share gets what it asks for, and
 * the others divide the rest by weight.
 */

/** Demand and weight of one account. */
export interface Demand {
  readonly weight: number;
  readonly amount: number;
}

/**
 * Computes the share of an account of weight 1 that asks for more than its share.
 *
 * @param demands - demand of each account
 * @returns share per weight; if the capacity meets all demands, the greatest demand per weight
 * @example
 * ```ts
 * waterLevel.find(100, [{ weight: 1, amount: 10 }, { weight: 1, amount: 80 }, { weight: 2, amount: 900 }]); // 30
 * ```
 */
export function find(capacity: number, demands: readonly Demand[]): number {
  const byLevel = [...demands].sort((left, right) => left.amount / left.weight - right.amount / right.weight);
  let remainingCapacity = capacity;
  let remainingWeight = byLevel.reduce((sum, demand) => sum + demand.weight, 0);
  let level = 0;
  for (const { amount, weight } of byLevel) {
    level = remainingCapacity / remainingWeight;
    if (amount / weight >= level) {
      return level;
    }
    level = amount / weight;
    remainingCapacity -= amount;
    remainingWeight -= weight;
  }
  return level;
}
