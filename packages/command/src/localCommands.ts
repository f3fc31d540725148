/**
 * Commands that need no control.
 */
import * as kumquatfront from 'kumquatfront';

import * as applyFile from './applyFile.js';
import type * as commandRunner from './commandRunner.js';
import * as inputFile from './inputFile.js';

/**
 * `check settings FILE`
 *
 * @param file - a settings file
 * @returns word that it is sound
 * @example
 * ```ts
 * localCommands.checkSettings('entry-1.json');
 * ```
 */
export function checkSettings(
  file: string,
): kumquatfront.results.Result<commandRunner.Shown, kumquatfront.failures.Failure> {
  return inputFile.read(file).andThen((text) => {
    const { readEntry, readControl } = kumquatfront.settingsLoader;
    const isControl = text.includes('"control":') && !text.includes('"entry":');
    const checked = isControl
      ? readControl(text, file).map(() => 'control')
      : readEntry(text, file).map(() => 'entry');
    return checked.map((role) => ({ rows: [[`${file}: sound settings of ${role}`]], value: { file, role } }));
  });
}

/**
 * `check configuration FILE`
 *
 * @param file - a configuration file
 * @returns word that it is sound
 * @example
 * ```ts
 * localCommands.checkConfiguration('market.json');
 * ```
 */
export function checkConfiguration(
  file: string,
): kumquatfront.results.Result<commandRunner.Shown, kumquatfront.failures.Failure> {
  return inputFile
    .read(file)
    .andThen(applyFile.parse)
    .map((drafts) => ({
      rows: [[`${file}: ${drafts.length} sound objects`]],
      value: { file, objects: drafts.length },
    }));
}

/**
 * `hash KEY`
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
): kumquatfront.results.Result<commandRunner.Shown, kumquatfront.failures.Failure> {
  const value = kumquatfront.trafficResolver.hashKey(key);
  return kumquatfront.results.Ok({ rows: [[value]], value: { hash: value } });
}
