/**
 * Claims on calls that are not idempotent. A claim is granted to one attempt, and its outcome is kept until the claim
 * expires, so that a repeated call is answered from the record and not run again.
 */
import * as recordedOutcomes from './recordedOutcomes.js';
import type * as types from './types.js';

function keyOf(account: string, key: string): string {
  return JSON.stringify([account, key]);
}

/** All claims, in the order of their creation. */
export class ClaimTable {
  private claims = new Map<string, types.Claim>();
  private countByAccount = new Map<string, number>();
  private outcomes = new recordedOutcomes.RecordedOutcomes();
  private readonly limits: types.AgreedStateLimits;

  constructor(limits: types.AgreedStateLimits) {
    this.limits = limits;
  }

  /** Number of claims, over all client accounts. */
  get size(): number {
    return this.claims.size;
  }

  /** Grants a claim, or returns the state of the existing one. */
  claim(command: types.ClaimCommand, stamp: number): types.ClaimAnswer {
    this.expire(stamp);
    const key = keyOf(command.account, command.key);
    const known = this.claims.get(key);
    if (known === undefined) {
      return this.grant(key, command, stamp);
    }
    // An attempt that was abandoned before its claim arrived must not be granted afterwards: its caller has already
    // received the answer that the call was not run. A new attempt may run it.
    if (known.state === 'notRun') {
      return known.attempt === command.attempt ? { state: 'unknown' } : this.regrant(key, command, stamp);
    }
    if (known.digest !== command.digest) {
      return { state: 'keyReused' };
    }
    if (known.state === 'done') {
      return { state: 'done', outcome: known.outcome };
    }
    if (known.state === 'unknown') {
      return { state: 'unknown' };
    }
    // The same attempt repeats its claim if the answer was lost.
    return known.attempt === command.attempt
      ? { state: 'granted' }
      : { state: 'pending', holder: known.holder };
  }

  /** Records the result of a claim; ignored unless sent by the attempt that holds it. */
  settle(command: types.SettleClaimCommand, stamp: number): void {
    const key = keyOf(command.account, command.key);
    const known = this.claims.get(key);
    if (known === undefined) {
      if (command.result === 'notRun' && !this.isFull(command.account)) {
        this.store(key, { ...command, digest: '', holder: '', stamp, state: 'notRun', outcome: null });
      }
      return;
    }
    if (known.attempt === command.attempt && known.state === 'pending') {
      this.claims.set(key, { ...known, state: command.result, outcome: command.outcome });
      this.recordOutcome(key, command);
    }
  }

  private recordOutcome(key: string, { account, outcome }: Pick<types.Claim, 'account' | 'outcome'>): void {
    if (outcome === null) {
      this.outcomes.remove(account, key);
      return;
    }
    for (const dropped of this.outcomes.add(account, key, outcome)) {
      const claim = this.claims.get(dropped);
      if (claim !== undefined) {
        this.claims.set(dropped, { ...claim, outcome: null });
      }
    }
  }

  private isFull(account: string): boolean {
    return (this.countByAccount.get(account) ?? 0) >= this.limits.claimsPerAccount;
  }

  private grant(key: string, command: types.ClaimCommand, stamp: number): types.ClaimAnswer {
    if (this.isFull(command.account)) {
      return { state: 'full', retryAfter: this.timeUntilCapacity(command.account, stamp) };
    }
    this.store(key, { ...command, stamp, state: 'pending', outcome: null });
    return { state: 'granted' };
  }

  private regrant(key: string, command: types.ClaimCommand, stamp: number): types.ClaimAnswer {
    this.remove(key);
    return this.grant(key, command, stamp);
  }

  private timeUntilCapacity(account: string, stamp: number): number {
    for (const claim of this.claims.values()) {
      if (claim.account === account) {
        return Math.max(0, claim.stamp + this.limits.claimLife - stamp);
      }
    }
    return 0;
  }

  private store(key: string, source: types.Claim): void {
    const { account, digest, holder, attempt, stamp, state, outcome } = source;
    this.claims.set(key, { account, key: source.key, digest, holder, attempt, stamp, state, outcome });
    this.countByAccount.set(account, (this.countByAccount.get(account) ?? 0) + 1);
    this.outcomes.open(account, key);
    if (state !== 'pending') {
      this.recordOutcome(key, source);
    }
  }

  private remove(key: string): void {
    const claim = this.claims.get(key);
    if (claim === undefined) {
      return;
    }
    this.claims.delete(key);
    this.outcomes.remove(claim.account, key);
    const remaining = (this.countByAccount.get(claim.account) ?? 1) - 1;
    if (remaining > 0) {
      this.countByAccount.set(claim.account, remaining);
    } else {
      this.countByAccount.delete(claim.account);
    }
  }

  private expire(stamp: number): void {
    for (const [key, claim] of this.claims) {
      if (claim.stamp + this.limits.claimLife > stamp) {
        return;
      }
      this.remove(key);
    }
  }

  /** All claims, for a snapshot. */
  toJson(): readonly types.Claim[] {
    return [...this.claims.values()];
  }

  /** Replaces all claims by those of a snapshot. */
  restore(claims: readonly types.Claim[]): void {
    this.claims = new Map();
    this.countByAccount = new Map();
    this.outcomes = new recordedOutcomes.RecordedOutcomes();
    for (const claim of claims) {
      this.store(keyOf(claim.account, claim.key), claim);
    }
  }
}
