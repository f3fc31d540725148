/**
 * How commands run: each returns what it has to show; `run` prints it and sets the exit code.
 */
import * as kumquatfront from 'kumquatfront';

import * as operatorClient from './operatorClient.js';
import * as table from './table.js';

/** Exit codes; docs/operations/command.md lists them. */
export const exitCodes = { done: 0, refused: 1, usage: 2, unreachable: 3 } as const;

/** What a command has to show: a table for people, a value for programs. */
export interface Shown {
  readonly rows: readonly (readonly string[])[];
  readonly value: unknown;
  /** Where set, the command ends with this code instead of 0. */
  readonly exitCode?: number;
}

/** What a command works with. */
export interface CommandContext {
  readonly client: operatorClient.OperatorClient;
  readonly output: 'table' | 'json';
}

/** A shown value, or why there is none. */
export type CommandResult = Promise<kumquatfront.results.Result<Shown, kumquatfront.failures.Failure>>;

interface GlobalOptions {
  readonly control: string;
  readonly output: 'table' | 'json';
}

/**
 * Prints what a command has to show.
 *
 * @param shown - the table and the value
 * @param output - which of the two
 * @example
 * ```ts
 * commandRunner.print(shown, 'json');
 * ```
 */
export function print(shown: Shown, output: GlobalOptions['output']): void {
  const text = output === 'json' ? JSON.stringify(shown.value, null, 2) : table.render(shown.rows);
  process.stdout.write(`${text}\n`);
}

function finish(
  result: kumquatfront.results.Result<Shown, kumquatfront.failures.Failure>,
  output: GlobalOptions['output'],
): void {
  if (result.ok) {
    print(result.val, output);
    process.exitCode = result.val.exitCode ?? exitCodes.done;
    return;
  }
  const failure = result.val;
  process.stderr.write(`${kumquatfront.failures.describe(failure)}\n`);
  const silent = failure.kind === 'unreachable' || failure.kind === 'noQuorum' || failure.kind === 'timeout';
  process.exitCode = silent ? exitCodes.unreachable : exitCodes.refused;
}

/**
 * Runs a command that talks to control.
 *
 * @param options - the global options
 * @param command - the command
 * @example
 * ```ts
 * await commandRunner.run(parsed, systemCommands.status);
 * ```
 */
export async function run(
  options: GlobalOptions,
  command: (context: CommandContext) => CommandResult,
): Promise<void> {
  const control = options.control.split(',').filter((address) => address !== '');
  const key = process.env.KUMQUATFRONT_OPERATOR_KEY ?? '';
  if (control.length === 0 || key === '') {
    const remedy = 'Give --control ip:port,... or KUMQUATFRONT_CONTROL, and KUMQUATFRONT_OPERATOR_KEY.';
    finish(
      kumquatfront.results.Err(
        kumquatfront.failures.create('badInput', 'Control or its key is not named.', remedy),
      ),
      options.output,
    );
    process.exitCode = exitCodes.usage;
    return;
  }
  const client = new operatorClient.OperatorClient({
    control,
    key,
    random: kumquatfront.seededRandom.createUnpredictable(),
    time: kumquatfront.systemTime,
  });
  finish(await command({ client, output: options.output }), options.output);
  await client.close();
}

/**
 * Runs a command that needs no control.
 *
 * @param options - the global options
 * @param command - the command
 * @example
 * ```ts
 * commandRunner.runWithoutControl(parsed, () => localCommands.hash('key'));
 * ```
 */
export function runWithoutControl(
  options: Pick<GlobalOptions, 'output'>,
  command: () => kumquatfront.results.Result<Shown, kumquatfront.failures.Failure>,
): void {
  finish(command(), options.output);
}
