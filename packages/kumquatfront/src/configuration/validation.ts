/**
 * Validates configuration objects: their structure against a schema, then their references and conflicts.
 */
import * as ajv from 'ajv';

import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import * as labelSelector from '../selectors/labelSelector.js';
import * as schemaFailures from '../utils/schemaFailures.js';
import type * as types from './types.js';

// Failure texts are stored in the replicated state and are part of its digest: all replicas must produce the same text.

const labelsSchema = {
  type: 'object',
  additionalProperties: { type: 'string', maxLength: 128 },
  maxProperties: 32,
};
const selectorTextSchema = { type: 'string', maxLength: 1024 };
const positiveNumberSchema = { type: 'number', exclusiveMinimum: 0 };
const urgencySchema = { enum: ['urgent', 'patient'] };

function objectSchema(
  required: readonly string[],
  properties: Readonly<Record<string, unknown>>,
): ajv.AnySchema {
  return { type: 'object', additionalProperties: false, required, properties };
}

const SCHEMAS: Readonly<Record<types.ConfigurationKind, ajv.AnySchema>> = {
  market: objectSchema(['labels'], { labels: labelsSchema }),
  clientAccount: objectSchema(['market', 'keyHashes'], {
    market: { type: 'string' },
    keyHashes: { type: 'array', maxItems: 8, items: { type: 'string', pattern: '^[0-9a-f]{64}$' } },
    labels: labelsSchema,
    weight: positiveNumberSchema,
  }),
  deployment: objectSchema(['kind', 'upstreams'], {
    kind: { enum: ['engine', 'plainService'] },
    upstreams: selectorTextSchema,
    models: { type: 'array', items: { type: 'string' }, maxItems: 256 },
  }),
  selector: objectSchema(['match', 'precedence', 'deployment', 'urgency'], {
    match: selectorTextSchema,
    precedence: { type: 'integer', minimum: 0 },
    deployment: { type: 'string' },
    urgency: urgencySchema,
    model: { type: 'string' },
    adapter: { type: 'string' },
    idempotent: { type: 'boolean' },
    onUpstreamDeath: { enum: ['interrupt', 'restart'] },
  }),
  limits: objectSchema([], {
    queuePerAccount: positiveNumberSchema,
    queueTotal: positiveNumberSchema,
    retryPercent: { type: 'number', minimum: 0 },
  }),
  objective: objectSchema(['measure', 'urgency', 'threshold', 'share'], {
    measure: { enum: ['stall', 'firstToken', 'betweenTokens', 'whole'] },
    urgency: urgencySchema,
    threshold: positiveNumberSchema,
    share: { type: 'number', exclusiveMinimum: 0, exclusiveMaximum: 1 },
  }),
};

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

type ValidatorsByKind = ReadonlyMap<string, ajv.ValidateFunction>;
let cachedValidators: ValidatorsByKind | undefined;

/**
 * Returns the compiled schemas. They are compiled on first use because compilation would delay process
 * startup, and with it the recovery after a crash of all control replicas.
 */
function validators(): ValidatorsByKind {
  if (cachedValidators === undefined) {
    const compiler = new ajv.Ajv({ allErrors: false, strict: true });
    cachedValidators = new Map(
      Object.entries(SCHEMAS).map(([kind, schema]) => [kind, compiler.compile(schema)]),
    );
  }
  return cachedValidators;
}

/** Key that identifies an object across all kinds: `kind/name`. */
export type ObjectKey = string;

/**
 * Returns the key of an object.
 *
 * @param name - name of the object
 * @returns `kind/name`
 * @example
 * ```ts
 * validation.keyOf('market', 'wa-perth'); // 'market/wa-perth'
 * ```
 */
export function keyOf(kind: string, name: string): ObjectKey {
  return `${kind}/${name}`;
}

/**
 * Validates a draft against the schema of its kind.
 *
 * @param draft - the object submitted by the operator, not yet validated
 * @returns the draft, or a `badInput` failure that names the invalid key and the remedy
 * @example
 * ```ts
 * validation.checkShape({ kind: 'market', name: 'wa-perth', body: { labels: { market: 'wa-perth' } } });
 * ```
 */
