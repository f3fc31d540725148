/**
 * Converts schema validation errors into a failure that names the invalid key and the remedy.
 */
import type * as ajv from 'ajv';

import * as failures from '../kernel/failures.js';

function remedyOf(error: ajv.ErrorObject): string {
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
 * Creates a failure from the first validation error.
 *
 * @param subject - what was validated, such as a file name
 * @param errors - the validation errors
 * @returns a `badInput` failure
 * @example
 * ```ts
 * schemaFailures.fromErrors('entry.json', validate.errors ?? []);
 * ```
 */
export function fromErrors(subject: string, errors: readonly ajv.ErrorObject[]): failures.Failure {
  const [first] = errors;
  if (first === undefined) {
    return failures.create('badInput', `${subject} is not valid.`, 'Compare it with the schema.');
  }
  const path =
    first.instancePath === '' ? 'the top level' : `key ${first.instancePath.slice(1).replaceAll('/', '.')}`;
  const message = `${subject}: at ${path}, the value ${first.message ?? 'is not valid'}.`;
  return failures.create('badInput', message, remedyOf(first));
}
