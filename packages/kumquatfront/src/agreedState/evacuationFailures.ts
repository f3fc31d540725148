/**
 * What an operator is told whose order names no data centre.
 */
import * as failures from '../kernel/failures.js';

/**
 * Builds the failure.
 *
 * @param dataCentre - what the order names
 * @param known - names of the data centres that there are
 * @returns the failure, with the names that would do
 * @example
 * ```ts
 * evacuationFailures.unknownDataCentre('perth-z', ['perth-a', 'perth-b']);
 * ```
 */
export function unknownDataCentre(dataCentre: string, known: readonly string[]): failures.Failure {
  const remedy = `Name one of: ${known.join(', ')}.`;
  return failures.create('notFound', `There is no data centre "${dataCentre}".`, remedy);
}
