/**
 * Measures for each service what every client account uses against its weighted share. Addresses the load of one
 * account that asks for most of a capacity that is short. Use is memory held on engines over time (token milliseconds),
 * averaged over the last seconds, so that a generation counts as long as it holds memory.
 */
import type * as ports from '../kernel/ports.js';
import * as waterLevel from './waterLevel.js';

/**
 * Time constant of the average. Callers retry within 4 s, so an account that used too much or too little is level
 * again at about its next attempt.
 */
export const AVERAGING_TIME: ports.Milliseconds = 2_000;

/** Maximum debt in time of the account's share; an account that was alone before waits about as long as for a retry. */
export const MAXIMUM_DEBT: ports.Milliseconds = 2_000;

/** Time without an update after which the average is rebuilt from what accounts hold: a replica that did not lead. */
const MAXIMUM_UPDATE_GAP: ports.Milliseconds = 1_000;

/** Average in tokens below which an account that neither holds memory nor waits is removed. */
const NEGLIGIBLE_USE = 1;

/** Tokens by account. */
export type TokensByAccount = ReadonlyMap<string, number>;

/** Tokens of one service that accounts hold on engines and that they wait for. */
export interface ServiceUse {
  readonly held: TokensByAccount;
  readonly waiting: TokensByAccount;
}

/** Share and use of one account at one service. */
export interface AccountRow {
  readonly service: string;
  readonly account: string;
  readonly weight: number;
  /** Tokens that the account may hold while the capacity is short. */
  readonly share: number;
  /** Average of the tokens held. */
  readonly use: number;
  /** Tokens held now. */
  readonly held: number;
  /** Tokens of queued requests. */
  readonly waiting: number;
  /** Use above the share, as time of the share; negative if the account is below its share. */
  readonly debt: ports.Milliseconds;
}

interface AccountState {
  weight: number;
  average: number;
  held: number;
  waiting: number;
}

interface ServiceState {
  readonly accounts: Map<string, AccountState>;
  readonly since: ports.Milliseconds;
  updatedAt: ports.Milliseconds;
  /** Share of an account of weight 1 that asks for more. */
  level: number;
}

const NO_TOKENS: TokensByAccount = new Map();

/**
 * Shares of all accounts; see the module comment.
 *
 * @example
 * ```ts
 * const shares = new accountShares.AccountShares(() => 1);
 * shares.update('llm', { held: new Map([['school-1', 3000]]), waiting: new Map() }, now);
 * shares.furthestBelowShare('llm', 'school-2') < shares.furthestBelowShare('llm', 'school-1'); // true
 * ```
 */
export class AccountShares {
  private readonly weightOf: (account: string) => number;
  private readonly services = new Map<string, ServiceState>();

  constructor(weightOf: (account: string) => number) {
    this.weightOf = weightOf;
  }

  /** Names of the services with known accounts. */
  get serviceNames(): readonly string[] {
    return [...this.services.keys()];
  }

  /** Applies what accounts hold and wait for now; what they held since the last update enters the average. */
  update(service: string, { held, waiting }: ServiceUse, now: ports.Milliseconds): void {
    const state = this.stateAt(service, now);
    const elapsed = Math.max(0, now - state.updatedAt);
    // A state rebuilt from reports knows no earlier use: its average spans the time since then.
    const averagingTime = Math.min(AVERAGING_TIME, now - state.since);
    const kept = averagingTime > 0 ? Math.exp(-elapsed / averagingTime) : 0;
    for (const account of [...held.keys(), ...waiting.keys()]) {
      this.accountOf(state, account);
    }
    for (const [account, known] of state.accounts) {
      const heldNow = held.get(account) ?? 0;
      known.average = known.average * kept + (averagingTime > 0 ? known.held : heldNow) * (1 - kept);
      known.held = heldNow;
      known.waiting = waiting.get(account) ?? 0;
      known.weight = this.weightOf(account);
      if (known.held + known.waiting === 0 && known.average < NEGLIGIBLE_USE) {
        state.accounts.delete(account);
      }
    }
    state.updatedAt = now;
    this.limitDebts(state);
    if (state.accounts.size === 0) {
      this.services.delete(service);
    }
  }

