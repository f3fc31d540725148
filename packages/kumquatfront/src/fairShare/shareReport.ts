/**
 * Log line and metrics on the shares of client accounts, for services at which accounts compete.
 */
import type * as ports from '../kernel/ports.js';
import type * as accountShares from './accountShares.js';

/** Number of accounts in a log line and in the metrics; those furthest above and below their shares. */
const MAXIMUM_LISTED = 24;

/** An operator's view of one account. */
export interface AccountStatus extends accountShares.AccountRow {
  /** Refusals since this replica became the coordinator for the service, and those because of the share. */
  readonly refused: number;
  readonly refusedForShare: number;
}

type Rows = readonly AccountStatus[];

/**
 * Selects the accounts that are listed: half from those furthest above their shares, half from those furthest below.
 *
 * @param rows - accounts of one service
 * @returns at most 24 accounts, by falling debt
 * @example
 * ```ts
 * shareReport.listed(rows).map((row) => row.account);
 * ```
 */
export function listed(rows: Rows): Rows {
  const byDebt = [...rows].sort((left, right) => right.debt - left.debt);
  return byDebt.length <= MAXIMUM_LISTED
    ? byDebt
    : [...byDebt.slice(0, MAXIMUM_LISTED / 2), ...byDebt.slice(-MAXIMUM_LISTED / 2)];
}

function formatPercent(part: number, whole: number): string {
  return whole > 0 ? `${Math.round((100 * part) / whole)}%` : '0%';
}

/** One account of the log line: name, share and use of the tokens held, debt in seconds, refusals. */
function formatRow(row: AccountStatus, held: number): string {
  const name = row.account === '' ? '-' : row.account;
  const amounts = `${formatPercent(row.share, held)}:${formatPercent(row.use, held)}`;
  return `${name}:${amounts}:${(row.debt / 1_000).toFixed(1)}:${row.refused}`;
}

/**
 * Writes one log line and the metrics of each service at which two or more accounts wait.
 *
 * @param rows - accounts of all services
 * @param metrics - receives the gauges
 * @example
 * ```ts
 * shareReport.write(shares.status(), log, metrics);
 * ```
 */
export function write(rows: Rows, log: ports.Log, metrics: ports.Metrics): void {
  for (const service of new Set(rows.map((row) => row.service))) {
    const ofService = rows.filter((row) => row.service === service);
    const competing = ofService.filter((row) => row.waiting > 0).length;
    metrics.gauge('shares.competing', competing, { service });
    if (competing < 2) {
      continue;
    }
    const held = ofService.reduce((sum, row) => sum + row.held, 0);
    const accounts = listed(ofService);
    for (const { account, share, use, debt, refused } of accounts) {
      const tags = { service, account };
      metrics.gauge('shares.share', Math.round(share), tags);
      metrics.gauge('shares.use', Math.round(use), tags);
      metrics.gauge('shares.debt', Math.round(debt), tags);
      metrics.gauge('shares.refused', refused, tags);
    }
    log.info('accountShares', {
      service,
      competing,
      held,
      accounts: accounts.map((row) => formatRow(row, held)).join(' '),
    });
  }
}
