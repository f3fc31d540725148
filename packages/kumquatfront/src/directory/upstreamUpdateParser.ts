/**
 * Parses the updates that upstreams post: announcements, load reports and cache events.
 */
import * as ajv from 'ajv';

import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import * as schemaFailures from '../utils/schemaFailures.js';
import type * as types from './types.js';

const text = { type: 'string', minLength: 1, maxLength: 128 };
const count = { type: 'number', minimum: 0, maximum: 1e15 };
const versionFields = { name: text, incarnation: count, sequence: count };
const prefixes = { type: 'array', maxItems: 4_096, items: { type: 'string', maxLength: 64 } };

function strictObject(properties: Readonly<Record<string, unknown>>): Record<string, unknown> {
  return { type: 'object', additionalProperties: false, required: Object.keys(properties), properties };
}

const SCHEMAS: Readonly<Record<types.UpstreamUpdate['type'], ajv.AnySchema>> = {
  announce: strictObject({
    type: { const: 'announce' },
    announcement: strictObject({
      ...versionFields,
      address: { type: 'string', pattern: '^http://[0-9a-fA-F.:\\[\\]]+$', maxLength: 128 },
      kind: { enum: ['engine', 'plainService'] },
      labels: { type: 'object', additionalProperties: { type: 'string', maxLength: 128 }, maxProperties: 32 },
      dataCentre: text,
      memoryTokens: count,
      slots: count,
      lease: { type: 'number', minimum: 100, maximum: 600_000 },
      leaving: { type: 'boolean' },
    }),
  }),
  load: strictObject({
    type: { const: 'load' },
    report: strictObject({ ...versionFields, running: count, waiting: count, usedTokens: count }),
  }),
  cache: strictObject({
    type: { const: 'cache' },
    event: strictObject({ ...versionFields, added: prefixes, removed: prefixes }),
  }),
};

const validator = new ajv.Ajv({ strict: true });
const compiled = new Map(Object.entries(SCHEMAS).map(([type, schema]) => [type, validator.compile(schema)]));

function parseJson(body: string): unknown {
  try {
    return JSON.parse(body);
  } catch {
    return undefined;
  }
}

/**
 * Parses one update.
 *
 * @param body - JSON text from an upstream
 * @returns the update, or a `badInput` failure that names the invalid key
 * @example
 * ```ts
 * const update = upstreamUpdateParser.parse(body);
 * ```
 */
export function parse(body: string): results.Result<types.UpstreamUpdate, failures.Failure> {
  const value = parseJson(body);
  const type = typeof value === 'object' && value !== null && 'type' in value ? String(value.type) : '';
  const validate = compiled.get(type);
  if (validate === undefined) {
    const remedy = `Send a JSON object whose type is one of ${[...compiled.keys()].join(', ')}.`;
    return results.Err(failures.create('badInput', 'The update has an unknown type.', remedy));
  }
  if (!validate(value)) {
    return results.Err(schemaFailures.fromErrors('update', validate.errors ?? []));
  }
  return results.Ok(value as types.UpstreamUpdate);
}
