/**
 * Orders a stand-in engine has taken. Some engines refuse an order with an old fencing number; others take
 * any.
 */

/** The order book of one engine. */
export class OrderBook {
  /** Every order taken, in order. */
  readonly taken: { readonly fencingNumber: number; readonly target: string }[] = [];
  private readonly checksFencing: boolean;
  private newest = 0;

  constructor(checksFencing: boolean) {
    this.checksFencing = checksFencing;
  }

  /** Takes an order; false where its fencing number is older than one taken before. */
  take(fencingNumber: number, target: string): boolean {
    if (this.checksFencing && fencingNumber < this.newest) {
      return false;
    }
    this.newest = Math.max(this.newest, fencingNumber);
    this.taken.push({ fencingNumber, target });
    return true;
  }

  receipt(): { readonly fencingNumber: number; readonly target: string } {
    return this.taken.at(-1) ?? { fencingNumber: 0, target: '' };
  }
}
