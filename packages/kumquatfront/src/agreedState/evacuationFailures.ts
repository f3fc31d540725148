/**
 * Failures of the commands that evacuate and restore data centres.
 */
import * as failures from '../kernel/failures.js';

/**
 * Creates the failure of a command that names an unknown data centre.
 *
 * @param known - names of the existing data centres
 * @returns a `notFound` failure that lists the existing data centres
 * @example
 * ```ts
 * evacuationFailures.unknownDataCentre('perth-z', ['perth-a', 'perth-b']);
 * ```
 */
export function unknownDataCentre(dataCentre: string, known: readonly string[]): failures.Failure {
  const remedy = `Name one of: ${known.join(', ')}.`;
  return failures.create('notFound', `There is no data centre "${dataCentre}".`, remedy);
}
