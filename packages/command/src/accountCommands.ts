/**
 * Command that shows how client accounts share engines.
 */
import type * as commandRunner from './commandRunner.js';
import type * as operatorClient from './operatorClient.js';

/**
 * `accounts`: shows share, use, debt and refusals by service and client account.
 *
 * @returns the accounts, furthest above its share first
 * @example
 * ```ts
 * await accountCommands.accounts(context);
 * ```
 */
export async function accounts(
  context: Pick<commandRunner.CommandContext, 'client'>,
): commandRunner.CommandResult {
  const found = await context.client.accounts();
  return found.map((system) => ({ rows: accountRows(system), value: system }));
}

/**
 * Formats the table of accounts.
 *
 * @param system - accounts of all replicas
 * @returns the rows with their header
 * @example
 * ```ts
 * accountCommands.accountRows({ accounts, silent: [] });
 * ```
 */
export function accountRows(system: operatorClient.SystemAccounts): readonly (readonly string[])[] {
  const sorted = [...system.accounts].sort(
    (left, right) => left.service.localeCompare(right.service) || right.debt - left.debt,
  );
  const rows = sorted.map((row) => [
    row.service,
    row.account === '' ? '(no account)' : row.account,
    String(row.weight),
    String(Math.round(row.share)),
    String(Math.round(row.use)),
    String(row.waiting),
    (row.debt / 1_000).toFixed(1),
    String(row.refused),
    String(row.refusedForShare),
  ]);
  const header = ['SERVICE', 'ACCOUNT', 'WEIGHT', 'SHARE', 'USE', 'WAITING', 'DEBT S', 'REFUSED', 'BY SHARE'];
  return [
    ...(rows.length === 0 ? [['no client account uses or waits for an engine']] : [header, ...rows]),
    ...system.silent.map((address) => [`${address} did not respond`]),
  ];
}
