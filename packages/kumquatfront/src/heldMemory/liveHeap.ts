/**
 * Estimates how much of the heap is live. The heap in use includes garbage: an entry under load swings by tens of megabytes
 * between two collections and holds none of them.
 */

/**
 * The live heap is what a major collection left, and what the holders have gained since; never more than the heap in use. What
 * no holder counts shows at the next major collection; Node.js makes several a second when the heap is nearly full.
 */
export class LiveHeap {
  private usedAfterCollection = 0;
  private heldAtCollection = 0;
  private hasCollected = false;

  /**
   * Records a major collection that has just ended.
   *
   * @param used - heap in use
   * @param held - heap that the holders account for
   */
  onMajorCollection(used: number, held: number): void {
    this.hasCollected = true;
    this.usedAfterCollection = used;
    this.heldAtCollection = held;
  }

  /**
   * Estimates the live heap.
   *
   * @example
   * ```ts
   * liveHeap.onMajorCollection(30_000_000, 1_000_000);
   * liveHeap.estimate(60_000_000, 5_000_000); // 34_000_000
   * ```
   */
  estimate(used: number, held: number): number {
    if (!this.hasCollected) {
      return Math.min(used, held);
    }
    const gained = held - this.heldAtCollection;
    return Math.max(0, Math.min(used, this.usedAfterCollection + gained));
  }
}
