/**
 * Packs a traffic configuration for transfer to an entry, complete or as changes from a version that the entry has.
 */
import * as crypto from 'node:crypto';
import * as zlib from 'node:zlib';

import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import type * as trafficTypes from '../traffic/types.js';
import * as textDelta from './textDelta.js';

/** Length of a digest in hexadecimal digits; detects accidental differences, not attacks. */
const DIGEST_LENGTH = 32;

/** Maximum length of an unpacked configuration in bytes; above that of any accepted one, with changes as JSON text. */
const MAXIMUM_UNPACKED_BYTES = 16 * 1024 * 1024;

/** A packed configuration; see `types.ts`. */
export interface TransferPackage {
  /** Version that the changes apply to; 0 if the package contains a complete configuration. */
  readonly base: number;
  readonly version: number;
  readonly digest: string;
  /** Base64 text. */
  readonly data: string;
}

/** Content of a package with changes. */
interface Changes {
  readonly operations: readonly textDelta.Operation[];
  /** Digest of the text that results. */
  readonly result: string;
}

function digestOf(text: string): string {
  return crypto.createHash('sha256').update(text).digest('hex').slice(0, DIGEST_LENGTH);
}

/**
 * Packs a configuration.
 *
 * @param base - the configuration that the receiver has; undefined packs the complete text
 * @returns the package; equal for equal arguments
 * @example
 * ```ts
 * const packed = transferPackage.create({ version: 8, text }, { version: 7, text: previousText });
 * ```
 */
export function create(
  target: trafficTypes.VersionedText,
  base: trafficTypes.VersionedText | undefined,
): TransferPackage {
  const content =
    base === undefined
      ? target.text
      : JSON.stringify({
          operations: textDelta.create(base.text, target.text),
          result: digestOf(target.text),
        } satisfies Changes);
  const data = zlib.deflateRawSync(content, { level: zlib.constants.Z_BEST_SPEED }).toString('base64');
  return { base: base?.version ?? 0, version: target.version, digest: digestOf(data), data };
}

function unpackText(packed: TransferPackage, baseText: string): string | undefined {
  if (digestOf(packed.data) !== packed.digest) {
    return undefined;
  }
  const compressed = Buffer.from(packed.data, 'base64');
  const content = zlib.inflateRawSync(compressed, { maxOutputLength: MAXIMUM_UNPACKED_BYTES }).toString();
  if (packed.base === 0) {
    return content;
  }
  const { operations, result } = JSON.parse(content) as Changes;
  const text = textDelta.apply(baseText, operations);
  return digestOf(text) === result ? text : undefined;
}

/**
 * Unpacks a configuration.
 *
 * @param baseText - text of the version `packed.base`; ignored for a complete configuration
 * @returns the configuration, or a `corrupt` failure if the package or the base is not the one that was packed
 * @example
 * ```ts
 * const unpacked = transferPackage.unpack(packed, textInForce);
 * ```
 */
export function unpack(
  packed: TransferPackage,
  baseText: string,
): results.Result<trafficTypes.VersionedText, failures.Failure> {
  const { base, version } = packed;
  const fail = (reason: string): results.Result<never, failures.Failure> => {
    const message = `The package of version ${version} on base ${base} cannot be unpacked: ${reason}.`;
    return results.Err(failures.create('corrupt', message, 'Request the complete configuration.'));
  };
  try {
    const text = unpackText(packed, baseText);
    return text === undefined ? fail('a digest does not match') : results.Ok({ version, text });
  } catch (error) {
    return fail(error instanceof Error ? error.message : String(error));
  }
}
