/**
 * Commands that run locally, without contacting control.
 */
import * as kumquatfront from 'kumquatfront';

import * as applyFile from './applyFile.js';
import type * as commandRunner from './commandRunner.js';
import * as inputFile from './inputFile.js';

/**
 * `check settings FILE`: validates a settings file of an entry or a control replica.
 *
 * @param file - path of the settings file
 * @returns the role that the settings are for, or the first fault found
 * @example
 * ```ts
 * localCommands.checkSettings('entry-1.json');
 * ```
 */
export function checkSettings(
  file: string,
): kumquatfront.results.Result<commandRunner.CommandOutput, kumquatfront.failures.Failure> {
  return inputFile.read(file).andThen((text) => {
    const { parseEntrySettings, parseControlSettings } = kumquatfront.settingsLoader;
    const isControl = text.includes('"control":') && !text.includes('"entry":');
    const checked = isControl
      ? parseControlSettings(text, file).map(() => 'control')
      : parseEntrySettings(text, file).map(() => 'entry');
    return checked.map((role) => ({ rows: [[`${file}: valid settings of ${role}`]], value: { file, role } }));
  });
}

/**
 * `check configuration FILE`: validates a configuration file.
 *
 * @param file - path of the configuration file
 * @returns the number of objects, or the first fault found
 * @example
 * ```ts
 * localCommands.checkConfiguration('market.json');
 * ```
 */
export function checkConfiguration(
  file: string,
): kumquatfront.results.Result<commandRunner.CommandOutput, kumquatfront.failures.Failure> {
  return inputFile
    .read(file)
    .andThen(applyFile.parse)
    .map((drafts) => ({
      rows: [[`${file}: ${drafts.length} valid objects`]],
      value: { file, objects: drafts.length },
    }));
}

/**
 * `hash KEY`: computes the hash that identifies a key in the configuration.
 *
 * @param key - a bearer key
 * @returns its hash
 * @example
 * ```ts
 * localCommands.hash('school-1-key');
 * ```
 */
export function hash(
  key: string,
): kumquatfront.results.Result<commandRunner.CommandOutput, kumquatfront.failures.Failure> {
  const value = kumquatfront.trafficResolver.hashKey(key);
  return kumquatfront.results.Ok({ rows: [[value]], value: { hash: value } });
}
