/**
 * Receives operator orders at a simulated engine. Engines that check fencing numbers reject an order whose
 * number is lower than one already accepted.
 */

/** Accepted orders of one engine. */
export class OrderReceiver {
  /** Accepted orders, oldest first. */
  readonly accepted: { readonly fencingNumber: number; readonly target: string }[] = [];
  private readonly checksFencing: boolean;
  private newestFencingNumber = 0;

  constructor(checksFencing: boolean) {
    this.checksFencing = checksFencing;
  }

  /** Accepts an order; returns false when its fencing number is outdated. */
  accept(fencingNumber: number, target: string): boolean {
    if (this.checksFencing && fencingNumber < this.newestFencingNumber) {
      return false;
    }
    this.newestFencingNumber = Math.max(this.newestFencingNumber, fencingNumber);
    this.accepted.push({ fencingNumber, target });
    return true;
  }

  /** The most recently accepted order; fencing number 0 and an empty target before the first one. */
  latestReceipt(): { readonly fencingNumber: number; readonly target: string } {
    return this.accepted.at(-1) ?? { fencingNumber: 0, target: '' };
  }
}
