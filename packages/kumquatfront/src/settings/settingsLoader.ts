/**
 * Parses settings files: validates them against the JSON schema and applies defaults.
 */
import * as ajv from 'ajv';

import type * as keyValueLog from '../adapters/keyValueLog.js';
import type * as statsdMetrics from '../adapters/statsdMetrics.js';
import * as defaultBounds from '../callerBounds/defaultBounds.js';
import type * as callerBounds from '../callerBounds/types.js';
import type * as controlNode from '../controlNode/controlNode.js';
import type * as entryTypes from '../entryNode/types.js';
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import * as schemaFailures from '../utils/schemaFailures.js';
import * as defaultConfig from './defaultConfig.js';
import type * as generated from './generatedSettings.js';
import * as settingsSchema from './settingsSchema.js';

/** Settings of an entry and of the daemon that runs it. */
export interface EntryDaemonSettings {
  readonly entry: entryTypes.EntrySettings;
  readonly callerListen: string;
  readonly clusterKey: string;
  readonly logLevel: keyValueLog.LogLevel;
  readonly metrics: statsdMetrics.MetricsSettings;
  readonly callerBounds: callerBounds.CallerBounds;
}

/** Settings of a control replica and of the daemon that runs it. */
export interface ControlDaemonSettings {
  readonly control: controlNode.ControlSettings;
  readonly operatorListen: string;
  readonly operatorKeyHash: string;
  readonly dataFolder: string;
  readonly clusterKey: string;
  readonly logLevel: keyValueLog.LogLevel;
  readonly metrics: statsdMetrics.MetricsSettings;
  readonly callerBounds: callerBounds.CallerBounds;
}

const validator = new ajv.Ajv({ strict: true, allowUnionTypes: true });
const validate = validator.compile<generated.KumquatfrontSettings>(settingsSchema.settingsSchema);

function parseSettings(
  text: string,
  subject: string,
): results.Result<generated.KumquatfrontSettings, failures.Failure> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    const reason = error instanceof Error ? error.message : '';
    const remedy = 'Correct the JSON syntax; settings files cannot contain comments.';
    return results.Err(failures.create('badInput', `${subject} is not valid JSON: ${reason}.`, remedy));
  }
  return validate(value)
    ? results.Ok(value)
    : results.Err(schemaFailures.fromErrors(subject, validate.errors ?? []));
}

function missingSection(subject: string, key: string): results.Result<never, failures.Failure> {
  const remedy = `Put the settings of this process in a top-level "${key}" object.`;
  return results.Err(failures.create('badInput', `${subject} has no "${key}" section.`, remedy));
}

/**
 * Parses the settings of an entry.
 *
 * @param subject - file name used in error messages
 * @returns the settings with defaults, or a `badInput` failure that names the invalid key and the remedy
 * @example
 * ```ts
 * const settings = settingsLoader.parseEntrySettings(fs.readFileSync(file, 'utf8'), file);
 * ```
 */
export function parseEntrySettings(
  text: string,
  subject: string,
): results.Result<EntryDaemonSettings, failures.Failure> {
  return parseSettings(text, subject).andThen(({ entry }) =>
    entry === undefined ? missingSection(subject, 'entry') : results.Ok(toEntryDaemonSettings(entry)),
  );
}

function toEntryDaemonSettings(section: generated.EntryFile): EntryDaemonSettings {
  const { entryDefaults } = defaultConfig;
  const { callerAddress, clusterKey, logLevel, metrics, callerBounds, ...entrySettings } = section;
  return {
    callerListen: callerAddress,
    clusterKey,
    logLevel: logLevel ?? 'info',
    metrics: metrics ?? {},
    callerBounds: { ...defaultBounds.forCapacity({}), ...callerBounds },
    entry: {
      ...entryDefaults,
      ...entrySettings,
      callerAddress: `http://${callerAddress}`,
      directory: { ...entryDefaults.directory, ...entrySettings.directory },
      configuration: { ...entryDefaults.configuration, ...entrySettings.configuration },
      claims: { ...entryDefaults.claims, ...entrySettings.claims },
      relay: { ...entryDefaults.relay, ...entrySettings.relay },
      headroom: { ...entryDefaults.headroom, ...entrySettings.headroom },
      coordination: { ...entryDefaults.coordination, ...entrySettings.coordination },
    },
  };
}

/**
 * Parses the settings of a control replica.
 *
 * @param subject - file name used in error messages
 * @returns the settings with defaults, or a `badInput` failure that names the invalid key and the remedy
 * @example
 * ```ts
 * const settings = settingsLoader.parseControlSettings(fs.readFileSync(file, 'utf8'), file);
 * ```
 */
export function parseControlSettings(
  text: string,
  subject: string,
): results.Result<ControlDaemonSettings, failures.Failure> {
  return parseSettings(text, subject).andThen(({ control }) =>
    control === undefined ? missingSection(subject, 'control') : results.Ok(toControlDaemonSettings(control)),
  );
}

function toControlDaemonSettings(section: generated.ControlFile): ControlDaemonSettings {
  const { controlDefaults } = defaultConfig;
  const { operatorAddress, operatorKeyHash, dataFolder, clusterKey, ...rest } = section;
  const { logLevel, metrics, callerBounds, ...controlSettings } = rest;
  return {
    operatorListen: operatorAddress,
    operatorKeyHash,
    dataFolder,
    clusterKey,
    logLevel: logLevel ?? 'info',
    metrics: metrics ?? {},
    callerBounds: { ...defaultBounds.forCapacity({}), ...callerBounds },
    control: {
      ...controlDefaults,
      ...controlSettings,
      timing: { ...controlDefaults.timing, ...controlSettings.timing },
      limits: { ...controlDefaults.limits, ...controlSettings.limits },
      orders: { ...controlDefaults.orders, ...controlSettings.orders },
    },
  };
}
