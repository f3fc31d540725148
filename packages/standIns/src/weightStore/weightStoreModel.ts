/**
 * A stand-in for the weight store: it refuses loads beyond its rate.
 */

const MINUTE = 60_000;

/** The store. */
export class WeightStoreModel {
  refused = 0;
  private readonly perMinute: number;
  private readonly now: () => number;
  private times: number[] = [];

  constructor(perMinute: number, now: () => number) {
    this.perMinute = perMinute;
    this.now = now;
  }

  /** True where the load may begin. */
  load(): boolean {
    this.times = this.times.filter((time) => time > this.now() - MINUTE);
    if (this.times.length >= this.perMinute) {
      this.refused += 1;
      return false;
    }
    this.times.push(this.now());
    return true;
  }
}
