/**
 * The largest of some items, without a copy or an order of all of them.
 */

/**
 * Returns the largest item.
 *
 * @param items - the items
 * @param sizeOf - size of an item; one of size 0 does not take part
 * @returns the first of the largest items; undefined if none has a size above 0
 * @example
 * ```ts
 * const longest = maximum.by(['a', 'ccc', 'bb'], (text) => text.length); // 'ccc'
 * ```
 */
export function by<Item>(items: Iterable<Item>, sizeOf: (item: Item) => number): Item | undefined {
  let largest: Item | undefined;
  let largestSize = 0;
  for (const item of items) {
    const size = sizeOf(item);
    if (size > largestSize) {
      largest = item;
      largestSize = size;
    }
  }
  return largest;
}