  /** Applies that no account holds or waits for anything at services that are not in `known`. */
  updateOthers(known: ReadonlySet<string>, now: ports.Milliseconds): void {
    for (const service of this.serviceNames) {
      if (!known.has(service)) {
        this.update(service, { held: NO_TOKENS, waiting: NO_TOKENS }, now);
      }
    }
  }

  /** Counts a granted request before the next update, so that one account does not get all free capacity at once. */
  recordGrant(service: string, account: string, tokens: number): void {
    const known = this.services.get(service)?.accounts.get(account);
    if (known !== undefined) {
      known.held += tokens;
      known.waiting = Math.max(0, known.waiting - tokens);
    }
  }

  /** Sort key of an account; the account furthest below its share has the lowest. */
  furthestBelowShare(service: string, account: string): number {
    const known = this.services.get(service)?.accounts.get(account);
    return known === undefined ? 0 : (known.average + known.held) / known.weight;
  }

  /** True if the account uses less than its share, counting what it holds now. */
  isBelowShare(service: string, account: string): boolean {
    const level = this.services.get(service)?.level ?? 0;
    return this.furthestBelowShare(service, account) < 2 * level;
  }

  /** True if the account holds memory, waits, or did so recently. */
  isKnown(service: string, account: string): boolean {
    return this.services.get(service)?.accounts.has(account) ?? false;
  }

  /** Use of an account above its share as time of the share; negative below the share. */
  debtOf(service: string, account: string): ports.Milliseconds {
    const state = this.services.get(service);
    const known = state?.accounts.get(account);
    return state === undefined || known === undefined ? 0 : debt(known, state.level);
  }

  /** Share and use of every account of a service. */
  rowsOf(service: string): readonly AccountRow[] {
    const state = this.services.get(service);
    return [...(state?.accounts ?? [])].map(([account, known]) => ({
      service,
      account,
      weight: known.weight,
      share: known.weight * (state?.level ?? 0),
      use: known.average,
      held: known.held,
      waiting: known.waiting,
      debt: debt(known, state?.level ?? 0),
    }));
  }

  private stateAt(service: string, now: ports.Milliseconds): ServiceState {
    const known = this.services.get(service);
    if (known !== undefined && now - known.updatedAt <= MAXIMUM_UPDATE_GAP) {
      return known;
    }
    const state = { accounts: new Map<string, AccountState>(), since: now, updatedAt: now, level: 0 };
    this.services.set(service, state);
    return state;
  }

  private accountOf(state: ServiceState, account: string): AccountState {
    const known = state.accounts.get(account);
    if (known !== undefined) {
      return known;
    }
    const added = { weight: this.weightOf(account), average: 0, held: 0, waiting: 0 };
    state.accounts.set(account, added);
    return added;
  }

  /** Recomputes the shares and bounds the debts: an account that was alone before does not pay for that for ever. */
  private limitDebts(state: ServiceState): void {
    const accounts = [...state.accounts.values()];
    const capacity = accounts.reduce((sum, { held }) => sum + held, 0);
    const demands = accounts.map(({ weight, held, waiting }) => ({ weight, amount: held + waiting }));
    state.level = waterLevel.find(capacity, demands);
    if (state.level <= 0) {
      return;
    }
    for (const known of accounts) {
      const maximum = known.weight * state.level * (1 + MAXIMUM_DEBT / AVERAGING_TIME);
      known.average = Math.min(known.average, maximum);
    }
  }
}

function debt({ average, weight }: AccountState, level: number): ports.Milliseconds {
  return level > 0 ? (average / (weight * level) - 1) * AVERAGING_TIME : 0;
}
