/**
 * Shares of client accounts at the placement coordinator: feeds them from its grants and the entries' reports, and
 * makes them visible to operators while accounts compete.
 */
import type * as ports from '../kernel/ports.js';
import * as enginePool from '../placement/enginePool.js';
import * as ranks from '../placement/ranks.js';
import type * as types from '../placement/types.js';
import * as residency from '../traffic/residency.js';
import * as accountShares from './accountShares.js';
import * as engineReservations from './engineReservations.js';
import * as shareReport from './shareReport.js';

/** Extra wait of a request for which an engine is kept; entries wait 500 ms longer than the patience for an answer. */
const RESERVED_EXTRA_WAIT: ports.Milliseconds = 300;

/** Dependencies of {@link PlacementShares}. */
export interface PlacementSharesOptions {
  readonly log: ports.Log;
  readonly metrics: ports.Metrics;
  /** Weight of an account, above 0. */
  readonly weightOf: (account: string) => number;
}

/** Part of a placed generation that counts as use. */
export interface CountedGeneration {
  readonly running: Pick<types.RunningGeneration, 'facts' | 'produced'>;
}

/** Part of a queued request that counts as demand. */
export interface CountedRequest {
  readonly request: Pick<types.PlacementRequest, 'facts'>;
}

/** Cause of a refusal, as written to its log line; empty if the share was not the cause. */
export type ShareCause =
  | Readonly<Record<string, never>>
  | { readonly cause: 'share'; readonly account: string; readonly debt: number };

interface RefusalCounts {
  refused: number;
  refusedForShare: number;
}

type TokenSums = Map<string, Map<string, number>>;

function addTokens(sums: TokenSums, { service, account }: types.GenerationAttributes, tokens: number): void {
  const byAccount = sums.get(service) ?? new Map<string, number>();
  byAccount.set(account, (byAccount.get(account) ?? 0) + tokens);
  sums.set(service, byAccount);
}

/** Shares at one coordinator; see the module comment. */
export class PlacementShares {
  private readonly options: PlacementSharesOptions;
  private readonly shares: accountShares.AccountShares;
  /** Refusals by service and account, of accounts with a share only. */
  private readonly refusals = new Map<string, Map<string, RefusalCounts>>();
  /** Queued requests that a later request of another account preceded because of the shares. */
  private readonly overtaken = new Set<string>();
  private readonly reservations = new engineReservations.EngineReservations();

  constructor(options: PlacementSharesOptions) {
    this.options = options;
    this.shares = new accountShares.AccountShares(options.weightOf);
  }

  /** Applies the placed generations and the queue before requests are placed. */
  update(
    placed: Iterable<CountedGeneration>,
    queued: Iterable<CountedRequest>,
    now: ports.Milliseconds,
  ): void {
    const held: TokenSums = new Map();
    const waiting: TokenSums = new Map();
    for (const { running } of placed) {
      addTokens(held, running.facts, running.facts.promptTokens + running.produced);
    }
    const identities = new Set<string>();
    for (const { request } of queued) {
      addTokens(waiting, request.facts, request.facts.promptTokens);
      identities.add(request.facts.identity);
    }
    this.reservations.removeUnless((identity) => identities.has(identity));
    const services = new Set([...held.keys(), ...waiting.keys()]);
    for (const service of services) {
      const use = { held: held.get(service) ?? new Map(), waiting: waiting.get(service) ?? new Map() };
      this.shares.update(service, use, now);
    }
    this.shares.updateOthers(services, now);
  }

  /** Sort key of an account; lowest for the one furthest below its share. */
  keyOf(service: string, account: string): number {
    return this.shares.furthestBelowShare(service, account);
  }

  recordGrant({ identity, service, account, promptTokens }: types.GenerationAttributes): void {
    this.overtaken.delete(identity);
    this.reservations.release(identity);
    this.shares.recordGrant(service, account, promptTokens);
  }

  /** Time for which a request waits beyond its patience; above 0 only while an engine is kept for it. */
  extraWaitOf(identity: string): ports.Milliseconds {
    return this.reservations.has(identity) ? RESERVED_EXTRA_WAIT : 0;
  }

