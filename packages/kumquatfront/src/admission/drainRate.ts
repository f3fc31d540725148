/**
 * How fast a queue drains, for an honest time to come back.
 */

const HALF_LIFE = 10_000;
const SHORTEST = 500;
const LONGEST = 60_000;

/** Grants a second, with older grants fading. */
export class DrainRate {
  private weight = 0;
  private span = 0;
  private updatedAt: number;

  constructor(now: number) {
    this.updatedAt = now;
  }

  private fade(now: number): void {
    const elapsed = now - this.updatedAt;
    const factor = 0.5 ** (elapsed / HALF_LIFE);
    this.weight *= factor;
    this.span = this.span * factor + elapsed;
    this.updatedAt = now;
  }

  granted(now: number): void {
    this.fade(now);
    this.weight += 1;
  }

  /** Milliseconds until `count` more items will have been granted, between half a second and a minute. */
  timeFor(count: number, now: number): number {
    this.fade(now);
    if (this.weight < 0.01 || this.span <= 0) {
      return LONGEST;
    }
    const perMillisecond = this.weight / this.span;
    return Math.round(Math.min(LONGEST, Math.max(SHORTEST, count / perMillisecond)));
  }
}
