/**
 * Measures how fast a queue drains, to compute the retry delay of refused requests. Times are milliseconds.
 */

const HALF_LIFE = 10_000;
const MINIMUM_WAIT = 500;
const MAXIMUM_WAIT = 60_000;

/** Exponentially decayed rate of grants. */
export class DrainRate {
  private decayedGrants = 0;
  private decayedTime = 0;
  private updatedAt: number;

  constructor(now: number) {
    this.updatedAt = now;
  }

  private decay(now: number): void {
    const elapsed = now - this.updatedAt;
    const factor = 0.5 ** (elapsed / HALF_LIFE);
    this.decayedGrants *= factor;
    this.decayedTime = this.decayedTime * factor + elapsed;
    this.updatedAt = now;
  }

  recordGrant(now: number): void {
    this.decay(now);
    this.decayedGrants += 1;
  }

  /** Estimates the milliseconds until `count` more items are granted, clamped to the minimum and maximum wait. */
  estimateWait(count: number, now: number): number {
    this.decay(now);
    if (this.decayedGrants < 0.01 || this.decayedTime <= 0) {
      return MAXIMUM_WAIT;
    }
    const grantsPerMillisecond = this.decayedGrants / this.decayedTime;
    return Math.round(Math.min(MAXIMUM_WAIT, Math.max(MINIMUM_WAIT, count / grantsPerMillisecond)));
  }
}
