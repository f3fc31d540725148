/**
 * Checks of configured objects: their shape by schema, then what they refer to and what they clash with.
 */
import * as ajv from 'ajv';

import * as failures from '../kernel/failures.js';
import * as results from '../kernel/results.js';
import * as labelSelector from '../selectors/labelSelector.js';
import * as schemaFailures from '../utils/schemaFailures.js';
import type * as types from './types.js';

const labels = {
  type: 'object',
  additionalProperties: { type: 'string', maxLength: 128 },
  maxProperties: 32,
};
const labelText = { type: 'string', maxLength: 1024 };
const positive = { type: 'number', exclusiveMinimum: 0 };
const urgency = { enum: ['urgent', 'patient'] };

function object(required: readonly string[], properties: Readonly<Record<string, unknown>>): ajv.AnySchema {
  return { type: 'object', additionalProperties: false, required, properties };
}

const SCHEMAS: Readonly<Record<types.ConfigurationKind, ajv.AnySchema>> = {
  market: object(['labels'], { labels }),
  clientAccount: object(['market', 'keyHashes'], {
    market: { type: 'string' },
    keyHashes: { type: 'array', maxItems: 8, items: { type: 'string', pattern: '^[0-9a-f]{64}$' } },
    labels,
    weight: positive,
  }),
  deployment: object(['kind', 'upstreams'], {
    kind: { enum: ['engine', 'plainService'] },
    upstreams: labelText,
    models: { type: 'array', items: { type: 'string' }, maxItems: 256 },
  }),
  selector: object(['match', 'precedence', 'deployment', 'urgency'], {
    match: labelText,
    precedence: { type: 'integer', minimum: 0 },
    deployment: { type: 'string' },
    urgency,
    model: { type: 'string' },
    adapter: { type: 'string' },
    idempotent: { type: 'boolean' },
    onUpstreamDeath: { enum: ['interrupt', 'restart'] },
  }),
  limits: object([], {
    queuePerAccount: positive,
    queueTotal: positive,
    retryPercent: { type: 'number', minimum: 0 },
  }),
  objective: object(['measure', 'urgency', 'threshold', 'share'], {
    measure: { enum: ['stall', 'firstToken', 'betweenTokens', 'whole'] },
    urgency,
    threshold: positive,
    share: { type: 'number', exclusiveMinimum: 0, exclusiveMaximum: 1 },
  }),
};

const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

type Kinds = ReadonlyMap<string, ajv.ValidateFunction>;
let compiledKinds: Kinds | undefined;

/**
 * The compiled schemas. Compiling takes 60 ms, half of the start of a process, so it waits for the first draft:
 * after a crash of all control replicas every entry waits for them to be back.
 */
function validators(): Kinds {
  if (compiledKinds === undefined) {
    const compiler = new ajv.Ajv({ allErrors: false, strict: true });
    compiledKinds = new Map(
      Object.entries(SCHEMAS).map(([kind, schema]) => [kind, compiler.compile(schema)]),
    );
  }
  return compiledKinds;
}

/** Key of an object among all kinds. */
export type ObjectKey = string;

/**
 * Key of an object.
 *
 * @param kind - its kind
 * @param name - its name
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
 * Checks the shape of a draft.
 *
 * @param draft - what the operator sent, of unknown shape
 * @returns the draft typed, or a `badInput` failure that names the key at fault and the remedy
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
  if (!NAME.test(draft.name)) {
    const remedy =
      'Use up to 63 letters, digits, dots, dashes and underscores, beginning with a letter or digit.';
    return results.Err(failures.create('badInput', `The name "${draft.name}" is not allowed.`, remedy));
  }
  if (!validate(draft.body)) {
    return results.Err(schemaFailures.describe(`${draft.kind} ${draft.name}`, validate.errors ?? []));
  }
  return results.Ok(draft);
}

/** Finds a configured object by key. */
export type ObjectLookup = (key: ObjectKey) => types.ConfigurationObject | undefined;

function missing(kind: string, name: string): failures.Failure {
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
    return results.Err(missing('deployment', body.deployment));
  }
  for (const other of others) {
    if (other.kind !== 'selector' || other.name === name || other.body.precedence !== body.precedence) {
      continue;
    }
    const otherParsed = labelSelector.parse(other.body.match);
    if (otherParsed.ok && labelSelector.overlap(parsed.val, otherParsed.val)) {
      const message = `Selectors ${name} and ${other.name} can match the same request at precedence ${body.precedence}.`;
      const remedy = 'Give one of them a higher precedence, or narrow one of them.';
      return results.Err(failures.create('ambiguous', message, remedy, { other: other.name }));
    }
  }
  return results.Ok(null);
}

/**
 * Checks what a draft refers to and what it clashes with. Deterministic, as every replica runs it.
 *
 * @param draft - a draft of sound shape
 * @param lookup - finds a configured object by its key
 * @param all - every configured object
 * @returns nothing, or a failure that names the remedy
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
        ? results.Err(missing('market', market))
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
 * Checks that nothing refers to an object that is to be deleted.
 *
 * @param key - the object
 * @param all - every configured object
 * @returns nothing, or a `conflict` failure that names who refers to it
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
