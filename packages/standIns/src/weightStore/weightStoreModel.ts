/**
 * Simulates the store of model weights; it rejects loads above its rate limit.
 */

const MINUTE = 60_000;

/** Simulated weight store. */
export class WeightStoreModel {
  refusedLoads = 0;
  private readonly loadsPerMinute: number;
  private readonly now: () => number;
  private recentLoadTimes: number[] = [];

  constructor(loadsPerMinute: number, now: () => number) {
    this.loadsPerMinute = loadsPerMinute;
    this.now = now;
  }

  /** Starts a load; returns false when the rate limit is reached. */
  tryLoad(): boolean {
    this.recentLoadTimes = this.recentLoadTimes.filter((time) => time > this.now() - MINUTE);
    if (this.recentLoadTimes.length >= this.loadsPerMinute) {
      this.refusedLoads += 1;
      return false;
    }
    this.recentLoadTimes.push(this.now());
    return true;
  }
}
