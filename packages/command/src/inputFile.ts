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

/**
 * Reads files.
 *
 * @param files - their paths
 * @returns their texts in order, or the failure of the first that cannot be read
 * @example
 * ```ts
 * inputFile.readAll(['entry-1.log', 'control-1.log']);
 * ```
 */
export function readAll(
  files: readonly string[],
): kumquatfront.results.Result<readonly string[], kumquatfront.failures.Failure> {
  const texts: string[] = [];
  for (const file of files) {
    const text = read(file);
    if (text.err) {
      return kumquatfront.results.Err(text.val);
    }
    texts.push(text.val);
  }
  return kumquatfront.results.Ok(texts);
}
