/**
 * Finds the settings file that a daemon is started with.
 */
import * as fs from 'node:fs';

import * as kumquatfront from 'kumquatfront';
import * as yargs from 'yargs';

/**
 * Reads the command line and the settings file; ends the process with a message where either is at fault.
 *
 * @param daemon - name of the daemon, for the help text
 * @param read - checks the text of the file
 * @returns the settings
 * @example
 * ```ts
 * const settings = settingsFile.load('kumquatfront-entry', kumquatfront.settingsLoader.readEntry);
 * ```
 */
export function load<Settings>(
  daemon: string,
  read: (
    text: string,
    subject: string,
  ) => kumquatfront.results.Result<Settings, kumquatfront.failures.Failure>,
): Settings {
  const parsed = yargs
    .default(process.argv.slice(2))
    .scriptName(daemon)
    .option('settings', { type: 'string', demandOption: true, describe: 'Settings file (JSON)' })
    .strict()
    .parseSync();
  const file = parsed.settings;
  if (!fs.existsSync(file)) {
    fail(
      kumquatfront.failures.create(
        'notFound',
        `There is no file ${file}.`,
        'Give the path of a settings file.',
      ),
    );
  }
  const settings = read(fs.readFileSync(file, 'utf8'), file);
  if (settings.err) {
    fail(settings.val);
  }
  return settings.val;
}

/**
 * Writes a failure and ends the process with status 2.
 *
 * @param failure - the failure
 * @example
 * ```ts
 * settingsFile.fail(failure);
 * ```
 */
export function fail(failure: kumquatfront.failures.Failure): never {
  process.stderr.write(`${kumquatfront.failures.describe(failure)}\n`);
  process.exit(2);
}
