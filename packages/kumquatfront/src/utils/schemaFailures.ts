/**
 * Turns a schema validator's findings into a failure that names the key and the remedy.
 */
import type * as ajv from 'ajv';

import * as failures from '../kernel/failures.js';

function remedyFor(error: ajv.ErrorObject): string {
  const parameters = error.params as Readonly<Record<string, unknown>>;
  switch (error.keyword) {
    case 'additionalProperties':
      return `Remove the key "${String(parameters.additionalProperty)}" or correct its spelling.`;
    case 'required':
      return `Add the key "${String(parameters.missingProperty)}".`;
    case 'enum':
      return `Use one of ${(parameters.allowedValues as readonly string[]).join(', ')}.`;
    case 'type':
      return `Give a value of type ${String(parameters.type)}.`;
    default:
      return 'Correct the value.';
  }
}

/**
 * Describes the first finding of a validator.
 *
 * @param subject - what was checked, such as a file name
 * @param errors - the findings
 * @returns a `badInput` failure
 * @example
 * ```ts
 * schemaFailures.describe('entry.json', validate.errors ?? []);
 * ```
 */
export function describe(subject: string, errors: readonly ajv.ErrorObject[]): failures.Failure {
  const [first] = errors;
  if (first === undefined) {
    return failures.create('badInput', `${subject} is not valid.`, 'Compare it with the schema.');
  }
  const path =
    first.instancePath === '' ? 'the top level' : `key ${first.instancePath.slice(1).replaceAll('/', '.')}`;
  const message = `${subject}: at ${path}, the value ${first.message ?? 'is not valid'}.`;
  return failures.create('badInput', message, remedyFor(first));
}