export function checkShape(
  draft: types.ConfigurationDraft,
): results.Result<types.ConfigurationDraft, failures.Failure> {
  const validate = validators().get(draft.kind);
  if (validate === undefined) {
    const remedy = `Use one of ${Object.keys(SCHEMAS).join(', ')}.`;
    return results.Err(failures.create('badInput', `There is no kind "${draft.kind}".`, remedy));
  }
  if (!NAME_PATTERN.test(draft.name)) {
    const remedy =
      'Use up to 63 letters, digits, dots, dashes and underscores, beginning with a letter or digit.';
    return results.Err(failures.create('badInput', `The name "${draft.name}" is not allowed.`, remedy));
  }
  if (!validate(draft.body)) {
    return results.Err(schemaFailures.fromErrors(`${draft.kind} ${draft.name}`, validate.errors ?? []));
  }
  return results.Ok(draft);
}

/** Looks up a configuration object by key. */
export type ObjectLookup = (key: ObjectKey) => types.ConfigurationObject | undefined;

function missingReference(kind: string, name: string): failures.Failure {
  return failures.create(
    'badInput',
    `There is no ${kind} "${name}".`,
    `Apply the ${kind} first, in the same file or before.`,
  );
}

function checkSelector(
  name: string,
  body: types.SelectorBody,
  lookup: ObjectLookup,
  others: Iterable<types.ConfigurationObject>,
): results.Result<null, failures.Failure> {
  const parsed = labelSelector.parse(body.match);
  if (parsed.err) {
    return parsed;
  }
  if (lookup(keyOf('deployment', body.deployment)) === undefined) {
    return results.Err(missingReference('deployment', body.deployment));
  }
  for (const other of others) {
    if (other.kind !== 'selector' || other.name === name || other.body.precedence !== body.precedence) {
      continue;
    }
    const otherParsed = labelSelector.parse(other.body.match);
    if (otherParsed.ok && labelSelector.overlaps(parsed.val, otherParsed.val)) {
      const message = `Selectors ${name} and ${other.name} can match the same request at precedence ${body.precedence}.`;
      const remedy = 'Give one of them a higher precedence, or narrow one of them.';
      return results.Err(failures.create('ambiguous', message, remedy, { other: other.name }));
    }
  }
  return results.Ok(null);
}

/**
 * Checks the references of a draft and its conflicts with other objects. Must be deterministic because every
 * control replica runs it.
 *
 * @param draft - a draft that passed `checkShape`
 * @param lookup - looks up a configuration object by key
 * @param all - all configuration objects
 * @returns null, or a failure that names the remedy
 * @example
 * ```ts
 * validation.checkReferences(draft, (key) => objects.get(key), objects.values());
 * ```
 */
export function checkReferences(
  draft: types.ConfigurationDraft,
  lookup: ObjectLookup,
  all: Iterable<types.ConfigurationObject>,
): results.Result<null, failures.Failure> {
  switch (draft.kind) {
    case 'clientAccount': {
      const { market } = draft.body as types.ClientAccountBody;
      return lookup(keyOf('market', market)) === undefined
        ? results.Err(missingReference('market', market))
        : results.Ok(null);
    }
    case 'deployment':
      return labelSelector.parse((draft.body as types.DeploymentBody).upstreams).map(() => null);
    case 'selector':
      return checkSelector(draft.name, draft.body as types.SelectorBody, lookup, all);
    case 'market':
    case 'limits':
    case 'objective':
      return results.Ok(null);
  }
}

function refersTo(object: types.ConfigurationObject, key: ObjectKey): boolean {
  if (object.kind === 'selector') {
    return keyOf('deployment', object.body.deployment) === key;
  }
  return object.kind === 'clientAccount' && keyOf('market', object.body.market) === key;
}

/**
 * Checks that no other object refers to an object to be deleted.
 *
 * @param key - key of the object to delete
 * @returns null, or a `conflict` failure that names the referring object
 * @example
 * ```ts
 * validation.checkDeletion('market/wa-perth', objects.values());
 * ```
 */
export function checkDeletion(
  key: ObjectKey,
  all: Iterable<types.ConfigurationObject>,
): results.Result<null, failures.Failure> {
  for (const object of all) {
    if (refersTo(object, key)) {
      const message = `${keyOf(object.kind, object.name)} still refers to ${key}.`;
      return results.Err(failures.create('conflict', message, 'Delete or change that one first.'));
    }
  }
  return results.Ok(null);
}
