/**
 * Loads the settings file given on the command line of a daemon.
 */
import * as fs from 'node:fs';

import * as kumquatfront from 'kumquatfront';
import * as yargs from 'yargs';

/**
 * Parses the command line and loads the settings file; exits with an error message if either is invalid.
 *
 * @param daemon - name of the daemon, for the help text
 * @param parse - parses and validates the text of the file
 * @example
 * ```ts
 * const settings = settingsFile.load('kumquatfront-entry', kumquatfront.settingsLoader.parseEntrySettings);
 * ```
 */
export function load<Settings>(
  daemon: string,
  parse: (
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
    exitWithFailure(
      kumquatfront.failures.create(
        'notFound',
        `File ${file} does not exist.`,
        'Give the path of a settings file.',
      ),
    );
  }
  const settings = parse(fs.readFileSync(file, 'utf8'), file);
  if (settings.err) {
    exitWithFailure(settings.val);
  }
  return settings.val;
}

/**
 * Prints a failure to the standard error and exits with status 2.
 *
 * @example
 * ```ts
 * settingsFile.exitWithFailure(failure);
 * ```
 */
export function exitWithFailure(failure: kumquatfront.failures.Failure): never {
  process.stderr.write(`${kumquatfront.failures.describe(failure)}\n`);
  process.exit(2);
}
