/**
 * Files that commands are given.
 */
import * as fs from 'node:fs';

import * as kumquatfront from 'kumquatfront';

/**
 * Reads a file.
 *
 * @param file - its path
 * @returns its text, or a `notFound` failure
 * @example
 * ```ts
 * inputFile.read('market.json').andThen(applyFile.parse);
 * ```
 */
export function read(file: string): kumquatfront.results.Result<string, kumquatfront.failures.Failure> {
  if (!fs.existsSync(file)) {
    const remedy = 'Give the path of an existing file.';
    return kumquatfront.results.Err(
      kumquatfront.failures.create('notFound', `There is no file ${file}.`, remedy),
    );
  }
  return kumquatfront.results.Ok(fs.readFileSync(file, 'utf8'));
}
