/**
 * Retry budget per client account: retries are paid for by requests, so that an overload is not multiplied
 * by trying again.
 */

const MAXIMUM_SAVED = 10;
const ACCOUNTS_KEPT = 5_000;

/**
 * The budgets.
 *
 * @example
 * ```ts
 * const budget = new retryBudget.RetryBudget(20);
 * budget.requested('school-1');
 * budget.mayRetry('school-1'); // takes one from the budget
 * ```
 */
export class RetryBudget {
  private readonly perRequest: number;
  private readonly saved = new Map<string, number>();

  /**
   * @param percent - retries allowed for each hundred requests of an account
   */
  constructor(percent: number) {
    this.perRequest = percent / 100;
  }

  requested(account: string): void {
    const saved = this.saved.get(account) ?? MAXIMUM_SAVED;
    this.saved.delete(account);
    this.saved.set(account, Math.min(MAXIMUM_SAVED, saved + this.perRequest));
    if (this.saved.size > ACCOUNTS_KEPT) {
      this.saved.delete(this.saved.keys().next().value ?? '');
    }
  }

  mayRetry(account: string): boolean {
    const saved = this.saved.get(account) ?? MAXIMUM_SAVED;
    if (saved < 1) {
      return false;
    }
    this.saved.set(account, saved - 1);
    return true;
  }
}
