/**
 * Runs commands: each command returns its output, which is printed before the exit code is set.
 */
import * as kumquatfront from 'kumquatfront';

import * as operatorClient from './operatorClient.js';
import * as table from './table.js';

/** Exit codes; docs/operations/command.md lists them. */
export const exitCodes = { done: 0, refused: 1, usage: 2, unreachable: 3 } as const;

/** Output of a command: table rows for people, a value for programs. */
export interface CommandOutput {
  readonly rows: readonly (readonly string[])[];
  readonly value: unknown;
  /** Exit code to use instead of 0. */
  readonly exitCode?: number;
}

/** Client and output format that a command runs with. */
export interface CommandContext {
  readonly client: operatorClient.OperatorClient;
  readonly output: 'table' | 'json';
}

/** Output of a command, or the failure that prevented it. */
export type CommandResult = Promise<
  kumquatfront.results.Result<CommandOutput, kumquatfront.failures.Failure>
>;

interface GlobalOptions {
  readonly control: string;
  readonly output: 'table' | 'json';
}

/**
 * Prints the output of a command to the standard output.
 *
 * @param commandOutput - the table rows and the value
 * @param output - which of the two to print
 * @example
 * ```ts
 * commandRunner.print(commandOutput, 'json');
 * ```
 */
export function print(commandOutput: CommandOutput, output: GlobalOptions['output']): void {
  const text =
    output === 'json' ? JSON.stringify(commandOutput.value, null, 2) : table.render(commandOutput.rows);
  process.stdout.write(`${text}\n`);
}

function reportResult(
  result: kumquatfront.results.Result<CommandOutput, kumquatfront.failures.Failure>,
  output: GlobalOptions['output'],
): void {
  if (result.ok) {
    print(result.val, output);
    process.exitCode = result.val.exitCode ?? exitCodes.done;
    return;
  }
  const failure = result.val;
  process.stderr.write(`${kumquatfront.failures.describe(failure)}\n`);
  const isUnavailable =
    failure.kind === 'unreachable' || failure.kind === 'noQuorum' || failure.kind === 'timeout';
  process.exitCode = isUnavailable ? exitCodes.unreachable : exitCodes.refused;
}

/**
 * Runs a command that sends requests to control, prints its output and sets the exit code.
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
    const remedy = 'Set --control ip:port,... or KUMQUATFRONT_CONTROL, and KUMQUATFRONT_OPERATOR_KEY.';
    reportResult(
      kumquatfront.results.Err(
        kumquatfront.failures.create(
          'badInput',
          'The control addresses or the operator key are not set.',
          remedy,
        ),
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
  reportResult(await command({ client, output: options.output }), options.output);
  await client.close();
}

/**
 * Runs a command that does not contact control, prints its output and sets the exit code.
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
  command: () => kumquatfront.results.Result<CommandOutput, kumquatfront.failures.Failure>,
): void {
  reportResult(command(), options.output);
}
