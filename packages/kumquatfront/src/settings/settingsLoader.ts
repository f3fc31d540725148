/**
 * Reads settings files: checks them by the schema and fills in the defaults.
 */
import * as ajv from 'ajv';

import type * as keyValueLog from '../adapters/keyValueLog.js';
import type * as statsdMetrics from '../adapters/statsdMetrics.js';
import type * as controlNode from '../controlNode/controlNode.js';
import type * as entryTypes from '../entryNode/types.js';
import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import * as schemaFailures from '../utils/schemaFailures.js';
import * as defaultConfig from './defaultConfig.js';
import type * as generated from './generatedSettings.js';
import * as settingsSchema from './settingsSchema.js';

/** An entry's settings with what its daemon needs besides. */
export interface EntryDaemonSettings {
  readonly entry: entryTypes.EntrySettings;
  readonly callerListen: string;
  readonly clusterKey: string;
  readonly logLevel: keyValueLog.LogLevel;
  readonly metrics: statsdMetrics.MetricsSettings;
}

/** A control replica's settings with what its daemon needs besides. */
export interface ControlDaemonSettings {
  readonly control: controlNode.ControlSettings;
  readonly operatorListen: string;
  readonly operatorKeyHash: string;
  readonly dataFolder: string;
  readonly clusterKey: string;
  readonly logLevel: keyValueLog.LogLevel;
  readonly metrics: statsdMetrics.MetricsSettings;
}

const validator = new ajv.Ajv({ strict: true, allowUnionTypes: true });
const validate = validator.compile<generated.KumquatfrontSettings>(settingsSchema.settingsSchema);

function parse(
  text: string,
  subject: string,
): results.Result<generated.KumquatfrontSettings, failures.Failure> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    const reason = error instanceof Error ? error.message : '';
    const remedy = 'Correct the JSON; settings files have no comments.';
    return results.Err(failures.create('badInput', `${subject} is not JSON: ${reason}.`, remedy));
  }
  return validate(value)
    ? results.Ok(value)
    : results.Err(schemaFailures.describe(subject, validate.errors ?? []));
}

function missing(subject: string, key: string): results.Result<never, failures.Failure> {
  const remedy = `Put the settings of this process under the key "${key}".`;
  return results.Err(failures.create('badInput', `${subject} has no "${key}".`, remedy));
}

/**
 * Reads the settings of an entry.
 *
 * @param text - JSON text
 * @param subject - name of the file, for messages
 * @returns the settings, or a `badInput` failure that names the key and the remedy
 * @example
 * ```ts
 * const settings = settingsLoader.readEntry(fs.readFileSync(file, 'utf8'), file);
 * ```
 */
export function readEntry(
  text: string,
  subject: string,
): results.Result<EntryDaemonSettings, failures.Failure> {
  return parse(text, subject).andThen(({ entry }) =>
    entry === undefined ? missing(subject, 'entry') : results.Ok(toEntry(entry)),
  );
}

function toEntry(file: generated.EntryFile): EntryDaemonSettings {
  const { entryDefaults } = defaultConfig;
  const { callerAddress, clusterKey, logLevel, metrics, ...own } = file;
  return {
    callerListen: callerAddress,
    clusterKey,
    logLevel: logLevel ?? 'info',
    metrics: metrics ?? {},
    entry: {
      ...entryDefaults,
      ...own,
      callerAddress: `http://${callerAddress}`,
      directory: { ...entryDefaults.directory, ...own.directory },
      configuration: { ...entryDefaults.configuration, ...own.configuration },
      claims: { ...entryDefaults.claims, ...own.claims },
      relay: { ...entryDefaults.relay, ...own.relay },
      headroom: { ...entryDefaults.headroom, ...own.headroom },
      coordination: { ...entryDefaults.coordination, ...own.coordination },
    },
  };
}

/**
 * Reads the settings of a control replica.
 *
 * @param text - JSON text
 * @param subject - name of the file, for messages
 * @returns the settings, or a `badInput` failure that names the key and the remedy
 * @example
 * ```ts
 * const settings = settingsLoader.readControl(fs.readFileSync(file, 'utf8'), file);
 * ```
 */
export function readControl(
  text: string,
  subject: string,
): results.Result<ControlDaemonSettings, failures.Failure> {
  return parse(text, subject).andThen(({ control }) =>
    control === undefined ? missing(subject, 'control') : results.Ok(toControl(control)),
  );
}

function toControl(file: generated.ControlFile): ControlDaemonSettings {
  const { controlDefaults } = defaultConfig;
  const { operatorAddress, operatorKeyHash, dataFolder, clusterKey, logLevel, metrics, ...own } = file;
  return {
    operatorListen: operatorAddress,
    operatorKeyHash,
    dataFolder,
    clusterKey,
    logLevel: logLevel ?? 'info',
    metrics: metrics ?? {},
    control: {
      ...controlDefaults,
      ...own,
      timing: { ...controlDefaults.timing, ...own.timing },
      limits: { ...controlDefaults.limits, ...own.limits },
      orders: { ...controlDefaults.orders, ...own.orders },
    },
  };
}
