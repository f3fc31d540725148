/**
 * Retry budget per client account. Requests earn tokens and retries spend them, so that retries cannot amplify an
 * overload.
 */

const MAXIMUM_TOKENS = 10;
const MAXIMUM_ACCOUNTS = 5_000;

/**
 * Token buckets of all client accounts.
 *
 * @example
 * ```ts
 * const budget = new accountRetryBudget.AccountRetryBudget(20);
 * budget.recordRequest('school-1');
 * budget.mayRetry('school-1'); // spends a token
 * ```
 */
export class AccountRetryBudget {
  private readonly tokensPerRequest: number;
  private readonly tokensByAccount = new Map<string, number>();

  /**
   * @param percent - retries allowed per hundred requests of an account
   */
  constructor(percent: number) {
    this.tokensPerRequest = percent / 100;
  }

  recordRequest(account: string): void {
    const tokens = this.tokensByAccount.get(account) ?? MAXIMUM_TOKENS;
    this.tokensByAccount.delete(account);
    this.tokensByAccount.set(account, Math.min(MAXIMUM_TOKENS, tokens + this.tokensPerRequest));
    if (this.tokensByAccount.size > MAXIMUM_ACCOUNTS) {
      this.tokensByAccount.delete(this.tokensByAccount.keys().next().value ?? '');
    }
  }

  /** Spends one token if available; returns false if the budget is exhausted. */
  mayRetry(account: string): boolean {
    const tokens = this.tokensByAccount.get(account) ?? MAXIMUM_TOKENS;
    if (tokens < 1) {
      return false;
    }
    this.tokensByAccount.set(account, tokens - 1);
    return true;
  }
}