  /** Engines that are kept for other requests of the same service. */
  reservedForOthers({ identity, service, rank }: types.GenerationAttributes): readonly string[] {
    return this.reservations.enginesOfOthers(service, identity, rank);
  }

  /** Keeps an engine for a request that fits on none yet, while its account is below its share. */
  reserveEngine(
    { facts, excluded }: types.PlacementRequest,
    pool: Pick<enginePool.EnginePool, 'engineList' | 'memoryOn' | 'lengths'>,
    now: ports.Milliseconds,
  ): void {
    const { identity, service, account, rank, promptTokens } = facts;
    if (!this.shares.isBelowShare(service, account)) {
      this.reservations.release(identity);
      return;
    }
    const limit = enginePool.MEMORY_LIMITS[ranks.isPatient(rank) ? 'patient' : 'urgent'];
    const usableEngines = (): readonly engineReservations.ReservableEngine[] =>
      pool.engineList
        .filter((engine) => engine.service === service && !engine.draining && !engine.evacuated)
        .filter((engine) => !excluded.includes(engine.identity))
        .filter((engine) => residency.allows(engine.dataCentre, facts.dataCentres))
        .map((engine) => ({
          identity: engine.identity,
          usableTokens: engine.traits.memoryTokens * limit,
          generations: pool.memoryOn(engine.identity),
        }));
    const memory = { held: promptTokens, remaining: pool.lengths.remainingOutput(facts, 0) };
    this.reservations.reserve({ identity, service, rank, memory }, usableEngines, now);
  }

  /** Records that a later request of another account was placed first because of the shares. */
  recordOvertaken({ identity }: types.GenerationAttributes): void {
    this.overtaken.add(identity);
  }

  /** Forgets a request that left the queue without an answer. */
  recordWithdrawal(identity: string): void {
    this.overtaken.delete(identity);
  }

  /**
   * Counts a refusal and returns whether the share was its cause: another account's request was preferred, and the
   * account was above its share.
   */
  recordRefusal({ identity, service, account }: types.GenerationAttributes): ShareCause {
    if (!this.shares.isKnown(service, account)) {
      return {};
    }
    const debt = this.shares.debtOf(service, account);
    const isCause = this.overtaken.delete(identity) && debt > 0;
    const byAccount = this.refusals.get(service) ?? new Map<string, RefusalCounts>();
    const counts = byAccount.get(account) ?? { refused: 0, refusedForShare: 0 };
    counts.refused += 1;
    counts.refusedForShare += isCause ? 1 : 0;
    byAccount.set(account, counts);
    this.refusals.set(service, byAccount);
    if (!isCause) {
      return {};
    }
    this.options.metrics.count('shares.refusals', 1, { service });
    return { cause: 'share', account, debt: Math.round(debt) };
  }

  /** Share, use, debt and refusals of every account. */
  status(): readonly shareReport.AccountStatus[] {
    return this.shares.serviceNames.flatMap((service) =>
      this.shares.rowsOf(service).map((row) => ({
        ...row,
        refused: this.refusals.get(service)?.get(row.account)?.refused ?? 0,
        refusedForShare: this.refusals.get(service)?.get(row.account)?.refusedForShare ?? 0,
      })),
    );
  }

  /** Logs the shares of the services at which accounts compete, and sends their metrics. */
  report(): void {
    shareReport.write(this.status(), this.options.log, this.options.metrics);
    this.removeUnknownRefusals();
  }

  /** Removes the counts of accounts without use, so that they do not accumulate. */
  private removeUnknownRefusals(): void {
    for (const [service, byAccount] of this.refusals) {
      const known = new Set(this.shares.rowsOf(service).map((row) => row.account));
      for (const account of byAccount.keys()) {
        if (!known.has(account)) {
          byAccount.delete(account);
        }
      }
      if (byAccount.size === 0) {
        this.refusals.delete(service);
      }
    }
  }
}
